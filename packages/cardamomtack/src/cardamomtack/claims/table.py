"""Folding of the claims stream: who owns each idempotency key.

The first live claim of a key, by offset, owns the key. A claim that an abandonment
names, or that lost against an owner, is dead for ever, also when its record lands
later or again. Every VM that reads the same records reaches the same table.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cardamomtack.generated.records import Claim, ClaimOutcome, ClaimsRecord


class KeyOutcome(Enum):
    """What is known of the run of a key."""

    PENDING = "pending"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class KeyEntry:
    """The owner of one key.

    Attributes
    ----------
    offset : int
        Offset of the owning claim.
    incarnation : str
        VM incarnation that owns the key.
    """

    claim_id: bytes
    request_digest: bytes
    incarnation: str
    offset: int
    outcome: KeyOutcome = KeyOutcome.PENDING


@dataclass(slots=True, frozen=True)
class ClaimResult:
    """Whether a claim that was read owns its key."""

    claim_id: bytes
    owns: bool


class ClaimTable:
    """The owners of all keys whose claims the log still keeps.

    Attributes
    ----------
    entries : dict of bytes to KeyEntry
        Owners by key digest, in the order of their offsets.
    folded_to : int
        Offset from which to read on.
    is_covered : bool
        Whether the whole window of the log has been read.
    """

    __slots__ = ("_invalidated", "entries", "folded_to", "is_covered")

    def __init__(self) -> None:
        self.entries: dict[bytes, KeyEntry] = {}
        self.folded_to = 0
        self.is_covered = False
        self._invalidated: dict[bytes, int] = {}

    def apply_record(self, offset: int, record: ClaimsRecord) -> list[ClaimResult]:
        """Take the record at an offset and return what became of its claims."""
        if offset < self.folded_to:
            return []
        self.folded_to = offset + 1
        for abandoned in record.abandoned:
            self._invalidate_and_free(abandoned.claim_id, abandoned.key_digest, offset)
        verdicts = [
            self._apply_claim(offset, claim, record.incarnation)
            for claim in record.claims
        ]
        for outcome in record.outcomes:
            self._apply_outcome(offset, outcome)
        return verdicts

    def skip_record(self, offset: int) -> None:
        """Pass over a record that can't be read."""
        self.folded_to = max(self.folded_to, offset + 1)

    def reset_after_gap(self, first_offset: int) -> None:
        """Forget everything, because records before an offset expired unread."""
        self.entries.clear()
        self._invalidated.clear()
        self.folded_to = first_offset
        self.is_covered = False

    def drop_expired(self, first_offset: int) -> None:
        """Forget the keys whose claims the log no longer keeps."""
        for key_digest, entry in list(self.entries.items()):
            if entry.offset >= first_offset:
                break
            del self.entries[key_digest]
        for claim_id, offset in list(self._invalidated.items()):
            if offset >= first_offset:
                break
            del self._invalidated[claim_id]

    def is_invalidated(self, claim_id: bytes) -> bool:
        """Return whether a claim can never own its key."""
        return claim_id in self._invalidated

    def _invalidate(self, claim_id: bytes, offset: int) -> None:
        """Remember that a claim can never own its key."""
        self._invalidated.pop(claim_id, None)
        self._invalidated[claim_id] = offset

    def _invalidate_and_free(
        self, claim_id: bytes, key_digest: bytes, offset: int
    ) -> None:
        """Mark a claim as dead and free the key if the claim owns it."""
        self._invalidate(claim_id, offset)
        entry = self.entries.get(key_digest)
        if entry is not None and entry.claim_id == claim_id:
            del self.entries[key_digest]

    def _apply_claim(self, offset: int, claim: Claim, incarnation: str) -> ClaimResult:
        """Take one claim."""
        owner = self.entries.get(claim.key_digest)
        if owner is not None and owner.claim_id == claim.claim_id:
            return ClaimResult(claim.claim_id, owns=True)
        if self.is_invalidated(claim.claim_id):
            return ClaimResult(claim.claim_id, owns=False)
        if owner is not None:
            self._invalidate(claim.claim_id, offset)
            return ClaimResult(claim.claim_id, owns=False)
        self.entries[claim.key_digest] = KeyEntry(
            claim.claim_id, claim.request_digest, incarnation, offset
        )
        return ClaimResult(claim.claim_id, owns=True)

    def _apply_outcome(self, offset: int, outcome: ClaimOutcome) -> None:
        """Take the outcome of an owner; one that did not run frees its key."""
        entry = self.entries.get(outcome.key_digest)
        if entry is None or entry.claim_id != outcome.claim_id:
            return
        if outcome.ran is False:
            self._invalidate_and_free(outcome.claim_id, outcome.key_digest, offset)
            return
        entry.outcome = KeyOutcome.RAN if outcome.ran else KeyOutcome.UNKNOWN
