"""What callers get, when loads are played to the product's decisions and to others.

The loads are those of the users' first service: 14 servers of 6 slots, whose speed
falls to a quarter for a quarter of the time and shifts every 300 ms.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from cardamomtack_standins.model.load import KindLoad, LoadPlan, plan_desk
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import (
    AskingPolicy,
    OmniscientPolicy,
    OwnInFlightPolicy,
    RandomPolicy,
)
from cardamomtack_standins.model.server import ServerTraits

SEEDS = (1, 2, 3)
STARVED_SHARE = 0.25
"""A kind may not be served less than a quarter as often as all, by the users' rules."""


def make_asking(servers, random, zone):
    """Return the product's own policy."""
    return AskingPolicy(servers, random, zone)


def make_accepting(servers, random, zone):
    """Return the product's own policy without refusals."""
    return AskingPolicy(servers, random, zone, refuses=False)


def make_listening(servers, random, zone):
    """Return the product's own policy without asking."""
    return AskingPolicy(servers, random, zone, asks=False)


def make_random(servers, random, zone):
    """Return a baseline."""
    return RandomPolicy(servers, random)


def make_own(servers, random, zone):
    """Return a baseline."""
    return OwnInFlightPolicy(servers, random)


def make_omniscient(servers, random, zone):
    """Return the limit of what choosing can bring."""
    return OmniscientPolicy(servers, random)


def play(plan, make_policy, shape=None):
    """Return the outcomes of a load over all seeds."""
    shape = shape or FleetShape()
    return [LoadPlay(plan, shape, make_policy, seed).run() for seed in SEEDS]


def average(outcomes, read):
    """Return the mean of a reading."""
    return sum(read(one) for one in outcomes) / len(outcomes)


def read_credit(outcome):
    """Return the share of the credit that was earned."""
    return outcome.credit_share


class PlacingTest(unittest.TestCase):
    """Which server a request goes to."""

    def compare(self, plan, limit_share, shape=None):
        """Check against the baselines and the limit."""
        own = average(play(plan, make_asking, shape), read_credit)
        for make_baseline in (make_random, make_own, make_listening):
            baseline = average(play(plan, make_baseline, shape), read_credit)
            self.assertGreater(own, baseline, make_baseline.__doc__)
        limit = average(play(plan, make_omniscient, shape), read_credit)
        self.assertGreaterEqual(own, limit_share * limit)

    def test_calm_day(self):
        self.compare(plan_desk(15.0), 0.98)

    def test_burst(self):
        self.compare(plan_desk(15.0, ((5.0, 10.0, 1.7),)), 0.97)

    def test_other_deployment(self):
        shape = FleetShape(17, 20, 3, ServerTraits(slots=3, queue_max=6))
        self.compare(plan_desk(15.0), 0.97, shape)

    def test_one_zone_with_one_vm(self):
        self.compare(plan_desk(15.0), 0.98, FleetShape(1, 14, 1))

    def test_steady_servers(self):
        steady = ServerTraits(slots=6, queue_max=12, noise_factor=1.0)
        own = play(plan_desk(15.0), make_asking, FleetShape(traits=steady))
        self.assertGreater(average(own, read_credit), 0.99)


class RefusingTest(unittest.TestCase):
    """Which requests are refused under overload."""

    def test_refusing_earns_more_than_accepting_all(self):
        for factor in (2.0, 2.5, 3.0):
            with self.subTest(factor):
                plan = plan_desk(15.0, ((0.0, 15.0, factor),))
                own = average(play(plan, make_asking), read_credit)
                accepting = average(play(plan, make_accepting), read_credit)
                self.assertGreater(own, accepting)

    def test_nothing_is_refused_on_a_calm_day(self):
        for outcome in play(plan_desk(15.0), make_asking):
            for kind in outcome.kinds.values():
                self.assertGreaterEqual(kind.served_share, 0.99)

    def test_urgent_kinds_are_served_no_less_and_no_kind_starves(self):
        plan = plan_desk(15.0, ((0.0, 15.0, 2.5),))
        outcomes = play(plan, make_asking)
        lookup = average(outcomes, lambda one: one.kinds["lookup"].served_share)
        booking = average(outcomes, lambda one: one.kinds["booking"].served_share)
        # The users price what a more urgent kind is served less by over 5 in 100.
        self.assertGreaterEqual(booking, lookup - 0.05)
        self.assertGreater(lookup, STARVED_SHARE * booking)

    def test_normal_service_is_back_soon_after_a_burst(self):
        calm = plan_desk(20.0)
        late = replace(calm, bursts=((5.0, 8.0, 3.0),))
        for seed in SEEDS:
            usual = LoadPlay(calm, FleetShape(), make_asking, seed).run(10.0)
            after = LoadPlay(late, FleetShape(), make_asking, seed).run(10.0)
            self.assertGreater(after.credit_share, 0.97 * usual.credit_share)

    def test_long_work_beside_short_work(self):
        short = KindLoad("order", 20.0, 0.15, 0.4, 1.2, 0, 3.0, 0.3)
        long = KindLoad("archive", 12.0, 0.88, 2.0, 6.0, 2)
        plan = LoadPlan((short, long), 15.0)
        outcomes = play(plan, make_asking, FleetShape(servers=10))
        for name in ("order", "archive"):
            shares = [outcome.kinds[name].in_time_share for outcome in outcomes]
            self.assertGreater(min(shares), 0.8, name)


class BudgetOfChecksTest(unittest.TestCase):
    """Far more requests than the budget of health checks allows to ask for.

    50 VMs share 30 servers of 3 slots, each of which may be asked 42 times a second.
    """

    SHAPE = FleetShape(50, 30, 4, ServerTraits(slots=3, queue_max=6))
    CHECKS_PER_S = 42.0 * 30 / 50

    def make_bounded(self, servers, random, zone):
        """Return the product's own policy with the budget of one VM."""
        return AskingPolicy(servers, random, zone, checks_per_s=self.CHECKS_PER_S)

    def test_overload_is_borne_as_well_as_with_any_number_of_checks(self):
        for factor in (2.0, 3.0, 4.0, 6.0):
            with self.subTest(factor):
                plan = plan_desk(10.0, ((0.0, 10.0, factor),))
                bounded = average(
                    play(plan, self.make_bounded, self.SHAPE), read_credit
                )
                free = average(play(plan, make_asking, self.SHAPE), read_credit)
                self.assertGreaterEqual(bounded, 0.9 * free)


class RepeatedTest(unittest.TestCase):
    """A play is the same for the same seed."""

    def test_same_seed_same_play(self):
        plan = plan_desk(5.0, ((1.0, 3.0, 2.0),))
        first, second = (
            LoadPlay(plan, FleetShape(), make_asking, 7).run().credit for _ in range(2)
        )
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
