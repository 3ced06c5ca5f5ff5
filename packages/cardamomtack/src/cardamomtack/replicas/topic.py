"""A replica of one keyed topic, which never goes back.

This module handles records that arrive from the store, from several relays and from
snapshots, late, twice, stale, after a loss of records, and after the store came back
from a copy: then offsets of before are given out again, and what was written since the
copy is missing until it is written once more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import inf
from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.replicas.const import STALE_AFTER_S
from cardamomtack.replicas.large_values import LargeValues, is_large
from cardamomtack.replicas.offsets import OFFSET_EARLIER, KeyOffsets

DROPPED_KEPT = 2000
"""Dropped records that are remembered, so that a copy does not bring them back."""

END_UNKNOWN = -1
HISTORY_UNKNOWN = 0
SOURCE_STORE = "store"
START_NEWEST = -1

ChangeListener = Callable[[list[TopicRecord]], None]


class RecordOrder(Protocol):
    """Tells which of two records of a key is the newer one, by what they say."""

    keeps_absent: bool
    """Whether a record stays known while the store has come back without it."""

    def read_order(self, record: TopicRecord) -> tuple[int, ...] | None:
        """Return what grows with each record of a key; None when it can't be read."""


class Unordered:
    """The order of records that say nothing of it."""

    __slots__ = ("keeps_absent",)

    def __init__(self) -> None:
        self.keeps_absent = False

    def read_order(self, record: TopicRecord) -> tuple[int, ...] | None:
        """Return None: no record tells."""
        return None


class TopicGapError(Exception):
    """Records between those that are known and those that came are missing."""


