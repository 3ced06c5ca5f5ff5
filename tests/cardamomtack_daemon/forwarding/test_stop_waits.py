"""Requests that wait for something when their VM has to end."""

from __future__ import annotations

import anyio

from cardamomtack.routing.policy import Repeatability
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import async_answer, write_not_run
from tests.cardamomtack_daemon.forwarding.test_planned_stop import (
    async_call_anew,
    hold_for,
)

CALLS = 7
GRACE_S = 2.0
ROUTES = (
    make_route("read", Repeatability.IDEMPOTENT, timeout_s=20.0, objective_s=5.0),
    make_route("book", Repeatability.ONCE_PER_SEND, timeout_s=20.0, objective_s=5.0),
)


async def async_refuse(server, request, stream):
    """Say that a request did not run, because the server is full."""
    server.load = "4,0,4"
    await stream.send(write_not_run(request))


class StopWaitTest(ForwardingCase):
    """Guards against waiting requests that were closed unanswered with their VM."""

    def play_stop(self, scenario, grace_s=GRACE_S, work_s=0.0):
        """Run a scenario at a VM that has learnt how long the work takes."""

        async def learn(vm, servers):
            for server in servers:
                server.script = hold_for(work_s)
            for route in ("book", "read"):
                await vm.async_call(route, f"{route}-before", b"van", 20_000)
            await scenario(vm, servers)

        configuration = make_configuration(1, ROUTES)
        self.play(learn, configuration=configuration, grace_s=grace_s)

    async def async_fill(self, vm, servers, tasks, answers):
        """Have a server run something to the end of the VM, and all tell to be full."""
        for server in servers:
            server.script = hold_for(2.0 * GRACE_S)
        tasks.start_soon(async_call_anew, vm, "book-held", answers)
        await anyio.sleep(0.1)
        for server in servers:
            server.load = "4,0,4"
            server.script = async_answer

    def check_refused(self, answers, servers):
        """Check that requests were refused, can be sent elsewhere, and never ran."""
        runs = [one for server in servers for one in server.ran]
        for request_id, answer in answers.items():
            with self.subTest(request_id):
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
                self.assertNotIn(request_id, runs)

    def test_requests_that_wait_for_a_server_are_refused_before_the_end(self):
        for lead_s in (0.3, 0.0, -0.3):
            with self.subTest(lead_s):

                async def scenario(vm, servers, lead_s=lead_s):
                    answers, held = {}, {}
                    async with anyio.create_task_group() as tasks:
                        await self.async_fill(vm, servers, tasks, held)
                        if lead_s < 0.0:
                            vm.stopping.set()
                            await anyio.sleep(-lead_s)
                        for number in range(CALLS):
                            for route in ("book", "read"):
                                request_id = f"{route}-{number}"
                                tasks.start_soon(
                                    async_call_anew, vm, request_id, answers
                                )
                        await anyio.sleep(max(0.0, lead_s))
                        vm.stopping.set()
                    self.assertEqual(len(answers), 2 * CALLS)
                    self.check_refused(answers, servers)
                    self.assertEqual(held["book-held"].status, 504)

                self.play_stop(scenario)

    def test_requests_that_wait_for_another_server_are_refused_before_the_end(self):
        async def scenario(vm, servers):
            answers = {}
            async with anyio.create_task_group() as tasks:
                await self.async_fill(vm, servers, tasks, {})
                for server in servers:
                    server.load = "0,0,4"
                    server.script = async_refuse
                for number in range(CALLS):
                    tasks.start_soon(async_call_anew, vm, f"book-{number}", answers)
                await anyio.sleep(0.1)
                vm.stopping.set()
            self.assertEqual(len(answers), CALLS)
            self.check_refused(answers, servers)

        self.play_stop(scenario)

    def test_requests_that_outlast_the_end_are_refused_at_once(self):
        async def scenario(vm, servers):
            answers = {}
            async with anyio.create_task_group() as tasks:
                await self.async_fill(vm, servers, tasks, {})
                tasks.start_soon(async_call_anew, vm, "read-waits", answers)
                await anyio.sleep(0.1)
                vm.stopping.set()
                tasks.start_soon(async_call_anew, vm, "read-comes", answers)
                await anyio.sleep(0.2)
                self.assertEqual(set(answers), {"read-waits", "read-comes"})
            self.check_refused(answers, servers)

        self.play_stop(scenario, work_s=GRACE_S)

    def test_late_answers_at_the_end_are_not_hedged_past_it(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = hold_for(2.0 * GRACE_S)
            answers = {}
            async with anyio.create_task_group() as tasks:
                vm.stopping.set()
                for number in range(10):
                    tasks.start_soon(async_call_anew, vm, f"read-{number}", answers)
                    await anyio.sleep(0.1)
            self.assertEqual({one.status for one in answers.values()}, {503, 504})

        self.play_stop(scenario, grace_s=1.5)
