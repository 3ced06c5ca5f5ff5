"""A replica of one keyed topic, which never goes back.

This module handles records that arrive from the store, from several relays and from
snapshots, late, twice, stale or after a loss of history.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.replicas.const import STALE_AFTER_S

END_UNKNOWN = -1
SOURCE_STORE = "store"
START_NEWEST = -1

ChangeListener = Callable[[list[TopicRecord]], None]


class TopicGapError(Exception):
    """Records between those that are known and those that came are missing."""


class TopicReplica:
    """The newest record of each key of a topic.

    Parameters
    ----------
    topic : str
        Name of the topic.

    Attributes
    ----------
    end : int
        Offset up to which all records are known; -1 before the first snapshot.
    source : str
        Who told the last records: the store, or the id of a VM.
    """

    __slots__ = (
        "_confirmation_listeners",
        "_confirmed_at_s",
        "_confirmed_by",
        "_listeners",
        "_offsets",
        "_relays",
        "_values",
        "end",
        "source",
        "topic",
    )

    def __init__(self, topic: str) -> None:
        self._confirmation_listeners: list[Callable[[], None]] = []
        self._confirmed_at_s = -inf
        self._confirmed_by = SOURCE_STORE
        self._listeners: list[ChangeListener] = []
        self._offsets: dict[str, int] = {}
        self._relays: list[Callable[[TopicRecords], None]] = []
        self._values: dict[str, bytes] = {}
        self.end = END_UNKNOWN
        self.source = SOURCE_STORE
        self.topic = topic

    def add_listener(self, listener: ChangeListener) -> None:
        """Call a listener with the records that change something."""
        self._listeners.append(listener)

    def add_records_listener(self, relay: Callable[[TopicRecords], None]) -> None:
        """Call a relay with each range of records that is new here."""
        self._relays.append(relay)

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
        """Forget the confirmation, because the process has stood still."""
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
            TopicRecord(self._offsets[key], key, value)
            for key, value in self._values.items()
        ]
        return TopicRecords(self.topic, START_NEWEST, self.end, records)

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
        if page.start > self.end:
            raise TopicGapError(f"{page.start} follows {self.end}")
        if page.end <= self.end:
            return
        known_end = self.end
        records = [record for record in page.records if record.offset >= known_end]
        self.end = page.end
        self._push([record for record in records if self._keep(record)])
        ranged = TopicRecords(self.topic, known_end, page.end, records)
        for relay in self._relays:
            relay(ranged)

    def _apply_newest(self, page: TopicRecords) -> None:
        """Take the newest records of all keys, unless they are older than known."""
        if page.end < self.end:
            return
        named = {record.key for record in page.records}
        changes = [
            TopicRecord(page.end, key, b"")
            for key in list(self._values)
            if key not in named and self._offsets[key] < page.end
        ]
        for change in changes:
            del self._values[change.key]
            del self._offsets[change.key]
        changes += [record for record in page.records if self._keep(record)]
        is_new = page.end > self.end
        self.end = page.end
        self._push(changes)
        if is_new or changes:
            newest = self.build_newest_records()
            for relay in self._relays:
                relay(newest)

    def _keep(self, record: TopicRecord) -> bool:
        """Keep a record and return whether it is newer than what is known."""
        if record.offset <= self._offsets.get(record.key, -1):
            return False
        if record.value:
            self._offsets[record.key] = record.offset
            self._values[record.key] = record.value
        else:
            self._offsets.pop(record.key, None)
            self._values.pop(record.key, None)
        return True

    def _push(self, changes: list[TopicRecord]) -> None:
        """Push changes to the listeners."""
        for listener in self._listeners:
            listener(changes)
