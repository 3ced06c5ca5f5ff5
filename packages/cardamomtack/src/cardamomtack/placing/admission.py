"""Refusing: which requests are placed although servers are full, and which are not.

The load that this answers: many more requests than the servers have room for. Work
that would be late takes the room of work that could be in time, so a request that no
server is expected to answer in time is refused at once, while it has not run, and its
caller is told when to come back. Less urgent kinds stop waiting for room first.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from cardamomtack.placing.const import OWN_ZONE_OBJECTIVE_SHARE

WAIT_SHARE_BY_PRIORITY = (0.9, 0.8, 0.7)
"""Share of what is left of the latency objective that a request may need."""

RETRY_AFTER_S_MAX = 0.6
RETRY_AFTER_S_MIN = 0.1
RETRY_AFTER_SHARE_MAX = 0.3
"""Share of the caller's time left after which it may still be sent back."""


@dataclass(slots=True, frozen=True)
class PlacementTimes:
    """The times that decide about a request, in seconds.

    Attributes
    ----------
    estimate_s : float
        Until the best server is expected to answer.
    objective_left_s : float
        Until the latency objective is missed.
    deadline_left_s : float
        Until the caller gives up.
    """

    estimate_s: float
    objective_left_s: float
    deadline_left_s: float


def is_good_enough(cost_s: float, objective_left_s: float) -> bool:
    """Return whether a server of the own zone is taken without asking others.

    Parameters
    ----------
    cost_s : float
        Until the server is expected to answer, with a penalty for doubt, in seconds.
    objective_left_s : float
        Until the latency objective is missed, in seconds.
    """
    return cost_s <= OWN_ZONE_OBJECTIVE_SHARE * objective_left_s


def is_worth_placing(times: PlacementTimes, priority: int, is_full: bool) -> bool:
    """Return whether a request is sent to the best server that was found.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    is_full : bool
        Whether the request would wait for a slot of the server or slow it down.
    """
    if times.estimate_s > times.deadline_left_s:
        return False
    if not is_full:
        return True
    last = len(WAIT_SHARE_BY_PRIORITY) - 1
    share = WAIT_SHARE_BY_PRIORITY[min(max(priority, 0), last)]
    return times.estimate_s <= share * times.objective_left_s


def choose_retry_after_s(deadline_left_s: float, random: Random) -> float:
    """Return when a refused caller should come back, in seconds.

    Callers that were refused together are spread, and each comes back with most of
    its time left.
    """
    longest_s = min(
        RETRY_AFTER_S_MAX, RETRY_AFTER_SHARE_MAX * max(0.0, deadline_left_s)
    )
    shortest_s = min(RETRY_AFTER_S_MIN, longest_s)
    return random.uniform(shortest_s, longest_s)
