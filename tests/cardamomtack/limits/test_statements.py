"""What is believed of the limits that servers name."""

from __future__ import annotations

import unittest

from cardamomtack.limits.const import ENDED_KEPT_S
from cardamomtack.limits.statements import LimitStatements

KEY = "server-1/1"


class LimitStatementsTest(unittest.TestCase):
    """Statements from answers, from checks and from other VMs, in any order."""

    def setUp(self):
        self.statements = LimitStatements()

    def find(self):
        return self.statements.find_rate_per_s(KEY)

    def test_limit_changes_and_ends(self):
        self.assertTrue(self.statements.record_answer(KEY, 2.0, 0.9, 1.0))
        self.assertFalse(self.statements.record_answer(KEY, 2.0, 1.1, 1.2))
        self.assertTrue(self.statements.record_answer(KEY, 0.5, 1.3, 1.4))
        self.assertEqual(self.find(), 0.5)
        self.assertTrue(self.statements.record_answer(KEY, None, 1.5, 1.6))
        self.assertIsNone(self.find())
        self.assertFalse(self.statements.has_limits)

    def test_answer_to_a_request_sent_before_does_not_end_a_limit(self):
        self.statements.record_answer(KEY, 2.0, 0.9, 1.0)
        self.assertFalse(self.statements.record_answer(KEY, None, 0.95, 1.3))
        self.assertEqual(self.find(), 2.0)

    def test_answer_without_a_limit_of_a_server_that_never_named_one(self):
        self.assertFalse(self.statements.record_answer(KEY, None, 0.0, 1.0))
        self.assertFalse(self.statements.record_check(KEY, None, 0.0, 1.0))
        self.assertEqual(self.statements.list_statements(), [])

    def test_health_check_without_a_limit_ends_only_what_checks_have_named(self):
        self.statements.record_answer(KEY, 2.0, 0.9, 1.0)
        self.assertFalse(self.statements.record_check(KEY, None, 1.1, 1.2))
        self.assertEqual(self.find(), 2.0)
        self.statements.record_check(KEY, 2.0, 1.3, 1.4)
        self.assertTrue(self.statements.record_check(KEY, None, 1.5, 1.6))
        self.assertIsNone(self.find())

    def test_older_statement_of_another_vm_does_not_undo_a_newer_one(self):
        self.statements.apply_statement(KEY, 2.0, 1.0)
        self.statements.apply_statement(KEY, None, 2.0)
        self.assertFalse(self.statements.apply_statement(KEY, 2.0, 1.5))
        self.assertIsNone(self.find())
        self.assertTrue(self.statements.apply_statement(KEY, 3.0, 2.5))
        self.assertEqual(self.find(), 3.0)

    def test_vms_that_hear_two_statements_at_once_come_to_the_same(self):
        for first, second, both in ((2.0, 3.0, 2.0), (2.0, None, 2.0)):
            with self.subTest(first=first, second=second):
                vms = (LimitStatements(), LimitStatements())
                for statements in vms:
                    statements.apply_notice(KEY, 5.0, 0.0)
                vms[0].record_answer(KEY, first, 9.9, 10.0)
                vms[1].record_answer(KEY, second, 9.9, 10.005)
                vms[0].apply_notice(KEY, second, 10.02)
                vms[1].apply_notice(KEY, first, 10.02)
                rates = [statements.find_rate_per_s(KEY) for statements in vms]
                self.assertEqual(rates, [both, both])
                vms[0].record_answer(KEY, second, 11.0, 11.2)
                vms[1].apply_notice(KEY, second, 11.22)
                self.assertEqual(vms[1].find_rate_per_s(KEY), second)

    def test_zero_is_a_limit(self):
        self.statements.record_answer(KEY, 0.0, 0.9, 1.0)
        self.assertEqual(self.find(), 0.0)
        self.assertTrue(self.statements.has_limits)

    def test_limit_is_kept_as_long_as_its_server_is_there(self):
        self.statements.apply_statement(KEY, 2.0, 1.0)
        self.statements.drop_old({KEY}, 1.0 + 10 * ENDED_KEPT_S)
        self.assertEqual(self.find(), 2.0)
        self.statements.drop_old(set(), 2.0 + 10 * ENDED_KEPT_S)
        self.assertIsNone(self.find())


if __name__ == "__main__":
    unittest.main()
