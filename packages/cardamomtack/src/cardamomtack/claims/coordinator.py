"""Claims of this VM: gathering into appends, and settling them by reading."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import msgpack

from cardamomtack.claims.const import OUTCOME_GATHER_INTERVALS
from cardamomtack.claims.local_claim import ClaimState, LocalClaim
from cardamomtack.claims.table import ClaimTable, KeyEntry, KeyOutcome
from cardamomtack.generated.records import (
    Abandonment,
    Claim,
    ClaimOutcome,
    ClaimsRecord,
    LogRecord,
)
from cardamomtack.helpers.clock import Clock
from cardamomtack.helpers.decoding import DECODE_ERRORS


class ClaimRefusal(Enum):
    """Why no claim can be opened now."""

    NOT_COVERED = "the claims of the log have not been read yet"
    TABLE_FULL = "the claims table is full"


@dataclass(slots=True)
class ClaimBatch:
    """What one append carries."""

    claims: list[LocalClaim] = field(default_factory=list)
    abandoned: list[Abandonment] = field(default_factory=list)
    outcomes: list[ClaimOutcome] = field(default_factory=list)


class ClaimCoordinator:
    """Owns the claims table and the claims of this VM.

    Parameters
    ----------
    vm_id, incarnation : str
        Who claims.
    claims_max : int
        Keys that the table may hold; own claims are refused beyond it.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_abandoned",
        "_claims_max",
        "_clock",
        "_gathering",
        "_incarnation",
        "_interval_s",
        "_last_append_s",
        "_outcomes",
        "_pending",
        "_unsettled",
        "_vm_id",
        "_watchers",
        "table",
    )

    def __init__(
        self, vm_id: str, incarnation: str, claims_max: int, clock: Clock
    ) -> None:
        self.table = ClaimTable()
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._claims_max = claims_max
        self._clock = clock
        self._interval_s = 0.0
        self._last_append_s = float("-inf")
        self._gathering: list[LocalClaim] = []
        self._abandoned: list[Abandonment] = []
        self._outcomes: list[ClaimOutcome] = []
        self._pending: dict[bytes, LocalClaim] = {}
        self._unsettled: list[ClaimBatch] = []
        self._watchers: dict[bytes, list[Callable[[], None]]] = {}

    def set_append_rate(self, appends_per_second: float, entry_vms_max: int) -> None:
        """Take this VM's equal share of the appends of the fleet."""
        self._interval_s = entry_vms_max / appends_per_second

    def find_entry(self, key_digest: bytes) -> KeyEntry | None:
        """Return the owner of a key, or None."""
        return self.table.entries.get(key_digest)

    def get_refusal(self) -> ClaimRefusal | None:
        """Return why keyed requests can't be taken now, or None."""
        if not self.table.is_covered:
            return ClaimRefusal.NOT_COVERED
        if len(self.table.entries) + len(self._gathering) >= self._claims_max:
            return ClaimRefusal.TABLE_FULL
        return None

    def open_claim(
        self, claim: Claim, deadline_s: float, on_change: Callable[[], None]
    ) -> LocalClaim:
        """Put a claim into the next append."""
        own = LocalClaim(claim, deadline_s, on_change)
        self._gathering.append(own)
        return own

    def abandon_claim(self, own: LocalClaim) -> bool:
        """Give a claim up before dispatch and return whether that was possible."""
        if own.state in (ClaimState.DISPATCHED, ClaimState.FINISHED):
            return False
        if own.state is ClaimState.ABANDONED:
            return True
        if own.state is ClaimState.GATHERING:
            self._gathering = [other for other in self._gathering if other is not own]
        if own.may_have_landed and own.state is not ClaimState.LOST:
            self._abandoned.append(
                Abandonment(own.claim.claim_id, own.claim.key_digest)
            )
        self._pending.pop(own.claim.claim_id, None)
        own.state = ClaimState.ABANDONED
        return True

    def finish_claim(
        self, own: LocalClaim, ran: bool | None, answer_digest: bytes
    ) -> None:
        """Put the outcome of a dispatched claim into the next append."""
        own.state = ClaimState.FINISHED
        self._pending.pop(own.claim.claim_id, None)
        self._outcomes.append(
            ClaimOutcome(own.claim.claim_id, own.claim.key_digest, ran, answer_digest)
        )

    def watch_key(self, key_digest: bytes, on_change: Callable[[], None]) -> None:
        """Call back once when the owner or outcome of a key changes."""
        self._watchers.setdefault(key_digest, []).append(on_change)

    def has_pending_append(self) -> bool:
        """Return whether something waits to be appended."""
        return bool(self._gathering or self._abandoned or self._outcomes)

    def compute_append_delay_s(self) -> float:
        """Return how long the next append must wait, in seconds."""
        interval_s = self._interval_s
        # Outcomes alone are not urgent: they wait for claims to travel with.
        if not self._gathering and not self._abandoned:
            interval_s *= OUTCOME_GATHER_INTERVALS
        elapsed_s = self._clock.read_monotonic_s() - self._last_append_s
        return max(0.0, interval_s - elapsed_s)

    def begin_append(self) -> ClaimBatch:
        """Return what the next append carries."""
        batch = ClaimBatch(self._gathering, self._abandoned, self._outcomes)
        self._gathering, self._abandoned, self._outcomes = [], [], []
        self._last_append_s = self._clock.read_monotonic_s()
        for own in batch.claims:
            own.state = ClaimState.APPENDING
            own.may_have_landed = True
            self._pending[own.claim.claim_id] = own
        return batch

    def encode_batch(self, batch: ClaimBatch) -> bytes:
        """Return the record of a batch."""
        claims = [own.claim for own in batch.claims]
        record = ClaimsRecord(
            self._vm_id, self._incarnation, claims, batch.abandoned, batch.outcomes
        )
        return msgpack.encode(LogRecord(claims=record))

    def requeue_batch(self, batch: ClaimBatch) -> None:
        """Put back a batch that was surely not appended."""
        for own in batch.claims:
            if own.state is ClaimState.APPENDING:
                self._pending.pop(own.claim.claim_id, None)
                own.state = ClaimState.GATHERING
                self._gathering.append(own)
        self._abandoned = batch.abandoned + self._abandoned
        self._outcomes = batch.outcomes + self._outcomes

    def add_unconfirmed_batch(self, batch: ClaimBatch) -> None:
        """Keep a batch whose append may or may not have taken effect."""
        self._unsettled.append(batch)

    def reset_after_gap(self, first_offset: int) -> None:
        """Start over, because records before an offset expired unread."""
        self.table.reset_after_gap(first_offset)
        # An owned claim is older than what the log keeps, so another VM may own its
        # key by now.
        for own in list(self._pending.values()):
            if own.state is ClaimState.OWNED:
                self.abandon_claim(own)
                own.on_change()

    def apply_records(
        self, first_offset: int, records: Iterable[tuple[int, bytes]], caught_up: bool
    ) -> None:
        """Take records in order of their offsets.

        Parameters
        ----------
        first_offset : int
            Oldest offset that the log still keeps.
        records : iterable of tuple
            Offset and record.
        caught_up : bool
            Whether these were the newest records when they were read.
        """
        # A batch that becomes unsettled during this read is settled by a later one.
        unsettled = self._unsettled
        for offset, data in records:
            self._apply_record(offset, data)
        self.table.drop_expired(first_offset)
        if caught_up:
            self.table.is_covered = True
            self._unsettled = []
            for batch in unsettled:
                self._settle_batch(batch)

    def _apply_record(self, offset: int, data: bytes) -> None:
        """Take one record; one that can't be read is passed over."""
        try:
            record = msgpack.decode(data, type=LogRecord).claims
        except DECODE_ERRORS:
            record = None
        if record is None:
            self.table.skip_record(offset)
            return
        for verdict in self.table.apply_record(offset, record):
            own = self._pending.get(verdict.claim_id)
            if own is not None and own.state is ClaimState.APPENDING:
                own.state = ClaimState.OWNED if verdict.owns else ClaimState.LOST
                own.on_change()
        self._call_watchers(record)

    def _call_watchers(self, record: ClaimsRecord) -> None:
        """Call those that wait for a key that a record may have changed."""
        if not self._watchers:
            return
        keys = {outcome.key_digest for outcome in record.outcomes}
        keys.update(abandoned.key_digest for abandoned in record.abandoned)
        for key_digest in keys:
            for on_change in self._watchers.pop(key_digest, []):
                on_change()

    def _settle_batch(self, batch: ClaimBatch) -> None:
        """Append again what the whole stream was read without seeing."""
        self.requeue_batch(
            ClaimBatch(
                [own for own in batch.claims if own.state is ClaimState.APPENDING],
                [
                    one
                    for one in batch.abandoned
                    if not self.table.is_invalidated(one.claim_id)
                ],
                [one for one in batch.outcomes if self._is_outcome_open(one)],
            )
        )

    def _is_outcome_open(self, outcome: ClaimOutcome) -> bool:
        """Return whether the table does not know an outcome yet."""
        entry = self.table.entries.get(outcome.key_digest)
        if entry is None or entry.claim_id != outcome.claim_id:
            return False
        return entry.outcome is KeyOutcome.PENDING
