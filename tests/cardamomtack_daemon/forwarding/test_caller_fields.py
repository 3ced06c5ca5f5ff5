"""Fields by which a caller could place or take away what servers act on."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for

GET = f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: r-1\r\n"


class CallerFieldTest(ForwardingCase):
    """What of a caller's head reaches a server."""

    def play_head(self, head, status, check):
        """Send a head, and check the status and what the servers got."""

        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                await caller.stream.send(f"{head}\r\n".encode())
                self.assertEqual((await caller.async_receive()).status, status)
            check([one for server in servers for one in server.requests])

        self.play(scenario)

    def test_fields_of_one_connection_reach_a_server(self):
        def check(requests):
            (request,) = requests
            self.assertNotIn(b"x-hop", request.headers)
            self.assertEqual(request.headers[b"x-end"], b"2")
            self.assertEqual(request.headers[b"test-id"], b"r-1")
            self.assertIn(b"test-target", request.headers)
            self.assertIn(b"test-deadline", request.headers)

        nominated = "Connection: keep-alive, X-Hop, test-id, test-target, host\r\n"
        fields = "X-Hop: 1\r\nX-End: 2\r\n"
        self.play_head(GET + nominated + fields, 200, check)

    def test_a_request_with_two_ids_is_sent_on(self):
        for field in ("Test-Id: r-2", "TEST-ID: r-1", f"host: {HOST}"):
            with self.subTest(field):
                self.play_head(
                    f"{GET}{field}\r\n", 400, lambda sent: self.assertEqual(sent, [])
                )

    def test_spaces_and_folds_hide_a_field(self):
        for field in ("test-id : r-2", "X-A: b\r\n test-id: r-2", "X-A: b\rtest-id: 2"):
            with self.subTest(field):

                def check(requests):
                    for request in requests:
                        self.assertEqual(request.headers[b"test-id"], b"r-1")

                async def scenario(vm, servers, field=field, check=check):
                    async with vm.open_caller() as caller:
                        await caller.stream.send(f"{GET}{field}\r\n\r\n".encode())
                        answer = await caller.async_receive()
                    self.assertIn(answer.status, (200, 400))
                    check([one for server in servers for one in server.requests])

                self.play(scenario)


class HalfCloseTest(ForwardingCase):
    """A caller that closes its sending side."""

    def test_a_caller_that_sends_nothing_more_is_waited_for(self):
        async def hold(server, request, stream):
            await anyio.sleep_forever()

        async def scenario(vm, servers):
            for server in servers:
                server.script = hold

            async def read_in_flight():
                return vm.daemon.in_flight

            async with vm.open_caller() as caller:
                await caller.async_send("read", "r-1")
                await async_wait_for(read_in_flight, lambda count: count == 1)
                await caller.stream.send_eof()
                with anyio.fail_after(0.5):
                    await async_wait_for(read_in_flight, lambda count: count == 0)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
