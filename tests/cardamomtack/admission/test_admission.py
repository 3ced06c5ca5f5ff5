"""Limits, waiting, and the budget of extra attempts."""

from __future__ import annotations

import unittest

from cardamomtack.admission.budget import ExtraAttemptBudget
from cardamomtack.admission.const import EXTRA_ATTEMPTS_BURST, EXTRA_ATTEMPTS_PER_S_MIN
from cardamomtack.admission.queue import Admission, ServiceAdmission


class ServiceAdmissionTest(unittest.TestCase):
    """One service whose limit is two requests."""

    def setUp(self):
        self.admission = ServiceAdmission(queue_max=2)
        self.admission.limit = 2.0
        self.woken: list[tuple[str, bool]] = []

    def enter(self, name: str, priority: int = 5, deadline_s: float = 10.0):
        """Ask for entry at time 0."""
        return self.admission.request_admission(
            priority,
            deadline_s,
            0.0,
            lambda admitted: self.woken.append((name, admitted)),
        )

    def fill(self) -> None:
        """Use the whole limit."""
        self.enter("first")
        self.enter("second")

    def test_urgent_requests_are_served_first(self):
        self.fill()
        self.enter("late", priority=5)
        self.enter("urgent", priority=1)
        self.admission.finish_request(0.0, 0.01)
        self.assertEqual(self.woken, [("urgent", True)])

    def test_earlier_deadline_is_served_first(self):
        self.fill()
        self.enter("patient", deadline_s=9.0)
        self.enter("hurried", deadline_s=3.0)
        self.admission.finish_request(0.0, 0.01)
        self.assertEqual(self.woken, [("hurried", True)])

    def test_full_queue_drops_the_least_urgent(self):
        self.fill()
        self.enter("a", priority=5)
        self.enter("b", priority=5)
        verdict, _ = self.enter("urgent", priority=0)
        self.assertIs(verdict, Admission.QUEUED)
        self.assertEqual(self.woken, [("b", False)])
        verdict, _ = self.enter("least", priority=9)
        self.assertIs(verdict, Admission.REFUSED)

    def test_what_cannot_be_answered_in_time_is_refused_at_once(self):
        self.fill()
        self.admission.service_time_s = 1.0
        verdict, _ = self.enter("hurried", deadline_s=1.2)
        self.assertIs(verdict, Admission.REFUSED)

    def test_waiter_whose_time_is_up_is_refused(self):
        self.fill()
        self.enter("late", deadline_s=1.0)
        self.admission.finish_request(5.0, None)
        self.assertEqual(self.woken, [("late", False)])

    def test_shed_load_lowers_the_limit_once_at_a_time(self):
        self.admission.limit = 100.0
        self.admission.in_flight = 50
        self.admission.record_shed(1.0)
        self.admission.record_shed(1.01)
        self.assertAlmostEqual(self.admission.limit, 45.0)


class ExtraAttemptBudgetTest(unittest.TestCase):
    """Retries and hedges stay a share of the requests."""

    def test_extra_attempts_are_a_share_of_requests(self):
        budget = ExtraAttemptBudget()
        spent = 0
        for _ in range(10_000):
            budget.earn_share(0.1, 0.0)
            spent += budget.spend_attempt()
        self.assertLessEqual(spent, 1000 + EXTRA_ATTEMPTS_BURST)
        self.assertGreater(spent, 990)

    def test_a_few_are_earned_by_time(self):
        budget = ExtraAttemptBudget()
        while budget.spend_attempt():
            pass
        budget.earn_share(0.0, 2.0)
        spent = sum(budget.spend_attempt() for _ in range(10))
        self.assertEqual(spent, int(2.0 * EXTRA_ATTEMPTS_PER_S_MIN))


if __name__ == "__main__":
    unittest.main()
