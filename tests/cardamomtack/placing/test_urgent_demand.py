"""Less urgent calls while urgent ones find no capacity: how many are admitted."""

from __future__ import annotations

import unittest

from cardamomtack.placing.urgent_demand import (
    ADMITTED_SHARE_MIN,
    SHORTAGE_S,
    UrgentDemand,
)
from cardamomtack_standins.model.load import KindLoad, LoadPlan
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy

SEEDS = (1, 2, 3, 4, 5, 6)
WORK_S = 0.2


class AdmittedShareTest(unittest.TestCase):
    """The part of the less urgent calls that is admitted, one decision at a time."""

    def record(self, placed, short=True):
        """Return the demand after 20 urgent calls of which some got capacity."""
        demand = UrgentDemand()
        for number in range(20):
            demand.record_call(1, WORK_S, 0.0)
            if number < placed:
                demand.record_placed(1, 0.0)
            elif short:
                demand.record_shortage(1, 0.0)
        return demand

    def test_fewer_are_admitted_the_less_urgent_ones_get(self):
        shares = [
            self.record(placed).compute_admitted_share(2, WORK_S, 0.0)
            for placed in (15, 10, 5)
        ]
        self.assertEqual(shares, sorted(shares, reverse=True))
        self.assertLess(shares[0], 1.0)

    def test_no_kind_starves(self):
        share = self.record(0).compute_admitted_share(2, WORK_S, 0.0)
        self.assertEqual(share, ADMITTED_SHARE_MIN)

    def test_urgent_calls_and_short_work_are_never_turned_away(self):
        demand = self.record(0)
        self.assertEqual(demand.compute_admitted_share(0, WORK_S, 0.0), 1.0)
        self.assertEqual(demand.compute_admitted_share(1, WORK_S, 0.0), 1.0)
        self.assertEqual(demand.compute_admitted_share(2, 0.5 * WORK_S, 0.0), 1.0)

    def test_all_are_admitted_without_a_shortage_and_after_it(self):
        demand = self.record(0, short=False)
        self.assertEqual(demand.compute_admitted_share(2, WORK_S, 0.0), 1.0)
        after_s = SHORTAGE_S + 0.1
        self.assertEqual(self.record(0).compute_admitted_share(2, WORK_S, after_s), 1.0)


class PlayedDownloadsTest(unittest.TestCase):
    """Long downloads beside urgent lookups in one service, at 1.8 times the usual."""

    def play(self, yields):
        """Return the credit, and the shares in time and served of each kind."""
        kinds = (
            KindLoad("lookup", 180.0, 0.15, 0.5, 3.0, 0, sends_max=3),
            KindLoad("download", 21.6, 0.9, 4.0, 11.0, 2, sends_max=3),
        )
        shape = FleetShape()
        probes_per_s = 42.0 * shape.servers / shape.vms

        def make(servers, random, zone):
            return AskingPolicy(
                servers, random, zone, checks_per_s=probes_per_s, yields=yields
            )

        plan = LoadPlan(kinds, 6.0)
        outcomes = [LoadPlay(plan, shape, make, seed).run(1.0) for seed in SEEDS]

        def average(read):
            return sum(read(one) for one in outcomes) / len(outcomes)

        return (
            average(lambda one: one.credit_share),
            average(lambda one: one.kinds["lookup"].in_time_share),
            average(lambda one: one.kinds["download"].served_share),
        )

    def test_lookups_get_more_and_downloads_are_still_served(self):
        credit, lookups, downloads = self.play(True)
        known_credit, known_lookups, _ = self.play(False)
        self.assertGreater(lookups, known_lookups + 0.02)
        self.assertGreater(credit, known_credit + 0.01)
        self.assertGreater(downloads, 0.9)


if __name__ == "__main__":
    unittest.main()
