"""Two sends of one key, in every order of appends, reads, losses and crashes."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from cardamomtack.claims.coordinator import ClaimCoordinator
from cardamomtack.claims.local_claim import ClaimState, LocalClaim
from cardamomtack.claims.table import ClaimResult, ClaimTable
from cardamomtack.generated.records import Claim
from tests.cardamomtack.claims.explorer import explore_interleavings

DEPTH_MAX = 8
CLOSURE_DEPTH = 40


class OwnRecordOnly(ClaimCoordinator):
    """Believes that its claim owns the key as soon as it sees its record."""

    def apply_records(
        self, first_offset: int, records: Iterable[tuple[int, bytes]], caught_up: bool
    ) -> None:
        """Take records and own every claim that was seen."""
        pending = list(self._pending.values())
        super().apply_records(first_offset, records, caught_up)
        for own in pending:
            if own.state is ClaimState.LOST:
                own.state = ClaimState.OWNED


class AbandonsAfterDispatch(ClaimCoordinator):
    """Frees the key of a request that it has dispatched."""

    def finish_claim(
        self, own: LocalClaim, ran: bool | None, answer_digest: bytes
    ) -> None:
        """Note that the request did not run, although it did."""
        super().finish_claim(own, False, answer_digest)


class TakesOver(ClaimCoordinator):
    """Takes a key over whose owner has not told an outcome."""

    def apply_records(
        self, first_offset: int, records: Iterable[tuple[int, bytes]], caught_up: bool
    ) -> None:
        """Take records, and own the key when its owner says nothing new."""
        taken = list(records)
        super().apply_records(first_offset, taken, caught_up)
        if taken:
            return
        for own in self._pending.values():
            if own.state is ClaimState.LOST:
                own.state = ClaimState.OWNED


class ForgetfulTable(ClaimTable):
    """Forgets which claims are dead."""

    def is_invalidated(self, claim_id: bytes) -> bool:
        """Return that every claim may still own its key."""
        return False

    def _apply_claim(self, offset: int, claim: Claim, incarnation: str) -> ClaimResult:
        """Let the newest claim own the key."""
        self.entries.pop(claim.key_digest, None)
        return super()._apply_claim(offset, claim, incarnation)


class NewestClaimOwns(ClaimCoordinator):
    """Lets the newest claim own a key."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.table = ForgetfulTable()


class DispatchesAfterGivingUp(ClaimCoordinator):
    """Says that a claim was given up and keeps it."""

    def abandon_claim(self, own: LocalClaim) -> bool:
        """Change nothing."""
        return own.state is not ClaimState.DISPATCHED


class InterleavingsTest(unittest.TestCase):
    """At most one run, and "not run" is true."""

    def test_no_interleaving_without_faults_breaks_a_promise(self):
        result = explore_interleavings(ClaimCoordinator, False, CLOSURE_DEPTH)
        print(f"{result.states} states, all of them", end=" ", flush=True)
        self.assertIsNone(result.violation, result.path)

    def test_no_interleaving_with_faults_breaks_a_promise(self):
        result = explore_interleavings(ClaimCoordinator, True, DEPTH_MAX)
        print(f"{result.states} states to depth {DEPTH_MAX}", end=" ", flush=True)
        self.assertIsNone(result.violation, result.path)

    def test_each_broken_variant_is_caught(self):
        for variant in (
            OwnRecordOnly,
            AbandonsAfterDispatch,
            TakesOver,
            NewestClaimOwns,
            DispatchesAfterGivingUp,
        ):
            with self.subTest(variant=variant.__name__):
                result = explore_interleavings(variant, False, CLOSURE_DEPTH)
                self.assertIsNotNone(result.violation)


if __name__ == "__main__":
    unittest.main()
