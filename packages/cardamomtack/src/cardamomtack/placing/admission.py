"""Refusing: which requests are placed, and which are sent back until when.

This module handles overload, with many more requests than the servers have capacity
for. Capacity goes to what can still be answered in time. A request whose objective has
passed gets what is left over: beside others that found no capacity lately, only servers
that are half idle. A request that finds none is refused at once, while it has not run.

Its caller is told to come back after its objective, at any moment of a time that is as
long as its deadline allows: a late answer is worth the same whenever it comes, and
before that the caller would only compete with those who can still be in time.

It also handles servers that reject a share of their requests although they have
capacity. A caller whose request was rejected there comes back at once, since the next
server may well take it, in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from cardamomtack.placing.const import (
    LATE_SLOT_SHARE_MAX,
    OWN_ZONE_OBJECTIVE_SHARE,
    WAIT_WORK_FACTOR,
)

PROMPT_RETRY_AFTER_S_MAX = 0.02
RETRY_AFTER_OBJECTIVES_MAX = 4.0
"""Callers with much time left come back when those that can be in time have gone; a
shorter pause brings them back into the same overload, where they are refused again."""

RETRY_AFTER_S_MIN = 0.1
RETRY_AFTER_SHARE_MAX = 0.3
"""Share of the caller's time left after which it may still be sent back."""

RETRY_AFTER_SPREAD_SHARE_MIN = 0.5
"""Share of the longest pause over which callers are spread at least."""


@dataclass(slots=True, frozen=True)
class PlacementTimes:
    """The times that decide about a request, in seconds.

    Attributes
    ----------
    estimate_s : float
        Until the server is expected to answer.
    work_s : float
        Work of the request on an idle server.
    objective_left_s : float
        Until the latency objective is missed.
    deadline_left_s : float
        Until the caller gives up.
    """

    estimate_s: float
    work_s: float
    objective_left_s: float
    deadline_left_s: float

    @property
    def is_in_time(self) -> bool:
        """Return whether the server is expected to answer within the objective."""
        return self.estimate_s <= self.objective_left_s

    @property
    def can_wait(self) -> bool:
        """Return whether a better server would still answer within the objective."""
        return self.objective_left_s > WAIT_WORK_FACTOR * self.work_s


@dataclass(slots=True, frozen=True)
class CallerTimes:
    """The times that decide when a refused caller comes back, in seconds.

    Attributes
    ----------
    objective_s : float
        Latency objective of the route.
    objective_left_s : float
        Until the latency objective is missed.
    caller_left_s : float
        Until the caller gives up, also where the route would end the request before.
    """

    objective_s: float
    objective_left_s: float
    caller_left_s: float


@dataclass(slots=True, frozen=True)
class ServerCapacity:
    """What a server has capacity for.

    Attributes
    ----------
    busy_share : float
        Share of its slots that would be busy with the request.
    has_capacity : bool
        Whether the request would neither wait for a slot nor slow others down.
    """

    busy_share: float
    has_capacity: bool


def is_good_enough(cost_s: float, objective_left_s: float) -> bool:
    """Return whether a server is taken without asking others.

    Parameters
    ----------
    cost_s : float
        Until the server is expected to answer, with a penalty for failures, in seconds.
    objective_left_s : float
        Until the latency objective is missed, in seconds.
    """
    return cost_s <= OWN_ZONE_OBJECTIVE_SHARE * objective_left_s


def is_worth_placing(
    times: PlacementTimes, capacity: ServerCapacity, is_overloaded: bool
) -> bool:
    """Return whether a request is sent to a server.

    One that can still be answered in time by another server waits for that one.

    Parameters
    ----------
    is_overloaded : bool
        Whether requests that could be in time have found no capacity lately.
    """
    if times.estimate_s > times.deadline_left_s or not capacity.has_capacity:
        return False
    if times.is_in_time:
        return True
    if times.can_wait:
        return False
    return not is_overloaded or capacity.busy_share <= LATE_SLOT_SHARE_MAX


def choose_retry_after_s(times: CallerTimes, random: Random) -> float:
    """Return when a caller that found no capacity should come back, in seconds.

    Callers that were refused together are spread, and each comes back with most of
    its time left.
    """
    longest_s = min(
        RETRY_AFTER_OBJECTIVES_MAX * times.objective_s,
        RETRY_AFTER_SHARE_MAX * max(0.0, times.caller_left_s),
    )
    shortest_s = min(
        max(RETRY_AFTER_S_MIN, times.objective_left_s),
        (1.0 - RETRY_AFTER_SPREAD_SHARE_MIN) * longest_s,
    )
    return random.uniform(shortest_s, longest_s)


def choose_prompt_retry_after_s(random: Random) -> float:
    """Return when a caller should come back that a server with capacity rejected."""
    return random.uniform(0.0, PROMPT_RETRY_AFTER_S_MAX)
