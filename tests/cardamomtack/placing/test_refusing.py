"""When refused callers come back, and what they get from it."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

from cardamomtack.placing.admission import (
    RETRY_AFTER_OBJECTIVES_MAX,
    CallerTimes,
    choose_prompt_retry_after_s,
    choose_retry_after_s,
)
from cardamomtack.placing.server import ServiceView
from cardamomtack_standins.model.load import KindLoad, LoadPlan, plan_short_work
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import (
    UNBOUNDED_PROBES_PER_S,
    AskingPolicy,
)
from cardamomtack_standins.model.server import ServerTraits

LENGTH_S = 8.0
REJECTED_SHARE = 0.55
SEEDS = (1, 2, 3)
SHAPE = FleetShape(16, 27, 3)
PROBES_PER_S = 60.0 * SHAPE.servers / SHAPE.vms


class RetryAfterTest(unittest.TestCase):
    """The moment at which a caller is told to come back."""

    def draw(self, *times):
        """Return many draws for a caller."""
        random = Random(1)
        return [choose_retry_after_s(CallerTimes(*times), random) for _ in range(300)]

    def test_after_the_objective_and_within_a_third_of_the_time_left(self):
        for objective_s, caller_left_s in ((0.3, 1.9), (0.4, 2.4), (1.0, 8.0)):
            for left_share in (1.0, 0.5, 0.0, -2.0):
                pauses = self.draw(objective_s, left_share * objective_s, caller_left_s)
                with self.subTest(objective_s=objective_s, left_share=left_share):
                    self.assertGreaterEqual(
                        min(pauses), min(left_share * objective_s, max(pauses) / 2)
                    )
                    self.assertLessEqual(max(pauses), caller_left_s / 3)
                    self.assertGreater(max(pauses) - min(pauses), 0.1)

    def test_no_caller_waits_for_many_objectives(self):
        pauses = self.draw(0.5, 0.2, 60.0)
        self.assertLessEqual(max(pauses), RETRY_AFTER_OBJECTIVES_MAX * 0.5)

    def test_no_time_left_is_no_error(self):
        self.assertEqual(set(self.draw(0.3, -1.0, 0.0)), {0.0})
        self.assertEqual(set(self.draw(0.3, -1.0, -0.5)), {0.0})

    def test_a_caller_whom_a_server_with_capacity_rejected_comes_back_at_once(self):
        random = Random(1)
        pauses = [choose_prompt_retry_after_s(random) for _ in range(300)]
        self.assertGreaterEqual(min(pauses), 0.0)
        self.assertLess(max(pauses), 0.05)


class EarlyReturnPolicy(AskingPolicy):
    """The product's policy, but callers come back before their objective."""

    def _refuse(self, call, now_s):
        return self._random.uniform(0.1, 0.3)


class SlowReturnPolicy(AskingPolicy):
    """The product's policy, but each refusal counts as one for want of capacity."""

    def choose_pause_s(self, call, server, now_s):
        return self._refuse(call, now_s)


class ForgetfulPolicy(AskingPolicy):
    """The product's policy, but connections do not tell first sends."""

    def place(self, call, now_s):
        return super().place(replace(call, is_known_first=False), now_s)


class UnforgivingService(ServiceView):
    """A service in which failures count however usual they are."""

    __slots__ = ()

    def estimate_usual_failure_share(self, now_s):
        return 0.0


class UnforgivingPolicy(AskingPolicy):
    """The product's policy, but failures count however usual they are."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        members = self.service.members
        self.service = UnforgivingService("model")
        for server in members:
            self.service.add_member(server)


def play(plan, shape, policy, checks_per_s=UNBOUNDED_PROBES_PER_S):
    """Return what callers get from policies that learn how long they have waited."""
    return [
        LoadPlay(
            plan,
            shape,
            lambda servers, random, zone: policy(
                servers,
                random,
                zone,
                checks_per_s=checks_per_s,
                learns_waits=True,
            ),
            seed,
        ).run()
        for seed in SEEDS
    ]


def average_credit(outcomes):
    """Return the mean share of the credit."""
    return sum(one.credit_share for one in outcomes) / len(outcomes)


class PlayedRefusalsTest(unittest.TestCase):
    """Callers that are refused and come back, among those that come for the first time.

    Callers start with deadlines that differ by 15 %, and send up to three times.
    """

    def test_overload(self):
        plans = [
            plan_short_work(LENGTH_S, ((0.0, LENGTH_S, factor),))
            for factor in (2.5, 3.0, 3.5)
        ]

        def average(policy):
            outcomes = [play(plan, SHAPE, policy) for plan in plans]
            return sum(average_credit(one) for one in outcomes) / len(outcomes)

        own = average(AskingPolicy)
        for policy in (EarlyReturnPolicy, ForgetfulPolicy):
            with self.subTest(policy.__doc__):
                self.assertGreater(own, average(policy))

    def test_callers_with_ten_times_the_objective_left(self):
        lookup = KindLoad("lookup", 399.0, 0.22, 0.612, 6.116, 0, sends_max=3)
        plan = LoadPlan((lookup,), 6.0)
        shape = FleetShape(124, 104, 4, ServerTraits(2, 2))
        own = play(plan, shape, AskingPolicy, PROBES_PER_S)
        with patch("cardamomtack.placing.admission.RETRY_AFTER_OBJECTIVES_MAX", 2.0):
            early = play(plan, shape, AskingPolicy, PROBES_PER_S)
        self.assertGreater(average_credit(own), average_credit(early))
        served = [
            sum(one.kinds["lookup"].served_share for one in outcomes) / len(SEEDS)
            for outcomes in (own, early)
        ]
        self.assertGreater(served[0], served[1] - 0.02)

    def test_servers_that_reject_requests_in_spite_of_capacity(self):
        rejecting = ServerTraits(6, 12, rejected_share=REJECTED_SHARE)
        shape = replace(SHAPE, traits=rejecting)
        plan = plan_short_work(LENGTH_S)
        # Of three sends one at least is taken.
        taken_share = 1.0 - REJECTED_SHARE**3
        for kind in ("lookup", "decision"):
            own, slow = (
                sum(
                    one.kinds[kind].in_time_share
                    for one in play(plan, shape, policy, PROBES_PER_S)
                )
                / len(SEEDS)
                for policy in (AskingPolicy, SlowReturnPolicy)
            )
            self.assertGreater(own, 0.9 * taken_share, kind)
            self.assertGreater(own, slow, kind)

    def test_budget_of_probes_lasts_while_all_servers_reject_alike(self):
        rejecting = ServerTraits(6, 12, rejected_share=REJECTED_SHARE)
        shape = replace(SHAPE, traits=rejecting)
        plan = plan_short_work(LENGTH_S)
        own, other = (
            average_credit(play(plan, shape, policy, PROBES_PER_S))
            for policy in (AskingPolicy, UnforgivingPolicy)
        )
        self.assertGreater(own, other)

    def test_a_calm_day_is_as_good_as_with_known_waits(self):
        plan = plan_short_work(LENGTH_S)
        learnt = average_credit(play(plan, SHAPE, AskingPolicy))
        known = [
            LoadPlay(plan, SHAPE, AskingPolicy, seed).run().credit_share
            for seed in SEEDS
        ]
        self.assertGreater(learnt, 0.98 * sum(known) / len(known))
