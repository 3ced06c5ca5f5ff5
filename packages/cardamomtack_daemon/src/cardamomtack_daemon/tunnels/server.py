"""Reaches backend servers for VMs that don't reach them themselves.

The bytes of a connection pass unread; what is sent is decided by the VM that asks. The
end of a connection is told apart from its loss, because a clean end may end an
answer.
"""

from __future__ import annotations

from anyio import (
    TASK_STATUS_IGNORED,
    BrokenResourceError,
    EndOfStream,
    Lock,
    create_task_group,
    create_tcp_listener,
    move_on_after,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream, TaskStatus
from loguru import logger

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.tunnel import TunnelAnswer, TunnelMessage, TunnelOpen
from cardamomtack.placing.server import ServerView
from cardamomtack.reach.ways import DirectWays
from cardamomtack_daemon.http1.hangups import HangupWatcher
from cardamomtack_daemon.peers.accepting import async_accept
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    encode_frame,
)
from cardamomtack_daemon.tunnels.const import (
    CHUNK_LENGTH_BYTES,
    CLOSE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    LENGTH_END,
    LENGTH_LEAVING,
    REQUEST_TIMEOUT_S,
)
from cardamomtack_daemon.tunnels.stream import BoundedStream, async_connect_stream
from cardamomtack_daemon.tunnels.tester import WayTester


