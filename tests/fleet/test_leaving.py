"""Leaving servers get no new work, and a graceful shutdown cuts nothing off."""

from __future__ import annotations

import threading
import time
import unittest
from typing import Any, ClassVar

import anyio

from cardamomtack_standins.backend import BackendBehaviour
from cardamomtack_standins.load import Caller, CallerRequest, CallerResult
from tests.fleet.case import FleetCase

LEAVING_S_MAX = 3.0
LOAD_S = 6.0


class LeavingServerTest(FleetCase):
    """A backend server that leaves, learnt from each of its signs."""

    def find_late_arrivals(self, vm_id: str, signed_at_s: float) -> int:
        """Return how much work came later than the bound after a sign."""
        log = next(log for log in self.fleet.read_logs() if log.vm_id == vm_id)
        bound_s = signed_at_s + LEAVING_S_MAX
        return sum(at_s > bound_s for at_s in log.arrivals)

    def run_lookups(self, duration_s: float) -> list[CallerResult]:
        """Send lookups through all VMs for some time."""
        results: list[CallerResult] = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            requests = [self.make_lookup() for _ in range(12)]
            results += self.call_together(requests, [0, 1, 2] * 4)
        return results

    def check_sign(self, vm_id: str, behaviour: BackendBehaviour) -> None:
        """Show a sign and check that the server gets no new work."""
        self.run_lookups(0.5)
        self.fleet.set_behaviour(vm_id, behaviour)
        log = next(log for log in self.fleet.read_logs() if log.vm_id == vm_id)
        results = self.run_lookups(LOAD_S)
        self.assertTrue(all(result.is_good for result in results))
        self.assertEqual(self.find_late_arrivals(vm_id, log.now_s), 0)

    def test_sign_in_health_alone(self):
        behaviour = BackendBehaviour(health_state="draining")
        self.check_sign("dispatch-1", behaviour)

    def test_sign_in_answers_alone(self):
        self.check_sign("dispatch-2", BackendBehaviour(announces_draining=True))


class LeavingByListTest(FleetCase):
    """A backend server that the VM list says is leaving, though it looks ready."""

    def test_sign_in_the_vm_list_alone(self):
        vms = list(self.fleet.vms.values())
        leaving = next(vm for vm in vms if vm.vm_id == "dispatch-3")
        leaving.state = "leaving"
        self.fleet.set_vms(vms)
        log = next(log for log in self.fleet.read_logs() if log.vm_id == "dispatch-3")
        end_s = time.monotonic() + LOAD_S
        while time.monotonic() < end_s:
            requests = [self.make_lookup() for _ in range(12)]
            results = self.call_together(requests, [0, 1, 2] * 4)
            self.assertTrue(all(result.is_good for result in results))
        logs = self.fleet.read_logs()
        arrivals = next(one for one in logs if one.vm_id == "dispatch-3").arrivals
        bound_s = log.now_s + LEAVING_S_MAX
        self.assertEqual(sum(at_s > bound_s for at_s in arrivals), 0)


class ShutdownTest(FleetCase):
    """A graceful shutdown of an entry VM under load."""

    def test_nothing_in_flight_is_cut_off(self):
        self.set_behaviours(BackendBehaviour(service_ms=300.0))
        vm_id = self.fleet.entry_ids[0]
        results: list[CallerResult] = []

        async def call_all() -> None:
            async with anyio.create_task_group() as tasks:
                for index in range(20):
                    request = self.make_booking() if index % 2 else self.make_lookup()
                    tasks.start_soon(call_one, request)

        async def call_one(request: CallerRequest) -> None:
            results.append(await Caller([]).async_call(request, self.find_port(0)))

        caller = threading.Thread(target=anyio.run, args=(call_all,))
        caller.start()
        time.sleep(0.15)
        self.fleet.daemons[vm_id].terminate()
        caller.join()
        self.assertEqual(len(results), 20)
        self.assertTrue(all(result.is_good for result in results), results)
        self.assertEqual(self.fleet.daemons[vm_id].wait(10), 0)
        runs = self.fleet.count_runs()
        self.assertTrue(all(count == 1 for count in runs.values()))

    def test_health_says_so_before_the_port_closes(self):
        vm_id = self.fleet.entry_ids[1]
        self.fleet.daemons[vm_id].terminate()
        self.fleet.wait_until(
            lambda: self.fleet.read_state(vm_id) == "leaving", "the VM is leaving"
        )
        self.assertTrue(self.call(self.make_lookup(), 1).is_good)
        self.assertEqual(self.fleet.daemons[vm_id].wait(10), 0)


class ShortShutdownTest(FleetCase):
    """A graceful shutdown that requests outlast."""

    settings: ClassVar[dict[str, Any]] = {
        "balancer_notice_ms": 100,
        "shutdown_ms_max": 1500,
    }

    def test_requests_that_outlast_the_shutdown_are_answered(self):
        # Guards against requests that were closed unanswered with their VM.
        self.set_behaviours(BackendBehaviour(service_ms=6000.0))
        vm_id = self.fleet.entry_ids[0]
        results: list[CallerResult] = []

        async def call_one(request: CallerRequest) -> None:
            results.append(await Caller([]).async_call(request, self.find_port(0)))

        async def call_all() -> None:
            async with anyio.create_task_group() as tasks:
                for index in range(60):
                    make = self.make_booking if index % 2 else self.make_lookup
                    tasks.start_soon(call_one, make(12_000))
                await anyio.sleep(0.3)
                self.fleet.daemons[vm_id].terminate()

        anyio.run(call_all)
        self.assertEqual(self.fleet.daemons[vm_id].wait(10), 0)
        self.assertLessEqual({one.status for one in results}, {503, 504})
        runs = self.fleet.count_runs()
        for result in results:
            if result.outcome == "not-run":
                self.assertEqual(runs.get(result.key, 0), 0)


if __name__ == "__main__":
    unittest.main()
