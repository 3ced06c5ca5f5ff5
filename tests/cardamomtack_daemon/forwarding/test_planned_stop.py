"""Requests that come at any moment of a planned stop."""

from __future__ import annotations

import unittest

import anyio

from cardamomtack.routing.policy import Repeatability
from tests.cardamomtack_daemon.forwarding.callers import CallerAnswer
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import write_answer

GAP_S = 0.1
ROUTES = (
    make_route("read", Repeatability.IDEMPOTENT, timeout_s=20.0, objective_s=5.0),
    make_route("book", Repeatability.ONCE_PER_SEND, timeout_s=20.0, objective_s=5.0),
)


def hold_for(work_s: float):
    """Return a script that runs a request for a while."""

    async def script(server, request, stream):
        request_id = request.headers[b"test-id"].decode()
        server.ran.append(request_id)
        await anyio.sleep(work_s)
        await stream.send(write_answer(request, 200, request_id.encode()))

    return script


async def async_call_anew(vm, request_id, answers):
    """Call on a new connection and keep the answer; nobody may listen any more."""
    route = request_id.partition("-")[0]
    try:
        answers[request_id] = await vm.async_call(route, request_id, b"van", 20_000)
    except OSError:
        return
    except anyio.BrokenResourceError:
        # The VM has closed before it could read; the request must not run.
        answers[request_id] = CallerAnswer(0)


class PlannedStopTest(ForwardingCase):
    """What callers get between SIGTERM and the end of the grace period."""

    def check(self, grace_s, work_s, is_store_out=False):
        """Check that each request is answered, or is refused and never runs."""

        async def scenario(vm, servers):
            for server in servers:
                server.script = hold_for(work_s)
            for route in ("book", "read"):
                await vm.async_call(route, f"before-{route}", b"van", 20_000)
            if is_store_out:
                vm.members.is_silent = True
            answers = {}
            ends_s = anyio.current_time() + grace_s
            async with anyio.create_task_group() as tasks:
                vm.stopping.set()
                number = 0
                while anyio.current_time() < ends_s - GAP_S:
                    number += 1
                    for route in ("book", "read"):
                        tasks.start_soon(
                            async_call_anew, vm, f"{route}-{number}", answers
                        )
                    await anyio.sleep(GAP_S)
            runs = [one for server in servers for one in server.ran]
            for request_id, answer in answers.items():
                with self.subTest(request_id=request_id, grace_s=grace_s):
                    self.check_answer(request_id, answer, runs)
            self.assertIn(200, [answer.status for answer in answers.values()])
            self.assertTrue(vm.daemon._stopped.is_set())
            self.assertLess(anyio.current_time(), ends_s + GAP_S)

        self.play(
            scenario,
            servers=6,
            configuration=make_configuration(1, ROUTES),
            prepare=self.enlarge,
            grace_s=grace_s,
        )

    def check_answer(self, request_id, answer, runs):
        """Check that a request ran once and was answered, or was refused."""
        self.assertIn(answer.status, (200, 503, 0))
        if answer.status == 200:
            self.assertEqual(answer.body.decode(), request_id)
        self.assertEqual(runs.count(request_id), answer.status == 200)

    def enlarge(self, servers):
        """Give the servers enough slots for all requests."""
        for server in servers:
            server.load = "0,0,100"

    def test_late_requests_are_not_cut_at_the_end_of_the_grace_period(self):
        for grace_s, work_s in ((1.5, 0.3), (2.5, 0.5), (6.0, 0.3), (6.0, 3.5)):
            self.check(grace_s, work_s)

    def test_stop_ends_in_time_while_the_store_does_not_answer(self):
        self.check(3.0, 0.4, is_store_out=True)

    def test_requests_on_kept_connections_are_answered(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = hold_for(0.2)
            await vm.async_call("book", "before", b"van")
            statuses = {}

            async def call_later(number):
                async with vm.open_caller() as caller:
                    first = await caller.async_call("book", f"kept-{number}", b"van")
                    self.assertEqual(first.status, 200)
                    await anyio.sleep(0.5 + 0.25 * number)
                    answer = await caller.async_call("book", f"late-{number}", b"van")
                    statuses[f"late-{number}"] = answer.status

            async with anyio.create_task_group() as tasks:
                for number in range(11):
                    tasks.start_soon(call_later, number)
                await anyio.sleep(0.4)
                vm.stopping.set()
            runs = [one for server in servers for one in server.ran]
            for request_id, status in statuses.items():
                with self.subTest(request_id=request_id):
                    # The caller may have written while the VM closed the connection.
                    self.assertIn(status, (200, 503, 0))
                    self.assertEqual(runs.count(request_id), status == 200)

        self.play(
            scenario,
            servers=6,
            configuration=make_configuration(1, ROUTES),
            prepare=self.enlarge,
            grace_s=4.0,
        )


if __name__ == "__main__":
    unittest.main()
