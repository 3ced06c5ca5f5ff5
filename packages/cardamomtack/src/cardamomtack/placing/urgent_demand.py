"""Which part of the less urgent calls is admitted while urgent ones find no capacity.

This module handles long work of a less urgent kind beside short urgent work. The order
of a queue does not help where the slots are held already: a less urgent call with a
distant objective waits until it finds one, at each VM, while urgent ones run out of
time. So less urgent calls are turned away as they come in the proportion in which
urgent ones found no capacity lately, and never more than three quarters of them. This
ends with the urgent demand.
"""

from __future__ import annotations

from math import inf
from typing import Final

ADMITTED_SHARE_MIN: Final = 0.25
COUNT_HALF_LIFE_S: Final = 3.0
COUNT_PRIOR: Final = 2.0
"""Urgent calls that are taken to have found capacity beside those known."""

SERVED_SHARE_USUAL: Final = 0.85
"""Part of the urgent calls that have got capacity from which none is turned away for
them: the others wait and are likely to get it in time."""

SHORT_WORK_SHARE: Final = 0.8
"""Less urgent work that is shorter than this part of the urgent one's is not turned
away: its slots come free before urgent calls run out of time."""

SHORTAGE_S: Final = 5.0
"""For how long an urgent call that found no capacity counts; a VM with few requests
sees one in a few seconds."""

WORK_GAIN: Final = 0.1


class _PriorityDemand:
    """The calls of one priority.

    Attributes
    ----------
    short_at_s : float
        Monotonic time at which one last found no capacity as it came, in seconds.
    work_s : float
        Their usual work on an idle server, in seconds.
    """

    __slots__ = ("_asked", "_at_s", "_placed", "short_at_s", "work_s")

    def __init__(self, work_s: float) -> None:
        self._asked = 0.0
        self._at_s = 0.0
        self._placed = 0.0
        self.short_at_s = -inf
        self.work_s = work_s

    def add(self, asked: int, placed: int, now_s: float) -> None:
        """Count calls that have come, and calls that have got capacity."""
        known_asked, known_placed = self.read(now_s)
        self._asked = known_asked + asked
        self._placed = known_placed + placed
        self._at_s = now_s

    def read(self, now_s: float) -> tuple[float, float]:
        """Return how many calls came lately, and how many got capacity."""
        kept = float(0.5 ** (max(0.0, now_s - self._at_s) / COUNT_HALF_LIFE_S))
        return self._asked * kept, self._placed * kept


class UrgentDemand:
    """What became lately of the calls of each priority, at one VM and for one service.

    Only calls that could be in time count.
    """

    __slots__ = ("_priorities",)

    def __init__(self) -> None:
        self._priorities: dict[int, _PriorityDemand] = {}

    def record_call(self, priority: int, work_s: float, now_s: float) -> None:
        """Count a call that has come.

        Parameters
        ----------
        work_s : float
            Its work on an idle server, in seconds.
        """
        demand = self._priorities.setdefault(priority, _PriorityDemand(work_s))
        demand.work_s += WORK_GAIN * (work_s - demand.work_s)
        demand.add(1, 0, now_s)

    def record_placed(self, priority: int, now_s: float) -> None:
        """Count a call that has got capacity."""
        demand = self._priorities.get(priority)
        if demand is not None:
            demand.add(0, 1, now_s)

    def record_shortage(self, priority: int, now_s: float) -> None:
        """Record that a call found no capacity as it came."""
        demand = self._priorities.get(priority)
        if demand is not None:
            demand.short_at_s = now_s

    def compute_admitted_share(
        self, priority: int, work_s: float, now_s: float
    ) -> float:
        """Return which part of the calls of a priority is admitted, from 0 to 1.

        Parameters
        ----------
        work_s : float
            Work of the call on an idle server, in seconds.
        """
        urgent = [
            demand for known, demand in self._priorities.items() if known < priority
        ]
        if not any(now_s - demand.short_at_s <= SHORTAGE_S for demand in urgent):
            return 1.0
        counts = [
            demand.read(now_s)
            for demand in urgent
            if work_s >= SHORT_WORK_SHARE * demand.work_s
        ]
        asked = COUNT_PRIOR + sum(count[0] for count in counts)
        placed = COUNT_PRIOR + sum(count[1] for count in counts)
        share = placed / asked
        return max(ADMITTED_SHARE_MIN, share) if share < SERVED_SHARE_USUAL else 1.0
