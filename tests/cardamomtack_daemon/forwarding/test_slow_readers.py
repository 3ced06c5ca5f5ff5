"""Long responses while the memory for them is short."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import anyio

from cardamomtack_daemon.forwarding.attempt import ServerSend
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.servers import (
    async_answer,
    write_answer,
    write_not_run,
)

CALLERS = 3
# More than the buffers of the kernel and the caller hold.
LONG_BYTES = 4_000_000
BODY_BYTES = 200_000
GIVEN_UP_S = 3.0
MIDDLE_BYTES = 300_000


async def async_answer_long(server, request, stream):
    """Answer requests on the route for bookings at length."""
    if b"book" not in request.target:
        await async_answer(server, request, stream)
        return
    server.ran.append(request.headers[b"test-id"].decode())
    await stream.send(write_answer(request, body=b"x" * LONG_BYTES))


class SlowReaderTest(ForwardingCase):
    """What callers get, and what is held."""

    def test_a_response_that_is_not_taken_is_cut_and_never_told_as_not_run(self):
        async def scenario(vm, servers):
            servers[0].script = async_answer_long
            responses = vm.daemon.responses
            responses.budget.limit_bytes = 100_000
            answers = []

            async def call(number):
                async with vm.open_caller() as caller:
                    await caller.async_send("book", f"b-{number}", b"x")
                    await anyio.sleep(3.0)
                    answers.append(await caller.async_receive())

            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    tasks.start_soon(call, number)
                await anyio.sleep(2.0)
                # A small response does not wait for memory.
                self.assertEqual((await vm.async_call("read", "r-1")).status, 200)
            self.assertEqual({one.status for one in answers}, {200})
            self.assertIn(False, {one.is_whole for one in answers})
            self.assertGreater(responses.closed_readers, 0)
            self.assertEqual(len(servers[0].ran), CALLERS + 1)

            async def read_held():
                return responses.budget.held_bytes

            await async_wait_for(read_held, lambda held: held == 0)

        self.play(scenario, servers=1)

    def test_a_cut_response_is_replaced_only_if_there_is_memory_to_hold_it(self):
        for is_short in (False, True):
            with self.subTest(is_short=is_short):

                async def scenario(vm, servers, is_short=is_short):
                    async def cut(server, request, stream):
                        server.ran.append("cut")
                        answer = write_answer(request, body=b"x" * MIDDLE_BYTES)
                        await stream.send(answer[:-1])
                        await stream.aclose()

                    first = [True]

                    async def cut_once(server, request, stream):
                        if first.pop() if first else False:
                            await cut(server, request, stream)
                        else:
                            await async_answer(server, request, stream)

                    for server in servers:
                        server.script = cut_once
                    budget = vm.daemon.responses.budget
                    held_bytes = int(0.9 * budget.limit_bytes) if is_short else 0
                    budget.held_bytes += held_bytes
                    answer = await vm.async_call("read", "r-1")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.is_whole, not is_short)
                    self.assertEqual(budget.held_bytes, held_bytes)

                self.play(scenario)

    def test_a_long_answer_that_proves_not_run_is_given_up(self):
        # Its connection stayed open, and the server counted as busy for good.
        async def scenario(vm, servers):
            async def refuse_long(server, request, stream):
                length = b"content-length: %d" % LONG_BYTES
                head = write_not_run(request).replace(b"content-length: 0", length)
                data = head + b"x" * LONG_BYTES
                await stream.send(data)

            servers[0].script = refuse_long
            answer = await vm.async_call("book", "b-1", b"x")
            self.assertEqual(answer.status, 503)
            self.assertEqual(vm.daemon.responses.budget.held_bytes, 0)
            views = vm.daemon._registry.servers.values()
            self.assertEqual([one.in_flight for one in views], [0])

        self.play(scenario, servers=1)

    def test_a_response_whose_caller_leaves_as_it_begins_is_given_up(self):
        # Its connection and what was held of it were never given back.
        sending = ServerSend.async_send_body

        async def scenario(vm, servers):
            servers[0].script = async_answer_long
            vm.daemon._caller_limits.body_bytes_max = BODY_BYTES
            is_answered = anyio.Event()

            async def end_slowly(send):
                try:
                    await sending(send)
                    await anyio.sleep_forever()
                finally:
                    is_answered.set()
                    with anyio.CancelScope(shield=True):
                        await anyio.sleep(0.3)

            with patch.object(ServerSend, "async_send_body", end_slowly):
                async with vm.open_caller() as caller:
                    await caller.async_send("book", "b-1", b"x" * BODY_BYTES)
                    with anyio.fail_after(GIVEN_UP_S):
                        await is_answered.wait()

                async def read_held():
                    views = vm.daemon._registry.servers.values()
                    held_bytes = vm.daemon.responses.budget.held_bytes
                    return held_bytes, sum(one.in_flight for one in views)

                with anyio.fail_after(GIVEN_UP_S):
                    await async_wait_for(read_held, lambda held: held == (0, 0))

        self.play(scenario, servers=1)


if __name__ == "__main__":
    unittest.main()
