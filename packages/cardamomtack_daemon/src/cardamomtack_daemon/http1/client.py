"""One connection to a backend server, used for one request at a time.

It is a protocol of the event loop rather than a stream, because a stream costs each
request two more turns of the loop and a cancel scope for its timeout.
"""

from __future__ import annotations

from asyncio import (
    BaseTransport,
    BufferedProtocol,
    Future,
    Transport,
    get_running_loop,
)
from typing import cast

from httptools import HttpParserError

from cardamomtack_daemon.http1.collector import (
    CHUNK_OVERHEAD_BYTES,
    AnswerCheck,
    AnswerCollector,
    EndlessAnswerError,
)
from cardamomtack_daemon.http1.keepalive import enable_tcp_keepalive
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.receiving import RECEIVE_BUFFER, bound_socket_buffers
from cardamomtack_daemon.http1.responses import SMALL_BYTES, ResponseMemory

INFORMATIONAL_STATUS_MAX = 199
STREAM_BUFFER_BYTES_MAX = 65_536
"""Most that is read of a long answer before it is passed on."""


class BrokenAnswerError(Exception):
    """The connection ended or was malformed before the answer was whole.

    Parameters
    ----------
    message : str
        What happened.
    is_cut : bool
        Whether the peer closed the connection.
    """

    def __init__(self, message: str, is_cut: bool) -> None:
        super().__init__(message)
        self.is_cut = is_cut


