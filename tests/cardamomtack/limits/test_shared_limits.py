"""A limit that is kept by a fleet whose VMs come, go, stand still and are cut off."""

from __future__ import annotations

import unittest

from tests.cardamomtack.limits.fleet import SimulatedFleet, SimulatedVm

ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
RATES_PER_S = (0.3, 0.9, 1.8, 6.0, 20.0)
SEEDS = range(3)
SETTLED_S = 0.5
SIZES = (1, 2, 5, 13, 40)
USED_SHARE_MIN = 0.7
WINDOW_S = 4.0


class SharedLimitTest(unittest.TestCase):
    """What a server gets from all VMs together."""

    def check_most(self, fleet, rate_per_s, since_s):
        """Check that no window since a moment brought more than is allowed."""
        most = fleet.count_most(since_s, WINDOW_S)
        allowed = ALLOWED_FACTOR * rate_per_s * WINDOW_S + ALLOWED_REQUESTS
        self.assertLessEqual(most, allowed)

    def play(self, disrupt, sizes=SIZES, rates=RATES_PER_S):
        """Play disruptions on fleets of all sizes and limits."""
        for vms in sizes:
            for rate_per_s in rates:
                for seed in SEEDS:
                    with self.subTest(vms=vms, rate_per_s=rate_per_s, seed=seed):
                        fleet = SimulatedFleet(vms, rate_per_s, seed)
                        fleet.run(1.0)
                        disrupt(fleet, rate_per_s)
                        self.check_most(fleet, rate_per_s, SETTLED_S)

    def test_calm_fleet_uses_what_is_named_and_no_more(self):
        def disrupt(fleet, rate_per_s):
            fleet.run(4.0)
            since_s = fleet.now_s
            fleet.run(20.0)
            used = sum(one >= since_s for one in fleet.arrived_s)
            wanted = len(fleet.vms) * fleet.calls_per_s
            named = min(rate_per_s, 0.8 * wanted)
            self.assertGreaterEqual(used, USED_SHARE_MIN * named * 20.0 - 1)
            self.assertLessEqual(used, 1.1 * rate_per_s * 20.0 + 2)

        self.play(disrupt)

    def test_vms_that_are_cut_off_from_the_others(self):
        def disrupt(fleet, _):
            for vm in fleet.vms[: (len(fleet.vms) + 1) // 2]:
                vm.is_cut = True
                fleet.run(0.5)
            fleet.run(8.0)
            for vm in fleet.vms:
                vm.is_cut = False
            fleet.run(5.0)

        self.play(disrupt)

    def test_vms_that_stand_still(self):
        def disrupt(fleet, _):
            for vm in fleet.vms[::2]:
                vm.is_frozen_until_s = fleet.now_s + fleet.random.uniform(1.0, 7.0)
                fleet.run(0.5)
            fleet.run(9.0)

        self.play(disrupt)

    def test_vms_that_are_killed_and_start_again(self):
        def disrupt(fleet, _):
            for vm in list(fleet.vms):
                fleet.restart(vm, fleet.random.uniform(0.2, 2.0))
                fleet.run(0.8)

        self.play(disrupt, sizes=(2, 5, 13))

    def test_vms_that_join(self):
        def disrupt(fleet, _):
            for _ in range(6):
                vm = SimulatedVm(fleet, len(fleet.vms))
                fleet.vms.append(vm)
                fleet.introduce(vm)
                fleet.post(vm, 0.05, fleet.welcome)
                fleet.run(0.7)

        self.play(disrupt, sizes=(1, 5, 13))

    def test_limit_that_falls_and_rises(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(13, 6.0, seed)
                fleet.run(5.0)
                fleet.rate_per_s = 0.5
                fleet.run(3.0)
                since_s = fleet.now_s
                fleet.run(10.0)
                self.check_most(fleet, 0.5, since_s)
                fleet.rate_per_s = 6.0
                fleet.run(6.0)
                since_s = fleet.now_s
                fleet.run(10.0)
                used = sum(one >= since_s for one in fleet.arrived_s)
                self.assertGreaterEqual(used, USED_SHARE_MIN * 60.0)
                self.check_most(fleet, 6.0, since_s)

    def test_limit_that_ends_is_gone_on_all_vms(self):
        for rate_per_s in (0.3, 2.0):
            with self.subTest(rate_per_s=rate_per_s):
                fleet = SimulatedFleet(13, rate_per_s, 1)
                fleet.run(5.0)
                fleet.rate_per_s = None
                fleet.run(2.0 / rate_per_s + 4.0)
                for vm in fleet.vms:
                    self.assertIsNone(vm.server.allowance)

    def test_limit_of_zero_is_heard_to_end(self):
        fleet = SimulatedFleet(5, 0.0, 1)
        fleet.run(10.0)
        since_s = fleet.now_s
        fleet.run(20.0)
        self.assertLessEqual(fleet.count_most(since_s, 20.0), 2)
        fleet.rate_per_s = None
        fleet.run(45.0)
        self.assertGreater(fleet.count_most(fleet.now_s - 5.0, 5.0), 20)

    def test_server_that_warms_up_gets_what_it_takes_from_all_vms(self):
        for vms in (2, 13, 40):
            with self.subTest(vms=vms):
                fleet = SimulatedFleet(vms, None, 1)
                for vm in fleet.vms:
                    vm.registry.find_service("desk").warm_up_rate_per_s = 3.0
                    vm.server.record_warm_up(8.0, fleet.now_s)
                    vm.coordinator.share_limits()
                fleet.run(8.0)
                self.check_most(fleet, 3.0, 0.0)
                self.assertGreater(len(fleet.arrived_s), USED_SHARE_MIN * 3.0 * 6.0)
                warm_s = fleet.now_s + 1.0
                fleet.run(3.0)
                used = sum(one >= warm_s for one in fleet.arrived_s)
                self.assertGreater(used, 0.7 * fleet.calls_per_s * vms * 2.0)

    def test_vm_that_was_idle_as_a_limit_ended_does_not_share_at_each_request(self):
        fleet = SimulatedFleet(1, 2.0, 1)
        fleet.run(2.0)
        (vm,) = fleet.vms
        vm.calls_per_s = 0.0
        fleet.run(4.0)
        self.assertTrue(vm.coordinator.presence.is_idle)
        vm.coordinator.statements.apply_statement(vm.server.key, None, fleet.now_s)
        fleet.run(2.0)
        self.assertFalse(vm.coordinator.record_request(fleet.now_s))

    def test_share_of_a_vm_that_is_gone_is_used_by_the_others(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(5, 0.5, seed)
                fleet.run(6.0)
                holder = max(fleet.vms, key=lambda vm: vm.server.allowance.rate_per_s)
                holder.is_up = False
                fleet.run(5.0)
                since_s = fleet.now_s
                fleet.run(20.0)
                used = sum(one >= since_s for one in fleet.arrived_s)
                self.assertGreaterEqual(used, USED_SHARE_MIN * 0.5 * 0.8 * 20.0)

    def test_share_of_a_vm_without_callers_is_used_by_the_others(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(6, 0.9, seed)
                for vm in fleet.vms:
                    if vm.member.availability_zone == "zone-0":
                        vm.calls_per_s = 0.0
                fleet.run(8.0)
                since_s = fleet.now_s
                fleet.run(20.0)
                used = sum(one >= since_s for one in fleet.arrived_s)
                self.assertGreaterEqual(used, USED_SHARE_MIN * 0.9 * 20.0)


if __name__ == "__main__":
    unittest.main()
