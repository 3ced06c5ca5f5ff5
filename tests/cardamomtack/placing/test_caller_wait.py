"""How long callers have waited before a send."""

from __future__ import annotations

import unittest
from random import Random

from cardamomtack.placing.caller_wait import CallerWaitEstimator


class CallerWaitTest(unittest.TestCase):
    """Deadlines that count down over the sends of a caller."""

    def setUp(self):
        self.estimator = CallerWaitEstimator()

    def learn(self, deadlines_s, is_calm=True):
        """Return what callers with some deadlines are taken to have waited."""
        return [
            self.estimator.estimate_waited_s("r", deadline_s, is_calm)
            for deadline_s in deadlines_s
        ]

    def test_first_sends_have_not_waited(self):
        for is_calm in (False, True):
            self.assertEqual(set(self.learn((1.5, 1.482, 1.49, 1.46), is_calm)), {0.0})

    def test_what_is_missing_has_gone(self):
        self.learn([2.0] * 20)
        self.assertAlmostEqual(self.learn([0.7])[0], 1.3)
        self.assertAlmostEqual(self.learn([1.8])[0], 0.2)

    def test_callers_with_different_deadlines_have_not_waited(self):
        random = Random(1)
        deadlines_s = [random.uniform(1.7, 2.3) for _ in range(400)]
        waited = [one for one in self.learn(deadlines_s)[64:] if one > 0.0]
        self.assertLess(len(waited), 0.1 * len(deadlines_s))
        # A caller that comes back after a second is told from them.
        (waited_s,) = self.learn([1.0], is_calm=False)
        self.assertAlmostEqual(waited_s, 1.0, delta=0.15)

    def test_a_crowd_that_comes_back_is_not_taken_for_the_usual(self):
        random = Random(2)
        self.learn([random.uniform(1.7, 2.3) for _ in range(200)])
        # Half of the requests are second sends, while callers are sent back.
        crowd = [random.uniform(1.7, 2.3) - 0.9 * (n % 2) for n in range(400)]
        waited = self.learn(crowd, is_calm=False)
        first = [one for one in waited[0::2] if one > 0.0]
        second = [one for one in waited[1::2] if one > 0.0]
        self.assertLess(len(first), 20)
        self.assertGreater(len(second), 180)

    def test_a_crowd_is_told_before_any_calm(self):
        waited = self.learn([2.0, 1.9, 0.9, 2.0, 0.5], is_calm=False)
        self.assertEqual(
            [one > 0.0 for one in waited], [False, False, True, False, True]
        )

    def test_an_overload_from_the_start_is_told_by_known_first_sends(self):
        # Callers wait for 1.7 to 2.0 s; half of the requests come back after 0.35 s.
        random = Random(3)
        known, unknown = [], []
        for learns_first_sends in (True, False):
            self.setUp()
            for _ in range(400):
                if learns_first_sends:
                    self.estimator.record_first_send("r", random.uniform(1.7, 2.0))
                back_s = random.uniform(1.7, 2.0) - 0.35
                (waited_s,) = self.learn([back_s], is_calm=False)
                (known if learns_first_sends else unknown).append(waited_s)
        told = [sum(one > 0.0 for one in waited) for waited in (known, unknown)]
        self.assertGreater(told[0], 0.95 * 400)
        self.assertLess(told[1], 0.5 * 400)
        self.assertAlmostEqual(sum(known) / len(known), 0.35, delta=0.1)

    def test_known_first_sends_are_enough_to_take_new_callers_for_new(self):
        random = Random(4)
        for _ in range(100):
            self.estimator.record_first_send("r", random.uniform(1.7, 2.0))
        first = [random.uniform(1.7, 2.0) for _ in range(200)]
        waited = [one for one in self.learn(first, is_calm=False) if one > 0.0]
        self.assertLess(len(waited), 0.1 * len(first))

    def test_routes_are_apart(self):
        self.learn([10.0])
        self.assertEqual(self.estimator.estimate_waited_s("s", 1.0, True), 0.0)

    def test_longest_deadline_is_forgotten(self):
        self.learn([60.0])
        self.assertEqual(self.learn([2.0] * 100, is_calm=False)[-1], 0.0)

    def test_no_time_left_is_no_error(self):
        self.assertEqual(self.learn([0.0]), [0.0])


if __name__ == "__main__":
    unittest.main()
