"""A limit that a server names for all VMs together, kept by a fleet of them."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

import anyio

from cardamomtack.routing.policy import BackendService
from tests.cardamomtack_daemon.forwarding.callers import CallerAnswer
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import (
    SERVICE,
    ScriptedServer,
    write_answer,
    write_not_run,
)

ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
HEARD_AFTER_S = 0.5
"""From when on after its first answer with a limit a server expects to be obeyed."""

WINDOW_S = 4.0
WORK_S = 0.02


class LimitedServer(ScriptedServer):
    """A server that names a limit in its answers to requests.

    Attributes
    ----------
    rate_per_s : float or None
        The limit; None names none.
    arrived_s : list of float
        When requests came, in seconds.
    named_at_s : float or None
        When it first answered with a limit, in seconds.
    refuses : bool
        Whether it refuses all requests, without a limit.
    """

    def __init__(self, server_id: str, zone: str = "zone-0") -> None:
        super().__init__(server_id, zone)
        self.rate_per_s: float | None = None
        self.arrived_s: list[float] = []
        self.named_at_s: float | None = None
        self.refuses = False
        self.script = LimitedServer.async_act

    async def async_act(self, request, stream) -> None:
        """Run a request and answer it, with the limit of now."""
        self.arrived_s.append(anyio.current_time())
        if self.refuses:
            await stream.send(write_not_run(request))
            return
        self.ran.append(request.headers[b"test-id"].decode())
        await anyio.sleep(WORK_S)
        fields = {}
        if self.rate_per_s is not None:
            fields["test_limit"] = f"{self.rate_per_s:g}"
            self.named_at_s = self.named_at_s or anyio.current_time()
        await stream.send(write_answer(request, **fields))

    def count_most(self, since_s: float, until_s: float) -> int:
        """Return the most requests that came in a window within some time."""
        times = [one for one in self.arrived_s if since_s <= one <= until_s]
        return max(
            (sum(one <= other < one + WINDOW_S for other in times) for one in times),
            default=0,
        )


def count_allowed(rate_per_s: float) -> float:
    """Return how many requests a limit allows in a window."""
    return ALLOWED_FACTOR * rate_per_s * WINDOW_S + ALLOWED_REQUESTS


class LimitFleet:
    """VMs of two availability zones, servers, and callers at a steady rate."""

    def __init__(self, vms: int, servers: int, seed: int = 1) -> None:
        self.random = Random(seed)
        self.store = EntryVm("vm-0", zone="zone-0")
        self.vms = [self.store]
        self.vms += [
            EntryVm(f"vm-{number}", self.store, zone=f"zone-{number % 2}")
            for number in range(1, vms)
        ]
        self.scopes = [anyio.CancelScope() for _ in range(vms)]
        self.servers = [
            LimitedServer(f"server-{number}", f"zone-{number % 2}")
            for number in range(servers)
        ]
        self.answers: list[CallerAnswer] = []
        self.sent = 0

    async def async_start(self, tasks) -> None:
        """Start the servers and the VMs, and wait until they are ready."""
        self.tasks = tasks
        for server in self.servers:
            await tasks.start(server.async_serve)
            self.store.register(server.make_entry())
        self.store.publish(make_configuration())
        for number in range(len(self.vms)):
            tasks.start_soon(self.async_run_vm, number)
        for vm in self.vms:
            await vm.async_wait_ready()

    async def async_run_vm(self, number: int) -> None:
        """Run one VM until it is killed."""
        with self.scopes[number]:
            vm = self.vms[number]
            await vm.daemon.async_serve(vm.stopping)

    async def async_restart(self, number: int) -> None:
        """Kill a VM and start it again."""
        old = self.vms[number]
        self.scopes[number].cancel()
        await anyio.sleep(0.3)
        self.vms[number] = EntryVm(
            old.settings.vm_id, self.store, zone=old.settings.availability_zone
        )
        self.scopes[number] = anyio.CancelScope()
        self.tasks.start_soon(self.async_run_vm, number)

    async def async_call(self, seconds: float, calls_per_s: float) -> None:
        """Call at random VMs at a steady rate for some time."""
        ends_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as calls:
            while anyio.current_time() < ends_s:
                await anyio.sleep(self.random.expovariate(calls_per_s))
                calls.start_soon(self._async_call_once, self.random.choice(self.vms))

    async def _async_call_once(self, vm: EntryVm) -> None:
        """Send one request, a booking or a lookup, and keep its answer."""
        self.sent += 1
        route, body = self.random.choice((("book", b"van"), ("read", b"")))
        try:
            answer = await vm.async_call(route, f"{route}-{self.sent}", body)
        except (OSError, anyio.BrokenResourceError, TimeoutError):
            return
        self.answers.append(answer)


class NamedLimitTest(unittest.TestCase):
    """What a server that has named a limit gets from all VMs together."""

    def run_fleet(self, scenario, vms=5, servers=4, seed=1):
        """Run a scenario with a fleet."""

        async def run():
            fleet = LimitFleet(vms, servers, seed)
            async with anyio.create_task_group() as tasks:
                await fleet.async_start(tasks)
                await scenario(fleet)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_server_gets_no_more_from_all_vms_than_it_has_named(self):
        async def scenario(fleet):
            limited = fleet.servers[0]
            await fleet.async_call(1.0, 60.0)
            for rate_per_s in (1.8, 0.4):
                limited.rate_per_s = rate_per_s
                limited.named_at_s = None
                await fleet.async_call(7.0, 60.0)
                since_s = limited.named_at_s + HEARD_AFTER_S
                most = limited.count_most(since_s, anyio.current_time())
                with self.subTest(rate_per_s=rate_per_s):
                    self.assertLessEqual(most, count_allowed(rate_per_s))
            statuses = Counter(answer.status for answer in fleet.answers)
            self.assertEqual(set(statuses), {200}, statuses)

        self.run_fleet(scenario)

    def test_named_rate_is_used_where_all_servers_have_limits(self):
        async def scenario(fleet):
            for server in fleet.servers:
                server.rate_per_s = 2.0
            await fleet.async_call(4.0, 60.0)
            fleet.answers.clear()
            since_s = anyio.current_time()
            await fleet.async_call(8.0, 60.0)
            answered = sum(answer.status == 200 for answer in fleet.answers)
            self.assertGreaterEqual(answered, 0.7 * 2.0 * len(fleet.servers) * 8.0)
            for server in fleet.servers:
                most = server.count_most(since_s, anyio.current_time())
                self.assertLessEqual(most, count_allowed(2.0))
            statuses = {answer.status for answer in fleet.answers}
            self.assertEqual(statuses, {200, 503})

        self.run_fleet(scenario)

    def test_callers_that_no_server_may_take_hear_at_once_when_to_come_back(self):
        async def scenario(fleet):
            for server in fleet.servers:
                server.rate_per_s = 0.5
            await fleet.async_call(3.0, 60.0)
            fleet.answers.clear()
            ran = sum(len(server.ran) for server in fleet.servers)
            await fleet.async_call(4.0, 60.0)
            refused = [one for one in fleet.answers if one.status == 503]
            self.assertGreater(len(refused), 100)
            for answer in refused:
                self.assertLess(answer.duration_s, 0.2)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            ran = sum(len(server.ran) for server in fleet.servers) - ran
            self.assertEqual(ran, len(fleet.answers) - len(refused))

        self.run_fleet(scenario)

    def test_caller_that_comes_back_when_told_is_served(self):
        async def scenario(fleet):
            (server,) = fleet.servers
            server.rate_per_s = 2.0
            (vm,) = fleet.vms
            await fleet.async_call(2.0, 30.0)
            answer = await vm.async_call("book", "first", b"van")
            while answer.status == 200:
                answer = await vm.async_call("book", "other", b"van")
            self.assertEqual(answer.status, 503)
            await anyio.sleep(float(answer.headers["retry-after"]) + 0.01)
            answer = await vm.async_call("book", "again", b"van")
            self.assertEqual(answer.status, 200)

        self.run_fleet(scenario, vms=1, servers=1)

    def test_limit_that_ends_is_forgotten(self):
        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.rate_per_s = 2.0
            await fleet.async_call(3.0, 60.0)
            limited.rate_per_s = None
            await fleet.async_call(3.0, 60.0)
            ran = len(limited.ran)
            await fleet.async_call(3.0, 60.0)
            self.assertGreater(len(limited.ran) - ran, 20)

        self.run_fleet(scenario)

    def test_refusal_without_a_limit_does_not_end_it(self):
        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.rate_per_s = 2.0
            await fleet.async_call(3.0, 60.0)
            limited.refuses = True
            since_s = anyio.current_time()
            await fleet.async_call(6.0, 60.0)
            most = limited.count_most(since_s, anyio.current_time())
            self.assertGreater(most, 0)
            self.assertLessEqual(most, count_allowed(2.0))

        self.run_fleet(scenario)

    def test_vm_that_starts_again_keeps_the_limit(self):
        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.rate_per_s = 1.0
            await fleet.async_call(2.0, 60.0)
            since_s = anyio.current_time()
            async with anyio.create_task_group() as calls:
                calls.start_soon(fleet.async_call, 8.0, 60.0)
                for number in range(1, len(fleet.vms)):
                    await fleet.async_restart(number)
                    await anyio.sleep(1.0)
            most = limited.count_most(since_s, anyio.current_time())
            self.assertLessEqual(most, count_allowed(1.0))

        self.run_fleet(scenario)

    def test_server_that_warms_up_gets_no_more_from_all_vms_than_its_service_takes(
        self,
    ):
        async def scenario(fleet):
            cold = fleet.servers[0]
            services = {SERVICE: BackendService(SERVICE, "/health", 100, 2.0)}
            fleet.store.publish(replace(make_configuration(2), services=services))
            fleet.store.register(cold.make_entry(warm_up_left_s=20.0))
            await anyio.sleep(HEARD_AFTER_S)
            since_s = anyio.current_time()
            await fleet.async_call(6.0, 60.0)
            most = cold.count_most(since_s, anyio.current_time())
            self.assertLessEqual(most, count_allowed(2.0))
            self.assertGreater(most, 0)
            statuses = {answer.status for answer in fleet.answers}
            self.assertEqual(statuses, {200})

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
