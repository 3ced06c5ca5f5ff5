"""Calls that wait for room: who goes first, for how long, and what it brings."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from cardamomtack.placing.const import FREED_SLOTS_PER_S_MIN, LONGEST_WAITING_EVERY
from cardamomtack.placing.wait_queue import QueuedCall, WaitQueue
from cardamomtack_standins.model.load import (
    KindLoad,
    LoadPlan,
    plan_desk,
    plan_short_work,
)
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy
from cardamomtack_standins.model.server import ServerTraits

SEEDS = (1, 2)
WORK_S = 0.1


def make_call(priority=1, objective_at_s=1.0):
    """Return a call."""
    return QueuedCall(priority, objective_at_s, WORK_S)


class WaitingLineTest(unittest.TestCase):
    """The order of the calls, one decision at a time."""

    def setUp(self):
        self.line = WaitQueue()

    def join(self, *calls, now_s=0.0):
        """Let calls wait and return which may."""
        return [self.line.enqueue(call, now_s) for call in calls]

    def take(self, now_s=0.0, is_fit=lambda call: True):
        """Take out the call that goes first."""
        call = self.line.choose_call(is_fit, now_s)
        if call is not None:
            self.line.remove(call)
        return call

    def test_urgent_calls_go_first_then_those_with_less_time(self):
        calls = [make_call(2, 0.5), make_call(1, 0.9), make_call(1, 0.8)]
        self.join(*calls)
        self.assertEqual([self.take() for _ in calls], [calls[2], calls[1], calls[0]])

    def test_no_kind_starves(self):
        patient = make_call(2, 9.0)
        self.join(patient, *(make_call(0, 9.0) for _ in range(20)))
        taken = [self.take() for _ in range(LONGEST_WAITING_EVERY)]
        self.assertIn(patient, taken)

    def test_room_that_fits_no_urgent_call_goes_to_another(self):
        urgent, other = make_call(0), make_call(2)
        self.join(urgent, other)
        self.assertIs(self.take(is_fit=lambda call: call is other), other)
        self.assertIsNone(self.take(is_fit=lambda call: False))
        self.assertEqual(len(self.line), 1)

    def test_a_call_that_cannot_be_in_time_does_not_wait(self):
        self.assertEqual(self.join(make_call(objective_at_s=WORK_S)), [False])
        call = make_call()
        self.assertEqual(self.join(call), [True])
        self.assertIsNone(self.take(now_s=call.latest_start_at_s + 0.01))

    def test_a_line_that_is_too_long_is_refused_at_once(self):
        calls = [make_call(1, 1.0) for _ in range(100)]
        may_wait = self.join(*calls)
        left_s = calls[0].latest_start_at_s
        self.assertEqual(sum(may_wait), 1 + int(left_s * FREED_SLOTS_PER_S_MIN))
        # A call that goes before them all may wait.
        self.assertEqual(self.join(make_call(0, 1.0)), [True])

    def test_the_line_may_be_longer_where_more_slots_come_free(self):
        for _ in range(100):
            self.line.record_freed_slot(0.0)
        self.assertTrue(all(self.join(*(make_call() for _ in range(100)))))

    def test_pressure_lasts_for_a_while(self):
        self.assertFalse(self.line.is_overloaded(0.0))
        call = make_call()
        self.join(call)
        self.line.remove(call)
        self.assertTrue(self.line.is_overloaded(0.5))
        self.assertFalse(self.line.is_overloaded(5.0))


class PlayedWaitingTest(unittest.TestCase):
    """What callers get with and without waiting, under the same load."""

    def play(self, factor, shape, waits):
        """Return the credit share as a mean over the seeds."""
        plan = plan_desk(12.0, ((0.0, 12.0, factor),))

        def make(servers, random, zone):
            return AskingPolicy(servers, random, zone, waits=waits)

        outcomes = [LoadPlay(plan, shape, make, seed).run(2.0) for seed in SEEDS]
        return sum(one.credit_share for one in outcomes) / len(outcomes)

    def test_waiting_earns_more_where_room_is_short(self):
        shapes = (
            FleetShape(),
            FleetShape(17, 20, 3, ServerTraits(slots=3, queue_max=6)),
            FleetShape(60, 14, 4),
        )
        for shape in shapes:
            for factor in (2.0, 2.5):
                with self.subTest(shape=shape, factor=factor):
                    waiting = self.play(factor, shape, True)
                    self.assertGreater(waiting, self.play(factor, shape, False))

    def test_waiting_costs_nothing_on_a_calm_day(self):
        calm = [self.play(1.0, FleetShape(), waits) for waits in (True, False)]
        self.assertAlmostEqual(calm[0], calm[1], delta=0.005)

    def test_an_overload_leaves_no_line_behind(self):
        plan = replace(plan_desk(16.0), bursts=((2.0, 5.0, 4.0),))
        policies = []

        def make(servers, random, zone):
            policies.append(AskingPolicy(servers, random, zone))
            return policies[-1]

        after = LoadPlay(plan, FleetShape(), make, 1).run(8.0)
        self.assertGreater(after.credit_share, 0.95)
        self.assertEqual([policy.waiting for policy in policies], [0] * len(policies))


class CountsAnsweredPolicy(AskingPolicy):
    """The product's policy, but what answers tell is taken as it is."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        # As after an answer that told that nothing runs.
        self.service.slowdown_estimates.exclude_answered(0)


