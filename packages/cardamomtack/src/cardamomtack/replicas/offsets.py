"""The offsets of the newest records of a topic, in the order of their changes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator

DROPS_KEPT = 2000
"""Dropped keys that are remembered for those who learn of changes only."""

OFFSET_EARLIER = -1
"""Offset of a record that only an earlier history of the store has."""


class KeyOffsets:
    """The offset at which each key last changed.

    Attributes
    ----------
    changes_from : int
        Offset from which all changes are known, drops among them.
    """

    __slots__ = ("_drops", "_is_sorted", "_last", "_offsets", "changes_from")

    def __init__(self) -> None:
        self._drops: OrderedDict[str, int] = OrderedDict()
        self._is_sorted = True
        self._last = OFFSET_EARLIER
        self._offsets: dict[str, int] = {}
        self.changes_from = 0

    @property
    def has_earlier(self) -> bool:
        """Return whether a key has a record of an earlier history only."""
        return OFFSET_EARLIER in self._offsets.values()

    def find(self, key: str) -> int | None:
        """Return the offset of the newest record of a key, None without one."""
        return self._offsets.get(key)

    def list_items(self) -> Iterable[tuple[str, int]]:
        """Return the keys that have a record, and its offset."""
        return self._offsets.items()

    def begin_history(self, keys: Iterable[str]) -> None:
        """Note that the offsets of before say nothing any more."""
        self._drops.clear()
        self._is_sorted = True
        self._last = OFFSET_EARLIER
        self._offsets = dict.fromkeys(keys, OFFSET_EARLIER)

    def record_value(self, key: str, offset: int) -> None:
        """Record that a key has a newer record."""
        self._offsets.pop(key, None)
        self._drops.pop(key, None)
        self._offsets[key] = offset
        self._is_sorted = self._is_sorted and offset >= self._last
        self._last = max(self._last, offset)

    def record_drop(self, key: str, offset: int) -> None:
        """Record that a key was dropped."""
        self._offsets.pop(key, None)
        self._drops[key] = offset
        if len(self._drops) > DROPS_KEPT:
            _, forgotten = self._drops.popitem(last=False)
            self.changes_from = max(self.changes_from, forgotten + 1)

    def list_since(self, start: int) -> list[tuple[int, str]]:
        """Return the offsets and keys that have changed from an offset on, in order.

        The effort is that of the changes, not of all keys.
        """
        changes = [
            (offset, key) for key, offset in self._drops.items() if offset >= start
        ]
        for key, offset in self._iterate_newest_first():
            if offset < start:
                break
            changes.append((offset, key))
        return sorted(changes)

    def _iterate_newest_first(self) -> Iterator[tuple[str, int]]:
        """Return the keys with their offsets, those that changed last first."""
        if not self._is_sorted:
            ordered = sorted(self._offsets.items(), key=lambda item: item[1])
            self._offsets = dict(ordered)
            self._is_sorted = True
        return reversed(self._offsets.items())
