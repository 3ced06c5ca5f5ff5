"""One send of a request to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from loguru import logger

from cardamomtack.generated.logs import SendRecord
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.placing.chooser import build_send_conditions
from cardamomtack.placing.server import ServerView, is_near_capacity
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack_daemon.forwarding.body import BodyFramer
from cardamomtack_daemon.forwarding.call import STATUS_MISDIRECTED, ForwardedCall
from cardamomtack_daemon.forwarding.const import ANSWER_BUFFER_BYTES_MAX
from cardamomtack_daemon.forwarding.outcome import AnswerRest, SendOutcome, SendResult
from cardamomtack_daemon.forwarding.prober import ProbedServer, ServerProber
from cardamomtack_daemon.forwarding.shared_limits import SharedLimits
from cardamomtack_daemon.http1.body import BodyAbortedError
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.responses import ResponseMemory
from cardamomtack_daemon.pool import ConnectionPool

NO_RATE_LIMIT = -1.0
"""What the log says of an answer that names no limit."""

PROMISING_STATUSES = frozenset({408, 429, 503})
"""Tell a caller that its request has not run, so a server has to prove it."""

STATUS_FAILURE_MIN = 500
STATUS_GATEWAY_TIMEOUT = 504
STATUS_SUCCESS_MAX = 299
STATUS_SUCCESS_MIN = 200


class ServerSend:
    """One send of a request to one server, from its first byte to its end.

    Parameters
    ----------
    sender : RequestSender
        What all sends share.
    call : ForwardedCall
        The request.
    probed : ProbedServer
        Where it goes.
    work_s : float
        Work of the request on an idle server, in seconds.

    Attributes
    ----------
    estimate_s : float
        Within which the server was expected to answer, in seconds.
    conditions : SendConditions
        What the server had told before.
    is_streaming : bool
        Whether the rest of a long answer is still arriving.
    record : SendRecord
        What the log will tell of it.
    sent_at_s : float
        Monotonic time at which the request began to leave, in seconds.
    started_s : float
        Monotonic time at which the request had left, in seconds.
    """

    __slots__ = (
        "_framer",
        "_has_begun",
        "_has_ended",
        "_sender",
        "call",
        "conditions",
        "connection",
        "estimate_s",
        "is_streaming",
        "record",
        "sent_at_s",
        "server",
        "started_s",
    )

    def __init__(
        self,
        sender: RequestSender,
        call: ForwardedCall,
        probed: ProbedServer,
        work_s: float,
    ) -> None:
        self._framer = BodyFramer(call.request.length)
        self._has_begun = False
        self._has_ended = False
        self._sender = sender
        self.call = call
        self.conditions = build_send_conditions(probed.server)
        self.connection = probed.connection
        self.estimate_s = call.estimate_s or work_s
        self.is_streaming = False
        self.sent_at_s = 0.0
        self.started_s = 0.0
        self.server = probed.server
        load = self.server.report.describe() if self.server.report is not None else ""
        self.record = SendRecord(
            self.server.vm_id,
            SendOutcome.BROKEN.value,
            0,
            load,
            via=self.connection.helper_id,
        )

    async def async_exchange(self, timeout_s: float) -> SendResult | None:
        """Send the request and return what became of it, or None when it takes longer.

        Parameters
        ----------
        timeout_s : float
            How long to wait for the answer, in seconds.
        """
        self.sent_at_s = self._sender.read_now_s()
        self.started_s = self.sent_at_s
        self._has_begun = True
        self._sender.begin(self)
        call = self.call
        data = call.encode_head(self.server.vm_id, self.started_s)
        data += self._framer.frame_part(call.body.first_part)
        if call.body.has_one_part:
            data += self._framer.frame_end()
        try:
            self.connection.send(
                data,
                call.request.method == b"HEAD",
                call.owns_answer,
                accepts_unframed=True,
                is_whole=self._framer.has_ended,
            )
        except BrokenAnswerError as error:
            return await self._async_break(error)
        return await self.async_receive(timeout_s)

    async def async_send_body(self) -> None:
        """Send the parts of a long body after the first, as the caller sends them."""
        call = self.call
        try:
            index = 1
            while (part := await call.body.async_read(index)) is not None:
                framed = self._framer.frame_part(part)
                await self.connection.async_send_more(framed, self._framer.has_ended)
                index += 1
        except BodyAbortedError:
            # What the caller has not sent whole is answered by nobody.
            self.connection.cancel_receive()
            return
        await self.connection.async_send_more(self._framer.frame_end(), True)
        # The time that the caller took says nothing of the server.
        self.started_s = self._sender.read_now_s()

    async def async_receive(self, timeout_s: float) -> SendResult | None:
        """Return what became of the request, or None when it takes longer.

        The deadline of the caller and the end of this VM end the wait for good.
        """
        left_s = self.call.deadline_s - self._sender.read_now_s()
        try:
            answer = await self.connection.async_receive(
                ANSWER_BUFFER_BYTES_MAX, min(left_s, timeout_s)
            )
        except BrokenAnswerError as error:
            return await self._async_break(error)
        if answer is not None:
            result = self._sender.judge(self, answer)
        elif timeout_s < left_s and not self.connection.is_receive_cancelled:
            return None
        else:
            result = SendResult(SendOutcome.OVERDUE)
        return self._record_result(result)

    async def async_finish(self) -> SendResult:
        """Return what became of the request in the end."""
        return await self.async_receive(inf) or SendResult(SendOutcome.OVERDUE)

    def give_up_rest(self) -> None:
        """Have the rest of a long answer dropped at the end, as its caller has gone."""
        self.is_streaming = False

    def close(self) -> None:
        """End the send.

        An answer that has not arrived is given up: its connection is closed, and the
        server drops the work.
        """
        if self._has_ended:
            return
        self._has_ended = True
        if not self._has_begun:
            self._sender.release_unused(ProbedServer(self.server, self.connection))
            return
        now_s = self._sender.read_now_s()
        self.record.is_body_sent = self._framer.has_ended
        self.record.duration_ms = int((now_s - self.started_s) * MS_PER_S)
        self._sender.end(self)

    async def _async_break(self, error: BrokenAnswerError) -> SendResult:
        """Return the result of a send whose connection broke."""
        return self._record_result(await self._sender.async_break(self, error))

    def _record_result(self, result: SendResult) -> SendResult:
        """Record a result for the log."""
        self.record.outcome = result.outcome.value
        self.is_streaming = result.rest is not None
        return result


class RequestSender:
    """Sends requests to servers and judges their answers.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to servers.
    prober : ServerProber
        Finds out whether a server has gone down.
    crash_tracker : CrashTracker
        Suspects of crashes.
    release_connection : callable
        Takes the connection of a request that has ended.
    report_crash : callable
        Tells the other VMs of a crash: the server's incarnation, and the digests of
        the requests that it was running for this VM.
    limits : SharedLimits
        Hears the limits of servers.
    clock : Clock
        Tells the time.
    memory : ResponseMemory or None
        Counts what is held of answers.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_crash_tracker",
        "_digests",
        "_limits",
        "_memory",
        "_pool",
        "_prober",
        "_release_connection",
        "_report_crash",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        prober: ServerProber,
        crash_tracker: CrashTracker,
        release_connection: Callable[[ServerView, ServerConnection], None],
        report_crash: Callable[[str, list[bytes]], None],
        limits: SharedLimits,
        clock: Clock,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._limits = limits
        self._memory = memory
        self._prober = prober
        self._clock = clock
        self._connections: set[ServerConnection] = set()
        self._report_crash = report_crash
        self._digests: dict[str, list[bytes]] = {}
        self._crash_tracker = crash_tracker
        self._pool = pool
        self._release_connection = release_connection

    def release_unused(self, probed: ProbedServer) -> None:
        """Give back what was taken for a send that is not made after all."""
        probed.server.release_send()
        self._pool.release(probed.server, probed.connection)

    def expire_all(self) -> None:
        """Have every call in flight end as at its deadline, because this VM ends."""
        for connection in list(self._connections):
            connection.cancel_receive()

    def open_send(
        self, call: ForwardedCall, probed: ProbedServer, work_s: float
    ) -> ServerSend:
        """Return a send of a request that has not left yet."""
        return ServerSend(self, call, probed, work_s)

    def begin(self, send: ServerSend) -> None:
        """Record that a send begins."""
        send.call.sends.append(send.record)
        send.call.tried.add(send.server.vm_id)
        send.server.record_send()
        self._digests.setdefault(send.server.vm_id, []).append(send.call.digest)
        self._connections.add(send.connection)
        send.connection.memory = self._memory

    def end(self, send: ServerSend) -> None:
        """Record that a send has ended; a connection that isn't clean is closed."""
        server = send.server
        digests = self._digests[server.vm_id]
        digests.remove(send.call.digest)
        if not digests:
            del self._digests[server.vm_id]
        self._connections.discard(send.connection)
        if not send.is_streaming:
            server.record_end()
            self._release_connection(server, send.connection)

    def read_now_s(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock.read_monotonic_s()

    async def async_break(
        self, send: ServerSend, error: BrokenAnswerError
    ) -> SendResult:
        """Return the result of a send that broke, and learn from it."""
        send.server.record_failure(self.read_now_s())
        if error.is_cut:
            await self._async_check_crash(send.server)
        return SendResult(SendOutcome.BROKEN)

    def judge(self, send: ServerSend, answer: HttpAnswer) -> SendResult:
        """Return what an answer says of its request and its server."""
        self._prober.record_answer(send.server, send.connection)
        result = self._judge(send.call, send.server, answer)
        if answer.status != STATUS_MISDIRECTED:
            rate = self._limits.record_answer(
                send.server,
                answer,
                send.sent_at_s,
                can_end=result.outcome is SendOutcome.ANSWERED,
                is_helped=bool(send.connection.helper_id),
            )
            send.record.rate_limit = rate if rate is not None else NO_RATE_LIMIT
        # Of an answer that proves "not run", nothing is passed on.
        is_passed_on = result.answer is not None
        is_passed_on = is_passed_on and result.outcome is not SendOutcome.NOT_RUN
        if is_passed_on and not answer.is_whole:
            result.rest = AnswerRest(
                self._release_connection,
                send.server,
                send.connection,
                send.call.leaves_at_s,
                self._clock,
            )
        return result

    def _judge(
        self, call: ForwardedCall, server: ServerView, answer: HttpAnswer
    ) -> SendResult:
        """Return what an answer says of its request and its server."""
        now_s = self._clock.read_monotonic_s()
        value = answer.find_header(call.names.load)
        report = call.names.parse_load(value) if value is not None else None
        if call.is_not_run(answer.status, answer.headers):
            server.record_rejection()
            if report is not None:
                server.record_report(report, now_s)
            if answer.status == STATUS_MISDIRECTED:
                server.record_unreachable(now_s)
            elif not is_near_capacity(server):
                server.record_soft_failure(now_s)
            return SendResult(SendOutcome.NOT_RUN, answer)
        if report is not None:
            server.record_answer_report(report, now_s)
        self._crash_tracker.mark_answered(call.digest)
        is_success = STATUS_SUCCESS_MIN <= answer.status <= STATUS_SUCCESS_MAX
        if is_success and answer.find_header(call.names.signature) is None:
            server.record_failure(now_s)
            return SendResult(SendOutcome.BROKEN)
        if answer.status in PROMISING_STATUSES and not call.route.is_idempotent:
            server.record_failure(now_s)
            return SendResult(SendOutcome.BROKEN)
        if answer.status >= STATUS_FAILURE_MIN:
            if answer.status != STATUS_GATEWAY_TIMEOUT:
                server.record_failure(now_s)
            return SendResult(SendOutcome.FAILED, answer)
        server.record_success(now_s)
        return SendResult(SendOutcome.ANSWERED, answer)

    async def _async_check_crash(self, server: ServerView) -> None:
        """Suspect what a server was running when it has gone down."""
        suspects = list(self._digests.get(server.vm_id, ()))
        is_down = await self._prober.async_is_down(server)
        logger.bind(server=server.vm_id, is_down=is_down, suspects=len(suspects)).info(
            "a server has cut a connection"
        )
        if is_down:
            self._record_crash(server, suspects)

    def _record_crash(self, server: ServerView, suspects: list[bytes]) -> None:
        """Record a crash of a server."""
        server.record_unreachable(self._clock.read_monotonic_s())
        self._pool.close_connections(server.vm_id)
        suspects = self._crash_tracker.filter_suspects(suspects)
        if suspects:
            self._report_crash(server.key, suspects)
