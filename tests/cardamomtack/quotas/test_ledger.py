"""Buckets of workspaces: new versions, requests that wait, bounds, and the fallback."""

from __future__ import annotations

import unittest
from random import Random

from cardamomtack.quotas.bucket import TokenDemand
from cardamomtack.quotas.const import PREFETCH_MAX
from cardamomtack.quotas.demand import DemandMeter
from cardamomtack.quotas.fallback import FallbackTable
from cardamomtack.quotas.ledger import QuotaLedger
from cardamomtack.quotas.rule import Quota, QuotaRule
from cardamomtack.workspaces.policy import Workspace

RULE = QuotaRule(5.0, 0.1, 20.0)
LONG_AGO_S = -1000.0


class NamedWorkspaces:
    """The workspaces of one version."""

    def __init__(self, *workspaces: Workspace) -> None:
        self._workspaces = {one.name: one for one in workspaces}

    def find_workspace(self, key: bytes) -> Workspace | None:
        return None

    def find_by_name(self, name: str) -> Workspace | None:
        return self._workspaces.get(name)

    def is_ambiguous(self, key: bytes) -> bool:
        return False


class LedgerTest(unittest.TestCase):
    """What a holder grants."""

    def setUp(self):
        self.ledger = QuotaLedger(RULE)

    def take(self, now_s, wanted=1, quota=None, began_at_s=LONG_AGO_S):
        """Return how many requests get a token."""
        quota = quota or Quota(10.0, 10.0, 1)
        demand = TokenDemand(list(range(wanted)))
        grant = self.ledger.take("a", quota, demand, began_at_s, now_s)
        return grant.retries_s.count(0.0)

    def test_holder_that_has_just_begun_admits_a_part_of_the_slack(self):
        """Guards against a whole burst more with each change of the holder."""
        self.assertEqual(self.take(0.0, 100, began_at_s=0.0), 5)

    def test_lower_rate_binds_at_once(self):
        """Guards against tokens that were saved up under a higher quota."""
        self.take(0.0, 0)
        self.assertEqual(self.take(0.0, 100, Quota(1.0, 2.0, 2)), 2)
        self.assertEqual(self.take(3.0, 100, Quota(10.0, 10.0, 1)), 2)

    def test_own_newer_version_binds_askers_that_do_not_know_it(self):
        self.ledger.apply_configuration(2, NamedWorkspaces(Workspace("a", 0, 1, 3)), 0)
        self.assertEqual(self.take(0.0, 100), 3)

    def test_quota_that_has_ended_refuses_nothing(self):
        self.take(0.0, 100)
        self.ledger.apply_configuration(2, None, 0.0)
        self.assertEqual(self.take(0.0, 100), 100)

    def test_dropped_bucket_admits_no_more_than_a_kept_one(self):
        """Guards against a burst that comes back by forgetting what was admitted."""
        self.take(0.0, 100)
        self.ledger.drop_idle(0.5)
        self.assertEqual(self.ledger.count, 1)
        self.assertEqual(self.take(0.5, 100), 5)
        self.ledger.drop_idle(10.0)
        self.assertEqual(self.ledger.count, 0)
        self.assertEqual(self.take(10.0, 100), 10)

    def test_workspace_that_comes_back_to_a_holder_brings_no_second_burst(self):
        """Guards against a kept bucket that ignores what another VM has granted."""
        self.take(0.0, 100)
        self.assertEqual(self.take(0.9, 100, began_at_s=0.9), 5)

    def test_requests_that_wait_for_a_server_leave_no_room_for_others(self):
        """Guards against a queue that empties beside a full burst."""
        self.take(0.0, 100)
        self.ledger.record_waiting("a", "vm", 16, 0.0)
        self.assertEqual(self.take(5.0, 100), 4)
        self.ledger.remove_source("vm", 5.0)
        self.assertEqual(self.take(10.0, 100), 10)

    def test_tokens_that_come_back_do_not_exceed_the_burst(self):
        self.take(0.0, 3)
        self.ledger.refund("a", 50)
        self.assertEqual(self.take(0.0, 100), 10)

    def test_tokens_in_advance_only_while_there_are_plenty(self):
        """Guards against VMs that keep tokens which others wait for."""
        grant = self.ledger.take(
            "a", Quota(10.0, 10.0, 1), TokenDemand([], spare=32), LONG_AGO_S, 0.0
        )
        self.assertEqual(grant.spare, 5)

    def test_busy_vm_asks_for_a_bounded_number_in_advance(self):
        meter = DemandMeter(0.0)
        self.assertEqual(meter.count_in_advance(0, 0.0), 0)
        for number in range(3000):
            meter.record_request(number / 1000)
        self.assertEqual(meter.count_in_advance(0, 3.0), PREFETCH_MAX)
        self.assertEqual(meter.count_in_advance(PREFETCH_MAX, 3.0), 0)
        self.assertEqual(meter.count_in_advance(0, 20.0), 0)


class FallbackTest(unittest.TestCase):
    """What VMs admit without a holder."""

    def count(self, vms, times_s, rule=RULE):
        """Return how many requests are admitted, one at each VM at some times."""
        tables = [FallbackTable(rule, Random(seed)) for seed in range(vms)]
        quota = Quota(2.0, 2.0, 1)
        return sum(
            table.admit("a", quota, vms, at_s) is None
            for at_s in times_s
            for table in tables
        )

    def test_nothing_without_a_rule(self):
        self.assertEqual(self.count(1, [0.0, 100.0], QuotaRule()), 0)

    def test_quiet_time_saves_nothing_up(self):
        """Guards against a token at every VM when all ask in one moment."""
        excess = RULE.compute_excess(Quota(2.0, 2.0, 1))
        self.assertLessEqual(self.count(124, [0.0, 100.0]), excess)

    def test_part_of_a_window_is_admitted_by_any_number_of_vms(self):
        for vms in (1, 8, 124):
            admitted = self.count(vms, [at / 10 for at in range(50)])
            self.assertGreater(admitted, 10)
            self.assertLess(admitted, 21.2)


if __name__ == "__main__":
    unittest.main()
