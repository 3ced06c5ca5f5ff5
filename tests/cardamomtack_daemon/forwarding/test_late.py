"""Servers that answer health checks well and keep requests waiting."""

from __future__ import annotations

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import (
    async_answer,
    write_answer,
    write_not_run,
)

DEADLINE_S = 2.0
LATE_S = 1.2
"""Later than a second send beside an answer of a route that is not known yet."""


async def async_hang(server, request, stream):
    """Take a request, never answer it, and see its connection end."""
    server.ran.append(request.headers[b"test-id"].decode())
    try:
        await stream.receive()
    except anyio.EndOfStream:
        server.left += 1


def script_in_turn(*scripts):
    """Return a script that does one thing after the other, whichever server it is."""
    left = list(scripts)

    async def script(server, request, stream):
        await left.pop(0)(server, request, stream)

    return script


class HedgeTest(ForwardingCase):
    """A second send beside a late one."""

    def check(self, route, scripts, status, sends, is_early=True):
        """Check the answer of a call whose sends do one thing after the other."""

        async def scenario(vm, servers):
            script = script_in_turn(*scripts)
            for server in servers:
                server.script = script
            answer = await vm.async_call(route, "x-1")
            self.assertEqual(answer.status, status)
            if is_early:
                self.assertLess(answer.duration_s, DEADLINE_S - 0.5)
            reached = sum(len(server.requests) for server in servers)
            self.assertEqual(reached, sends)
            await anyio.sleep(0.1)
            hanging = sum(script is async_hang for script in scripts)
            self.assertEqual(sum(server.left for server in servers), hanging)

        self.play(scenario, servers=4)

    def test_late_read_is_sent_again_and_its_server_drops_it(self):
        self.check("read", [async_hang, async_answer], 200, 2)

    def test_late_booking_is_never_sent_again(self):
        self.check("book", [async_hang], 504, 1, is_early=False)

    def test_no_more_sends_than_the_route_allows(self):
        self.check("read", [async_hang, async_hang], 504, 2, is_early=False)

    def test_failing_second_send_does_not_end_the_wait_for_the_first(self):
        async def answer_late(server, request, stream):
            await anyio.sleep(LATE_S)
            await async_answer(server, request, stream)

        async def refuse(server, request, stream):
            await stream.send(write_not_run(request))

        async def fail(server, request, stream):
            await stream.send(write_answer(request, 500, b"no"))

        async def cut(server, request, stream):
            await stream.aclose()

        for second in (refuse, fail, cut):
            with self.subTest(second.__name__):
                self.check("read", [answer_late, second], 200, 2)

    def test_long_answers_of_both_leave_nothing_in_flight(self):
        async def answer_long(server, request, stream):
            await anyio.sleep(LATE_S if server.server_id == "server-0" else 0.0)
            await stream.send(write_answer(request, 200, b"x" * 3_000_000))

        async def scenario(vm, servers):
            for server in servers:
                server.script = answer_long
            for number in range(10):
                answer = await vm.async_call("read", f"x-{number}")
                self.assertEqual((answer.status, len(answer.body)), (200, 3_000_000))
            for server in vm.daemon._registry.servers.values():
                self.assertEqual(server.in_flight, 0)

        self.play(scenario, servers=4)


class AvoidanceTest(ForwardingCase):
    """Whether a server that hangs gets the next requests."""

    def test_few_requests_go_to_a_server_that_keeps_them_waiting(self):
        async def scenario(vm, servers):
            servers[0].script = async_hang
            for number in range(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(vm.async_call, "book", f"b-{number}")
                    await anyio.sleep(0.15)
                    if not servers[0].left and len(servers[0].requests) > number:
                        continue
                    tasks.cancel_scope.cancel()
            # One in three would be chance.
            self.assertLessEqual(len(servers[0].requests), 3)

        self.play(scenario, servers=3)

    def test_few_requests_go_to_a_server_that_refuses_in_spite_of_room(self):
        async def refuse(server, request, stream):
            await stream.send(write_not_run(request))

        async def scenario(vm, servers):
            servers[0].script = refuse
            for number in range(30):
                answer = await vm.async_call("book", f"b-{number}")
                self.assertEqual(answer.status, 200)
            # One in three would be chance.
            self.assertLessEqual(len(servers[0].requests), 5)

        self.play(scenario, servers=3)
