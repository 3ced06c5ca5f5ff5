"""Connections of callers.

They are protocols of the event loop rather than streams, for the reason that the
connections to backend servers are.
"""

from __future__ import annotations

from asyncio import BaseTransport, Future, Transport, get_running_loop
from asyncio import Protocol as LoopProtocol
from collections import deque
from typing import Protocol, cast

from anyio import CancelScope, create_task_group, sleep
from anyio.abc import TaskGroup
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from cardamomtack.helpers.clock import Clock
from cardamomtack_daemon.http1.client import BrokenAnswerError
from cardamomtack_daemon.http1.messages import (
    HeaderList,
    HttpAnswer,
    HttpRequest,
    encode_answer_head,
)
from cardamomtack_daemon.http1.problems import write_problem

BACKLOG = 1024
BODY_TIMEOUT_S = 30.0
HEAD_BYTES_MAX = 65536
HEAD_TIMEOUT_S = 30.0
IDLE_CHECK_S = 1.0
PIPELINED_MAX = 16


class AnswerSource(Protocol):
    """The rest of an answer whose body is still arriving."""

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end."""

    async def async_release(self) -> None:
        """Give back what the answer came from."""


class RequestHandler(Protocol):
    """Answers requests."""

    async def async_handle(
        self, request: HttpRequest
    ) -> tuple[HttpAnswer, AnswerSource | None]:
        """Return the answer, and the source of its rest when it isn't whole."""


