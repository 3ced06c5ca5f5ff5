"""Calls that wait at this VM until a server has room for them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from anyio import Event, move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.const import POLL_S
from cardamomtack.placing.waiting import WaitingCall, WaitingLine
from cardamomtack_daemon.forwarding.asking import AskedServer


class RoomTicket(WaitingCall):
    """A call that waits, and the server that it got.

    Attributes
    ----------
    got : AskedServer or None
        The server that has room for it.
    is_fit : callable
        Returns whether a server serves it in time.
    """

    __slots__ = ("_arrived", "got", "is_fit")

    def __init__(
        self,
        priority: int,
        objective_at_s: float,
        work_s: float,
        is_fit: Callable[[AskedServer], bool],
    ) -> None:
        super().__init__(priority, objective_at_s, work_s)
        self._arrived = Event()
        self.got: AskedServer | None = None
        self.is_fit = is_fit

    def give(self, asked: AskedServer) -> None:
        """Give the call a server."""
        self.got = asked
        self._arrived.set()

    async def async_wait(self, timeout_s: float) -> None:
        """Wait for a server."""
        with move_on_after(timeout_s):
            await self._arrived.wait()


class RoomQueue:
    """The calls that wait for room at the servers of one service.

    Parameters
    ----------
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_line")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._line = WaitingLine()

    @property
    def is_empty(self) -> bool:
        """Return whether no call waits."""
        return not len(self._line)

    @property
    def is_pressed(self) -> bool:
        """Return whether calls that could be in time found no room lately."""
        return self._line.is_pressed(self._clock.read_monotonic_s())

    def record_end(self) -> None:
        """Count a slot that a request of this VM has freed."""
        self._line.record_end(self._clock.read_monotonic_s())

    def offer(self, asked: AskedServer) -> bool:
        """Give a server to the call that goes first, and return whether one took it."""

        def is_fit(call: WaitingCall) -> bool:
            return isinstance(call, RoomTicket) and call.is_fit(asked)

        chosen = self._line.choose(is_fit, self._clock.read_monotonic_s())
        if not isinstance(chosen, RoomTicket):
            return False
        self._line.leave(chosen)
        chosen.give(asked)
        return True

    async def async_wait(
        self, ticket: RoomTicket, poll: Callable[[], Awaitable[None]]
    ) -> AskedServer | None:
        """Return a server for a call, or None when it can't be in time any more.

        Parameters
        ----------
        poll : callable
            Coroutine function that asks a few servers and offers those with room;
            called by the call that has waited longest.
        """
        now_s = self._clock.read_monotonic_s()
        if not self._line.join(ticket, now_s):
            return None
        try:
            while ticket.got is None and now_s < ticket.last_start_s:
                await ticket.async_wait(min(POLL_S, ticket.last_start_s - now_s))
                if ticket.got is None and self._line.is_first(ticket):
                    await poll()
                now_s = self._clock.read_monotonic_s()
        finally:
            self._line.leave(ticket)
        return ticket.got
