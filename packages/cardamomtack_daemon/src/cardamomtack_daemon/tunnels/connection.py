"""A connection to a backend server that another VM has opened."""

from __future__ import annotations

from asyncio import BaseTransport, Future, Protocol, Transport, get_running_loop
from typing import cast

from anyio import move_on_after
from msgspec import msgpack

from cardamomtack.generated.relay import Member
from cardamomtack.generated.tunnel import TunnelMessage, TunnelOpen
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack.reach.helpers import HelperTable
from cardamomtack_daemon.http1.client import ServerConnection
from cardamomtack_daemon.http1.keepalive import enable_tcp_keepalive
from cardamomtack_daemon.http1.receiving import bound_socket_buffers
from cardamomtack_daemon.peers.const import FRAME_LENGTH_BYTES
from cardamomtack_daemon.peers.stream import encode_frame
from cardamomtack_daemon.tunnels.const import (
    CHUNK_LENGTH_BYTES,
    LENGTH_END,
    LENGTH_LEAVING,
    OPEN_TIMEOUT_S,
    OUTCOME_OPEN,
)

ANSWER_BYTES_MAX = 1024

_DECODER = msgpack.Decoder(TunnelMessage)


class TunnelError(Exception):
    """Another VM has no connection to a server; nothing was sent.

    Parameters
    ----------
    outcome : str
        What the VM has told; empty when it told nothing.
    """

    def __init__(self, outcome: str) -> None:
        super().__init__(outcome or "no answer")
        self.outcome = outcome


class _TunnelProtocol(Protocol):
    """Unwraps what arrives, and hands it to the connection of the server."""

    def __init__(self, connection: TunneledConnection, helpers: HelperTable) -> None:
        self._connection = connection
        self._has_ended = False
        self._left_bytes = 0
        self._helpers = helpers
        self._received = bytearray()
        self._transport: Transport | None = None
        self.answered: Future[str] = get_running_loop().create_future()

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport, and have the connection send on it."""
        self._transport = cast("Transport", transport)
        self._helpers.record_opened(self._connection.helper_id)
        self._connection.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Hand what the server has sent to its connection."""
        self._received += data
        if not self.answered.done():
            self._take_answer()
        if self.answered.done():
            self._take_chunks()

    def eof_received(self) -> bool:
        """Close; without the end of the server's bytes they are cut."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        if not self.answered.done():
            self.answered.set_result("")
        self._helpers.record_closed(self._connection.helper_id)
        self._connection.connection_lost(error)

    def pause_writing(self) -> None:
        """Make a long body wait."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Let a long body go on."""
        self._connection.resume_writing()

    def _take_answer(self) -> None:
        """Take whether the VM has a connection."""
        if len(self._received) < FRAME_LENGTH_BYTES:
            return
        end = FRAME_LENGTH_BYTES + int.from_bytes(
            self._received[:FRAME_LENGTH_BYTES], "big"
        )
        if end > ANSWER_BYTES_MAX:
            self.answered.set_result("")
            return
        if len(self._received) < end:
            return
        frame = bytes(self._received[FRAME_LENGTH_BYTES:end])
        del self._received[:end]
        try:
            answer = _DECODER.decode(frame).answer
        except DECODE_ERRORS:
            answer = None
        self.answered.set_result(answer.outcome if answer is not None else "")

    def _take_chunks(self) -> None:
        """Hand on what there is of chunks."""
        while self._received and not self._has_ended:
            if self._left_bytes == 0:
                if len(self._received) < CHUNK_LENGTH_BYTES:
                    return
                length = int.from_bytes(self._received[:CHUNK_LENGTH_BYTES], "big")
                del self._received[:CHUNK_LENGTH_BYTES]
                self._begin_chunk(length)
                continue
            part = bytes(self._received[: self._left_bytes])
            del self._received[: self._left_bytes]
            self._left_bytes -= len(part)
            self._connection.data_received(part)

    def _begin_chunk(self, length: int) -> None:
        """Begin a chunk, or handle one that holds no bytes."""
        if length == LENGTH_LEAVING:
            self._connection.retire()
        elif length == LENGTH_END:
            self._has_ended = True
            self._connection.eof_received()
            if self._transport is not None:
                self._transport.close()
        else:
            self._left_bytes = length


class TunneledConnection(ServerConnection):
    """A connection to a server through another VM.

    Parameters
    ----------
    now_s : float
        Monotonic time of its opening, in seconds.
    helper_id : str
        The VM that has opened it.
    """

    __slots__ = ("_helper_id",)

    def __init__(self, now_s: float, helper_id: str) -> None:
        super().__init__(now_s)
        self._helper_id = helper_id

    @property
    def helper_id(self) -> str:
        """Return the VM that has opened it."""
        return self._helper_id


async def async_open_tunnel(
    helper: Member,
    wanted: TunnelOpen,
    now_s: float,
    helpers: HelperTable,
) -> TunneledConnection:
    """Open a connection to a server through another VM.

    Parameters
    ----------
    helpers : HelperTable
        Counts the connections through each VM.

    Raises
    ------
    TunnelError
        When the VM can't be reached or has no connection to the server.
    """
    connection = TunneledConnection(now_s, helper.vm_id)
    outcome = ""
    try:
        with move_on_after(OPEN_TIMEOUT_S):
            transport, protocol = await get_running_loop().create_connection(
                lambda: _TunnelProtocol(connection, helpers),
                helper.address,
                helper.tunnel_port,
            )
            connected = transport.get_extra_info("socket")
            bound_socket_buffers(connected)
            enable_tcp_keepalive(connected)
            transport.write(encode_frame(TunnelMessage(open=wanted)))
            outcome = await protocol.answered
    except OSError as error:
        raise TunnelError("") from error
    finally:
        if outcome != OUTCOME_OPEN:
            connection.abort()
    if outcome != OUTCOME_OPEN:
        raise TunnelError(outcome)
    return connection
