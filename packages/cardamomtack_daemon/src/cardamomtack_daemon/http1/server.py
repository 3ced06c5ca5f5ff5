"""Listens for callers and answers their requests in order."""

from __future__ import annotations

from asyncio import get_running_loop
from typing import Protocol

from anyio import TASK_STATUS_IGNORED, CancelScope, create_task_group, sleep
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger

from cardamomtack.helpers.clock import Clock
from cardamomtack_daemon.http1.body import BodyAbortedError
from cardamomtack_daemon.http1.client import BrokenAnswerError
from cardamomtack_daemon.http1.connection import CallerConnection, CallerGoneError
from cardamomtack_daemon.http1.hangups import HangupWatcher
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.messages import (
    HttpAnswer,
    HttpRequest,
    encode_answer_head,
    encode_chunk,
)
from cardamomtack_daemon.http1.receiving import open_listener

BACKLOG = 1024
IDLE_CHECK_S = 1.0
JOINED_BYTES_MAX = 32_768
"""Longest body that is copied behind its head, to be sent in one piece."""


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
    hangups : HangupWatcher
        Watches the connections that are not read at the moment.
    is_closing : bool
        Whether connections are closed after their current request.
    closed_idle : int
        Idle connections that were closed for new ones.
    closed_stalled : int
        Connections whose callers took nothing of an answer for too long.
    refused : int
        Connections that were over the bound.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_connections",
        "_handler",
        "_limits",
        "_logged",
        "_tasks",
        "closed_idle",
        "closed_stalled",
        "hangups",
        "is_closing",
        "refused",
    )

    def __init__(
        self, handler: RequestHandler, limits: ConnectionLimits, clock: Clock
    ) -> None:
        self._clock = clock
        self._closing: set[CallerConnection] = set()
        self._connections: set[CallerConnection] = set()
        self._handler = handler
        self._limits = limits
        self._logged = (0, 0, 0)
        self._tasks: TaskGroup | None = None
        self.closed_idle = 0
        self.closed_stalled = 0
        self.hangups = HangupWatcher()
        self.is_closing = False
        self.refused = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def count_busy(self) -> int:
        """Return on how many connections a request is arriving or under way.

        An answer is under way until its last byte has left.
        """
        self._closing = {one for one in self._closing if one.has_unsent}
        busy = sum(connection.is_busy for connection in self._connections)
        return busy + len(self._closing)

    async def async_serve(
        self,
        address: str,
        port: int,
        *,
        task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers until cancelled; started once it listens."""
        async with create_task_group() as tasks:
            self._tasks = tasks
            listener = open_listener(address, port)
            server = await get_running_loop().create_server(
                self._make_connection, sock=listener, backlog=BACKLOG
            )
            task_status.started()
            if self._limits.cancels_abandoned:
                tasks.start_soon(self.hangups.async_watch)
            try:
                await self._async_close_idle()
            finally:
                server.close()

    def add_connection(self, connection: CallerConnection) -> None:
        """Have the requests of a new connection answered."""
        if not self._tasks or not self._make_room():
            self.refused += 1
            connection.close()
            return
        self._connections.add(connection)
        self._tasks.start_soon(self._async_serve_connection, connection)

    def _make_room(self) -> bool:
        """Return whether one more connection may be open, for which one may close.

        One that has been closed and still sends goes first, then the one that has been
        idle for longest.
        """
        connections = len(self._connections) + len(self._closing)
        if connections < self._limits.connections_max:
            return True
        if self._closing:
            self._closing.pop().abort()
            return True
        idle = [one for one in self._connections if one.is_idle]
        longest = min(idle, key=lambda one: one.waits_since_s or 0.0, default=None)
        if longest is None:
            return False
        self.closed_idle += 1
        self._connections.discard(longest)
        if longest.has_unsent:
            # A caller that does not read would keep its descriptor.
            longest.abort()
        else:
            longest.close()
        return True

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
            self._closing = {one for one in self._closing if one.has_unsent}
            for connection in list(self._connections):
                if connection.is_overdue(now_s):
                    connection.close()
            for connection in [*self._connections, *self._closing]:
                if connection.is_stalled(now_s):
                    self.closed_stalled += 1
                    connection.abort()
            self._log_closed()

    def _log_closed(self) -> None:
        """Log how many connections were closed or refused since the last look."""
        counts = (self.closed_idle, self.closed_stalled, self.refused)
        if counts == self._logged:
            return
        idle, stalled, refused = (
            now - before for now, before in zip(counts, self._logged, strict=True)
        )
        self._logged = counts
        logger.bind(idle=idle, stalled=stalled, refused=refused).warning(
            "connections of callers closed"
        )

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    async def _async_serve_connection(self, connection: CallerConnection) -> None:
        """Answer the requests of a connection one after another."""
        keep_alive = True
        try:
            while keep_alive:
                request = await connection.async_read_request(self._clock)
                if isinstance(request, HttpAnswer):
                    _send_whole(connection, request, keep_alive=False)
                    await connection.async_linger()
                    break
                with CancelScope() as scope:
                    if self._limits.cancels_abandoned:
                        connection.scope = scope
                    keep_alive = await self._async_answer(connection, request)
                connection.scope = None
                if scope.cancelled_caught:
                    # Its caller has gone, or has broken a bound with its body.
                    is_refused = connection.refusal is not None
                    keep_alive = is_refused and not connection.has_answered
                connection.end_request()
        except (BodyAbortedError, CallerGoneError):
            pass
        finally:
            connection.end_all()
            connection.close()
            self._connections.discard(connection)
            if connection.has_unsent:
                self._closing.add(connection)

    async def _async_answer(
        self, connection: CallerConnection, request: HttpRequest
    ) -> bool:
        """Answer one request and return whether another may follow it."""
        answer, source = await self._handler.async_handle(request)
        # Nothing can follow a body of which the rest is not taken.
        is_early = not connection.has_whole_body
        keep_alive = request.keep_alive and not self.is_closing and not is_early
        if source is not None:
            keep_alive = await _async_stream(connection, answer, source, keep_alive)
        else:
            _send_whole(connection, answer, keep_alive)
            # What follows on the connection waits until the answer is taken.
            await connection.async_drain()
        if is_early:
            await connection.async_discard_body()
        return keep_alive


def _send_whole(
    connection: CallerConnection, answer: HttpAnswer, keep_alive: bool
) -> None:
    """Send an answer that is whole."""
    framing = b"content-length: %d\r\n" % _count_length(answer)
    head = encode_answer_head(answer, keep_alive, framing)
    if len(answer.body) <= JOINED_BYTES_MAX:
        connection.send(head + answer.body)
    else:
        connection.send(head)
        connection.send(answer.body)


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
    answer.body = b""
    try:
        connection.send(encode_answer_head(answer, keep_alive, framing))
        while part is not None:
            if part:
                connection.send(encode_chunk(part) if chunked else part)
                part = b""
                await connection.async_drain()
            part = await source.async_receive_more()
        if chunked:
            connection.send(encode_chunk(b""))
    except BrokenAnswerError:
        return False
    finally:
        await source.async_release()
    return keep_alive


def _count_length(answer: HttpAnswer) -> int:
    """Return the length to announce; an answer to HEAD names that of GET."""
    if not answer.body and answer.length is not None:
        return answer.length
    return len(answer.body)
