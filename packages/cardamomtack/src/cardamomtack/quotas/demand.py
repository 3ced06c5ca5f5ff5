"""How many tokens of a workspace a VM asks for."""

from __future__ import annotations

from math import exp

from cardamomtack.quotas.const import PREFETCH_MAX, PREFETCH_S, RATE_TIME_S


class DemandMeter:
    """Measures the requests of one workspace at this VM.

    Parameters
    ----------
    now_s : float
        Monotonic time, in seconds.
    """

    __slots__ = ("_measured_at_s", "_rate_per_s")

    def __init__(self, now_s: float) -> None:
        self._measured_at_s = now_s
        self._rate_per_s = 0.0

    def record_request(self, now_s: float) -> None:
        """Record a request."""
        self._decay(now_s)
        self._rate_per_s += 1.0 / RATE_TIME_S

    def count_in_advance(self, spare: int, now_s: float) -> int:
        """Return how many tokens to ask for beyond those that requests wait for.

        Parameters
        ----------
        spare : int
            Tokens that are there already.
        """
        self._decay(now_s)
        wanted = min(PREFETCH_MAX, int(self._rate_per_s * PREFETCH_S))
        return max(0, wanted - spare)

    def _decay(self, now_s: float) -> None:
        """Let what was measured before count for less."""
        elapsed_s = max(0.0, now_s - self._measured_at_s)
        self._measured_at_s = now_s
        self._rate_per_s *= exp(-elapsed_s / RATE_TIME_S)