class _Tunnel:
    """One connection of another VM to a server."""

    __slots__ = ("_hangups", "_lock", "_peer", "_server")

    def __init__(
        self, peer: SocketStream, server: BoundedStream, hangups: HangupWatcher
    ) -> None:
        self._hangups = hangups
        self._peer = peer
        self._lock = Lock()
        self._server = server

    async def async_pass(self) -> None:
        """Pass bytes on both ways until either end closes."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._async_pass_answers)
            descriptor = self._peer.extra(SocketAttribute.raw_socket).fileno()
            try:
                while True:
                    data = await self._peer.receive()
                    # While the server takes nothing, the VM is not read.
                    self._hangups.add(descriptor, tasks.cancel_scope.cancel)
                    await self._server.send(data)
                    self._hangups.remove(descriptor)
            except STREAM_ERRORS:
                # The VM has closed, or the server takes nothing more.
                tasks.cancel_scope.cancel()
            finally:
                self._hangups.remove(descriptor)

    async def async_tell_leaving(self) -> None:
        """Tell the other VM that nothing new may begin on this connection."""
        try:
            await self._async_send(LENGTH_LEAVING, b"")
        except STREAM_ERRORS:
            return

    async def _async_pass_answers(self) -> None:
        """Pass what the server sends on, and how it ends.

        Raises
        ------
        BrokenResourceError
            When the connection to the server is lost.
        """
        try:
            while True:
                data = await self._server.receive()
                await self._async_send(len(data), data)
        except EndOfStream:
            await self._async_send(LENGTH_END, b"")
        # The other VM closes when it has taken all, which ends the wait.
        await sleep(CLOSE_TIMEOUT_S)
        raise BrokenResourceError

    async def _async_send(self, length: int, data: bytes) -> None:
        """Send a chunk to the other VM."""
        async with self._lock:
            await self._peer.send(length.to_bytes(CHUNK_LENGTH_BYTES, "big") + data)


class TunnelServer:
    """Opens connections to servers for other VMs.

    Parameters
    ----------
    registry : ServerRegistry
        The servers; nothing else is reached.
    ways : DirectWays
        The own ways to them.
    tester : WayTester
        Tells a server that is down from a way that is cut.
    tunnels_max : int
        Connections to servers for other VMs.

    Attributes
    ----------
    is_leaving : bool
        Whether this VM leaves and takes no more connections.
    """

    __slots__ = (
        "_hangups",
        "_opening",
        "_registry",
        "_tester",
        "_tunnels",
        "_tunnels_max",
        "_ways",
        "is_leaving",
    )

    def __init__(
        self,
        registry: ServerRegistry,
        ways: DirectWays,
        tester: WayTester,
        tunnels_max: int,
    ) -> None:
        self._hangups = HangupWatcher()
        self._opening = 0
        self._registry = registry
        self._tester = tester
        self._tunnels: set[_Tunnel] = set()
        self._tunnels_max = tunnels_max
        self._ways = ways
        self.is_leaving = False

    @property
    def count(self) -> int:
        """Return how many connections are open for other VMs."""
        return len(self._tunnels)

    async def async_serve(
        self,
        address: str,
        port: int,
        *,
        task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
    ) -> None:
        """Serve other VMs until cancelled; started once it listens."""
        listener = await create_tcp_listener(local_host=address, local_port=port)
        async with create_task_group() as tasks:
            tasks.start_soon(self._hangups.async_watch)
            task_status.started()
            await async_accept(listener, self._async_serve_peer)

    async def async_leave(self) -> None:
        """Have the other VMs begin nothing new on their connections."""
        self.is_leaving = True
        async with create_task_group() as tasks:
            for tunnel in self._tunnels:
                tasks.start_soon(tunnel.async_tell_leaving)

    async def _async_serve_peer(self, peer: SocketStream) -> None:
        """Serve one connection of another VM."""
        messages = MessageStream(peer, TunnelMessage)
        try:
            async with peer:
                message = await messages.async_receive(REQUEST_TIMEOUT_S)
                if message.open is not None:
                    await self._async_open(message.open, peer, messages)
        except* STREAM_ERRORS as group:
            error = repr(group.exceptions[0])
            logger.bind(error=error).debug("connection for another VM ended")

    async def _async_open(
        self,
        wanted: TunnelOpen,
        peer: SocketStream,
        messages: MessageStream[TunnelMessage],
    ) -> None:
        """Open a connection to a server and pass bytes on while it lasts."""
        answer, server = await self._async_connect(wanted)
        message = TunnelMessage(answer=answer)
        if server is None:
            await messages.async_send_frame(encode_frame(message))
            return
        tunnel = _Tunnel(peer, server, self._hangups)
        self._tunnels.add(tunnel)
        try:
            async with server:
                await messages.async_send_frame(encode_frame(message))
                await tunnel.async_pass()
        finally:
            self._tunnels.discard(tunnel)

    async def _async_connect(
        self, wanted: TunnelOpen
    ) -> tuple[TunnelAnswer, BoundedStream | None]:
        """Return whether a server was reached, and the connection to it."""
        count = len(self._tunnels) + self._opening
        if self.is_leaving or count >= self._tunnels_max:
            return TunnelAnswer("busy"), None
        server = self._registry.servers.get(wanted.server_id)
        if server is None or not server.is_staying:
            return TunnelAnswer("unknown"), None
        if server.is_evacuated:
            # Older builds do not know the outcome.
            is_read = wanted.reads_evacuated
            return TunnelAnswer("evacuated" if is_read else "unknown"), None
        if (server.address, server.port) != (wanted.address, wanted.port):
            return TunnelAnswer("unknown"), None
        if self._ways.is_helped(server):
            return TunnelAnswer("cut"), None
        self._opening += 1
        try:
            return await self._async_connect_to(server)
        finally:
            self._opening -= 1

    async def _async_connect_to(
        self, server: ServerView
    ) -> tuple[TunnelAnswer, BoundedStream | None]:
        """Return whether a known server was reached, and the connection to it."""
        stream: BoundedStream | None = None
        is_refused = False
        try:
            with move_on_after(CONNECT_TIMEOUT_S):
                stream = await async_connect_stream(server.address, server.port)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
        if stream is not None:
            self._ways.record_opened(server)
            return TunnelAnswer("open"), stream
        self._ways.record_failed_open(server)
        may_be_cut = self._ways.is_in_doubt(server)
        if may_be_cut and not await self._tester.async_is_sound(server):
            return TunnelAnswer("cut"), None
        return TunnelAnswer("refused" if is_refused else "unreachable"), None
