"""One connection of a caller: parses requests within bounds, and writes answers.

It is a protocol of the event loop rather than a stream, for the reason that the
connections to backend servers are.
"""

from __future__ import annotations

from asyncio import (
    BaseTransport,
    BufferedProtocol,
    Future,
    Transport,
    get_running_loop,
)
from collections import deque
from typing import Protocol, cast

from anyio import CancelScope, move_on_after
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from cardamomtack.helpers.clock import Clock
from cardamomtack_daemon.http1.body import (
    BODY_WINDOW_BYTES,
    READ_BYTES_MAX,
    BodyAbortedError,
    BodyStream,
)
from cardamomtack_daemon.http1.hangups import HangupWatcher
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.messages import (
    FIELDS_MAX,
    HeaderList,
    HttpAnswer,
    HttpRequest,
    find_field,
)
from cardamomtack_daemon.http1.problems import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    build_problem,
)
from cardamomtack_daemon.http1.receiving import RECEIVE_BUFFER

BODY_HELD_BYTES_MAX = BODY_WINDOW_BYTES + READ_BYTES_MAX
"""What one request may hold of its body."""

BODY_TIMEOUT_S = 30.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FIELD_OVERHEAD_BYTES = 160
"""What a header field takes in memory beside its bytes."""

HEAD_FREE_BYTES = 8192
"""Part of a head that is not counted if no other request waits before it."""

HEAD_STEP_BYTES = 1024
LINGER_S = 2.0
"""For how long the rest of a body is read after its request has been answered."""

PIPELINED_MAX = 16
REQUEST_OVERHEAD_BYTES = 800
"""What a request takes in memory beside its fields and its body."""

RETRY_AFTER_MEMORY_S = 0.3
UNSENT_BYTES_MAX = 32_768
"""Unsent bytes of a caller above which its response is paused."""


