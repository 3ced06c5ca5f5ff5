"""Admission of requests to a service under a limit that follows its capacity."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush

from cardamomtack.admission.const import (
    LIMIT_DECREASE,
    LIMIT_DECREASE_PAUSE_S,
    LIMIT_INCREASE,
    LIMIT_INITIAL,
    LIMIT_MAX,
    LIMIT_MIN,
    SERVICE_TIME_GAIN,
)


class Admission(Enum):
    """What becomes of a request at the door of a service."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(slots=True, order=True)
class Waiter:
    """A request that waits, ordered by priority and then by deadline.

    Attributes
    ----------
    priority : int
        0 is served first.
    deadline_s : float
        Monotonic time by which the caller wants its answer.
    wake : callable
        Called with whether the request was admitted.
    """

    priority: int
    deadline_s: float
    sequence: int
    wake: Callable[[bool], None]
    settled: bool = False


class ServiceAdmission:
    """Bounds the requests of one VM that a service runs and that wait for it."""

    __slots__ = (
        "_decreased_at_s",
        "_sequence",
        "_waiting",
        "in_flight",
        "limit",
        "queue_max",
        "refused",
        "service_time_s",
    )

    def __init__(self, queue_max: int) -> None:
        self.queue_max = queue_max
        self.limit = LIMIT_INITIAL
        self.in_flight = 0
        self.refused = 0
        self.service_time_s = 0.0
        self._decreased_at_s = 0.0
        self._sequence = 0
        self._waiting: list[Waiter] = []

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(not waiter.settled for waiter in self._waiting)

    def request_admission(
        self,
        priority: int,
        deadline_s: float,
        now_s: float,
        wake: Callable[[bool], None],
    ) -> tuple[Admission, Waiter | None]:
        """Admit a request, let it wait, or refuse it at once.

        Parameters
        ----------
        priority : int
            0 is served first.
        deadline_s, now_s : float
            Monotonic times, in seconds.
        wake : callable
            Called later, when the request waits, with whether it was admitted.
        """
        if self._has_room() and not self._waiting:
            self.in_flight += 1
            return Admission.ADMITTED, None
        if not self._can_answer(priority, deadline_s, now_s):
            self.refused += 1
            return Admission.REFUSED, None
        self._sequence += 1
        waiter = Waiter(priority, deadline_s, self._sequence, wake)
        heappush(self._waiting, waiter)
        self._drop_last()
        if waiter.settled:
            return Admission.REFUSED, None
        return Admission.QUEUED, waiter

    def cancel_wait(self, waiter: Waiter) -> None:
        """Take a waiting request out of the queue."""
        waiter.settled = True
        self._waiting = [other for other in self._waiting if other is not waiter]
        heapify(self._waiting)

    def finish_request(self, now_s: float, duration_s: float | None) -> None:
        """Note the end of an admitted request and admit those that wait.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        duration_s : float or None
            Time the backend server took; None when it did not answer.
        """
        if duration_s is not None:
            self.service_time_s += SERVICE_TIME_GAIN * (
                duration_s - self.service_time_s
            )
            if self.in_flight >= self.limit - 1.0:
                self.limit = min(LIMIT_MAX, self.limit + LIMIT_INCREASE / self.limit)
        self.in_flight -= 1
        self._admit_waiting(now_s)

    def record_shed(self, now_s: float) -> None:
        """Lower the limit because a backend server shed load."""
        if now_s - self._decreased_at_s < LIMIT_DECREASE_PAUSE_S:
            return
        self._decreased_at_s = now_s
        self.limit = max(LIMIT_MIN, min(self.limit, self.in_flight) * LIMIT_DECREASE)

    def _has_room(self) -> bool:
        """Return whether one more request is within the limit."""
        return self.in_flight + 1 <= self.limit

    def _can_answer(self, priority: int, deadline_s: float, now_s: float) -> bool:
        """Return whether a request that waits could be answered in time."""
        if self.queue_max == 0:
            return False
        ahead = sum(waiter.priority <= priority for waiter in self._waiting)
        wait_s = (ahead + 1) * self.service_time_s / max(1.0, self.limit)
        return now_s + wait_s + self.service_time_s < deadline_s

    def _drop_last(self) -> None:
        """Refuse the least urgent request when the queue is over its bound."""
        if len(self._waiting) <= self.queue_max:
            return
        last = max(self._waiting)
        self.cancel_wait(last)
        self.refused += 1
        last.wake(False)

    def _admit_waiting(self, now_s: float) -> None:
        """Admit those that wait, and refuse those whose time is up."""
        while self._waiting and self._has_room():
            waiter = heappop(self._waiting)
            waiter.settled = True
            late = now_s + self.service_time_s >= waiter.deadline_s
            if late:
                self.refused += 1
            else:
                self.in_flight += 1
            waiter.wake(not late)
