"""One attempt: a request sent to one backend server, and its answer."""

from __future__ import annotations

from enum import Enum

from anyio import sleep

from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.balancing.metrics_header import parse_load_metrics
from cardamomtack.balancing.server import BackendServer
from cardamomtack.helpers.clock import Clock
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack_daemon.const import (
    HEADER_LOAD_METRICS,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
)
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.pool import ConnectionPool, ServerUnreachableError
from cardamomtack_daemon.traffic.call import Call
from cardamomtack_daemon.traffic.const import (
    CRASH_CHECK_S,
    SERVER_FAILURE_STATUS_MIN,
)
from cardamomtack_daemon.traffic.server_events import ServerEventReporter

PRIVATE_HEADERS = frozenset({HEADER_OUTCOME, HEADER_REQUEST_ID})


class AttemptFailure(Enum):
    """Why an attempt brought no answer."""

    UNREACHABLE = "backend server can't be reached"
    BROKEN = "backend server's answer was cut or malformed"
    DEADLINE = "no answer before the deadline"
    FOREIGN = "backend server answered another request"


class AttemptError(Exception):
    """An attempt brought no answer.

    Parameters
    ----------
    failure : AttemptFailure
        Why.
    """

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class ExchangeContext:
    """What all exchanges of a VM share.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    directory : ServerDirectory
        What is known of the servers.
    crash_tracker : CrashTracker
        Suspects of crashes.
    signals : ServerEventReporter
        Where news about servers go.
    clock : Clock
        Tells the time.
    answer_buffer_bytes_max : int
        Largest answer that is buffered, in bytes.
    """

    __slots__ = (
        "answer_buffer_bytes_max",
        "clock",
        "crash_tracker",
        "directory",
        "in_flight",
        "pool",
        "signals",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        directory: ServerDirectory,
        crash_tracker: CrashTracker,
        signals: ServerEventReporter,
        clock: Clock,
        answer_buffer_bytes_max: int,
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.crash_tracker = crash_tracker
        self.signals = signals
        self.clock = clock
        self.answer_buffer_bytes_max = answer_buffer_bytes_max
        self.in_flight: dict[str, list[bytes]] = {}


class Exchange:
    """One attempt to have a request answered.

    Parameters
    ----------
    context : ExchangeContext
        What all exchanges share.
    call : Call
        The request.
    server : BackendServer
        Where it goes.

    Attributes
    ----------
    duration_s : float
        Time until the answer, in seconds.
    """

    __slots__ = (
        "_call",
        "_connection",
        "_context",
        "_is_counted",
        "_is_streaming",
        "duration_s",
        "server",
        "started_s",
    )

    def __init__(
        self, context: ExchangeContext, call: Call, server: BackendServer
    ) -> None:
        self._context = context
        self._call = call
        self._connection: ServerConnection | None = None
        self._is_counted = False
        self._is_streaming = False
        self.server = server
        self.started_s = 0.0
        self.duration_s = 0.0

    async def async_connect(self, idle_s_max: float, fresh: bool = False) -> None:
        """Get a connection; nothing of the request has left afterwards.

        Parameters
        ----------
        idle_s_max : float
            Longest time since the last use of a connection, in seconds.
        fresh : bool
            Whether a new connection is opened in any case.

        Raises
        ------
        AttemptError
            When the server can't be reached.
        """
        context = self._context
        # The server counts as busy from here on, so that requests which are sent at
        # the same time see one another.
        self._count_in()
        self.started_s = context.clock.read_monotonic_s()
        try:
            self._connection = await context.pool.async_acquire(
                self.server, idle_s_max, fresh
            )
        except ServerUnreachableError as error:
            context.pool.close_connections(self.server.vm_id)
            self.server.record_failure(context.clock.read_monotonic_s())
            self.close()
            raise AttemptError(AttemptFailure.UNREACHABLE) from error

    async def async_send(self) -> None:
        """Send the request.

        Raises
        ------
        AttemptError
            When the connection broke; the server may have run the request.
        """
        connection = self._require_connection()
        now_s = self._context.clock.read_monotonic_s()
        is_head = self._call.request.method == b"HEAD"
        try:
            connection.send(self._call.encode(now_s), is_head)
        except BrokenAnswerError as error:
            await self._async_handle_break(error)
            raise AttemptError(AttemptFailure.BROKEN) from error

    async def async_receive(self) -> HttpAnswer:
        """Receive the answer; may be called again after a cancelled call.

        Raises
        ------
        AttemptError
            When the answer is cut, malformed or another request's.
        """
        answer = await self.async_receive_within(None)
        if answer is None:
            raise AttemptError(AttemptFailure.BROKEN)
        return answer

    async def async_receive_within(self, timeout_s: float | None) -> HttpAnswer | None:
        """Receive the answer, or return None when it takes longer.

        Raises
        ------
        AttemptError
            When the answer is cut, malformed or another request's.
        """
        connection = self._require_connection()
        try:
            answer = await connection.async_receive(
                self._context.answer_buffer_bytes_max, timeout_s
            )
        except BrokenAnswerError as error:
            await self._async_handle_break(error)
            raise AttemptError(AttemptFailure.BROKEN) from error
        if answer is None:
            return None
        echoed = answer.find_header(HEADER_REQUEST_ID)
        if echoed is not None and echoed != self._call.request_id:
            connection.is_reusable = False
            self.server.record_failure(self._context.clock.read_monotonic_s())
            self.close()
            raise AttemptError(AttemptFailure.FOREIGN)
        # Only this VM may say how a request ended, so a server's own claim is dropped.
        answer.headers = [
            field for field in answer.headers if field[0] not in PRIVATE_HEADERS
        ]
        self._record_answer(answer)
        if answer.is_whole:
            self.close()
        else:
            self._is_streaming = True
        return answer

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of a long answer, or None after its end."""
        return await self._require_connection().async_receive_more()

    async def async_release(self) -> None:
        """Give the connection back after a long answer, whole or cut."""
        self.close()

    @property
    def is_server_silent(self) -> bool:
        """Return whether the server has answered nothing since this was sent."""
        return self.server.answered_at_s < self.started_s

    def note_silence(self) -> None:
        """Note that no answer has come for long, on a connection that may be lost.

        The idle connections of the server are as old as this one or older, so they
        are not trusted any more. The server isn't blamed beyond the wait.
        """
        now_s = self._context.clock.read_monotonic_s()
        connection = self._connection
        if connection is not None and connection.requests > 1:
            self._context.pool.close_connections(self.server.vm_id)
        self.server.record_slow(now_s - self.started_s, now_s)

    def close(self) -> None:
        """End the exchange; a connection that isn't clean is closed."""
        self._count_out()
        connection = self._connection
        if connection is None:
            return
        self._connection = None
        self._context.pool.release(self.server, connection)

    def _require_connection(self) -> ServerConnection:
        """Return the connection of an exchange that is connected."""
        if self._connection is None:
            raise AttemptError(AttemptFailure.BROKEN)
        return self._connection

    def _count_in(self) -> None:
        """Count the request as in flight on the server."""
        self._is_counted = True
        self.server.in_flight += 1
        in_flight = self._context.in_flight.setdefault(self.server.vm_id, [])
        in_flight.append(self._call.digest)

    def _count_out(self) -> None:
        """Count the request as no longer in flight, once."""
        if not self._is_counted:
            return
        self._is_counted = False
        self.server.in_flight -= 1
        self._context.in_flight[self.server.vm_id].remove(self._call.digest)

    def _record_answer(self, answer: HttpAnswer) -> None:
        """Take what an answer tells of its server."""
        context = self._context
        now_s = context.clock.read_monotonic_s()
        self.duration_s = now_s - self.started_s
        self.server.answered_at_s = now_s
        self._call.server_id = self.server.vm_id
        context.crash_tracker.mark_answered(self._call.digest)
        if answer.status >= SERVER_FAILURE_STATUS_MIN:
            self.server.record_failure(now_s)
        else:
            self.server.record_success(self.duration_s, now_s)
            service = context.directory.find_service(self.server.service)
            service.record_latency(self.duration_s)
        self._record_load(answer, now_s)

    def _record_load(self, answer: HttpAnswer, now_s: float) -> None:
        """Take the load report of an answer."""
        value = answer.find_header(HEADER_LOAD_METRICS)
        metrics = parse_load_metrics(value) if value is not None else None
        if metrics is None:
            return
        if metrics.state == "draining":
            self._context.signals.report_draining(self.server.vm_id, "answer")
        if metrics.named_metrics is None or metrics.named_metrics.in_use is None:
            return
        self.server.record_report(int(metrics.named_metrics.in_use), now_s)
        service = self._context.directory.find_service(self.server.service)
        service.record_external_in_use(self.server.external_in_use)

    async def _async_handle_break(self, error: BrokenAnswerError) -> None:
        """Find out whether the server crashed, and suspect what it was running."""
        context = self._context
        suspects = list(context.in_flight.get(self.server.vm_id, ()))
        self.server.record_failure(context.clock.read_monotonic_s())
        self.close()
        if not error.is_cut:
            return
        if await self._async_has_crashed():
            context.pool.close_connections(self.server.vm_id)
            context.signals.report_crash(self.server.vm_id, suspects)

    async def _async_has_crashed(self) -> bool:
        """Return whether the server takes no connection, or loses it at once."""
        pool = self._context.pool
        try:
            connection = await pool.async_open(self.server.address, self.server.port)
        except ServerUnreachableError:
            return True
        # A process that dies may have its listener closed after its connections.
        await sleep(CRASH_CHECK_S)
        is_lost = not connection.is_idle()
        pool.release(self.server, connection)
        return is_lost
