"""Waiting for capacity: which calls wait, for how long, and which goes first.

This module handles seconds with more requests than the servers have capacity for. A
server that is nearly full slows down all that it runs, so a request that is sent there
costs the others more than it gains. It waits at its VM instead, as long as it can still
be answered in time. Every slot that a request of this VM frees goes to one that waits,
so each VM keeps as many slots as it uses, and no two VMs run for the same one.

More urgent kinds go first, but one slot in a few goes to the call that has waited
longest, so that no kind starves. A call that would have to wait for too long, by the
rate at which slots come free, is refused at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf

from cardamomtack.placing.const import (
    FREED_SLOTS_FACTOR,
    FREED_SLOTS_PER_S_MIN,
    LONGEST_WAITING_EVERY,
    OVERLOAD_WINDOW_S,
    WAIT_WORK_FACTOR,
)

RATE_WINDOW_S = 1.0


class QueuedCall:
    """A call that waits for capacity.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    objective_at_s : float
        Monotonic time by which it is to be answered, in seconds.
    work_s : float
        Its work on an idle server, in seconds.

    Attributes
    ----------
    latest_start_at_s : float
        Monotonic time until which it may still be answered in time, in seconds.
    """

    __slots__ = ("latest_start_at_s", "objective_at_s", "priority")

    def __init__(self, priority: int, objective_at_s: float, work_s: float) -> None:
        self.latest_start_at_s = objective_at_s - WAIT_WORK_FACTOR * work_s
        self.objective_at_s = objective_at_s
        self.priority = priority


class WaitQueue:
    """The calls of one VM that wait for capacity at the servers of one service."""

    __slots__ = ("_assigned", "_calls", "_ended_at_s", "_overloaded_at_s")

    def __init__(self) -> None:
        self._calls: list[QueuedCall] = []
        self._ended_at_s: deque[float] = deque()
        self._assigned = 0
        self._overloaded_at_s = -inf

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._calls)

    def list_calls(self) -> list[QueuedCall]:
        """Return the calls that wait, in the order in which they came."""
        return list(self._calls)

    def is_overloaded(self, now_s: float) -> bool:
        """Return whether a call that could be in time found no capacity lately."""
        return bool(self._calls) or now_s - self._overloaded_at_s <= OVERLOAD_WINDOW_S

    def is_longest_waiting(self, call: QueuedCall) -> bool:
        """Return whether a call has waited longest."""
        return self._calls[0] is call

    def enqueue(self, call: QueuedCall, now_s: float) -> bool:
        """Let a call wait, and return whether it is likely to get capacity in time."""
        self._overloaded_at_s = now_s
        left_s = call.latest_start_at_s - now_s
        if left_s <= 0:
            return False
        before = sum(one.priority <= call.priority for one in self._calls)
        if before / self._estimate_slots_per_s(now_s) > left_s:
            return False
        self._calls.append(call)
        return True

    def remove(self, call: QueuedCall) -> None:
        """Remove a call, whether it got capacity or not."""
        if call in self._calls:
            self._calls.remove(call)

    def record_freed_slot(self, now_s: float) -> None:
        """Count a slot that a request of this VM has freed."""
        self._ended_at_s.append(now_s)
        self._drop_old(now_s)

    def choose_call(
        self, is_fit: Callable[[QueuedCall], bool], now_s: float
    ) -> QueuedCall | None:
        """Return the call that gets capacity which has come free, or None.

        Parameters
        ----------
        is_fit : callable
            Returns whether the capacity serves a call in time.
        """
        calls = [one for one in self._calls if one.latest_start_at_s >= now_s]
        is_fair_turn = (self._assigned + 1) % LONGEST_WAITING_EVERY == 0
        while calls:
            first = calls[0] if is_fair_turn else min(calls, key=_rank_call)
            if is_fit(first):
                self._assigned += 1
                return first
            calls.remove(first)
        return None

    def _estimate_slots_per_s(self, now_s: float) -> float:
        """Return how many slots a second may come free for calls of this VM."""
        self._drop_old(now_s)
        ended = len(self._ended_at_s) / RATE_WINDOW_S
        return max(FREED_SLOTS_PER_S_MIN, FREED_SLOTS_FACTOR * ended)

    def _drop_old(self, now_s: float) -> None:
        """Forget the ends before the window."""
        while self._ended_at_s and self._ended_at_s[0] < now_s - RATE_WINDOW_S:
            self._ended_at_s.popleft()


def _rank_call(call: QueuedCall) -> tuple[int, float]:
    """Return what orders calls: the urgent ones first, then those with less time."""
    return call.priority, call.objective_at_s
