"""What one subscriber still has to be told of one topic."""

from __future__ import annotations

from collections import OrderedDict

from cardamomtack.generated.relay import RelayMessage, TopicPosition, TopicRecords
from cardamomtack.replicas.large_values import (
    VALUES_KEPT_MAX,
    digest_value,
    is_large,
)
from cardamomtack.replicas.packing import Bases, PagePacker
from cardamomtack.replicas.topic import (
    END_UNKNOWN,
    HISTORY_UNKNOWN,
    TopicReplica,
)

PACKED_BYTES_MIN = 512
"""Smaller pages are told as they are."""


class TopicFeed:
    """Tells one subscriber of one topic: each time the newest, nothing overtaken.

    Parameters
    ----------
    replica : TopicReplica
        What is known here.
    packer : PagePacker
        Packs pages for all subscribers.
    told : TopicPosition or None
        What the subscriber knows; None for nothing.
    """

    __slots__ = ("_digests", "_packer", "_position", "_replica", "_revision")

    def __init__(
        self, replica: TopicReplica, packer: PagePacker, told: TopicPosition | None
    ) -> None:
        self._digests: OrderedDict[int, None] | None = None
        self._packer = packer
        self._position = (HISTORY_UNKNOWN, END_UNKNOWN)
        self._replica = replica
        self._revision = replica.revision
        if told is not None:
            self._position = (told.history, told.end)
            if told.digests is not None:
                known = told.digests[-VALUES_KEPT_MAX:]
                self._digests = OrderedDict.fromkeys(known)
        if replica.has_earlier_records:
            # What the store has lost is told whatever the subscriber knows of it.
            self._revision -= 1

    def take(self) -> RelayMessage | None:
        """Return what the subscriber has to be told, and take it for told.

        Returns
        -------
        RelayMessage or None
            None when it knows all.
        """
        page = self._take_page()
        if page is None:
            return None
        size = sum(len(record.value) for record in page.records)
        if self._digests is None or size < PACKED_BYTES_MIN:
            return RelayMessage(records=page)
        bases = self._find_bases(page, self._digests)
        packed = self._packer.pack(page, self._replica.revision, bases)
        for record in page.records:
            if is_large(record.value):
                self._digests[digest_value(record.value)] = None
        while len(self._digests) > VALUES_KEPT_MAX:
            self._digests.popitem(last=False)
        return RelayMessage(packed=packed)

    def _take_page(self) -> TopicRecords | None:
        """Return the records that the subscriber lacks, or None."""
        replica = self._replica
        history, end = self._position
        is_behind = replica.position > self._position
        if not is_behind and replica.revision == self._revision:
            return None
        is_ordered = replica.revision == self._revision and history == replica.history
        self._revision = replica.revision
        self._position = max(self._position, replica.position)
        if is_ordered and end >= replica.changes_from:
            return replica.build_changes(end)
        return replica.build_newest_records()

    def _find_bases(self, page: TopicRecords, digests: OrderedDict[int, None]) -> Bases:
        """Return the newest values that the subscriber has of the large ones."""
        bases: Bases = {}
        for record in page.records:
            if not is_large(record.value):
                continue
            for digest, value in self._replica.values.iterate_newest_first(record.key):
                if digest in digests:
                    bases[record.key] = (digest, value)
                    break
        return bases
