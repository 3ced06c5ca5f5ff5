"""When callers come back that no server may take, because all have reached a limit."""

from __future__ import annotations

from math import inf, isfinite


class ReturnSchedule:
    """Spreads the callers of one service over the requests that its servers will take.

    Each is told the moment at which its turn comes, so that as many come back in a
    second as are taken in it.
    """

    __slots__ = ("_last_at_s",)

    def __init__(self) -> None:
        self._last_at_s = -inf

    def choose_retry_after_s(
        self, wait_s: float, rate_per_s: float, left_s: float, now_s: float
    ) -> float:
        """Return after how long a caller should come back, in seconds.

        Parameters
        ----------
        wait_s : float
            Until this VM may send again, in seconds; infinite where only others may.
        rate_per_s : float
            Requests a second that the servers take of the callers of this VM.
        left_s : float
            Until the caller gives up, in seconds. One that can't wait for its turn is
            told all the same, and leaves the turn to the next.
        """
        interval_s = 1.0 / rate_per_s
        earliest_s = now_s + (wait_s if isfinite(wait_s) else interval_s)
        returns_at_s = max(earliest_s, self._last_at_s + interval_s)
        if returns_at_s - now_s < left_s:
            self._last_at_s = returns_at_s
        return returns_at_s - now_s