class ServerConnection(BufferedProtocol):
    """A connection to a backend server.

    Parameters
    ----------
    now_s : float
        Monotonic time of its opening, in seconds.

    Attributes
    ----------
    is_reusable : bool
        Whether the last answer was read whole and nothing else arrived.
    opened_at_s, used_at_s : float
        Monotonic times, in seconds.
    has_sent : bool
        Whether any byte of a request may have left.
    is_receive_cancelled : bool
        Whether nobody waits for the answer any more.
    memory : ResponseMemory or None
        Counts what is held of answers; None where they are not passed on.
    requests : int
        Requests that were sent so far.
    """

    __slots__ = (
        "_accepts_unframed",
        "_buffer_bytes_max",
        "_buffered_bytes",
        "_can_write",
        "_collector",
        "_fault",
        "_held_bytes",
        "_is_aborted",
        "_is_busy",
        "_is_cut",
        "_is_expired",
        "_is_head",
        "_is_paused",
        "_is_retired",
        "_is_sending",
        "_transport",
        "_waiter",
        "has_sent",
        "is_receive_cancelled",
        "is_reusable",
        "memory",
        "opened_at_s",
        "requests",
        "used_at_s",
    )

    def __init__(self, now_s: float) -> None:
        self._accepts_unframed = False
        self._buffer_bytes_max = STREAM_BUFFER_BYTES_MAX
        self._buffered_bytes = 0
        self._can_write: Future[None] | None = None
        self._collector = AnswerCollector()
        self._fault: str | None = None
        self._held_bytes = 0
        self._is_aborted = False
        self._is_busy = False
        self._is_cut = False
        self._is_expired = False
        self._is_head = False
        self._is_paused = False
        self._is_retired = False
        self._is_sending = False
        self._transport: Transport | None = None
        self._waiter: Future[None] | None = None
        self.has_sent = False
        self.is_receive_cancelled = False
        self.is_reusable = True
        self.memory: ResponseMemory | None = None
        self.opened_at_s = now_s
        self.requests = 0
        self.used_at_s = now_s

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("Transport", transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop puts what it reads, which bounds each read."""
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the event loop has read."""
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrives; bytes that belong to no request end the connection.

        It ends at once: more may arrive before the receiver has its turn.
        """
        if self._is_aborted:
            return
        if not self._is_busy:
            self.abort()
            return
        collector = self._collector
        known_chunks = len(collector.chunks)
        try:
            collector.feed(data)
        except (EndlessAnswerError, HttpParserError) as error:
            # Bytes after a whole answer spoil the connection, not the answer.
            if collector.has_ended:
                collector.surplus = True
            else:
                self._fault = f"malformed answer: {error}"
        new_chunks = len(collector.chunks) - known_chunks
        self._buffered_bytes += len(data) + CHUNK_OVERHEAD_BYTES * new_chunks
        self._hold(self._buffered_bytes)
        self._check_head()
        if self._fault is not None or collector.surplus:
            self.abort()
        elif self._has_long_body() and self._transport:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Close the connection when the server has closed it.

        A clean end completes an answer that names no length; a reset does not.
        """
        collector = self._collector
        if self._accepts_unframed and collector.has_head and not collector.is_framed:
            collector.has_ended = True
            collector.keep_alive = False
            self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_cut = True
        self.is_reusable = False
        if not self._is_busy:
            self._hold(0)
        self.resume_writing()
        self._wake()

    def pause_writing(self) -> None:
        """Make a long body wait until the server takes more."""
        self._can_write = get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let a long body go on."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    @property
    def helper_id(self) -> str:
        """Return the VM through which the server is reached, empty for none."""
        return ""

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of an answer have arrived and were not taken."""
        return self._buffered_bytes

    def is_idle(self) -> bool:
        """Return whether the connection is open and nothing has arrived on it."""
        return self.is_reusable and not self._is_cut

    def send(
        self,
        data: bytes,
        is_head: bool,
        check: AnswerCheck | None = None,
        accepts_unframed: bool = False,
        is_whole: bool = True,
    ) -> None:
        """Send a request, or the first part of it.

        Parameters
        ----------
        check : callable or None
            Tells which answers belong to the request; the others are passed over.
        accepts_unframed : bool
            Whether the clean end of the connection may end an answer.
        is_whole : bool
            Whether nothing of the request follows.

        Raises
        ------
        BrokenAnswerError
            When the connection is broken.
        """
        if self._transport is None or self._is_cut:
            raise BrokenAnswerError("connection broke before sending", True)
        self._accepts_unframed = accepts_unframed
        self._collector = AnswerCollector(check, is_head)
        self._buffered_bytes = 0
        self._hold(0)
        self._is_head = is_head
        self._is_busy = True
        self._is_sending = not is_whole
        self.is_reusable = False
        self.has_sent = True
        self.requests += 1
        # The size of this part is bounded, so what the server doesn't take at once
        # waits in the transport, and only the answer is waited for.
        self._transport.write(data)

    async def async_send_more(self, data: bytes, is_last: bool) -> None:
        """Send the next part of a request once the server has taken most of the others.

        A connection that is lost takes nothing more; its receiver learns of that.
        """
        if self._can_write is not None:
            await self._can_write
        if self._transport is None or self._is_cut:
            return
        self._transport.write(data)
        self._is_sending = not is_last

    async def async_receive(
        self, buffer_bytes_max: int, timeout_s: float | None = None
    ) -> HttpAnswer | None:
        """Receive an answer, or its head when its body is over the bound.

        Returns
        -------
        HttpAnswer or None
            None when the time was up; the answer may be received later.

        Raises
        ------
        BrokenAnswerError
            When the answer is cut, malformed or not delimited.
        """
        self._buffer_bytes_max = buffer_bytes_max
        self._resume()
        if not await self._async_wait_for_body(timeout_s):
            return None
        collector = self._collector
        answer = HttpAnswer(collector.status, collector.headers, self._take_body())
        length = answer.find_header(b"content-length")
        answer.length = int(length) if length is not None else None
        answer.is_whole = collector.has_ended
        self._note_end()
        return answer

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of a long body, or None after its end.

        Raises
        ------
        BrokenAnswerError
            When the answer is cut or malformed.
        """
        self._buffer_bytes_max = STREAM_BUFFER_BYTES_MAX
        while not self._collector.chunks:
            if self._collector.has_ended:
                self._note_end()
                return None
            if self._is_paused and self.memory is not None:
                await self.memory.async_wait_for_room()
                self._resume()
            await self._async_wait()
        return self._take_body()

    def cancel_receive(self) -> None:
        """Have the receiver of the answer give up at once, for good."""
        self.is_receive_cancelled = True
        self._expire()

    def retire(self) -> None:
        """Close the connection as soon as nothing is under way on it."""
        self._is_retired = True
        self.is_reusable = False
        if not self._is_busy:
            self.abort()

    def _expire(self) -> None:
        """Have the receiver of the answer see its timeout."""
        self._is_expired = True
        self._wake()

    def abort(self) -> None:
        """Close the connection; an answer that still arrives is dropped."""
        self._is_aborted = True
        self.is_reusable = False
        self._hold(0)
        if self._transport is not None:
            self._transport.abort()

    async def _async_wait_for_body(self, timeout_s: float | None) -> bool:
        """Wait for a whole or a long body and return whether it came in time."""
        self._is_expired = self.is_receive_cancelled
        timer = None
        if timeout_s is not None:
            timer = get_running_loop().call_later(timeout_s, self._expire)
        try:
            while not self._collector.has_ended:
                if self._is_paused or self._has_long_body():
                    return True
                if self._is_expired:
                    return False
                await self._async_wait()
        finally:
            if timer is not None:
                timer.cancel()
        return True

    async def _async_wait(self) -> None:
        """Wait for bytes, the end of the connection, or a timeout.

        Raises
        ------
        BrokenAnswerError
            When the answer can't become whole any more.
        """
        if self._fault is not None:
            raise BrokenAnswerError(self._fault, False)
        if self._is_cut:
            raise BrokenAnswerError("connection closed before the end", True)
        self._waiter = get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        if self._fault is not None:
            raise BrokenAnswerError(self._fault, False)

    def _has_long_body(self) -> bool:
        """Return whether the answer has to be passed on before it is whole.

        It is longer than what is kept, or than what there is room for.
        """
        if not self._collector.has_head:
            return False
        if self._buffered_bytes > self._buffer_bytes_max:
            return True
        if self.memory is None or self._buffered_bytes <= SMALL_BYTES:
            return False
        return not self.memory.budget.may_buffer

    def _hold(self, size: int) -> None:
        """Count what is held of the answer."""
        if self.memory is not None and size != self._held_bytes:
            grown_bytes = size - self._held_bytes
            self._held_bytes = size
            self.memory.change(grown_bytes)

    def _wake(self) -> None:
        """Wake the task that waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _resume(self) -> None:
        """Read on when there is room for more, or nothing of the answer follows."""
        is_over = self._buffered_bytes > self._buffer_bytes_max
        if not self._is_paused or is_over or not self._transport:
            return
        if self._transport.is_closing():
            return
        has_room = self.memory is None or self.memory.budget.has_room
        if has_room or self._collector.has_ended:
            self._is_paused = False
            self._transport.resume_reading()

    def _take_body(self) -> bytes:
        """Return and forget the collected body."""
        chunks = self._collector.chunks
        self._collector.chunks = []
        self._buffered_bytes = 0
        self._hold(0)
        self._resume()
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def _note_end(self) -> None:
        """Decide whether the connection may serve another request."""
        collector = self._collector
        if not collector.has_ended:
            return
        self._is_busy = False
        self.is_reusable = (
            not collector.surplus
            and not collector.foreign
            and not self._is_head
            and not self._is_cut
            and not self._is_retired
            and not self._is_sending
            and not self._has_unsent()
            and collector.keep_alive
        )

    def _has_unsent(self) -> bool:
        """Return whether the server has answered before it took the whole request."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def _check_head(self) -> None:
        """Handle heads without a body of known length."""
        collector = self._collector
        if not collector.has_head:
            return
        if collector.has_ended:
            if collector.status <= INFORMATIONAL_STATUS_MAX:
                self._fault = "informational answer"
        elif not collector.is_framed and not self._accepts_unframed:
            # The end of such an answer can't be told from a cut.
            self._fault = "answer without a length"


async def async_connect(
    address: str, port: int, now_s: float, uses_tcp_keepalive: bool = False
) -> ServerConnection:
    """Open a connection.

    Parameters
    ----------
    uses_tcp_keepalive : bool
        Whether the kernel checks that the other end is still there.

    Raises
    ------
    OSError
        When the server refuses or can't be reached.
    """
    loop = get_running_loop()
    transport, connection = await loop.create_connection(
        lambda: ServerConnection(now_s), address, port
    )
    connected = transport.get_extra_info("socket")
    bound_socket_buffers(connected)
    if uses_tcp_keepalive:
        enable_tcp_keepalive(connected)
    return connection
