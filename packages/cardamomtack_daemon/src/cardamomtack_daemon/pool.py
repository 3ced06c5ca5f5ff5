"""Connections to backend servers."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from anyio import move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.memory.const import IDLE_SERVERS_MAX
from cardamomtack_daemon.http1.client import ServerConnection, async_connect

CONNECT_TIMEOUT_S = 0.25
CONNECTION_AGE_S_MAX = 300.0
CONNECTION_IDLE_S_MAX = 20.0
HELPED_IDLE_S_MAX = 5.0
"""Longest time for which a connection through another VM is kept unused."""

IDLE_PER_SERVER_MAX = 8
RECENT_USE_S = 1.0


class ServerAddress(Protocol):
    """A backend server to which connections are kept.

    Attributes
    ----------
    vm_id : str
        Names the server; its next incarnation may have the same name elsewhere.
    is_removed : bool
        Whether the server is gone, whoever has its name and address now.
    """

    @property
    def vm_id(self) -> str:
        """Return the name of the server."""

    @property
    def address(self) -> str:
        """Return the IP address."""

    @property
    def port(self) -> int:
        """Return the port."""

    @property
    def is_removed(self) -> bool:
        """Return whether the server is gone."""


class Dialer(Protocol):
    """Opens connections to servers."""

    async def async_open(self, address: ServerAddress) -> ServerConnection:
        """Open a new connection.

        Raises
        ------
        ServerUnreachableError
            When the server can't be reached.
        """


class ServerUnreachableError(Exception):
    """No connection to a backend server could be opened; nothing was sent.

    Parameters
    ----------
    message : str
        What happened.
    is_refused : bool
        Whether the server's host answered that nothing listens; otherwise the way
        there may be cut as well.
    is_own_way : bool
        Whether nothing is known of the server, because this VM is cut off from it.
    """

    def __init__(
        self, message: str, is_refused: bool = False, is_own_way: bool = False
    ) -> None:
        super().__init__(message)
        self.is_own_way = is_own_way
        self.is_refused = is_refused


class ConnectionPool:
    """Keeps idle connections to backend servers.

    Parameters
    ----------
    clock : Clock
        Tells the age of connections.

    Attributes
    ----------
    dialer : Dialer or None
        Opens connections; None to open them directly.
    idle_max : int
        Most connections that are kept unused, to all servers together.
    """

    __slots__ = ("_clock", "_idle", "dialer", "discarded", "idle_max", "opened")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[ServerConnection]] = {}
        self.dialer: Dialer | None = None
        self.idle_max = IDLE_SERVERS_MAX
        self.opened = 0
        self.discarded = 0

    async def async_acquire(
        self, server: ServerAddress, idle_s_max: float, fresh: bool = False
    ) -> ServerConnection:
        """Return a connection that is used by nobody else.

        Parameters
        ----------
        server : ServerAddress
            Where the connection goes.
        idle_s_max : float
            Longest time since its last use, in seconds.
        fresh : bool
            Whether a new connection is opened in any case.

        Raises
        ------
        ServerUnreachableError
            When no connection could be opened.
        """
        if not fresh:
            connection = self._take_idle(server.vm_id, idle_s_max)
            if connection is not None:
                return connection
        if self.dialer is not None:
            return await self.dialer.async_open(server)
        return await self.async_open(server.address, server.port)

    async def async_open(self, address: str, port: int) -> ServerConnection:
        """Open a new connection directly.

        Raises
        ------
        ServerUnreachableError
            When the server refuses or does not accept in time.
        """
        connection: ServerConnection | None = None
        try:
            with move_on_after(CONNECT_TIMEOUT_S):
                now_s = self._clock.read_monotonic_s()
                connection = await async_connect(address, port, now_s)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise ServerUnreachableError(
                f"connect failed: {error}", is_refused
            ) from error
        if connection is None:
            raise ServerUnreachableError("connect timed out")
        self.opened += 1
        return connection

    def has_idle(self, server: ServerAddress) -> bool:
        """Return whether a connection to a server is open and idle."""
        return bool(self._idle.get(server.vm_id))

    def release(self, server: ServerAddress, connection: ServerConnection) -> None:
        """Keep a connection for the next request, or close it."""
        if server.is_removed or not connection.is_reusable:
            self.discard(connection)
            return
        idle = self._idle.setdefault(server.vm_id, deque())
        if len(idle) >= IDLE_PER_SERVER_MAX:
            self.discard(connection)
            return
        connection.used_at_s = self._clock.read_monotonic_s()
        idle.append(connection)
        if sum(len(one) for one in self._idle.values()) > self.idle_max:
            self._discard_oldest()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection that must not be used again."""
        self.discarded += 1
        connection.abort()

    def close_connections(self, vm_id: str) -> None:
        """Close all idle connections to a server."""
        for connection in self._idle.pop(vm_id, ()):
            self.discard(connection)

    def close_all(self) -> None:
        """Close all idle connections."""
        for vm_id in list(self._idle):
            self.close_connections(vm_id)

    def close_expired(self) -> None:
        """Close the connections that have been idle or open for too long."""
        for vm_id, idle in list(self._idle.items()):
            kept = deque(one for one in idle if self._is_young(one))
            for connection in idle:
                if connection not in kept:
                    self.discard(connection)
            self._idle[vm_id] = kept

    def _discard_oldest(self) -> None:
        """Close the connection that has been unused for longest."""
        oldest = min(
            (idle for idle in self._idle.values() if idle),
            key=lambda idle: idle[0].used_at_s,
        )
        self.discard(oldest.popleft())

    def _is_young(self, connection: ServerConnection) -> bool:
        """Return whether a connection is within the bounds of its age."""
        now_s = self._clock.read_monotonic_s()
        if now_s - connection.opened_at_s > CONNECTION_AGE_S_MAX:
            return False
        idle_s_max = (
            HELPED_IDLE_S_MAX if connection.helper_id else CONNECTION_IDLE_S_MAX
        )
        return now_s - connection.used_at_s <= idle_s_max

    def _take_idle(self, vm_id: str, idle_s_max: float) -> ServerConnection | None:
        """Return the idle connection that was used last, if it is good."""
        idle = self._idle.get(vm_id)
        now_s = self._clock.read_monotonic_s()
        while idle:
            connection = idle.pop()
            recent = now_s - connection.used_at_s <= idle_s_max
            if recent and self._is_young(connection) and connection.is_idle():
                return connection
            self.discard(connection)
        return None
