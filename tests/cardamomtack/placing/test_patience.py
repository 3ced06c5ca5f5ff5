"""How long callers have waited before a send."""

from __future__ import annotations

import unittest

from cardamomtack.placing.patience import CallerPatience


class PatienceTest(unittest.TestCase):
    """Deadlines that count down over the sends of a caller."""

    def setUp(self):
        self.patience = CallerPatience()

    def test_first_sends_have_not_waited(self):
        for deadline_s in (1.5, 1.482, 1.49, 1.46):
            waited_s = self.patience.estimate_waited_s("r", deadline_s)
            self.assertEqual(waited_s, 0.0)

    def test_what_is_missing_has_gone(self):
        self.patience.estimate_waited_s("r", 2.0)
        self.assertAlmostEqual(self.patience.estimate_waited_s("r", 0.7), 1.3)

    def test_routes_are_apart(self):
        self.patience.estimate_waited_s("r", 10.0)
        self.assertEqual(self.patience.estimate_waited_s("s", 1.0), 0.0)

    def test_longest_deadline_is_forgotten(self):
        self.patience.estimate_waited_s("r", 60.0)
        for _ in range(100):
            waited_s = self.patience.estimate_waited_s("r", 2.0)
        self.assertEqual(waited_s, 0.0)


if __name__ == "__main__":
    unittest.main()
