"""What is learnt of the servers of a service from the time that their answers take.

This module handles servers on shared machines, of which nobody knows whether a request
keeps the speed with which it began, and whether a server that is nearly full slows
down. Both decide which of two servers answers first, so both are learnt.
"""

from __future__ import annotations

from dataclasses import dataclass

from cardamomtack.placing.const import (
    NEAR_CAPACITY_SHARE,
    NEAR_CAPACITY_SLOWDOWN_HARMLESS,
    NEAR_CAPACITY_SLOWDOWN_INITIAL,
    NEAR_CAPACITY_SLOWDOWN_MAX,
    SLOW_TRIAL_EVERY,
    SLOWDOWN_GAIN,
)

PERSISTENCE_MAX = 1.5
SLOWNESS_CLEAR = 1.5
"""From which slowness on an answer tells how long a speed lasts."""

SLOWNESS_USUAL = 1.0
SLOWNESS_USUAL_MAX = 1.2


@dataclass(slots=True, frozen=True)
class SendConditions:
    """What a server had told when a request was sent to it.

    Attributes
    ----------
    slowness : float
        How many times as long as usual work took at that moment.
    is_near_capacity : bool
        Whether the request got one of the last slots.
    is_queued : bool
        Whether it had to wait for a slot.
    """

    slowness: float
    is_near_capacity: bool
    is_queued: bool

    @property
    def is_usual(self) -> bool:
        """Return whether an answer tells the work of a request itself."""
        is_slow = self.slowness > SLOWNESS_USUAL_MAX
        return not (is_slow or self.is_near_capacity or self.is_queued)


class SlowdownEstimates:
    """How the servers of one service behave.

    Attributes
    ----------
    near_capacity_slowdown : float
        How many times as long as usual a request takes in one of the last slots.
    slowness_persistence : float
        Part of the slowness at its start that a request keeps, from 0 to 1.
    """

    __slots__ = (
        "_counts_answered",
        "_passed_over",
        "near_capacity_slowdown",
        "slowness_persistence",
    )

    def __init__(self) -> None:
        self._counts_answered = True
        self._passed_over = 0
        self.near_capacity_slowdown = NEAR_CAPACITY_SLOWDOWN_INITIAL
        self.slowness_persistence = 1.0

    @property
    def usable_share(self) -> float:
        """Return the share of the slots that requests may fill."""
        return (
            1.0
            if self.near_capacity_slowdown <= NEAR_CAPACITY_SLOWDOWN_HARMLESS
            else NEAR_CAPACITY_SHARE
        )

    def exclude_answered(self, running: float) -> float:
        """Return how many requests run, by the report of an answer, without its own.

        A server counts a request until its answer has left, unless an answer has told
        that nothing runs.
        """
        if running < 1:
            self._counts_answered = False
        return running - 1 if self._counts_answered else running

    def estimate_slowness(self, slowness: float) -> float:
        """Return how many times as long as usual a request will take."""
        return SLOWNESS_USUAL + (slowness - SLOWNESS_USUAL) * self.slowness_persistence

    def is_trial_due(self) -> bool:
        """Return whether a slow server that is passed over is tried all the same.

        Without a trial now and then nobody would learn that its speed passes.
        """
        self._passed_over += 1
        return self._passed_over % SLOW_TRIAL_EVERY == 0

    def record_answer(self, conditions: SendConditions, ratio: float) -> None:
        """Learn from an answer.

        Parameters
        ----------
        ratio : float
            Its time, as a multiple of the work on an idle server.
        """
        if conditions.is_queued:
            return
        is_slow = conditions.slowness >= SLOWNESS_CLEAR
        if is_slow and not conditions.is_near_capacity:
            excess = conditions.slowness - SLOWNESS_USUAL
            persistence = min(
                PERSISTENCE_MAX, max(0.0, (ratio - SLOWNESS_USUAL) / excess)
            )
            self.slowness_persistence += SLOWDOWN_GAIN * (
                persistence - self.slowness_persistence
            )
        elif conditions.is_near_capacity and conditions.slowness <= SLOWNESS_USUAL_MAX:
            slowdown = min(NEAR_CAPACITY_SLOWDOWN_MAX, max(1.0, ratio))
            self.near_capacity_slowdown += SLOWDOWN_GAIN * (
                slowdown - self.near_capacity_slowdown
            )
