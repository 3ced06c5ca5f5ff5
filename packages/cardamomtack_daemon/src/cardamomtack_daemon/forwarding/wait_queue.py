"""Calls that wait at this VM until a server has room for them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from anyio import Event, move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.const import QUEUE_POLL_INTERVAL_S
from cardamomtack.placing.wait_queue import QueuedCall, WaitQueue
from cardamomtack_daemon.forwarding.prober import ProbedServer


class AsyncQueuedCall(QueuedCall):
    """A call that waits, and the server that it got.

    Attributes
    ----------
    assigned : ProbedServer or None
        The server that has room for it.
    is_fit : callable
        Returns whether a server serves it in time.
    """

    __slots__ = ("_arrived", "assigned", "is_fit")

    def __init__(
        self,
        priority: int,
        objective_at_s: float,
        work_s: float,
        is_fit: Callable[[ProbedServer], bool],
    ) -> None:
        super().__init__(priority, objective_at_s, work_s)
        self._arrived = Event()
        self.assigned: ProbedServer | None = None
        self.is_fit = is_fit

    def assign(self, asked: ProbedServer) -> None:
        """Give the call a server."""
        self.assigned = asked
        self._arrived.set()

    async def async_wait(self, timeout_s: float) -> None:
        """Wait for a server."""
        with move_on_after(timeout_s):
            await self._arrived.wait()


class AsyncWaitQueue:
    """The calls that wait for room at the servers of one service.

    Parameters
    ----------
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_line")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._line = WaitQueue()

    @property
    def is_empty(self) -> bool:
        """Return whether no call waits."""
        return not len(self._line)

    @property
    def is_overloaded(self) -> bool:
        """Return whether calls that could be in time found no room lately."""
        return self._line.is_overloaded(self._clock.read_monotonic_s())

    def record_freed_slot(self) -> None:
        """Count a slot that a request of this VM has freed."""
        self._line.record_freed_slot(self._clock.read_monotonic_s())

    def assign(self, asked: ProbedServer) -> bool:
        """Give a server to the call that goes first, and return whether one took it."""

        def is_fit(call: QueuedCall) -> bool:
            return isinstance(call, AsyncQueuedCall) and call.is_fit(asked)

        chosen = self._line.choose_call(is_fit, self._clock.read_monotonic_s())
        if not isinstance(chosen, AsyncQueuedCall):
            return False
        self._line.remove(chosen)
        chosen.assign(asked)
        return True

    async def async_wait(
        self, ticket: AsyncQueuedCall, poll: Callable[[], Awaitable[None]]
    ) -> ProbedServer | None:
        """Return a server for a call, or None when it can't be in time any more.

        Parameters
        ----------
        poll : callable
            Coroutine function that asks a few servers and offers those with room;
            called by the call that has waited longest.
        """
        now_s = self._clock.read_monotonic_s()
        if not self._line.enqueue(ticket, now_s):
            return None
        try:
            while ticket.assigned is None and now_s < ticket.latest_start_at_s:
                await ticket.async_wait(
                    min(QUEUE_POLL_INTERVAL_S, ticket.latest_start_at_s - now_s)
                )
                if ticket.assigned is None and self._line.is_longest_waiting(ticket):
                    await poll()
                now_s = self._clock.read_monotonic_s()
        finally:
            self._line.remove(ticket)
        return ticket.assigned
