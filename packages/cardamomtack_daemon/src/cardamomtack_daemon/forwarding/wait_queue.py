"""Calls that wait at this VM until a server has capacity for them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from anyio import Event, move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.const import QUEUE_POLL_INTERVAL_S
from cardamomtack.placing.wait_queue import QueuedCall, WaitQueue
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.forwarding.prober import ProbedServer


class AsyncQueuedCall(QueuedCall):
    """A call that waits, and the server that it got.

    Attributes
    ----------
    assigned : ProbedServer or None
        The server that has capacity for it.
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
        workspace: Workspace | None = None,
    ) -> None:
        super().__init__(priority, objective_at_s, work_s, workspace)
        self._arrived = Event()
        self.assigned: ProbedServer | None = None
        self.is_fit = is_fit

    def assign(self, probed: ProbedServer) -> None:
        """Give the call a server."""
        self.assigned = probed
        self._arrived.set()

    async def async_wait(self, timeout_s: float) -> None:
        """Wait for a server."""
        with move_on_after(timeout_s):
            await self._arrived.wait()


class AsyncWaitQueue:
    """The calls that wait for capacity at the servers of one service.

    Parameters
    ----------
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_queue")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue = WaitQueue()

    @property
    def is_empty(self) -> bool:
        """Return whether no call waits."""
        return not len(self._queue)

    @property
    def is_overloaded(self) -> bool:
        """Return whether calls that could be in time found no capacity lately."""
        return self._queue.is_overloaded(self._clock.read_monotonic_s())

    def record_freed_slot(self) -> None:
        """Count a slot that a request of this VM has freed."""
        self._queue.record_freed_slot(self._clock.read_monotonic_s())

    def record_call(self, call: QueuedCall) -> float:
        """Count a call that has come, and return how probably it is placed."""
        return self._queue.record_call(call, self._clock.read_monotonic_s())

    def record_placed(self, call: QueuedCall) -> None:
        """Count capacity that a call got without waiting."""
        self._queue.record_placed(call, self._clock.read_monotonic_s())

    def assign(self, probed: ProbedServer) -> bool:
        """Give a server to the call that goes first, and return whether one took it."""

        def is_fit(call: QueuedCall) -> bool:
            return isinstance(call, AsyncQueuedCall) and call.is_fit(probed)

        chosen = self._queue.choose_call(is_fit, self._clock.read_monotonic_s())
        if not isinstance(chosen, AsyncQueuedCall):
            return False
        self._queue.remove(chosen)
        chosen.assign(probed)
        return True

    async def async_wait(
        self,
        queued: AsyncQueuedCall,
        poll: Callable[[], Awaitable[None]],
        can_be_served: Callable[[], bool] = lambda: True,
    ) -> ProbedServer | None:
        """Return a server for a call, or None when it can't be in time any more.

        Parameters
        ----------
        poll : callable
            Coroutine function that probes a few servers and offers those with capacity;
            called by the call that has waited longest.
        can_be_served : callable
            Returns whether a server may take calls at all; otherwise the wait ends.
        """
        now_s = self._clock.read_monotonic_s()
        if not self._queue.enqueue(queued, now_s):
            return None
        try:
            while (
                queued.assigned is None
                and now_s < queued.latest_start_at_s
                and can_be_served()
            ):
                await queued.async_wait(
                    min(QUEUE_POLL_INTERVAL_S, queued.latest_start_at_s - now_s)
                )
                if queued.assigned is None and self._queue.is_longest_waiting(queued):
                    await poll()
                now_s = self._clock.read_monotonic_s()
        finally:
            self._queue.remove(queued)
        return queued.assigned