class TopicReplica:
    """The newest record of each key of a topic.

    Parameters
    ----------
    topic : str
        Name of the topic.
    order : RecordOrder or None
        Compares records of two histories of the store; None when they tell nothing.

    Attributes
    ----------
    end : int
        Offset up to which all records are known; -1 before the first snapshot.
    history : int
        History of the store that the offsets belong to.
    revision : int
        Grows with each change that has no place in the order of the offsets.
    source : str
        Who told the last records: the store, or the id of a VM.
    values : LargeValues
        The last large values, against which others are packed.
    """

    __slots__ = (
        "_confirmation_listeners",
        "_confirmed_at_s",
        "_confirmed_by",
        "_copy_end_max",
        "_dropped",
        "_history_listeners",
        "_listeners",
        "_offsets",
        "_order",
        "_records_listeners",
        "_values",
        "_was_restored",
        "end",
        "history",
        "revision",
        "source",
        "topic",
        "values",
    )

    def __init__(self, topic: str, order: RecordOrder | None = None) -> None:
        self._confirmation_listeners: list[Callable[[], None]] = []
        self._confirmed_at_s = -inf
        self._confirmed_by = SOURCE_STORE
        # Records of this history from this offset on are in no copy of an earlier one.
        self._copy_end_max = END_UNKNOWN
        self._dropped: OrderedDict[str, TopicRecord] = OrderedDict()
        self._history_listeners: list[Callable[[], None]] = []
        self._listeners: list[ChangeListener] = []
        self._offsets = KeyOffsets()
        self._order = order or Unordered()
        self._records_listeners: list[Callable[[], None]] = []
        self._values: dict[str, bytes] = {}
        self._was_restored = False
        self.end = END_UNKNOWN
        self.history = HISTORY_UNKNOWN
        self.revision = 0
        self.source = SOURCE_STORE
        self.topic = topic
        self.values = LargeValues()

    @property
    def position(self) -> tuple[int, int]:
        """Return the history and the end, which grow together."""
        return (self.history, self.end)

    @property
    def has_earlier_records(self) -> bool:
        """Return whether it holds records that the store has lost."""
        return self._offsets.has_earlier

    @property
    def changes_from(self) -> int:
        """Return the offset from which all changes are known."""
        return self._offsets.changes_from

    def add_listener(self, listener: ChangeListener) -> None:
        """Call a listener with the records that change something."""
        self._listeners.append(listener)

    def add_history_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener before the records of another history are taken."""
        self._history_listeners.append(listener)

    def add_records_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever there is something new to tell others."""
        self._records_listeners.append(listener)

    def add_confirmation_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the store has confirmed the replica anew."""
        self._confirmation_listeners.append(listener)

    def confirm(self, at_s: float, source: str = SOURCE_STORE) -> None:
        """Note that the store confirmed the replica as of a monotonic time.

        Parameters
        ----------
        source : str
            Who told: the store, or the id of a VM.
        """
        if at_s <= self._confirmed_at_s:
            return
        self._confirmed_at_s = at_s
        self._confirmed_by = source
        for listener in self._confirmation_listeners:
            listener()

    def clear_confirmation(self) -> None:
        """Forget the confirmation, because the process was suspended."""
        self._confirmed_at_s = -inf

    def compute_age_s(self, now_s: float) -> float:
        """Return the seconds since the store confirmed the replica."""
        return max(0.0, now_s - self._confirmed_at_s)

    def is_fresh_without(self, source: str, now_s: float) -> bool:
        """Return whether another source than a given one has confirmed it lately."""
        is_fresh = self.compute_age_s(now_s) <= STALE_AFTER_S
        return is_fresh and self._confirmed_by != source

    def build_newest_records(self) -> TopicRecords:
        """Return the newest record of each key."""
        records = [
            TopicRecord(offset, key, self._values[key])
            for key, offset in self._offsets.list_items()
        ]
        return TopicRecords(self.topic, START_NEWEST, self.end, records, self.history)

    def build_changes(self, start: int) -> TopicRecords:
        """Return the newest record of each key that has changed from an offset on.

        Parameters
        ----------
        start : int
            At least the offset from which all changes are known.
        """
        records = [
            TopicRecord(offset, key, self._values.get(key, b""))
            for offset, key in self._offsets.list_since(start)
        ]
        return TopicRecords(self.topic, start, self.end, records, self.history)

    def apply_records(self, page: TopicRecords, source: str = SOURCE_STORE) -> None:
        """Take a range of records, or the newest records of all keys.

        Parameters
        ----------
        source : str
            Who told them: the store, or the id of a VM.

        Raises
        ------
        TopicGapError
            When records before the range are missing here.
        """
        self.source = source
        if page.start == START_NEWEST:
            self._apply_newest(page)
            return
        if page.history < self.history:
            self._keep_earlier(page.records, False)
            return
        if page.history > self.history or page.start > self.end:
            raise TopicGapError(
                f"{page.start} of history {page.history} follows {self.end} of "
                f"history {self.history}"
            )
        if page.end <= self.end:
            return
        # Of several records of a key the last one overtakes the others.
        newest = {one.key: one for one in page.records if one.offset >= self.end}
        self.end = page.end
        self._push([record for record in newest.values() if self._keep(record)])
        self._tell_listeners()

    def _apply_newest(self, page: TopicRecords) -> None:
        """Take the newest records of all keys, unless they are older than known."""
        position = (page.history, page.end)
        if position < self.position:
            self._keep_earlier(page.records, page.history == self.history)
            return
        is_new = position > self.position
        is_first = self.end == END_UNKNOWN
        if page.history > self.history and not is_first:
            changes = self._begin_history(page)
        else:
            changes = self._drop_absent(page)
        if page.history > self.history or is_first:
            self._copy_end_max = page.end
            self._offsets.changes_from = page.end
        ordered = sorted(page.records, key=lambda record: record.offset)
        changes += [record for record in ordered if self._keep(record)]
        self.end = page.end
        self.history = page.history
        self._push(changes)
        if changes and not is_new:
            self.revision += 1
        if is_new or changes:
            self._tell_listeners()

    def _begin_history(self, page: TopicRecords) -> list[TopicRecord]:
        """Take the first records of a store that has come back from a copy.

        What is known here may be newer than the copy: such records stay, and those
        that had been dropped stay dropped, until the store has them again.
        """
        logger.bind(
            topic=self.topic,
            history=page.history,
            end=page.end,
            known_history=self.history,
            known_end=self.end,
            source=self.source,
        ).warning("the store has come back from a copy")
        self._was_restored = True
        for listener in self._history_listeners:
            listener()
        self._offsets.begin_history(self._values)
        return self._remove_absent(page)

    def _drop_absent(self, page: TopicRecords) -> list[TopicRecord]:
        """Drop the keys that newest records of this history lack, and return them."""
        known = {record.key: record for record in self.build_newest_records().records}
        changes = self._remove_absent(page)
        for change in changes:
            self._remember_dropped(known[change.key])
        return changes

    def _remove_absent(self, page: TopicRecords) -> list[TopicRecord]:
        """Remove the keys that newest records lack, and return what became of them."""
        named = {record.key for record in page.records}
        changes = [
            TopicRecord(page.end - 1, key, b"")
            for key, offset in self._offsets.list_items()
            if key not in named
            and offset < page.end
            and not (offset == OFFSET_EARLIER and self._order.keeps_absent)
        ]
        for change in changes:
            self._offsets.record_drop(change.key, change.offset)
            del self._values[change.key]
        return changes

    def _keep_earlier(self, records: list[TopicRecord], is_same_history: bool) -> None:
        """Keep what an older page tells of a key that is newer by its own word.

        Another VM may still know what the store has lost. Of a page of this history,
        only records of earlier histories are taken: no other is missing here.
        """
        if not self._order.keeps_absent:
            return
        changes = []
        for record in records:
            if is_same_history and record.offset != OFFSET_EARLIER:
                continue
            earlier = TopicRecord(OFFSET_EARLIER, record.key, record.value)
            if self._compare(earlier) > 0:
                self._store(earlier)
                changes.append(earlier)
        if changes:
            self._push(changes)
            self.revision += 1
            self._tell_listeners()

    def _keep(self, record: TopicRecord) -> bool:
        """Keep a record and return whether it is newer than what is known."""
        if self._is_known(record):
            return False
        self._store(record)
        return True

    def _is_known(self, record: TopicRecord) -> bool:
        """Return whether what is known of a key is as new as a record, or newer."""
        if record.offset == OFFSET_EARLIER:
            return self._compare(record) <= 0
        known_offset = self._offsets.find(record.key)
        if known_offset is not None and record.offset <= known_offset:
            return True
        if self._was_dropped(record):
            return True
        # Offsets of this history say nothing of what an earlier one has told.
        is_mixed = self._was_restored or known_offset == OFFSET_EARLIER
        return is_mixed and bool(record.value) and self._compare(record) < 0

    def _was_dropped(self, record: TopicRecord) -> bool:
        """Return whether a record that tells no order is the one that was dropped.

        A copy of the store holds it at the offset that it has always had. A record at
        another offset may be newer, and is taken for it. One that was written after
        the copy may have the same offset by chance.
        """
        dropped = self._dropped.get(record.key)
        if dropped is None or not self._order.keeps_absent:
            return False
        if record.offset >= self._copy_end_max:
            return False
        is_same = bool(record.value) and record.offset == dropped.offset
        return is_same and self._order.read_order(record) is None

    def _store(self, record: TopicRecord) -> None:
        """Store a record in the place of the known one of its key."""
        known = self._values.pop(record.key, None)
        known_offset = self._offsets.find(record.key)
        if record.value:
            self._offsets.record_value(record.key, record.offset)
            self._values[record.key] = record.value
            self._dropped.pop(record.key, None)
            if is_large(record.value):
                self.values.add(record.key, record.value)
            return
        self._offsets.record_drop(record.key, record.offset)
        if known is not None and known_offset is not None:
            self._remember_dropped(TopicRecord(known_offset, record.key, known))

    def _remember_dropped(self, record: TopicRecord) -> None:
        """Remember the last record of a key that was dropped."""
        self._dropped[record.key] = record
        if len(self._dropped) > DROPPED_KEPT:
            self._dropped.popitem(last=False)

    def _compare(self, record: TopicRecord) -> int:
        """Compare a record with what is known of its key, by what both say.

        Returns
        -------
        int
            1 when it is newer, -1 when it is older or was dropped, 0 when they are
            alike or do not tell.
        """
        dropped = self._dropped.get(record.key)
        value = self._values.get(record.key, dropped.value if dropped else None)
        if value is None:
            return 1
        told = self._order.read_order(record)
        known = self._order.read_order(TopicRecord(0, record.key, value))
        if told is None or known is None:
            return (told is not None) - (known is not None)
        if told == known:
            return 0 if dropped is None else -1
        return 1 if told > known else -1

    def _push(self, changes: list[TopicRecord]) -> None:
        """Push changes to the listeners."""
        for listener in self._listeners:
            listener(changes)

    def _tell_listeners(self) -> None:
        """Tell the listeners that there is something new to tell others."""
        for listener in self._records_listeners:
            listener()
