"""What is learnt of the servers of a service."""

from __future__ import annotations

import unittest

from cardamomtack.placing.chooser import WorkEstimates, build_send_conditions
from cardamomtack.placing.const import SLOW_TRIAL_EVERY
from cardamomtack.placing.server import LoadReport, is_near_capacity
from cardamomtack.placing.slowdown import SendConditions, SlowdownEstimates
from cardamomtack_standins.model.load import plan_desk
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy
from cardamomtack_standins.model.server import ServerTraits
from tests.cardamomtack.placing.test_decisions import make_server

ANSWERS = 400
USUAL = SendConditions(1.0, False, False)


class ServiceTraitsTest(unittest.TestCase):
    """One answer at a time."""

    def setUp(self):
        self.slowdown_estimates = SlowdownEstimates()

    def learn(self, ratio, slowness=1.0, is_near_capacity=False, is_queued=False):
        """Learn from many answers alike."""
        conditions = SendConditions(slowness, is_near_capacity, is_queued)
        for _ in range(ANSWERS):
            self.slowdown_estimates.record_answer(conditions, ratio)

    def test_a_speed_that_is_kept(self):
        self.learn(4.0, slowness=4.0)
        self.assertAlmostEqual(
            self.slowdown_estimates.estimate_slowness(4.0), 4.0, places=1
        )

    def test_a_speed_that_passes(self):
        self.learn(1.6, slowness=4.0)
        self.assertAlmostEqual(
            self.slowdown_estimates.estimate_slowness(4.0), 1.6, places=1
        )
        self.assertAlmostEqual(
            self.slowdown_estimates.estimate_slowness(2.0), 1.2, places=1
        )

    def test_a_faster_server_is_estimated_faster(self):
        self.assertLess(self.slowdown_estimates.estimate_slowness(0.5), 1.0)

    def test_servers_that_slow_down_when_nearly_full_keep_their_last_slots_free(self):
        server = make_server(report=(5, 0, 6))
        server.slowdown_estimates = self.slowdown_estimates
        self.learn(1.7, is_near_capacity=True)
        self.assertTrue(is_near_capacity(server))
        self.learn(1.0, is_near_capacity=True)
        self.assertFalse(is_near_capacity(server))
        server.record_report(LoadReport(6, 0, 6), 0.0)
        self.assertTrue(is_near_capacity(server))

    def test_slow_servers_are_tried_now_and_then(self):
        trials = [
            self.slowdown_estimates.is_trial_due() for _ in range(10 * SLOW_TRIAL_EVERY)
        ]
        self.assertEqual(sum(trials), 10)

    def test_what_waited_for_a_slot_tells_nothing(self):
        known = (
            self.slowdown_estimates.near_capacity_slowdown,
            self.slowdown_estimates.slowness_persistence,
        )
        self.learn(9.0, slowness=4.0, is_queued=True)
        self.learn(9.0, is_near_capacity=True, is_queued=True)
        self.assertEqual(
            (
                self.slowdown_estimates.near_capacity_slowdown,
                self.slowdown_estimates.slowness_persistence,
            ),
            known,
        )

    def test_answers_count_their_own_request_until_one_tells_none(self):
        told = [4, 1, 2, 0, 4, 1]
        believed = [self.slowdown_estimates.exclude_answered(one) for one in told]
        self.assertEqual(believed, [3, 0, 1, 0, 4, 1])

    def test_values_stay_within_their_bounds(self):
        for ratio in (0.0, 1e9):
            self.learn(ratio, slowness=4.0)
            self.learn(ratio, is_near_capacity=True)
            self.assertTrue(0.0 <= self.slowdown_estimates.slowness_persistence <= 1.5)
            self.assertTrue(
                1.0 <= self.slowdown_estimates.near_capacity_slowdown <= 4.0
            )


class WorkEstimatesTest(unittest.TestCase):
    """The work of a route."""

    def test_slow_servers_do_not_count_as_work(self):
        estimates, slowdown_estimates = WorkEstimates(), SlowdownEstimates()
        estimates.record_answer("r", 0.1, USUAL, slowdown_estimates)
        for _ in range(50):
            slow = SendConditions(4.0, False, False)
            estimates.record_answer("r", 0.4, slow, slowdown_estimates)
            estimates.record_answer(
                "r", 0.3, SendConditions(1.0, True, True), slowdown_estimates
            )
        self.assertAlmostEqual(estimates.estimate_work_s("r", 0.3), 0.1)

    def test_first_answer_of_a_slow_server_is_put_right(self):
        estimates, slowdown_estimates = WorkEstimates(), SlowdownEstimates()
        slow = SendConditions(4.0, False, False)
        estimates.record_answer("r", 0.4, slow, slowdown_estimates)
        self.assertAlmostEqual(estimates.estimate_work_s("r", 0.3), 0.1)

    def test_conditions_are_those_before_the_send(self):
        cases = [
            (None, USUAL),
            ((0, 0, 6, 4.0), SendConditions(4.0, False, False)),
            ((5, 0, 6), SendConditions(1.0, True, False)),
            ((6, 2, 6), SendConditions(1.0, True, True)),
        ]
        for report, expected in cases:
            self.assertEqual(
                build_send_conditions(make_server(report=report)), expected
            )


class PlayedTraitsTest(unittest.TestCase):
    """Servers that behave otherwise than is assumed at the start."""

    def play(self, traits, seed):
        """Return what is learnt in a play."""
        policies = []

        def make(servers, random, zone):
            policies.append(AskingPolicy(servers, random, zone))
            return policies[-1]

        # A shorter load has too few trials of slow servers for some seeds.
        plan = plan_desk(40.0, ((0.0, 40.0, 2.2),))
        LoadPlay(plan, FleetShape(traits=traits), make, seed).run(5.0)
        return [policy.service.slowdown_estimates for policy in policies]

    def test_both_ways_of_a_speed_are_learnt(self):
        for seed in (1, 2, 3):
            carries = []
            for keeps_speed in (True, False):
                traits = ServerTraits(slots=6, queue_max=12, keeps_speed=keeps_speed)
                learnt = self.play(traits, seed)
                carries.append(
                    sum(one.slowness_persistence for one in learnt) / len(learnt)
                )
            with self.subTest(seed=seed):
                self.assertGreater(carries[0], 0.9)
                self.assertLess(carries[1], carries[0] - 0.05)


if __name__ == "__main__":
    unittest.main()
