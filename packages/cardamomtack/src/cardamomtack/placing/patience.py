"""How long callers have waited before they send a request again.

The load that this answers: a crowd that comes back after refusals or an outage. Such a
request looks new, but its objective has been running since its first send. Callers of
a route start with the same deadline, which counts down over their sends, so what is
missing of it is the time that has gone.
"""

from __future__ import annotations

from collections import deque

KEPT = 64
SPREAD_SHARE = 0.05
"""Part of a deadline that may be missing for other reasons, such as the way here."""


class CallerPatience:
    """Learns the deadline with which the callers of each route start."""

    __slots__ = ("_deadlines_s",)

    def __init__(self) -> None:
        self._deadlines_s: dict[str, deque[float]] = {}

    def estimate_waited_s(self, route: str, deadline_s: float) -> float:
        """Return how long a caller has probably waited, and learn from it.

        Parameters
        ----------
        deadline_s : float
            How long the caller will still wait, in seconds.
        """
        known = self._deadlines_s.get(route)
        if known is None:
            known = deque(maxlen=KEPT)
            self._deadlines_s[route] = known
        known.append(deadline_s)
        first_s = max(known)
        missing_s = first_s - deadline_s
        return missing_s if missing_s > SPREAD_SHARE * first_s else 0.0
