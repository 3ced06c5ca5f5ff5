"""Load that answers tell, and the slots that they free."""

from __future__ import annotations

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase

RUN_S = 0.15


class HandoverTest(ForwardingCase):
    """A call that waits gets the slot that an answer frees."""

    def test_an_answer_counts_its_own_request(self):
        async def run_slowly(server, request, stream):
            # With this request the server has no slot to spare, as its checks tell.
            server.load = "3,0,4"
            await anyio.sleep(RUN_S)
            request_id = request.headers[b"test-id"].decode()
            server.ran.append(request_id)
            head = f"HTTP/1.1 200 X\r\ntest-id: {request_id}\r\ntest-signature: s\r\n"
            load = f"test-load: {server.load}\r\n"
            await stream.send(f"{head}{load}content-length: 4\r\n\r\ndone".encode())

        async def scenario(vm, servers):
            (server,) = servers
            server.load = "2,0,4"
            server.script = run_slowly
            answers = {}

            async def call(request_id):
                answers[request_id] = await vm.async_call("book", request_id, b"van")

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "b-1")
                await anyio.sleep(RUN_S / 3)
                tasks.start_soon(call, "b-2")
            self.assertEqual([one.status for one in answers.values()], [200, 200])
            self.assertEqual(server.ran, ["b-1", "b-2"])
            # The second one did not wait for a check that tells a slot to spare.
            self.assertLess(answers["b-2"].duration_s, 3 * RUN_S)

        self.play(scenario, servers=1)


class FreshReportTest(ForwardingCase):
    """A server that has just answered gets the next request without a probe."""

    def play_two_requests(self, load, pause_s):
        """Return how many checks the second of two requests caused."""

        async def answer(server, request, stream):
            request_id = request.headers[b"test-id"].decode()
            server.ran.append(request_id)
            head = f"HTTP/1.1 200 X\r\ntest-id: {request_id}\r\ntest-signature: s\r\n"
            await stream.send(
                f"{head}test-load: {load}\r\ncontent-length: 4\r\n\r\ndone".encode()
            )

        checks = []

        async def scenario(vm, servers):
            (server,) = servers
            server.script = answer
            async with vm.open_caller() as caller:
                for number in range(2):
                    known = server.checks
                    got = await caller.async_call("book", f"b-{number}", b"van")
                    self.assertEqual(got.status, 200)
                    checks.append(server.checks - known)
                    await anyio.sleep(pause_s)

        self.play(scenario, servers=1)
        return checks[1]

    def test_no_check_right_after_an_answer(self):
        self.assertEqual(self.play_two_requests("1,0,4", 0.0), 0)

    def test_a_check_where_the_answer_is_older_or_tells_no_spare_slot(self):
        self.assertEqual(self.play_two_requests("1,0,4", 0.1), 1)
        self.assertGreater(self.play_two_requests("4,0,4", 0.0), 0)
