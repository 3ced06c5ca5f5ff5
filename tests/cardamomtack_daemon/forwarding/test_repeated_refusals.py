"""A server writes a refusal of before once more, where another answer is due."""

from __future__ import annotations

import unittest
from itertools import product

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import write_answer

WORK_S = 0.05


def write_refusal(request_id: bytes | None, status: int = 503) -> bytes:
    """Return a refusal, with or without the id of the request that it refused."""
    named = b"test-id: %b\r\n" % request_id if request_id is not None else b""
    head = b"HTTP/1.1 %d X\r\n%btest-not-run: 1\r\n" % (status, named)
    return head + b"content-length: 6\r\n\r\nfull!\n"


class RepeatedRefusalTest(ForwardingCase):
    """What the caller of a request hears that a server runs beside an old refusal."""

    def check(self, route, writes, is_kept=True, answers=(200, b"done")):
        """Check a request that each server runs between two writes of other bytes.

        Parameters
        ----------
        writes : (bytes, bytes)
            What the servers write as they begin to run the request, and just before
            their answer.
        is_kept : bool
            Whether the connection has carried anything before.
        answers : (int, bytes)
            Status and body of the answer.
        """

        def prepare(servers):
            for server in servers:
                server.load = "0,0,4" if is_kept else None

        async def refuse(server, request, stream):
            await stream.send(write_refusal(request.headers[b"test-id"]))

        async def run(server, request, stream):
            server.ran.append(request.headers[b"test-id"].decode())
            await stream.send(writes[0])
            await anyio.sleep(WORK_S)
            await stream.send(writes[1] + write_answer(request, *answers))

        async def scenario(vm, servers):
            if is_kept:
                for server in servers:
                    server.script = refuse
                await vm.async_call(route, "earlier")
            for server in servers:
                server.script = run
            answer = await vm.async_call(route, "x-1", b"van", deadline_ms=1000)
            self.check_answer(answer, answers)
            runs = [one for server in servers for one in server.ran]
            self.assertIn(
                runs, [["x-1"]] if route == "book" else [["x-1"], ["x-1"] * 2]
            )

        self.play(scenario, servers=2, prepare=prepare)

    def check_answer(self, answer, answers):
        """Check that an answer promises nothing, and is whole where it is the own."""
        self.assertNotIn(answer.status, (408, 421, 429, 503))
        if answer.status == answers[0]:
            self.assertEqual((answer.body, answer.is_whole), (answers[1], True))

    def test_refusal_of_before_is_no_proof_for_a_request_that_runs(self):
        for route, request_id, status, is_kept in product(
            ("book", "read"), (b"earlier", None), (503, 429, 421), (True, False)
        ):
            refusal = write_refusal(request_id, status)
            for place, writes in (("early", (refusal, b"")), ("late", (b"", refusal))):
                with self.subTest(
                    route=route,
                    request_id=request_id,
                    status=status,
                    place=place,
                    is_kept=is_kept,
                ):
                    self.check(route, writes, is_kept)

    def test_refusal_of_before_is_no_proof_beside_a_failure(self):
        for request_id in (b"earlier", None):
            with self.subTest(request_id=request_id):
                writes = (write_refusal(request_id), b"")
                self.check("book", writes, answers=(500, b"no"))

    def test_part_of_a_refusal_of_before_is_no_proof(self):
        for request_id in (b"earlier", None):
            refusal = write_refusal(request_id)
            for cut in range(1, len(refusal)):
                with self.subTest(request_id=request_id, cut=cut):
                    self.check("book", (refusal[:cut], b""))

    def test_refusal_of_before_between_two_requests(self):
        async def scenario(vm, servers):
            (server,) = servers
            is_first = True

            async def refuse_again_later(server, request, stream):
                nonlocal is_first
                if is_first:
                    is_first = False
                    refusal = write_refusal(request.headers[b"test-id"])
                    await stream.send(refusal)
                    await anyio.sleep(0.03)
                    await stream.send(write_refusal(None))
                    return
                server.ran.append(request.headers[b"test-id"].decode())
                await stream.send(write_answer(request))

            server.script = refuse_again_later
            answer = await vm.async_call("book", "earlier", b"van")
            self.assertEqual(answer.status, 503)
            for number in range(5):
                await anyio.sleep(0.01)
                answer = await vm.async_call("book", f"b-{number}", b"van")
                self.assertEqual(answer.status, 200)
            self.assertEqual(server.ran, [f"b-{number}" for number in range(5)])

        self.play(scenario, servers=1)


if __name__ == "__main__":
    unittest.main()
