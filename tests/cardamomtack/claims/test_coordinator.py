"""Gathering, settling and giving up of claims."""

from __future__ import annotations

import unittest

from cardamomtack.claims.coordinator import ClaimCoordinator, ClaimRefusal
from cardamomtack.claims.local_claim import ClaimState, LocalClaim
from cardamomtack.generated.records import Claim
from cardamomtack.helpers.clock import ManualClock

APPENDS_PER_SECOND = 250.0
ENTRY_VMS_MAX = 17
INTERVAL_S = ENTRY_VMS_MAX / APPENDS_PER_SECOND


class ClaimCoordinatorTest(unittest.TestCase):
    """One VM and its log."""

    def setUp(self):
        self.clock = ManualClock()
        self.claims = ClaimCoordinator("vm", "incarnation", 3, self.clock)
        self.claims.set_append_rate(APPENDS_PER_SECOND, ENTRY_VMS_MAX)
        self.claims.apply_records(0, [], caught_up=True)
        self.log: list[bytes] = []

    def open_claim(self, name: str = "a") -> LocalClaim:
        """Open a claim of a key."""
        digest = name.encode().ljust(16)
        claim = Claim(digest, digest, b"request", 0)
        return self.claims.open_claim(claim, 10.0, lambda: None)

    def append_batch(self) -> None:
        """Let the next append take effect."""
        self.log.append(self.claims.encode_batch(self.claims.begin_append()))

    def read_log(self) -> None:
        """Read to the newest record."""
        start = self.claims.table.folded_to
        self.claims.apply_records(0, list(enumerate(self.log))[start:], True)

    def test_claims_gather_while_the_share_of_appends_is_spent(self):
        first = self.open_claim("a")
        self.assertEqual(self.claims.compute_append_delay_s(), 0.0)
        self.append_batch()
        self.open_claim("b")
        self.open_claim("c")
        self.assertAlmostEqual(self.claims.compute_append_delay_s(), INTERVAL_S)
        self.clock.advance(INTERVAL_S)
        self.assertAlmostEqual(self.claims.compute_append_delay_s(), 0.0)
        self.append_batch()
        self.read_log()
        self.assertEqual(len(self.claims.table.entries), 3)
        self.assertIs(first.state, ClaimState.OWNED)

    def test_outcomes_alone_wait_longer_than_claims(self):
        own = self.open_claim()
        self.append_batch()
        self.read_log()
        self.assertTrue(own.begin_dispatch(0.0))
        self.claims.finish_claim(own, True, b"")
        self.assertGreater(self.claims.compute_append_delay_s(), INTERVAL_S)

    def test_no_claim_is_opened_before_the_window_is_read(self):
        claims = ClaimCoordinator("vm", "incarnation", 3, self.clock)
        self.assertIs(claims.get_refusal(), ClaimRefusal.NOT_COVERED)
        claims.apply_records(0, [], caught_up=True)
        self.assertIsNone(claims.get_refusal())

    def test_full_table_refuses(self):
        for name in ("a", "b", "c"):
            self.open_claim(name)
        self.assertIs(self.claims.get_refusal(), ClaimRefusal.TABLE_FULL)

    def test_claim_is_never_dispatched_after_its_deadline(self):
        own = self.open_claim()
        self.append_batch()
        self.read_log()
        self.assertFalse(own.begin_dispatch(10.0))
        self.assertTrue(self.claims.abandon_claim(own))
        self.assertFalse(own.begin_dispatch(0.0))

    def test_lost_append_is_made_again_after_a_read(self):
        own = self.open_claim()
        batch = self.claims.begin_append()
        self.claims.add_unconfirmed_batch(batch)
        self.assertFalse(self.claims.has_pending_append())
        self.read_log()
        self.assertTrue(self.claims.has_pending_append())
        self.append_batch()
        self.read_log()
        self.assertIs(own.state, ClaimState.OWNED)

    def test_append_whose_answer_was_lost_is_not_made_again(self):
        own = self.open_claim()
        batch = self.claims.begin_append()
        self.log.append(self.claims.encode_batch(batch))
        self.claims.add_unconfirmed_batch(batch)
        self.read_log()
        self.assertIs(own.state, ClaimState.OWNED)
        self.assertFalse(self.claims.has_pending_append())

    def test_abandoned_claim_stays_dead_when_its_record_lands_again(self):
        own = self.open_claim()
        batch = self.claims.begin_append()
        data = self.claims.encode_batch(batch)
        self.claims.add_unconfirmed_batch(batch)
        self.claims.abandon_claim(own)
        self.append_batch()
        self.log.append(data)
        self.read_log()
        self.assertEqual(self.claims.table.entries, {})

    def test_claim_that_may_have_landed_is_abandoned_by_record(self):
        own = self.open_claim()
        batch = self.claims.begin_append()
        self.claims.add_unconfirmed_batch(batch)
        self.read_log()
        self.claims.abandon_claim(own)
        self.log.append(self.claims.encode_batch(batch))
        self.append_batch()
        self.read_log()
        self.assertEqual(self.claims.table.entries, {})

    def test_owned_claim_is_given_up_when_records_were_missed(self):
        own = self.open_claim()
        self.append_batch()
        self.read_log()
        self.claims.reset_after_gap(5)
        self.assertFalse(own.begin_dispatch(0.0))
        self.assertTrue(self.claims.has_pending_append())
        self.assertIs(self.claims.get_refusal(), ClaimRefusal.NOT_COVERED)

    def test_expired_keys_are_forgotten(self):
        self.open_claim()
        self.append_batch()
        self.read_log()
        self.claims.apply_records(1, [], caught_up=True)
        self.assertEqual(self.claims.table.entries, {})


if __name__ == "__main__":
    unittest.main()
