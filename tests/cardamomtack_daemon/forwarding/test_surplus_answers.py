"""A server writes more behind a whole answer, which belongs to no request."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import write_answer, write_not_run

GAP_S = 0.02


SURPLUS = {
    "failure": lambda request: write_answer(request, 500, b"second"),
    "success": lambda request: write_answer(request, 200, b"second"),
    "informational": lambda request: write_answer(request, 100, b""),
    "misdirected": lambda request: write_answer(request, 421, b""),
    "not run": write_not_run,
    "part of a status": lambda request: b"HTTP/1.1 50",
    "no answer": lambda request: b"no answer",
}
"""What stands behind an answer to a request."""


class SurplusAnswerTest(ForwardingCase):
    """Guards against answers that got the status of what stands behind them."""

    def play_surplus(self, first_status, parts):
        """Check what a caller gets whose answer has something behind it."""
        for name, write_surplus in SURPLUS.items():
            with self.subTest(first_status=first_status, surplus=name, parts=parts):

                async def script(server, request, stream, write=write_surplus):
                    server.ran.append(request.headers[b"test-id"].decode())
                    first = write_answer(request, first_status, b"first")
                    data = first + write(request)
                    size = -(-len(data) // parts)
                    for start in range(0, len(data), size):
                        await stream.send(data[start : start + size])
                        await anyio.sleep(GAP_S if parts > 1 else 0.0)

                async def scenario(vm, servers, script=script):
                    for server in servers:
                        server.script = script
                    for request_id in ("b-1", "b-2"):
                        answer = await vm.async_call("book", request_id, b"van")
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

    def test_bytes_behind_an_answer_to_head_are_no_body(self):
        # Guards against such bytes that were passed on as the body.
        async def script(server, request, stream):
            head = write_answer(request, 200, b"", content_length="5")
            await stream.send(head + write_answer(request, 500, b"second"))

        async def scenario(vm, servers):
            for server in servers:
                server.script = script
            stream = await anyio.connect_tcp("127.0.0.1", vm.settings.port)
            async with stream:
                head = f"HEAD /read/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: h-1\r\n\r\n"
                await stream.send(head.encode())
                received = await stream.receive()
                with anyio.move_on_after(0.2):
                    received += await stream.receive()
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
            self.assertTrue(received.endswith(b"\r\n\r\n"), received)
            self.assertEqual(received.count(b"\r\n\r\n"), 1)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
