"""The policy that knows everything bounds what the product can get."""

from __future__ import annotations

import unittest

from cardamomtack_standins.model.experiment import (
    ORACLE,
    PRODUCT_IN_BUDGET,
    run_experiment,
)
from cardamomtack_standins.model.load import plan_short_work
from cardamomtack_standins.model.oracle import FleetQueue, OraclePolicy
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy

LENGTH_S = 6.0
SHAPE = FleetShape(16, 27, 3)


def play(factor, make_policy):
    """Return the share of the credit of a load."""
    plan = plan_short_work(LENGTH_S, ((0.0, LENGTH_S, factor),))
    return LoadPlay(plan, SHAPE, make_policy, 1).run().credit_share


class OracleTest(unittest.TestCase):
    """Calm, a little too much, and far too much load."""

    def test_no_policy_gets_more(self):
        for factor in (1.0, 2.0, 2.5, 3.5):
            queue = FleetQueue()

            def make_oracle(servers, random, zone, queue=queue):
                return OraclePolicy(servers, random, queue)

            with self.subTest(factor):
                oracle = play(factor, make_oracle)
                self.assertGreaterEqual(oracle, play(factor, AskingPolicy))
                self.assertEqual(queue.calls, [])

    def test_nothing_is_lost_while_slots_are_to_spare(self):
        queue = FleetQueue()
        share = play(
            1.5, lambda servers, random, _: OraclePolicy(servers, random, queue)
        )
        self.assertGreater(share, 0.99)


class ExperimentTest(unittest.TestCase):
    """The command that plays policies side by side."""

    def test_names_are_checked(self):
        for load, policies in (("no", (ORACLE,)), ("short", ("no",))):
            with self.subTest(load=load), self.assertRaises(SystemExit):
                run_experiment(load=load, policies=policies)

    def test_each_policy_is_played(self):
        run_experiment(
            2, 3, 6, 1, 1, "short", (PRODUCT_IN_BUDGET, ORACLE), factors=(0.2,)
        )