class ConnectionLimits:
    """Bounds of caller connections.

    Parameters
    ----------
    body_bytes_max : int
        Largest request body, in bytes.
    connections_max : int
        Open connections.
    idle_s : float
        Time after which an idle connection is closed, in seconds.
    head_bytes_max : int
        Largest head of a request, in bytes.
    head_s : float
        Time for the head of a request, from its first byte on, in seconds.
    cancels_abandoned : bool
        Whether the work on a request ends when its caller has gone. Work that others
        wait for, as that on a claim, goes on.
    """

    __slots__ = (
        "body_bytes_max",
        "cancels_abandoned",
        "connections_max",
        "head_bytes_max",
        "head_s",
        "idle_s",
    )

    def __init__(
        self,
        body_bytes_max: int,
        connections_max: int,
        idle_s: float,
        cancels_abandoned: bool = False,
    ) -> None:
        self.body_bytes_max = body_bytes_max
        self.cancels_abandoned = cancels_abandoned
        self.connections_max = connections_max
        self.head_bytes_max = HEAD_BYTES_MAX
        self.head_s = HEAD_TIMEOUT_S
        self.idle_s = idle_s


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerConnection(LoopProtocol):
    """One connection of a caller.

    Parameters
    ----------
    server : CallerServer
        The server that accepted it.
    limits : ConnectionLimits
        Bounds of the connection.
    clock : Clock
        Tells the time.

    Attributes
    ----------
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
        "_has_head",
        "_head_size",
        "_headers",
        "_is_lost",
        "_limits",
        "_parser",
        "_ready",
        "_refusal",
        "_server",
        "_size",
        "_target",
        "_transport",
        "_waiter",
        "scope",
        "waits_since_s",
    )

    def __init__(
        self, server: CallerServer, limits: ConnectionLimits, clock: Clock
    ) -> None:
        self._began_at_s = 0.0
        self._body_size = 0
        self._clock = clock
        self._has_head = False
        self._head_size = 0
        self._limits = limits
        self._server = server
        self._body: list[bytes] = []
        self._can_write: Future[None] | None = None
        self._headers: HeaderList = []
        self._is_lost = False
        self._parser = HttpRequestParser(self)
        self._ready: deque[HttpRequest] = deque()
        self._refusal: HttpAnswer | None = None
        self._size = 0
        self._target = b""
        self._transport: Transport | None = None
        self._waiter: Future[None] | None = None
        self.scope: CancelScope | None = None
        self.waits_since_s: float | None = clock.read_monotonic_s()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no request has begun to arrive."""
        return self._size == 0

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport and have the requests answered."""
        self._transport = cast("Transport", transport)
        self._server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse what arrives."""
        if self._size == 0:
            self._began_at_s = self._clock.read_monotonic_s()
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except HttpParserError as error:
            self._refuse(400, f"malformed request: {error}")
        if not self._has_head and self._size > self._limits.head_bytes_max:
            self._refuse(431, "head of the request is too large")
        if len(self._ready) >= PIPELINED_MAX and self._transport is not None:
            self._transport.pause_reading()
        if self._ready or self._refusal is not None:
            self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_lost = True
        self._wake()
        self.resume_writing()
        if self.scope is not None:
            self.scope.cancel()

    def pause_writing(self) -> None:
        """Make a long answer wait until the caller takes more."""
        self._can_write = get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let a long answer go on."""
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = []
        self._body = []
        self._body_size = 0
        self._has_head = False
        self._head_size = 0

    def on_url(self, target: bytes) -> None:
        """Collect a part of the target."""
        self._head_size += len(target)
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers.append((name.lower(), value))
        self._head_size += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Note that the head is complete, and check its size."""
        self._has_head = True
        if self._head_size > self._limits.head_bytes_max:
            self._refuse(431, "head of the request is too large")

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._body_size += len(chunk)
        if self._body_size > self._limits.body_bytes_max:
            self._refuse(413, "body of the request is too large")
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Complete a request."""
        if self._refusal is not None:
            return
        parser = self._parser
        is_current = parser.get_http_version() == "1.1"
        keep_alive = parser.should_keep_alive() and is_current
        body = b"".join(self._body)
        method = parser.get_method()
        self._ready.append(
            HttpRequest(method, self._target, self._headers, body, keep_alive)
        )
        self._size = 0

    async def async_read_request(self, clock: Clock) -> HttpRequest | HttpAnswer:
        """Return the next request, or the refusal of a malformed one.

        Raises
        ------
        CallerGoneError
            When the caller closed the connection.
        """
        self.waits_since_s = clock.read_monotonic_s()
        while not self._ready:
            if self._is_lost:
                raise CallerGoneError
            if self._refusal is not None:
                return self._refusal
            self._waiter = get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        self.waits_since_s = None
        if len(self._ready) == PIPELINED_MAX and self._transport is not None:
            self._transport.resume_reading()
        return self._ready.popleft()

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
        if self._is_lost or self._transport is None:
            raise CallerGoneError
        self._transport.write(data)

    async def async_drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        if self._can_write is not None:
            await self._can_write

    def close(self) -> None:
        """Close the connection after what was sent."""
        if self._transport is not None:
            self._transport.close()

    def _refuse(self, status: int, detail: str) -> None:
        """Refuse what arrives, once the requests before it are answered."""
        if self._refusal is None:
            self._refusal = write_problem(status, detail, "not-run")

    def _wake(self) -> None:
        """Wake the task that waits for a request."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class CallerServer:
    """Listens for callers and answers their requests in order.

    Parameters
    ----------
    handler : RequestHandler
        Answers requests.
    limits : ConnectionLimits
        Bounds of the connections.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    is_closing : bool
        Whether connections are closed after their current request.
    refused : int
        Connections that were over the bound.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_handler",
        "_limits",
        "_tasks",
        "is_closing",
        "refused",
    )

    def __init__(
        self, handler: RequestHandler, limits: ConnectionLimits, clock: Clock
    ) -> None:
        self._clock = clock
        self._connections: set[CallerConnection] = set()
        self._handler = handler
        self._limits = limits
        self._tasks: TaskGroup | None = None
        self.is_closing = False
        self.refused = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    async def async_serve(self, address: str, port: int) -> None:
        """Serve callers until cancelled."""
        async with create_task_group() as tasks:
            self._tasks = tasks
            server = await get_running_loop().create_server(
                self._make_connection, address, port, backlog=BACKLOG
            )
            try:
                await self._async_close_idle()
            finally:
                server.close()

    def add_connection(self, connection: CallerConnection) -> None:
        """Have the requests of a new connection answered."""
        if len(self._connections) >= self._limits.connections_max or not self._tasks:
            self.refused += 1
            connection.close()
            return
        self._connections.add(connection)
        self._tasks.start_soon(self._async_serve_connection, connection)

    def _make_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._limits, self._clock)

    async def _async_close_idle(self) -> None:
        """Close connections on which nothing arrives for too long.

        One task looks at all connections, because a timeout of each read would cost
        every request.
        """
        while True:
            await sleep(IDLE_CHECK_S)
            now_s = self._clock.read_monotonic_s()
            for connection in list(self._connections):
                if connection.is_overdue(now_s):
                    connection.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for connection in list(self._connections):
            if connection.waits_since_s is not None and connection.is_between_requests:
                connection.close()

    async def _async_serve_connection(self, connection: CallerConnection) -> None:
        """Answer the requests of a connection one after another."""
        keep_alive = True
        try:
            while keep_alive:
                request = await connection.async_read_request(self._clock)
                if isinstance(request, HttpAnswer):
                    _send_whole(connection, request, keep_alive=False)
                    break
                with CancelScope() as scope:
                    if self._limits.cancels_abandoned:
                        connection.scope = scope
                    keep_alive = await self._async_answer(connection, request)
                connection.scope = None
                keep_alive = keep_alive and not scope.cancelled_caught
        except CallerGoneError:
            pass
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _async_answer(
        self, connection: CallerConnection, request: HttpRequest
    ) -> bool:
        """Answer one request and return whether another may follow it."""
        answer, source = await self._handler.async_handle(request)
        keep_alive = request.keep_alive and not self.is_closing
        if source is not None:
            return await _async_stream(connection, answer, source, keep_alive)
        _send_whole(connection, answer, keep_alive)
        return keep_alive


def _send_whole(
    connection: CallerConnection, answer: HttpAnswer, keep_alive: bool
) -> None:
    """Send an answer that is whole."""
    framing = b"content-length: %d\r\n" % _count_length(answer)
    connection.send(encode_answer_head(answer, keep_alive, framing) + answer.body)


async def _async_stream(
    connection: CallerConnection,
    answer: HttpAnswer,
    source: AnswerSource,
    keep_alive: bool,
) -> bool:
    """Pass a long answer on and return whether a request may follow it.

    The connection of a cut answer closes short of its length or its last chunk, so
    that the caller can't take the part for the whole.
    """
    chunked = answer.length is None
    framing = b"transfer-encoding: chunked\r\n"
    if answer.length is not None:
        framing = b"content-length: %d\r\n" % answer.length
    part: bytes | None = answer.body
    try:
        connection.send(encode_answer_head(answer, keep_alive, framing))
        while part is not None:
            if part:
                connection.send(_frame_chunk(part) if chunked else part)
                await connection.async_drain()
            part = await source.async_receive_more()
        if chunked:
            connection.send(b"0\r\n\r\n")
    except BrokenAnswerError:
        return False
    finally:
        await source.async_release()
    return keep_alive


def _frame_chunk(part: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(part), part)


def _count_length(answer: HttpAnswer) -> int:
    """Return the length to announce; an answer to HEAD names that of GET."""
    if not answer.body and answer.length is not None:
        return answer.length
    return len(answer.body)
