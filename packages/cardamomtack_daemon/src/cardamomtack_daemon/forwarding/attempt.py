"""One send of a request to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cardamomtack.generated.logs import SendRecord
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.placing.server import ServerView
from cardamomtack.quarantine.ledger import CrashLedger
from cardamomtack_daemon.forwarding.asking import AskedServer, ServerAsker
from cardamomtack_daemon.forwarding.call import STATUS_MISDIRECTED, ForwardedCall
from cardamomtack_daemon.forwarding.const import ANSWER_BUFFER_BYTES_MAX
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.pool import ConnectionPool

STATUS_FAILURE_MIN = 500
STATUS_GATEWAY_TIMEOUT = 504
STATUS_SUCCESS_MAX = 299
STATUS_SUCCESS_MIN = 200


class SendOutcome(Enum):
    """What became of a send."""

    ANSWERED = "answered"
    FAILED = "server answered with a failure"
    NOT_RUN = "server proved that it did not run the request"
    BROKEN = "no whole answer of the server; it may have run the request"
    OVERDUE = "no answer before the deadline"


@dataclass(slots=True)
class SendResult:
    """What a send brought.

    Attributes
    ----------
    answer : HttpAnswer or None
        The server's answer, for all outcomes that have one.
    rest : AnswerRest or None
        The source of the rest of a long answer.
    """

    outcome: SendOutcome
    answer: HttpAnswer | None = None
    rest: AnswerRest | None = None


class AnswerRest:
    """The rest of a long answer that is still arriving.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back.
    server : ServerView
        Where the answer comes from.
    connection : ServerConnection
        On which it arrives.
    """

    __slots__ = ("_connection", "_pool", "_server")

    def __init__(
        self, pool: ConnectionPool, server: ServerView, connection: ServerConnection
    ) -> None:
        self._connection = connection
        self._pool = pool
        self._server = server

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end."""
        return await self._connection.async_receive_more()

    async def async_release(self) -> None:
        """Give the connection back after the answer, whole or cut."""
        self._server.record_end()
        self._pool.release(self._server, self._connection)


class RequestSender:
    """Sends requests to servers and judges their answers.

    Parameters
    ----------
    pool : ConnectionPool
        Takes connections back.
    asker : ServerAsker
        Finds out whether a server has gone down.
    ledger : CrashLedger
        Suspects of crashes.
    report_crash : callable
        Tells the other VMs of a crash: the server's incarnation, and the digests of
        the requests that it was running for this VM.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_connections",
        "_digests",
        "_ledger",
        "_pool",
        "_report_crash",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        asker: ServerAsker,
        ledger: CrashLedger,
        report_crash: Callable[[str, list[bytes]], None],
        clock: Clock,
    ) -> None:
        self._asker = asker
        self._clock = clock
        self._connections: set[ServerConnection] = set()
        self._report_crash = report_crash
        self._digests: dict[str, list[bytes]] = {}
        self._ledger = ledger
        self._pool = pool

    def give_back(self, asked: AskedServer) -> None:
        """Give back the connection of a server that gets nothing after all."""
        self._pool.release(asked.server, asked.connection)

    def expire_all(self) -> None:
        """Have every call in flight end as at its deadline, because this VM ends."""
        for connection in list(self._connections):
            connection.expire()

    async def async_send(self, call: ForwardedCall, asked: AskedServer) -> SendResult:
        """Send a request and return what became of it.

        When it is cancelled, because the caller has gone, the connection is closed
        and the server drops the work.
        """
        server = asked.server
        connection = asked.connection
        digests = self._digests.setdefault(server.vm_id, [])
        started_s = self._clock.read_monotonic_s()
        load = server.report.describe() if server.report is not None else ""
        record = SendRecord(server.vm_id, SendOutcome.BROKEN.value, 0, load)
        call.sends.append(record)
        call.tried.add(server.vm_id)
        server.record_send()
        digests.append(call.digest)
        self._connections.add(connection)
        rest: AnswerRest | None = None
        try:
            result = await self._async_exchange(call, server, connection)
            rest = result.rest
        except BrokenAnswerError as error:
            server.record_failure(self._clock.read_monotonic_s())
            if error.is_cut:
                await self._async_check_crash(server)
            result = SendResult(SendOutcome.BROKEN)
        finally:
            digests.remove(call.digest)
            if not digests:
                self._digests.pop(server.vm_id, None)
            self._connections.discard(connection)
            if rest is None:
                server.record_end()
                self._pool.release(server, connection)
            record.duration_ms = self._count_ms(started_s)
        record.outcome = result.outcome.value
        return result

    def _count_ms(self, started_s: float) -> int:
        """Return the milliseconds since a time."""
        return int((self._clock.read_monotonic_s() - started_s) * MS_PER_S)

    async def _async_exchange(
        self, call: ForwardedCall, server: ServerView, connection: ServerConnection
    ) -> SendResult:
        """Send the request on a connection and receive its answer.

        Raises
        ------
        BrokenAnswerError
            When the answer is cut or malformed.
        """
        now_s = self._clock.read_monotonic_s()
        connection.send(
            call.encode(server.vm_id, now_s),
            call.request.method == b"HEAD",
            call.owns_answer,
            accepts_unframed=True,
        )
        left_s = call.deadline_s - now_s
        answer = await connection.async_receive(ANSWER_BUFFER_BYTES_MAX, left_s)
        if answer is None:
            return SendResult(SendOutcome.OVERDUE)
        result = self._judge(call, server, answer)
        if not answer.is_whole and result.answer is not None:
            result.rest = AnswerRest(self._pool, server, connection)
        return result

    def _judge(
        self, call: ForwardedCall, server: ServerView, answer: HttpAnswer
    ) -> SendResult:
        """Return what an answer says of its request and its server."""
        now_s = self._clock.read_monotonic_s()
        value = answer.find_header(call.names.load)
        report = call.names.parse_load(value) if value is not None else None
        if report is not None:
            server.record_report(report, now_s)
        if call.is_not_run(answer.status, answer.headers):
            if answer.status == STATUS_MISDIRECTED:
                server.record_unreachable(now_s)
            return SendResult(SendOutcome.NOT_RUN, answer)
        self._ledger.record_answer(call.digest)
        is_success = STATUS_SUCCESS_MIN <= answer.status <= STATUS_SUCCESS_MAX
        if is_success and answer.find_header(call.names.signature) is None:
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
        if await self._asker.async_is_down(server):
            self._note_crash(server, suspects)

    def _note_crash(self, server: ServerView, suspects: list[bytes]) -> None:
        """Note a crash of a server."""
        server.record_unreachable(self._clock.read_monotonic_s())
        self._pool.drop_server(server.vm_id)
        if suspects:
            incarnation = f"{server.vm_id}/{server.entry.incarnation}"
            self._report_crash(incarnation, suspects)
