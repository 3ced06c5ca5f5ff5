"""The clock that decisions are given."""

from __future__ import annotations

import time
from typing import Protocol

MS_PER_S = 1000.0


class Clock(Protocol):
    """Tells the time."""

    def read_monotonic_s(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    def read_boot_s(self) -> float:
        """Return seconds since the start of the VM, those suspended included."""

    def read_epoch_ms(self) -> int:
        """Return milliseconds since the epoch."""


class SystemClock:
    """Tells the time of the machine."""

    __slots__ = ()

    def read_monotonic_s(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        return time.monotonic()

    def read_boot_s(self) -> float:
        """Return seconds since the start of the VM, those suspended included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_epoch_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return int(time.time() * MS_PER_S)


class ManualClock:
    """A clock that only moves when it is told to.

    Parameters
    ----------
    monotonic_s : float
        First monotonic reading, in seconds.
    epoch_ms : int
        First reading of the wall clock, in milliseconds since the epoch.
    """

    __slots__ = ("_epoch_ms", "_monotonic_s")

    def __init__(self, monotonic_s: float = 0.0, epoch_ms: int = 0) -> None:
        self._monotonic_s = monotonic_s
        self._epoch_ms = float(epoch_ms)

    def read_monotonic_s(self) -> float:
        """Return the current monotonic reading, in seconds."""
        return self._monotonic_s

    def read_boot_s(self) -> float:
        """Return the current monotonic reading; this clock is never suspended."""
        return self._monotonic_s

    def read_epoch_ms(self) -> int:
        """Return the current wall clock reading, in milliseconds."""
        return int(self._epoch_ms)

    def advance(self, seconds: float) -> None:
        """Move both readings on by some seconds."""
        self._monotonic_s += seconds
        self._epoch_ms += seconds * MS_PER_S
