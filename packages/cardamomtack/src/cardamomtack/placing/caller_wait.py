"""How long callers have waited before they send a request again.

This module handles callers that come back after refusals or an outage. Such a request
looks new, but its objective has been running since its first send. Callers of a route
start with similar deadlines, which count down over their sends, so what is missing of a
usual deadline is the time that has gone. How much the deadlines of first sends differ
is learnt from requests that are known to be first sends, and while nobody is sent back;
only what is missing beyond counts.
"""

from __future__ import annotations

from collections import deque

FIRST_SENDS_MIN = 16
"""Deadlines that must be known before their spread is taken from them."""

DEADLINES_KEPT = 64
MISSING_SHARE_DEFAULT = 0.3
MISSING_SHARE_QUANTILE = 0.95
MISSING_SHARE_MIN = 0.05
"""Part of a deadline that may be missing for other reasons, such as the way here."""


class _RouteDeadlines:
    """The deadlines of one route.

    Attributes
    ----------
    latest_s : deque of float
        The deadlines of the latest requests, in seconds.
    missing : deque of float
        What was missing of the longest at first sends, as a share of it.
    """

    __slots__ = ("latest_s", "missing")

    def __init__(self) -> None:
        self.latest_s: deque[float] = deque(maxlen=DEADLINES_KEPT)
        self.missing: deque[float] = deque(maxlen=DEADLINES_KEPT)

    def add(self, deadline_s: float) -> float:
        """Add a deadline and return what is missing of the longest, as a share."""
        self.latest_s.append(deadline_s)
        longest_s = max(self.latest_s)
        return 1.0 - deadline_s / longest_s if longest_s > 0 else 0.0

    def find_spread(self) -> tuple[float, float]:
        """Return what may be missing of the longest deadline at a first send.

        Returns
        -------
        float, float
            The median and the greatest share.
        """
        if len(self.missing) < FIRST_SENDS_MIN:
            return MISSING_SHARE_DEFAULT / 2.0, MISSING_SHARE_DEFAULT
        ordered = sorted(self.missing)
        greatest = ordered[int(MISSING_SHARE_QUANTILE * (len(ordered) - 1))]
        return ordered[len(ordered) // 2], max(MISSING_SHARE_MIN, greatest)


class CallerWaitEstimator:
    """Learns the deadlines with which the callers of each route start."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDeadlines] = {}

    def record_first_send(self, route: str, deadline_s: float) -> None:
        """Learn from a request that is known to be a first send.

        Parameters
        ----------
        deadline_s : float
            How long the caller will wait, in seconds.
        """
        deadlines = self._get_deadlines(route)
        deadlines.missing.append(deadlines.add(deadline_s))

    def estimate_waited_s(self, route: str, deadline_s: float, is_calm: bool) -> float:
        """Return how long a caller has probably waited, and learn from it.

        Parameters
        ----------
        deadline_s : float
            How long the caller will still wait, in seconds.
        is_calm : bool
            Whether no caller has been sent back lately.
        """
        deadlines = self._get_deadlines(route)
        missing = deadlines.add(deadline_s)
        usual, greatest = deadlines.find_spread()
        if is_calm:
            deadlines.missing.append(missing)
        if missing <= greatest:
            return 0.0
        return (missing - usual) * max(deadlines.latest_s)

    def _get_deadlines(self, route: str) -> _RouteDeadlines:
        """Return what is known of a route, nothing at first."""
        deadlines = self._routes.get(route)
        if deadlines is None:
            deadlines = _RouteDeadlines()
            self._routes[route] = deadlines
        return deadlines
