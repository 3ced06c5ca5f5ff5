"""Suspects of crashes, bystanders and quarantine."""

from __future__ import annotations

import unittest

from cardamomtack.helpers.clock import ManualClock
from cardamomtack.quarantine.const import (
    ANSWERED_KEPT,
    INNOCENT_S,
    QUARANTINE_S,
    SUSPECTS_MAX,
    SUSPICION_S,
)
from cardamomtack.quarantine.tracker import CrashTracker

CRASHER = b"crasher"
BYSTANDER = b"bystander"


class CrashLedgerTest(unittest.TestCase):
    """What two crashes tell."""

    def setUp(self):
        self.clock = ManualClock()
        self.crash_tracker = CrashTracker(self.clock)

    def test_request_at_two_crashes_is_quarantined_for_a_while(self):
        self.crash_tracker.record_crash("s1", [CRASHER, BYSTANDER])
        self.assertFalse(self.crash_tracker.is_quarantined(CRASHER))
        self.crash_tracker.mark_answered(BYSTANDER)
        self.crash_tracker.record_crash("s2", [CRASHER, BYSTANDER])
        self.assertTrue(self.crash_tracker.is_quarantined(CRASHER))
        self.assertFalse(self.crash_tracker.is_quarantined(BYSTANDER))
        self.clock.advance(QUARANTINE_S)
        self.assertFalse(self.crash_tracker.is_quarantined(CRASHER))

    def test_request_that_is_answered_all_the_time_is_no_suspect(self):
        self.crash_tracker.mark_answered(BYSTANDER)
        self.clock.advance(INNOCENT_S / 2)
        for server in ("s1", "s2", "s3"):
            self.assertEqual(
                self.crash_tracker.filter_suspects([CRASHER, BYSTANDER]), [CRASHER]
            )
            self.crash_tracker.record_crash(server, [CRASHER, BYSTANDER])
        self.assertTrue(self.crash_tracker.is_quarantined(CRASHER))
        self.assertFalse(self.crash_tracker.is_quarantined(BYSTANDER))

    def test_answers_of_long_ago_prove_nothing(self):
        self.crash_tracker.mark_answered(CRASHER)
        self.clock.advance(2 * INNOCENT_S)
        self.crash_tracker.record_crash("s1", [CRASHER])
        self.crash_tracker.record_crash("s2", [CRASHER])
        self.assertTrue(self.crash_tracker.is_quarantined(CRASHER))

    def test_memory_of_answers_is_bounded(self):
        for index in range(2 * ANSWERED_KEPT):
            self.crash_tracker.mark_answered(index.to_bytes(4, "big"))
        digests = [index.to_bytes(4, "big") for index in range(2 * ANSWERED_KEPT)]
        self.assertEqual(
            len(self.crash_tracker.filter_suspects(digests)), ANSWERED_KEPT
        )

    def test_one_crash_that_is_reported_twice_counts_once(self):
        self.crash_tracker.record_crash("s1", [CRASHER])
        self.crash_tracker.record_crash("s1", [CRASHER])
        self.assertFalse(self.crash_tracker.is_quarantined(CRASHER))

    def test_suspicion_ends_and_memory_is_bounded(self):
        digests = [index.to_bytes(4, "big") for index in range(2 * SUSPECTS_MAX)]
        self.crash_tracker.record_crash("s1", digests)
        self.crash_tracker.record_crash("s1", [])
        kept = sum(self.crash_tracker.is_suspected(digest) for digest in digests)
        self.assertLessEqual(kept, SUSPECTS_MAX)
        self.clock.advance(SUSPICION_S)
        self.crash_tracker.record_crash("s2", [CRASHER])
        self.assertFalse(self.crash_tracker.is_suspected(digests[-1]))


if __name__ == "__main__":
    unittest.main()
