"""The end of this VM, and what can still be answered before it."""

from __future__ import annotations

from math import inf

from cardamomtack.helpers.clock import Clock
from cardamomtack_daemon.forwarding.const import FINISH_FACTOR, FINISH_S_MIN


class Departure:
    """Knows when this VM ends, from the signal that asks for it on.

    Parameters
    ----------
    clock : Clock
        Tells the time.

    Attributes
    ----------
    ends_at_s : float
        Monotonic time at which all requests must have been answered, in seconds;
        infinite while this VM stays.
    """

    __slots__ = ("_clock", "ends_at_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at_s = inf

    @property
    def has_begun(self) -> bool:
        """Return whether this VM is going to end."""
        return self.ends_at_s < inf

    @property
    def is_over(self) -> bool:
        """Return whether all requests should have been answered by now."""
        return self._clock.read_monotonic_s() >= self.ends_at_s

    def begin(self, left_s: float) -> None:
        """Have this VM end after a time, in seconds."""
        self.ends_at_s = self._clock.read_monotonic_s() + left_s

    def compute_latest_start_s(self, estimate_s: float) -> float:
        """Return until when a request may be sent, as a monotonic time in seconds.

        Parameters
        ----------
        estimate_s : float
            Time that its answer is expected to take, in seconds.
        """
        return self.ends_at_s - max(FINISH_S_MIN, FINISH_FACTOR * estimate_s)

    def can_finish(self, estimate_s: float) -> bool:
        """Return whether a request that is sent now is answered before the end."""
        if not self.has_begun:
            return True
        latest_start_s = self.compute_latest_start_s(estimate_s)
        return self._clock.read_monotonic_s() <= latest_start_s