class PlayedHandoverTest(unittest.TestCase):
    """Slots that answers free, within a budget of probes, while more calls come."""

    def test_freed_slots_are_handed_on(self):
        shape = FleetShape(16, 27, 3)
        probes_per_s = 60.0 * shape.servers / shape.vms
        for factor in (2.5, 3.5):
            plan = plan_short_work(8.0, ((1.0, 7.0, factor),))
            credit, probes = [], []
            for policy in (AskingPolicy, CountsAnsweredPolicy):
                policies = []

                def make(servers, random, zone, policy=policy, policies=policies):
                    policies.append(
                        policy(servers, random, zone, checks_per_s=probes_per_s)
                    )
                    return policies[-1]

                credit.append(
                    sum(LoadPlay(plan, shape, make, s).run().credit for s in SEEDS)
                )
                probes.append(sum(policy.asked for policy in policies))
            with self.subTest(factor):
                self.assertGreater(credit[0], credit[1])
                self.assertLess(probes[0], probes[1])


class PlayedFreshReportsTest(unittest.TestCase):
    """Servers that have just answered, under the usual load and under twice as much."""

    def play(self, factor):
        """Return the credit and the probes of a load within the budget of probes."""
        shape = FleetShape(16, 27, 3)
        probes_per_s = 60.0 * shape.servers / shape.vms
        plan = plan_short_work(8.0, ((1.0, 8.0, factor),))
        policies = []

        def make(servers, random, zone):
            policies.append(
                AskingPolicy(servers, random, zone, checks_per_s=probes_per_s)
            )
            return policies[-1]

        outcomes = [LoadPlay(plan, shape, make, seed).run() for seed in SEEDS]
        credit_share = sum(one.credit_share for one in outcomes) / len(outcomes)
        return credit_share, sum(policy.asked for policy in policies)

    def test_callers_get_as_much_with_fewer_probes(self):
        for factor in (1.0, 2.0):
            credit_share, probes = self.play(factor)
            with patch("cardamomtack.placing.server.REPORT_FRESH_S_MAX", -1.0):
                probed_credit_share, all_probes = self.play(factor)
            with self.subTest(factor):
                self.assertLess(probes, all_probes)
                # One request in 500 may be late for it, where capacity is plenty.
                self.assertGreater(credit_share, probed_credit_share - 0.002)
                if factor > 1.0:
                    self.assertGreater(credit_share, probed_credit_share)


class AskingTest(unittest.TestCase):
    """How many servers are asked for a request."""

    def test_few_are_asked_on_a_calm_day(self):
        policies = []

        def make(servers, random, zone):
            policies.append(AskingPolicy(servers, random, zone))
            return policies[-1]

        outcome = LoadPlay(plan_desk(12.0), FleetShape(), make, 1).run()
        requests = sum(kind.asked for kind in outcome.kinds.values())
        self.assertLess(sum(policy.asked for policy in policies), 3 * requests)

    def test_few_are_asked_for_the_first_requests_of_a_route(self):
        # Each VM sees each of these routes for the first time, on idle servers.
        for objective_s in (0.3, 2.0):
            work_s = objective_s / 3
            kinds = tuple(
                KindLoad(f"route-{n}", 1.0, work_s, objective_s, 5.0, 1)
                for n in range(20)
            )
            policies = []

            def make(servers, random, zone, policies=policies):
                policies.append(AskingPolicy(servers, random, zone))
                return policies[-1]

            outcome = LoadPlay(LoadPlan(kinds, 3.0), FleetShape(), make, 1).run()
            requests = sum(kind.asked for kind in outcome.kinds.values())
            with self.subTest(objective_s):
                asked = sum(policy.asked for policy in policies)
                self.assertLess(asked, 2 * requests)


if __name__ == "__main__":
    unittest.main()