class ConnectionOwner(Protocol):
    """Takes new connections."""

    @property
    def hangups(self) -> HangupWatcher:
        """Return what watches connections that are not read."""

    def add_connection(self, connection: CallerConnection) -> None:
        """Have the requests of a new connection answered."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerConnection(BufferedProtocol):
    """One connection of a caller.

    Parameters
    ----------
    owner : ConnectionOwner
        The server that accepted it.
    limits : ConnectionLimits
        Bounds of the connection.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    has_answered : bool
        Whether any byte of the answer to the current request has been written.
    refusal : HttpAnswer or None
        The answer to what broke a bound or was malformed.
    scope : CancelScope or None
        Ends the work on the current request when the caller leaves.
    waits_since_s : float or None
        Since when bytes of the caller are waited for; None while they aren't.
    """

    __slots__ = (
        "_began_at_s",
        "_body",
        "_body_size",
        "_can_write",
        "_clock",
        "_descriptor",
        "_fields",
        "_has_head",
        "_has_request",
        "_head_cost",
        "_head_held_bytes",
        "_head_size",
        "_headers",
        "_heads_held_bytes",
        "_is_lost",
        "_is_unread",
        "_limits",
        "_owner",
        "_parser",
        "_progress_at_s",
        "_progress_bytes",
        "_ready",
        "_reserved_bytes",
        "_sent_bytes",
        "_size",
        "_stream",
        "_taken",
        "_target",
        "_transport",
        "_unsent_bytes",
        "_waiter",
        "has_answered",
        "refusal",
        "scope",
        "waits_since_s",
    )

    def __init__(
        self, owner: ConnectionOwner, limits: ConnectionLimits, clock: Clock
    ) -> None:
        self._began_at_s = 0.0
        self._body_size = 0
        self._clock = clock
        self._descriptor = -1
        self._fields = 0
        self._has_head = False
        self._has_request = False
        self._head_cost = 0
        self._head_held_bytes = 0
        self._head_size = 0
        self._heads_held_bytes: deque[int] = deque()
        self._limits = limits
        self._owner = owner
        self._body = bytearray()
        self._can_write: Future[None] | None = None
        self._headers: HeaderList = []
        self._is_lost = False
        self._is_unread = False
        self._parser = HttpRequestParser(self)
        self._progress_at_s: float | None = None
        self._progress_bytes = 0
        self._ready: deque[HttpRequest] = deque()
        self._reserved_bytes: deque[int] = deque()
        self._sent_bytes = 0
        self._size = 0
        self._stream: BodyStream | None = None
        self._taken: BodyStream | None = None
        self._target = b""
        self._transport: Transport | None = None
        self._unsent_bytes = 0
        self._waiter: Future[None] | None = None
        self.has_answered = False
        self.refusal: HttpAnswer | None = None
        self.scope: CancelScope | None = None
        self.waits_since_s: float | None = clock.read_monotonic_s()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no request has begun to arrive."""
        return self._size == 0

    @property
    def is_idle(self) -> bool:
        """Return whether no request is arriving or under way."""
        return self.waits_since_s is not None and self.is_between_requests

    @property
    def has_unsent(self) -> bool:
        """Return whether bytes of an answer have not left yet."""
        if self._is_lost or self._transport is None:
            return False
        return bool(self._transport.get_write_buffer_size())

    @property
    def is_busy(self) -> bool:
        """Return whether a request is arriving or under way, to its last byte."""
        if self._is_lost:
            return False
        is_answering = self.waits_since_s is None
        return is_answering or not self.is_between_requests or self.has_unsent

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport and have the requests answered."""
        self._transport = cast("Transport", transport)
        self._transport.set_write_buffer_limits(high=UNSENT_BYTES_MAX)
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._owner.add_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop puts what it reads, which bounds each read."""
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the event loop has read."""
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrives; nothing counts after what was refused."""
        if self.refusal is not None:
            return
        if self._size == 0:
            self._began_at_s = self._clock.read_monotonic_s()
        self._size += len(data)
        try:
            self._parse(data)
        except HttpParserError as error:
            self._refuse(400, f"malformed request: {error}")
        if not self._has_head and self._size > self._limits.head_bytes_max:
            self._refuse(431, "head of the request is too large")
        self.update_reading()
        if self._ready or self.refusal is not None:
            self._wake()

    def _parse(self, data: bytes) -> None:
        """Parse bytes; a wish to upgrade the protocol is ignored.

        The parser takes what follows such a head for another protocol, also a body.

        Raises
        ------
        HttpParserError
            When they are malformed.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except HttpParserUpgrade as upgrade:
                if self.refusal is not None:
                    return
                data = data[upgrade.args[0] :]
                self._parser = HttpRequestParser(self)
            else:
                return

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_lost = True
        self._owner.hangups.remove(self._descriptor)
        self._wake()
        self.resume_writing()
        if self._stream is not None:
            self._stream.abort()
        if self.scope is not None:
            self.scope.cancel()

    def pause_writing(self) -> None:
        """Make an answer wait until the caller takes more."""
        self._can_write = get_running_loop().create_future()
        if self._limits.responses is not None:
            self._limits.responses.budget.add_reader(self)
            self._count_unsent()

    def resume_writing(self) -> None:
        """Let an answer go on."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None
        self._count_unsent()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = []
        self._body.clear()
        self._body_size = 0
        self._fields = 0
        self._has_head = False
        self._head_cost = REQUEST_OVERHEAD_BYTES
        self._head_size = 0

    def on_url(self, target: bytes) -> None:
        """Collect a part of the target."""
        self._head_size += len(target)
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field, within bounds; those of a trailer are dropped."""
        if self.refusal is not None:
            return
        self._fields += 1
        self._head_size += len(name) + len(value)
        if self._fields > FIELDS_MAX or self._head_size > self._limits.head_bytes_max:
            self._refuse(431, "head of the request is too large")
        elif not self._has_head:
            self._head_cost += len(name) + len(value) + FIELD_OVERHEAD_BYTES
            self._headers.append((name.lower(), value))
            if self._head_cost - self._head_held_bytes > HEAD_FREE_BYTES:
                self._hold_head()

    def on_headers_complete(self) -> None:
        """Note that the head is complete, and check what it announces."""
        self._has_head = True
        if self.refusal is not None:
            return
        if self._head_size > self._limits.head_bytes_max:
            self._refuse(431, "head of the request is too large")
            return
        self._hold_head()
        if self.refusal is not None:
            return
        length = self._read_length()
        if length != 0 and self._parser.should_upgrade():
            self._refuse(400, "upgrades with a body are not supported")
            return
        if length is not None and length > self._limits.body_bytes_max:
            self._refuse(413, "body of the request is too large")
            return
        self._reserve_body(length)
        if self._is_asked_to_continue() and self._transport is not None:
            self._transport.write(CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body, or hand it on."""
        if self.refusal is not None:
            return
        self._body_size += len(chunk)
        if self._body_size > self._limits.body_bytes_max:
            self._refuse(413, "body of the request is too large")
            return
        if self._stream is not None:
            self._stream.feed(chunk)
            return
        self._body += chunk
        memory = self._limits.memory
        if self._body_size > BODY_WINDOW_BYTES and memory is not None:
            self._stream = BodyStream(
                memory,
                self._reserved_bytes[-1],
                self._read_length(),
                self.update_reading,
            )
            self._hand_on(self._stream)

    def on_message_complete(self) -> None:
        """Complete a request."""
        if self.refusal is not None:
            return
        if self._stream is not None:
            self._stream.finish()
            self._stream = None
        else:
            self._hand_on(None)
        self._size = 0

    def _hand_on(self, rest: BodyStream | None) -> None:
        """Hand a request on, with the source of the rest of its body."""
        parser = self._parser
        is_current = parser.get_http_version() == "1.1"
        body = bytes(self._body)
        self._body.clear()
        self._heads_held_bytes.append(self._head_held_bytes)
        self._head_held_bytes = 0
        self._ready.append(
            HttpRequest(
                parser.get_method(),
                self._target,
                self._headers,
                body,
                parser.should_keep_alive() and is_current,
                len(body) if rest is None else self._read_length(),
                rest,
                not self._has_request,
            )
        )
        self._has_request = True

    def _read_length(self) -> int | None:
        """Return the length of the body that the head names; None in chunks."""
        if find_field(self._headers, b"transfer-encoding") is not None:
            return None
        length = find_field(self._headers, b"content-length")
        return int(length) if length is not None else 0

    def _reserve_body(self, length: int | None) -> None:
        """Reserve what the request may hold of its body, or refuse it."""
        memory = self._limits.memory
        if memory is None:
            return
        held_bytes = BODY_HELD_BYTES_MAX
        if length is not None:
            held_bytes = min(held_bytes, length)
        if memory.reserve(held_bytes):
            self._reserved_bytes.append(held_bytes)
            return
        detail = "this VM holds too many request bodies"
        self._refuse(503, detail, RETRY_AFTER_MEMORY_S)

    def _hold_head(self) -> None:
        """Reserve what the head takes, or refuse its request.

        `HEAD_FREE_BYTES` of the only request on the connection are not counted.
        """
        heads = self._limits.heads
        if heads is None:
            return
        is_alone = self.waits_since_s is not None and not self._ready
        free_bytes = HEAD_FREE_BYTES if is_alone else 0
        missing = self._head_cost - free_bytes - self._head_held_bytes
        if missing <= 0:
            return
        size = max(missing, HEAD_STEP_BYTES)
        if heads.reserve(size):
            self._head_held_bytes += size
            return
        detail = "this VM holds too many heads of requests"
        self._refuse(503, detail, RETRY_AFTER_MEMORY_S)

    def _release_head(self) -> None:
        """Drop the head that is not handed on, and give back what it held."""
        self._headers = []
        if self._limits.heads is not None:
            self._limits.heads.release(self._head_held_bytes)
        self._head_held_bytes = 0

    def _is_asked_to_continue(self) -> bool:
        """Return whether the caller waits for leave to send the body."""
        if find_field(self._headers, b"expect") is None or self.refusal is not None:
            return False
        return self.waits_since_s is not None and not self._ready

    async def async_read_request(self, clock: Clock) -> HttpRequest | HttpAnswer:
        """Return the next request, or the refusal of a malformed one.

        Raises
        ------
        CallerGoneError
            When the caller closed the connection.
        """
        self.waits_since_s = clock.read_monotonic_s()
        self.has_answered = False
        while True:
            if self._is_lost and self._limits.cancels_abandoned:
                raise CallerGoneError
            if self._ready:
                break
            if self._is_lost:
                raise CallerGoneError
            if self.refusal is not None:
                return self.refusal
            self._waiter = get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        self.waits_since_s = None
        request = self._ready.popleft()
        self.update_reading()
        self._taken = cast("BodyStream | None", request.rest)
        return request

    @property
    def has_whole_body(self) -> bool:
        """Return whether the body of the current request has arrived."""
        return self._taken is None or self._taken.has_ended

    async def async_discard_body(self) -> None:
        """Read the rest of a body whose request has been answered, for a while.

        Closing at once would reset the connection and could destroy the answer.
        """
        if self._taken is None:
            return
        self._taken.discard()
        try:
            with move_on_after(LINGER_S):
                await self._taken.async_wait_for_end()
        except BodyAbortedError:
            pass

    async def async_linger(self) -> None:
        """Drop what still arrives after a refusal, until the caller has closed.

        Closing at once would reset the connection and could destroy the answer.
        """
        if self._is_lost or self._transport is None or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._waiter = get_running_loop().create_future()
        try:
            with move_on_after(LINGER_S):
                await self._waiter
        finally:
            self._waiter = None

    def end_request(self) -> None:
        """Give back what the current request held."""
        if self._taken is not None:
            self._taken.discard()
            self._taken = None
        if self._reserved_bytes and self._limits.memory is not None:
            self._limits.memory.release(self._reserved_bytes.popleft())
        if self._heads_held_bytes:
            held_bytes = self._heads_held_bytes.popleft()
            if self._limits.heads is not None:
                self._limits.heads.release(held_bytes)

    def end_all(self) -> None:
        """Give back what all requests of the connection held."""
        for request in self._ready:
            if isinstance(request.rest, BodyStream):
                request.rest.discard()
        while self._reserved_bytes or self._heads_held_bytes:
            self.end_request()
        self._release_head()
        if self._is_lost:
            self._count_unsent()

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the caller has taken too long to send a request."""
        if self.waits_since_s is None:
            return False
        limits = self._limits
        if self._size == 0:
            return now_s - self.waits_since_s > limits.idle_s
        limit_s = BODY_TIMEOUT_S if self._has_head else limits.head_s
        return now_s - self._began_at_s > limit_s

    def send(self, data: bytes) -> None:
        """Send bytes to the caller.

        Raises
        ------
        CallerGoneError
            When the caller closed the connection.
        """
        if self._is_lost or self._transport is None or self._transport.is_closing():
            raise CallerGoneError
        self.has_answered = True
        self._sent_bytes += len(data)
        self._transport.write(data)
        # Writing may have closed this reader as the slowest.
        if self._can_write is not None and not self._transport.is_closing():
            self._count_unsent()

    async def async_drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        if self._can_write is not None:
            await self._can_write

    @property
    def taken_bytes(self) -> int:
        """Return what the caller, or the kernel for it, has taken of all answers."""
        if self._transport is None:
            return 0
        return self._sent_bytes - self._transport.get_write_buffer_size()

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the caller has taken nothing of an answer for too long.

        The state of the last call is compared, so it has to be called at intervals.
        """
        if not self.has_unsent:
            self._progress_at_s = None
            return False
        taken_bytes = self.taken_bytes
        if self._progress_at_s is None or taken_bytes != self._progress_bytes:
            self._progress_at_s = now_s
            self._progress_bytes = taken_bytes
        return now_s - self._progress_at_s > self._limits.idle_s

    def close_slow(self) -> None:
        """Close the connection of a reader at once, in the middle of an answer."""
        if self._limits.responses is not None:
            self._limits.responses.budget.remove_reader(self)
        if self._transport is not None:
            self._transport.abort()
        self._count_unsent(is_dropped=True)

    def _count_unsent(self, is_dropped: bool = False) -> None:
        """Count the unsent bytes while the response is paused."""
        responses = self._limits.responses
        if responses is None:
            return
        unsent_bytes = 0
        is_waited_for = self._can_write is not None and not self._is_lost
        if is_waited_for and not is_dropped and self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
        else:
            responses.budget.remove_reader(self)
        grown_bytes = unsent_bytes - self._unsent_bytes
        self._unsent_bytes = unsent_bytes
        responses.change(grown_bytes)

    def close(self) -> None:
        """Close the connection after what was sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; what is unsent is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _refuse(
        self, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Refuse what arrives, once the requests before it are answered.

        A request whose body has been handed on in part is broken off.
        """
        if self.refusal is not None:
            return
        outcome = OUTCOME_NOT_RUN
        self._release_head()
        self._body.clear()
        if self._stream is not None:
            self._stream.abort()
            if self._taken is self._stream:
                outcome = OUTCOME_UNKNOWN
                if self.scope is not None:
                    self.scope.cancel()
            else:
                self._ready.pop()
                self._stream.discard()
        self.refusal = build_problem(status, detail, outcome, retry_after_s)

    def update_reading(self) -> None:
        """Have the caller wait while enough of it is held, or let it send on."""
        is_full = len(self._ready) >= PIPELINED_MAX or (
            self._stream is not None and self._stream.is_full()
        )
        if is_full == self._is_unread or self._transport is None or self._is_lost:
            return
        if self._transport.is_closing():
            return
        self._is_unread = is_full
        if is_full:
            self._transport.pause_reading()
            self._owner.hangups.add(self._descriptor, self._transport.abort)
        else:
            self._owner.hangups.remove(self._descriptor)
            self._transport.resume_reading()

    def _wake(self) -> None:
        """Wake the task that waits for a request."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
