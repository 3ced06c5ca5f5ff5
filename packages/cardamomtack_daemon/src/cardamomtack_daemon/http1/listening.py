"""Accepts connections, few at a time.

The event loop's own server accepts all that wait before a connection over the bound
can be closed, so that a crowd takes all descriptors.
"""

from __future__ import annotations

import socket
from asyncio import AbstractEventLoop, Task, TimerHandle
from collections.abc import Callable

from cardamomtack_daemon.http1.connection import CallerConnection
from cardamomtack_daemon.http1.receiving import bound_socket_buffers

ACCEPTED_AT_ONCE_MAX = 16
BACKLOG = 1024
PAUSE_S = 0.05
"""Pause after a connection could not be accepted, as for want of a descriptor."""


class ConnectionAcceptor:
    """Listens until it is closed.

    Parameters
    ----------
    make_connection : callable
        Returns the protocol of a new connection.
    address : str
        IP address.
    port : int
        Port.
    loop : AbstractEventLoop
        The running event loop.
    """

    __slots__ = ("_listener", "_loop", "_make_connection", "_tasks", "_timer")

    def __init__(
        self,
        make_connection: Callable[[], CallerConnection],
        address: str,
        port: int,
        loop: AbstractEventLoop,
    ) -> None:
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        self._listener = socket.create_server(
            (address, port), family=family, backlog=BACKLOG
        )
        # What is accepted has the bounds of the listener.
        bound_socket_buffers(self._listener)
        self._listener.setblocking(False)
        self._loop = loop
        self._make_connection = make_connection
        self._tasks: set[Task[None]] = set()
        self._timer: TimerHandle | None = None
        self._resume()

    def close(self) -> None:
        """Accept nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._listener)
        self._listener.close()

    def _resume(self) -> None:
        """Accept what waits."""
        self._timer = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Accept some of the connections that wait."""
        for _ in range(ACCEPTED_AT_ONCE_MAX):
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError:
                self._loop.remove_reader(self._listener)
                self._timer = self._loop.call_later(PAUSE_S, self._resume)
                return
            task = self._loop.create_task(self._async_open(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_open(self, accepted: socket.socket) -> None:
        """Hand a connection to the event loop; one that is gone already is dropped."""
        try:
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_connection, accepted)
        except OSError:
            accepted.close()
