"""Folding of the configuration stream into the current revision.

A publish is accepted only if its base is the current revision at its offset, so
every reader that starts from the same state reaches the same revision. A reader
whose first records have expired does not know that state: it holds publishes back
until a checkpoint or a snapshot of a peer tells it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cardamomtack.configuration.const import HISTORY_MAX, REVISION_NONE
from cardamomtack.generated.records import CheckpointRecord, PublishRecord


class PublishDecision(Enum):
    """What became of a publish record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNDECIDED = "undecided"


@dataclass(slots=True, frozen=True)
class Revision:
    """An accepted configuration.

    Attributes
    ----------
    number : int
        Offset of the accepted record.
    publish : PublishRecord
        What the operator published.
    """

    number: int
    publish: PublishRecord


@dataclass(slots=True, frozen=True)
class DecidedPublish:
    """One publish record that was read, and what became of it."""

    number: int
    publish: PublishRecord
    verdict: PublishDecision


class ConfigurationFold:
    """Follows the configuration stream.

    Attributes
    ----------
    current : Revision or None
        Newest revision known to be accepted. It never goes back.
    folded_to : int
        Offset from which to read on.
    bootstrap_offset : int
        Offset from which on a new reader can decide every publish: the start of the
        stream, or up to where the writer of the newest checkpoint had read.
    history : list of DecidedPublish
        The newest publishes that were decided, oldest first.
    """

    __slots__ = (
        "_decided",
        "_held_back",
        "_read_from",
        "bootstrap_offset",
        "current",
        "folded_to",
        "history",
    )

    def __init__(self) -> None:
        self.current: Revision | None = None
        self.folded_to = 0
        self.bootstrap_offset = 0
        self.history: list[DecidedPublish] = []
        self._read_from = 0
        self._decided = True
        self._held_back: list[tuple[int, PublishRecord]] = []

    @property
    def number(self) -> int:
        """Return the number of the current revision, -1 for none."""
        return self.current.number if self.current else REVISION_NONE

    @property
    def is_decided(self) -> bool:
        """Return whether the current revision is known for certain."""
        return self._decided

    def skip_expired(self, first_offset: int) -> None:
        """Note that the records before an offset have expired unread."""
        if first_offset <= self.folded_to:
            return
        self.folded_to = first_offset
        self._read_from = first_offset
        self._decided = False
        self._held_back.clear()

    def apply_publish(self, offset: int, publish: PublishRecord) -> PublishDecision:
        """Take the publish record at an offset."""
        if offset < self.folded_to:
            return PublishDecision.CONFLICT
        self.folded_to = offset + 1
        if not self._decided:
            self._held_back.append((offset, publish))
            return PublishDecision.UNDECIDED
        return self._decide(offset, publish)

    def apply_checkpoint(self, offset: int, checkpoint: CheckpointRecord) -> None:
        """Take the checkpoint record at an offset."""
        if offset < self.folded_to:
            return
        self.folded_to = offset + 1
        revision = Revision(checkpoint.revision, checkpoint.publish)
        self.apply_state(revision, checkpoint.folded_to)
        if self._decided:
            self.bootstrap_offset = max(self.bootstrap_offset, checkpoint.folded_to)

    def skip_record(self, offset: int) -> None:
        """Pass over a record that says nothing about the configuration."""
        self.folded_to = max(self.folded_to, offset + 1)

    def apply_state(self, revision: Revision, folded_to: int) -> bool:
        """Adopt what was current when another reader had read up to an offset.

        Returns
        -------
        bool
            Whether the state settled or advanced this fold.
        """
        if self._decided:
            return self._advance_decided(revision, folded_to)
        if folded_to < self._read_from or revision.number < self.number:
            return False
        self.current = revision
        self._decided = True
        held_back = self._held_back
        self._held_back = []
        for offset, publish in held_back:
            if offset >= folded_to:
                self._decide(offset, publish)
        # The writer may have read past the records that this reader has seen.
        self.folded_to = max(self.folded_to, folded_to)
        return True

    def _advance_decided(self, revision: Revision, folded_to: int) -> bool:
        """Adopt a state that is ahead of this reader."""
        if folded_to <= self.folded_to or revision.number <= self.number:
            return False
        self.current = revision
        self.folded_to = folded_to
        return True

    def _decide(self, offset: int, publish: PublishRecord) -> PublishDecision:
        """Accept a publish if its base is the current revision."""
        verdict = PublishDecision.CONFLICT
        if publish.base == self.number:
            verdict = PublishDecision.ACCEPTED
            self.current = Revision(offset, publish)
        self.history.append(DecidedPublish(offset, publish, verdict))
        del self.history[:-HISTORY_MAX]
        return verdict
