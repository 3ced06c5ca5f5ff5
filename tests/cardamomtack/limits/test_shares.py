"""How a limit is dealt to VMs, spent by one, and told to callers."""

from __future__ import annotations

import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from cardamomtack.generated.relay import Member
from cardamomtack.limits.allowance import SendAllowance
from cardamomtack.limits.returns import ReturnSchedule
from cardamomtack.limits.shares import deal_shares


def make_members(count: int) -> list[Member]:
    """Return some VMs of three availability zones."""
    return [
        Member(f"vm-{number}", "1", f"zone-{number % 3}", "127.0.0.1", 1)
        for number in range(count)
    ]


class DealingTest(unittest.TestCase):
    """Shares of a limit."""

    @given(st.integers(1, 320), st.floats(0.01, 500.0))
    def test_shares_add_up_to_the_limit(self, vms, rate_per_s):
        shares = deal_shares("server/1", "zone-0", rate_per_s, make_members(vms))
        self.assertAlmostEqual(sum(shares.values()), rate_per_s)

    def test_order_in_which_vms_are_known_changes_nothing(self):
        members = make_members(13)
        self.assertEqual(
            deal_shares("server/1", "zone-1", 2.2, members),
            deal_shares("server/1", "zone-1", 2.2, members[::-1]),
        )

    def test_low_limit_goes_to_one_vm_of_the_zone(self):
        for number in range(20):
            shares = deal_shares(f"server-{number}/1", "zone-1", 0.4, make_members(13))
            (holder,) = shares
            self.assertEqual(int(holder.removeprefix("vm-")) % 3, 1)

    def test_limits_of_many_servers_go_to_many_vms(self):
        holders = {
            vm_id
            for number in range(100)
            for vm_id in deal_shares(f"s-{number}/1", "zone-1", 0.4, make_members(39))
        }
        self.assertEqual(len(holders), 13)

    def test_zone_without_vms(self):
        shares = deal_shares("server/1", "elsewhere", 1.0, make_members(5))
        self.assertEqual(sum(shares.values()), 1.0)

    def test_vm_that_leaves_changes_few_of_the_other_shares(self):
        members = make_members(40)
        before = set(deal_shares("server/1", "zone-0", 5.0, members))
        after = set(deal_shares("server/1", "zone-0", 5.0, members[1:]))
        self.assertLessEqual(len(before - after), 1)

    def test_no_vms(self):
        self.assertEqual(deal_shares("server/1", "zone-0", 1.0, []), {})


class SendAllowanceTest(unittest.TestCase):
    """What one VM may send."""

    def make_allowance(self, share_per_s: float) -> SendAllowance:
        """Return the allowance of a limit that was heard at 0 s."""
        allowance = SendAllowance(0.0)
        allowance.apply_share(share_per_s, share_per_s, 0.0)
        return allowance

    def test_nothing_is_saved_up_before_the_limit_was_heard(self):
        allowance = self.make_allowance(0.5)
        self.assertFalse(allowance.spend(1.9))
        self.assertTrue(allowance.spend(2.1))
        self.assertFalse(allowance.spend(2.2))

    def test_one_request_is_saved_up_at_most_by_a_small_share(self):
        allowance = self.make_allowance(0.5)
        self.assertEqual([allowance.spend(100.0) for _ in range(2)], [True, False])

    def test_without_a_share_nothing_may_be_sent(self):
        allowance = self.make_allowance(1.0)
        allowance.apply_share(0.0, 1.0, 10.0)
        self.assertFalse(allowance.spend(20.0))
        self.assertEqual(allowance.compute_wait_s(20.0), inf)

    def test_request_that_was_not_sent_is_given_back(self):
        allowance = self.make_allowance(0.5)
        allowance.spend(2.0)
        allowance.refund()
        self.assertTrue(allowance.spend(2.0))

    def test_time_until_the_next_request(self):
        allowance = self.make_allowance(0.5)
        self.assertAlmostEqual(allowance.compute_wait_s(0.5), 1.5)
        self.assertEqual(allowance.compute_wait_s(5.0), 0.0)


class ReturnScheduleTest(unittest.TestCase):
    """When callers come back."""

    def test_callers_come_back_one_after_the_other(self):
        schedule = ReturnSchedule()
        waits = [schedule.choose_retry_after_s(0.3, 2.0, 60.0, 0.0) for _ in range(3)]
        self.assertEqual(waits, [0.3, 0.8, 1.3])

    def test_caller_that_gives_up_before_leaves_its_turn(self):
        schedule = ReturnSchedule()
        self.assertEqual(schedule.choose_retry_after_s(2.0, 0.5, 1.0, 0.0), 2.0)
        self.assertEqual(schedule.choose_retry_after_s(2.0, 0.5, 9.0, 0.0), 2.0)
        self.assertEqual(schedule.choose_retry_after_s(2.0, 0.5, 9.0, 0.0), 4.0)

    def test_vm_without_a_share_names_the_pace_of_all(self):
        schedule = ReturnSchedule()
        self.assertEqual(schedule.choose_retry_after_s(inf, 4.0, 9.0, 0.0), 0.25)


if __name__ == "__main__":
    unittest.main()
