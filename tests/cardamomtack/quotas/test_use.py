"""How much of a quota is used, and that the rule holds in every window.

With ``QUOTA_TABLE=1`` in the environment the figures are printed for the documents.
"""

from __future__ import annotations

import os
import unittest
from collections.abc import Callable

from cardamomtack.quotas.rule import Quota
from tests.cardamomtack.quotas.fleet import Fleet, Holder, find_most_over

END_S = 30.0
LARGE = Quota(68.0, 68.0, 1)
SMALL = Quota(2.0, 2.0, 1)

VmChoice = Callable[[Fleet], Callable[[float], int]]


def choose_any(fleet: Fleet) -> Callable[[float], int]:
    """Return a choice of any VM."""
    return lambda at_s: fleet.random.randrange(len(fleet.vms))


def choose_one(fleet: Fleet) -> Callable[[float], int]:
    """Return a choice of one VM."""
    return lambda at_s: 7


def choose_moving_zone(fleet: Fleet) -> Callable[[float], int]:
    """Return a choice of the VMs of one zone, another one every two seconds."""
    return lambda at_s: 31 * (int(at_s / 2.0) % 4) + fleet.random.randrange(31)


PLACES = {"any VM": choose_any, "one VM": choose_one, "moving": choose_moving_zone}


def show(case: str, fleet: Fleet, quota: Quota) -> None:
    """Print the figures of a case when they are wanted."""
    if not os.environ.get("QUOTA_TABLE"):
        return
    use = len(fleet.sent_s) / (quota.rate_per_s * END_S + quota.burst)
    over = find_most_over(fleet.sent_s, quota)
    print(f"| {case} | {use:.2f} | {fleet.refused} | {over:.0f} |")


class UseTest(unittest.TestCase):
    """The use of a quota while the holder answers."""

    def play(self, factor: float, quota: Quota, place: VmChoice, **values) -> Fleet:
        """Play a demand of some part of the quota."""
        fleet = Fleet(quota)
        for name, value in values.items():
            setattr(fleet, name, value)
        fleet.offer(factor * quota.rate_per_s, END_S, place(fleet))
        fleet.run()
        self.assertLessEqual(find_most_over(fleet.sent_s, quota), 0.0)
        return fleet

    def test_twice_the_quota_uses_it_up(self):
        """Guards against tokens that are kept for nobody or lost on the way."""
        for quota in (LARGE, SMALL):
            for come_back in (True, False):
                for name, place in PLACES.items():
                    fleet = self.play(2.0, quota, place, come_back=come_back)
                    used = sum(at_s <= END_S for at_s in fleet.sent_s)
                    with self.subTest(name, quota=quota, come_back=come_back):
                        self.assertGreaterEqual(used, 0.95 * quota.rate_per_s * END_S)
                    case = f"2 x {quota.rate_per_s:g}/s, {name}"
                    show(f"{case}, return: {come_back}", fleet, quota)

    def test_demand_below_the_quota_is_never_refused(self):
        """Guards against shares of a quota that callers at other VMs can't use."""
        for name, place in PLACES.items():
            fleet = self.play(0.9, LARGE, place)
            show(f"0.9 x {LARGE.rate_per_s:g}/s, {name}", fleet, LARGE)
            with self.subTest(name):
                self.assertEqual(fleet.refused, 0)

    def test_one_request_at_each_vm_is_admitted(self):
        """Guards against a part for each VM that is less than one request."""
        quota = Quota(68.0, 124.0, 1)
        fleet = Fleet(quota)
        for vm in range(len(fleet.vms)):
            fleet.arrive(1.0, vm)
        fleet.run()
        self.assertEqual((len(fleet.sent_s), fleet.refused), (124, 0))

    def test_caller_that_comes_back_when_told_is_admitted(self):
        """Guards against new callers who take the token of one that was sent back."""
        for quota in (LARGE, SMALL):
            fleet = self.play(2.0, quota, choose_any)
            self.assertEqual(fleet.broken_promises, 0)


class DisturbedHolderTest(unittest.TestCase):
    """The rule while the holder is disturbed, at twice the quota."""

    def play(self, case: str, prepare: Callable[[Fleet], None]) -> None:
        """Play a case with a large and a small quota, and check every window."""
        for quota in (LARGE, SMALL):
            for seed in range(3):
                fleet = Fleet(quota, seed=seed)
                prepare(fleet)
                fleet.offer(2.0 * quota.rate_per_s, END_S, choose_any(fleet))
                # Many callers come to all VMs in one moment.
                for vm in range(len(fleet.vms)):
                    fleet.arrive(11.0, vm)
                fleet.run()
                with self.subTest(case, quota=quota, seed=seed):
                    self.assertLessEqual(find_most_over(fleet.sent_s, quota), 0.0)
            show(f"{case}, {quota.rate_per_s:g}/s", fleet, quota)

    def test_holder_is_lost(self):
        def prepare(fleet: Fleet) -> None:
            fleet.holder.stands.append((10.0, 1e9))

        self.play("holder lost at 10 s", prepare)

    def test_holder_restarts(self):
        def restart(fleet: Fleet) -> None:
            fleet.holder = Holder(began_at_s=fleet.now_s)

        def prepare(fleet: Fleet) -> None:
            for at_s in (9.0, 11.0, 13.0):
                fleet.at(at_s, lambda: restart(fleet))

        self.play("holder restarts three times", prepare)

    def test_holder_freezes(self):
        def prepare(fleet: Fleet) -> None:
            fleet.holder.stands += [(10.0, 13.0), (14.0, 14.15)]

        self.play("holder frozen for 3 s", prepare)

    def test_two_holders_for_half_a_second(self):
        def prepare(fleet: Fleet) -> None:
            second = Holder(began_at_s=10.5)
            began_s, ended_s = 10.5, 11.0

            def choose(vm: int) -> Holder:
                moved_s = began_s + (ended_s - began_s) * vm / len(fleet.vms)
                return second if fleet.now_s >= moved_s else fleet.holder

            fleet.choose_holder = choose

        self.play("two holders for 0.5 s", prepare)

    def test_a_third_of_the_vms_is_cut_off(self):
        def prepare(fleet: Fleet) -> None:
            for vm in fleet.vms[: 35 * len(fleet.vms) // 100]:
                vm.is_cut = True

        self.play("35 in 100 VMs cut off", prepare)


if __name__ == "__main__":
    unittest.main()
