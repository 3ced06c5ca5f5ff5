"""Bounds what a VM holds, and chooses the slowest of the callers that read."""

from __future__ import annotations

from typing import Protocol

from cardamomtack.helpers.clock import Clock
from cardamomtack.memory.const import (
    BUFFERED_SHARE,
    EXCESS_FACTOR,
    READER_GRACE_S,
)


class MemoryBudget:
    """Bounds the bytes that are held for one purpose.

    Parameters
    ----------
    limit_bytes : int
        Most that may be held together.

    Attributes
    ----------
    held_bytes : int
        What is reserved now.
    """

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self.limit_bytes = limit_bytes

    def reserve(self, size: int) -> bool:
        """Return whether so many more bytes may be held, and reserve them."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size


class ResponseReader(Protocol):
    """A caller that has not taken all of its response."""

    @property
    def taken_bytes(self) -> int:
        """Return what it has taken since its connection began."""


class _Wait:
    """When the wait for a reader began, and what it had taken by then."""

    __slots__ = ("began_at_s", "taken_bytes")

    def __init__(self, began_at_s: float, taken_bytes: int) -> None:
        self.began_at_s = began_at_s
        self.taken_bytes = taken_bytes


class ResponseBudget:
    """Bounds what is held of responses, between servers and slow readers.

    Bytes that have arrived are counted even beyond the limit, so that a small response
    never waits. Long responses depend on `may_buffer` and `has_room`.

    Parameters
    ----------
    limit_bytes : int
        Most that long responses may hold together.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    held_bytes : int
        What is held now.
    """

    __slots__ = ("_clock", "_readers", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int, clock: Clock) -> None:
        self._clock = clock
        self._readers: dict[ResponseReader, _Wait] = {}
        self.held_bytes = 0
        self.limit_bytes = limit_bytes

    @property
    def has_room(self) -> bool:
        """Return whether more of a long response may be read."""
        return self.held_bytes < self.limit_bytes

    @property
    def may_buffer(self) -> bool:
        """Return whether long responses are held until they are whole."""
        return self.held_bytes < BUFFERED_SHARE * self.limit_bytes

    @property
    def is_exceeded(self) -> bool:
        """Return whether a reader has to be closed without delay."""
        return self.held_bytes > EXCESS_FACTOR * self.limit_bytes

    def add_reader(self, reader: ResponseReader) -> None:
        """Note that a reader does not take its response as fast as it is sent."""
        now_s = self._clock.read_monotonic_s()
        self._readers[reader] = _Wait(now_s, reader.taken_bytes)

    def remove_reader(self, reader: ResponseReader) -> None:
        """Note that a response has been taken, or given up."""
        self._readers.pop(reader, None)

    def choose_slowest(self) -> ResponseReader | None:
        """Return the reader that takes the least, or None when none is waited for.

        Those that have just begun to be waited for come after all others.
        """
        now_s = self._clock.read_monotonic_s()
        return min(
            self._readers,
            key=lambda reader: self._rank(reader, now_s),
            default=None,
        )

    def _rank(self, reader: ResponseReader, now_s: float) -> tuple[bool, float]:
        """Return what orders the readers, the slowest first."""
        wait = self._readers[reader]
        waited_s = now_s - wait.began_at_s
        taken_bytes = reader.taken_bytes - wait.taken_bytes
        if waited_s < READER_GRACE_S:
            return True, taken_bytes
        return False, taken_bytes / waited_s
