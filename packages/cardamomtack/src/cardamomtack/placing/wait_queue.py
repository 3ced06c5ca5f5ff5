"""Waiting for capacity: which calls wait, for how long, and which goes first.

This module handles seconds with more requests than the servers have capacity for. A
server that is nearly full slows down all that it runs, so a request that is sent there
costs the others more than it gains. It waits at its VM instead, as long as it can still
be answered in time. Every slot that a request of this VM frees goes to one that waits,
so each VM keeps as many slots as it uses, and no two VMs run for the same one.

More urgent kinds go first, then workspaces that have used the least lately in
proportion to their weight, then calls with less time. One slot in a few goes, whatever
the priority, to the workspace with the least use and there to the call that has waited
longest, so that no kind and no workspace starves. A call that would have to wait for
too long, by the rate at which slots come free, is refused at once.
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
from cardamomtack.placing.recent_use import (
    RecentUse,
    count_earlier_turns,
    find_share,
    find_weight,
)
from cardamomtack.placing.urgent_demand import UrgentDemand
from cardamomtack.workspaces.policy import Workspace

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
    workspace : Workspace or None
        The workspace whose share it uses; None for the share of those without one.

    Attributes
    ----------
    latest_start_at_s : float
        Monotonic time until which it may still be answered in time, in seconds.
    position : int or None
        Calls that would go before it when it joined, or was refused for them.
    """

    __slots__ = (
        "latest_start_at_s",
        "objective_at_s",
        "position",
        "priority",
        "work_s",
        "workspace",
    )

    def __init__(
        self,
        priority: int,
        objective_at_s: float,
        work_s: float,
        workspace: Workspace | None = None,
    ) -> None:
        self.latest_start_at_s = objective_at_s - WAIT_WORK_FACTOR * work_s
        self.objective_at_s = objective_at_s
        self.position: int | None = None
        self.priority = priority
        self.work_s = work_s
        self.workspace = workspace


class WaitQueue:
    """The calls of one VM that wait for capacity at the servers of one service."""

    __slots__ = (
        "_assigned",
        "_calls",
        "_demand",
        "_ended_at_s",
        "_overloaded_at_s",
        "_use",
    )

    def __init__(self) -> None:
        self._calls: list[QueuedCall] = []
        self._ended_at_s: deque[float] = deque()
        self._assigned = 0
        self._overloaded_at_s = -inf
        self._use = RecentUse()
        self._demand = UrgentDemand()

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
        if not self._use.is_beyond_share(call.workspace, now_s):
            self._demand.record_shortage(call.priority, now_s)
        call.position = self.count_ahead(call, now_s)
        if call.position / self._estimate_slots_per_s(now_s) > left_s:
            return False
        self._calls.append(call)
        return True

    def remove(self, call: QueuedCall) -> None:
        """Remove a call, whether it got capacity or not."""
        if call in self._calls:
            self._calls.remove(call)

    def count_ahead(self, call: QueuedCall, now_s: float) -> int:
        """Return how many of the calls that wait would go before a new one.

        Each slot that a workspace gets moves it back behind the others, so of its many
        calls only a few go before the next one of another.
        """
        ahead = sum(one.priority < call.priority for one in self._calls)
        counts: dict[str | None, int] = {}
        workspaces: dict[str | None, Workspace | None] = {}
        for one in self._calls:
            if one.priority == call.priority:
                share = find_share(one.workspace)
                counts[share] = counts.get(share, 0) + 1
                workspaces[share] = one.workspace
        own_share = find_share(call.workspace)
        own = counts.pop(own_share, 0)
        level = self._use.read_use_s(own_share, now_s) + own * call.work_s
        level /= find_weight(call.workspace)
        for share, count in counts.items():
            use_s = self._use.read_use_s(share, now_s)
            weight = find_weight(workspaces[share])
            ahead += count_earlier_turns(use_s, weight, call.work_s, level, count)
        return ahead + own

    def record_call(self, call: QueuedCall, now_s: float) -> float:
        """Count a call that has come, and return with which probability it is placed.

        Urgent calls of a workspace that is beyond its share make no others wait.
        """
        is_urgent = not self._use.is_beyond_share(call.workspace, now_s)
        if is_urgent and call.objective_at_s > now_s:
            self._demand.record_call(call.priority, call.work_s, now_s)
        return self._demand.compute_admitted_share(call.priority, call.work_s, now_s)

    def record_placed(self, call: QueuedCall, now_s: float) -> None:
        """Count capacity that a call got without waiting."""
        is_late = call.objective_at_s <= now_s
        if not is_late and not self._use.is_beyond_share(call.workspace, now_s):
            self._demand.record_placed(call.priority, now_s)
        self._use.record(call.workspace, call.work_s, now_s)

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
        for first in self._order(calls, is_fair_turn, now_s):
            if is_fit(first):
                self._assigned += 1
                self._use.record(first.workspace, first.work_s, now_s)
                if not self._use.is_beyond_share(first.workspace, now_s):
                    self._demand.record_placed(first.priority, now_s)
                return first
        return None

    def _order(
        self, calls: list[QueuedCall], is_fair_turn: bool, now_s: float
    ) -> list[QueuedCall]:
        """Return calls in the order in which they go; they come in that of arrival."""
        levels = {
            find_share(one.workspace): self._use.compute_level(one.workspace, now_s)
            for one in calls
        }
        if is_fair_turn:
            return sorted(calls, key=lambda one: levels[find_share(one.workspace)])
        return sorted(
            calls,
            key=lambda one: (
                one.priority,
                levels[find_share(one.workspace)],
                one.objective_at_s,
            ),
        )

    def _estimate_slots_per_s(self, now_s: float) -> float:
        """Return how many slots a second may come free for calls of this VM."""
        self._drop_old(now_s)
        ended = len(self._ended_at_s) / RATE_WINDOW_S
        return max(FREED_SLOTS_PER_S_MIN, FREED_SLOTS_FACTOR * ended)

    def _drop_old(self, now_s: float) -> None:
        """Forget the ends before the window."""
        while self._ended_at_s and self._ended_at_s[0] < now_s - RATE_WINDOW_S:
            self._ended_at_s.popleft()
