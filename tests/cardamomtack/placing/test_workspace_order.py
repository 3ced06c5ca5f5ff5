"""Order between workspaces: one that sends many times its usual, beside the others."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cardamomtack.placing.const import FREED_SLOTS_PER_S_MIN, LONGEST_WAITING_EVERY
from cardamomtack.placing.recent_use import SHARES_MAX, RecentUse
from cardamomtack.placing.wait_queue import QueuedCall, WaitQueue
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_standins.model.load import KindLoad, LoadPlan
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy

SEEDS = (1, 2, 3, 4)
WORK_S = 0.1
LARGE = Workspace("large", None, 10.0)
SMALL = Workspace("small", None, 10.0)


def make_call(workspace, priority=1, objective_at_s=9.0):
    """Return a call of a workspace."""
    return QueuedCall(priority, objective_at_s, WORK_S, workspace)


class QueueOrderTest(unittest.TestCase):
    """The order of the calls that wait, one decision at a time."""

    def setUp(self):
        self.queue = WaitQueue()

    def take(self, count, now_s=0.0):
        """Take out calls and return how many each workspace got."""
        taken = {}
        for _ in range(count):
            call = self.queue.choose_call(lambda _: True, now_s)
            self.queue.remove(call)
            taken[call.workspace] = taken.get(call.workspace, 0) + 1
        return taken

    def enqueue(self, count, *args):
        """Let calls wait and return how many may."""
        return sum(self.queue.enqueue(make_call(*args), 0.0) for _ in range(count))

    def test_many_calls_of_one_workspace_do_not_delay_those_of_another(self):
        self.enqueue(20, LARGE)
        self.enqueue(3, SMALL)
        self.assertEqual(self.take(6), {LARGE: 3, SMALL: 3})

    def test_capacity_got_without_waiting_counts(self):
        for _ in range(10):
            self.queue.record_placed(make_call(LARGE), 0.0)
        self.enqueue(4, LARGE)
        self.enqueue(4, SMALL)
        self.assertEqual(self.take(4), {SMALL: 4})

    def test_weight_is_the_rate_of_the_quota(self):
        heavy = replace(LARGE, rate_per_s=30.0)
        self.enqueue(20, heavy)
        self.enqueue(20, SMALL)
        taken = self.take(12)
        self.assertAlmostEqual(taken[heavy], 9, delta=1)

    def test_urgent_calls_go_first_whatever_their_workspace_has_used(self):
        self.queue.record_placed(QueuedCall(1, 9.0, 5.0, LARGE), 0.0)
        self.enqueue(3, SMALL, 1)
        self.enqueue(3, LARGE, 0)
        self.assertEqual(self.take(LONGEST_WAITING_EVERY - 1), {LARGE: 3})

    def test_no_workspace_of_a_less_urgent_kind_starves(self):
        patient = Workspace("patient", 2)
        self.enqueue(1, LARGE, 0)
        self.enqueue(20, SMALL, 0)
        self.enqueue(1, patient, 2)
        self.assertIn(patient, self.take(LONGEST_WAITING_EVERY))

    def test_only_calls_that_go_before_count_for_the_refusal(self):
        objective_at_s = 1.0
        admitted = self.enqueue(100, LARGE, 1, objective_at_s)
        # The queue is full for the one that fills it, and no longer for the others.
        self.assertLess(admitted, 2 * FREED_SLOTS_PER_S_MIN)
        self.assertFalse(self.enqueue(1, LARGE, 1, objective_at_s))
        self.assertEqual(self.enqueue(3, SMALL, 1, objective_at_s), 3)
        call = make_call(SMALL)
        self.queue.enqueue(call, 0.0)
        self.assertEqual(call.position, 3 + 4)

    def test_idle_workspaces_are_forgotten(self):
        use = RecentUse()
        for number in range(10 * SHARES_MAX):
            use.record(Workspace(f"w{number}"), WORK_S, number * 0.001)
        self.assertLessEqual(len(use), SHARES_MAX)

    def test_a_workspace_beyond_its_share_is_known(self):
        use = RecentUse()
        use.record(LARGE, 1.0, 0.0)
        self.assertFalse(use.is_beyond_share(LARGE, 0.0))
        use.record(SMALL, 0.1, 0.2)
        self.assertTrue(use.is_beyond_share(LARGE, 0.2))
        self.assertFalse(use.is_beyond_share(SMALL, 0.2))

    def test_no_workspace_is_beyond_its_share_after_a_pause(self):
        use = RecentUse()
        for workspace in (LARGE, SMALL):
            use.record(workspace, WORK_S, 0.0)
        self.assertFalse(use.is_beyond_share(SMALL, 20.0))

    def test_use_fades(self):
        self.queue.record_placed(QueuedCall(1, 9.0, 1.0, LARGE), 0.0)
        self.queue.record_placed(QueuedCall(1, 9.0, 0.2, SMALL), 60.0)
        self.enqueue(1, LARGE)
        self.enqueue(1, SMALL)
        calls = self.queue.list_calls()
        for call in calls:
            call.latest_start_at_s = 99.0
        self.assertEqual(self.take(1, 60.0), {LARGE: 1})


def plan_surge(has_workspaces):
    """Return a load in which one workspace of nine sends 7.5 times its usual."""
    kinds = []
    for name, rate, work_s, objective_s, deadline_s, priority in (
        ("lookup", 53.2, 0.22, 0.612, 6.116, 0),
        ("notice", 17.8, 0.29, 0.912, 5.699, 1),
        ("download", 6.3, 0.18, 4.324, 10.81, 2),
    ):
        for number in range(9):
            share = 0.4 if number == 0 else 0.075
            workspace = Workspace(f"w{number}", None, 100.0 * share)
            kinds.append(
                KindLoad(
                    f"{name}-{number}",
                    share * rate,
                    work_s,
                    objective_s,
                    deadline_s,
                    priority,
                    sends_max=3,
                    deadline_spread=0.15,
                    route=name,
                    workspace=workspace if has_workspaces else None,
                    bursts=((2.0, 8.0, 7.5 if number == 0 else 1.0),),
                )
            )
    return LoadPlan(tuple(kinds), 8.0)


class PlayedSurgeTest(unittest.TestCase):
    """What callers of all workspaces get while one sends 7.5 times its usual."""

    def play(self, has_workspaces):
        """Return the credit, and the shares in time of the one and of the others."""
        shape = FleetShape()
        probes_per_s = 60.0 * shape.servers / shape.vms

        def make(servers, random, zone):
            return AskingPolicy(
                servers, random, zone, checks_per_s=probes_per_s, learns_waits=True
            )

        credit = 0.0
        counts = {True: [0, 0], False: [0, 0]}
        for seed in SEEDS:
            outcome = LoadPlay(plan_surge(has_workspaces), shape, make, seed).run(2.0)
            credit += outcome.credit_share / len(SEEDS)
            for name, kind in outcome.kinds.items():
                count = counts[name.endswith("-0")]
                count[0] += kind.in_time
                count[1] += kind.asked
        surging, others = counts[True], counts[False]
        return credit, surging[0] / surging[1], others[0] / others[1]

    def test_the_others_are_served_and_nothing_is_lost(self):
        credit, surging, others = self.play(True)
        known_credit, _, known_others = self.play(False)
        self.assertGreater(others, known_others + 0.15)
        self.assertGreater(others, 0.8)
        self.assertGreater(credit, known_credit - 0.01)
        # The rest of the capacity is still used.
        self.assertGreater(surging, 0.4)


if __name__ == "__main__":
    unittest.main()
