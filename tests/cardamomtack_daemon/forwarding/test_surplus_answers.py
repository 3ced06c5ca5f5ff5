"""A server writes more behind a whole answer, which belongs to no request."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import write_answer, write_not_run

GAP_S = 0.02


def list_surplus(request):
    """Return what may stand behind an answer."""
    return [
        write_answer(request, 500, b"second"),
        write_answer(request, 200, b"second"),
        write_answer(request, 100, b""),
        write_answer(request, 421, b""),
        write_not_run(request),
        b"HTTP/1.1 50",
        b"no answer",
    ]


class SurplusAnswerTest(ForwardingCase):
    """Guards against answers that got the status of what stands behind them."""

    def play_surplus(self, first_status, parts):
        """Check what a caller gets whose answer has something behind it."""
        for number in range(len(list_surplus(_REQUEST))):
            with self.subTest(first_status=first_status, number=number, parts=parts):

                async def script(server, request, stream, number=number):
                    server.ran.append(request.headers[b"test-id"].decode())
                    first = write_answer(request, first_status, b"first")
                    data = first + list_surplus(request)[number]
                    size = -(-len(data) // parts)
                    for start in range(0, len(data), size):
                        await stream.send(data[start : start + size])
                        await anyio.sleep(GAP_S if parts > 1 else 0.0)

                async def scenario(vm, servers, script=script):
                    for server in servers:
                        server.script = script
                    for name in ("b-1", "b-2"):
                        answer = await vm.async_call("book", name, b"van")
                        self.assertEqual(answer.status, first_status)
                        self.assertEqual(answer.body, b"first")
                    runs = [one for server in servers for one in server.ran]
                    self.assertEqual(runs, ["b-1", "b-2"])

                self.play(scenario)

    def test_status_of_a_success_stays(self):
        self.play_surplus(200, 1)
        self.play_surplus(200, 3)

    def test_status_of_a_failure_stays(self):
        self.play_surplus(500, 1)


class _Request:
    """Stands for a request where only the number of answers counts."""

    headers: dict = {}  # noqa: RUF012


_REQUEST = _Request()


if __name__ == "__main__":
    unittest.main()
