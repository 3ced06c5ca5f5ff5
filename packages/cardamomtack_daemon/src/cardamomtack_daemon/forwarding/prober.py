"""Probes servers for their load, on the connections that then carry the request."""

from __future__ import annotations

from asyncio import CancelledError
from collections.abc import Callable
from dataclasses import dataclass

from anyio import Event, create_task_group, move_on_after

from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.helpers.decoding import parse_count
from cardamomtack.measuring.pacer import ProbeLimiter
from cardamomtack.placing.server import ServerView, ServiceView
from cardamomtack.reach.ways import DirectWays
from cardamomtack_daemon.forwarding.const import (
    LIFE_TIMEOUT_S,
    LOAD_PROBE_TIMEOUT_S,
    LOAD_PROBE_TIMEOUT_S_MAX,
    LOAD_PROBE_TURN_S,
)
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.shared_limits import SharedLimits
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import HeaderList, HttpAnswer, find_field
from cardamomtack_daemon.pool import (
    CONNECTION_IDLE_S_MAX,
    ConnectionPool,
    ServerUnreachableError,
)
from cardamomtack_daemon.tunnels.dialer import ServerDialer

CHECK_BYTES_MAX = 65536
STATUS_OK = 200


@dataclass(slots=True)
class ProbedServer:
    """A server that has told its load, and the connection on which it did."""

    server: ServerView
    connection: ServerConnection


class _ProbeRound:
    """The probes of one call, and the answers so far.

    Attributes
    ----------
    missing : dict
        Servers that have not answered yet, and when they were probed, in seconds.
    sent : dict
        When probes left through other VMs, in seconds.
    """

    __slots__ = ("_answered", "answers", "has_enough", "missing", "sent")

    def __init__(self) -> None:
        self._answered = Event()
        self.answers: list[ProbedServer] = []
        self.has_enough = False
        self.missing: dict[ServerView, float] = {}
        self.sent: dict[ServerView, float] = {}

    def add_answer(
        self,
        server: ServerView,
        connection: ServerConnection | None,
        is_enough: Callable[[ProbedServer], bool],
    ) -> None:
        """Add the answer of a server."""
        del self.missing[server]
        if connection is not None:
            answer = ProbedServer(server, connection)
            self.answers.append(answer)
            self.has_enough = self.has_enough or is_enough(answer)
        self._answered.set()
        self._answered = Event()

    async def async_wait(self, timeout_s: float) -> None:
        """Wait for the next answer."""
        answered = self._answered
        with move_on_after(timeout_s):
            await answered.wait()


class ServerProber:
    """Probes servers for their load and health just before a send.

    An answer also proves that its connection is alive and that the server is the one
    that is meant, so nothing is sent on a connection that has gone silent.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to servers.
    names : HeaderNames
        Names of header fields.
    limits : SharedLimits
        Hears the limits of servers.
    dialer : ServerDialer
        Opens connections to servers.
    ways : DirectWays
        Learns whether servers answer on connections of this VM's own.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    probes_sent : int
        Probes sent.
    health_paths : dict
        Path of the health check by service.
    limiter : ProbeLimiter
        Bounds the health checks.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_limits",
        "_names",
        "_pool",
        "_ways",
        "health_paths",
        "limiter",
        "probes_sent",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        names: HeaderNames,
        limits: SharedLimits,
        dialer: ServerDialer,
        ways: DirectWays,
        clock: Clock,
    ) -> None:
        self._dialer = dialer
        self._limits = limits
        self._ways = ways
        self._clock = clock
        self.limiter = ProbeLimiter()
        self._names = names
        self._pool = pool
        self.probes_sent = 0
        self.health_paths: dict[str, bytes] = {}

    async def async_probe(
        self, service: ServiceView, servers: list[ServerView]
    ) -> list[ProbedServer]:
        """Return the servers that have answered in time that they take work."""
        return await self._async_probe_all(service, servers, 0.0, lambda _: False)

    async def async_probe_in_turn(
        self,
        service: ServiceView,
        servers: list[ServerView],
        is_enough: Callable[[ProbedServer], bool],
    ) -> list[ProbedServer]:
        """Probe one server after the other until one that has answered is enough.

        A server that is slow to answer does not hold the next probe up.
        """
        return await self._async_probe_all(
            service, servers, LOAD_PROBE_TURN_S, is_enough
        )

    async def _async_probe_all(
        self,
        service: ServiceView,
        servers: list[ServerView],
        turn_s: float,
        is_enough: Callable[[ProbedServer], bool],
    ) -> list[ProbedServer]:
        """Probe servers in turn, and return those that have answered in time."""
        round_ = _ProbeRound()
        try:
            await self._async_run_round(service, servers, turn_s, is_enough, round_)
        except CancelledError:
            self.release(round_.answers, None)
            raise
        self._record_missing(round_)
        return round_.answers

    async def _async_run_round(
        self,
        service: ServiceView,
        servers: list[ServerView],
        turn_s: float,
        is_enough: Callable[[ProbedServer], bool],
        round_: _ProbeRound,
    ) -> None:
        """Probe servers in turn until enough have answered, or their time is up."""

        async def ask(server: ServerView) -> None:
            connection = await self._async_probe_server(service, server, round_)
            round_.add_answer(server, connection, is_enough)

        async with create_task_group() as tasks:
            for server in servers:
                now_s = self._clock.read_monotonic_s()
                if not self.limiter.grant_probes(1, now_s):
                    break
                round_.missing[server] = now_s
                tasks.start_soon(ask, server)
                if turn_s:
                    await round_.async_wait(turn_s)
                if round_.has_enough:
                    break
            with move_on_after(LOAD_PROBE_TIMEOUT_S):
                while round_.missing and not round_.has_enough:
                    await round_.async_wait(LOAD_PROBE_TIMEOUT_S)
            with move_on_after(LOAD_PROBE_TIMEOUT_S_MAX):
                while round_.missing and not round_.answers:
                    await round_.async_wait(LOAD_PROBE_TIMEOUT_S_MAX)
            tasks.cancel_scope.cancel()

    def _record_missing(self, round_: _ProbeRound) -> None:
        """Record which servers did not answer in time."""
        now_s = self._clock.read_monotonic_s()
        for server, probed_at_s in round_.missing.items():
            if self._ways.is_cut(server):
                # The time that another VM takes to connect says nothing of the server.
                probed_at_s = round_.sent.get(server, now_s)
            if now_s - probed_at_s < LOAD_PROBE_TIMEOUT_S:
                continue
            if probed_at_s >= self._ways.find_changed_at_s(server):
                server.record_probe_timeout(now_s)
                self._ways.record_silence(server)

    async def async_is_down(self, server: ServerView) -> bool:
        """Return whether a server that cut a connection has gone down.

        A new connection and a health check on it tell. A host that answers that
        nothing listens, another server at the address, and a connection on which
        nothing is answered speak for it; a host that can't be reached does not,
        because the way there may be cut.
        """
        try:
            connection = await self._dialer.async_open_to_judge(server)
        except ServerUnreachableError as error:
            if not error.is_own_way:
                server.record_unreachable(self._clock.read_monotonic_s())
            return error.is_refused
        answer: HttpAnswer | None = None
        try:
            self._send_check(server, connection)
            answer = await connection.async_receive(CHECK_BYTES_MAX, LIFE_TIMEOUT_S)
        except BrokenAnswerError:
            return True
        finally:
            self._pool.release(server, connection)
        return answer is None or self._is_another(server, answer)

    @property
    def is_exhausted(self) -> bool:
        """Return whether no further health check may be sent now."""
        return not self.limiter.can_probe(self._clock.read_monotonic_s())

    @property
    def remaining_budget_share(self) -> float:
        """Return the part of the budget of health checks that is left."""
        return self.limiter.compute_remaining_share(self._clock.read_monotonic_s())

    def release(self, probed: list[ProbedServer], chosen: ProbedServer | None) -> None:
        """Give back the connections of the servers that were not chosen."""
        for answer in probed:
            if answer is not chosen:
                self._pool.release(answer.server, answer.connection)

    async def _async_probe_server(
        self, service: ServiceView, server: ServerView, round_: _ProbeRound
    ) -> ServerConnection | None:
        """Return the connection of a server that takes work, or None."""
        try:
            connection = await self._pool.async_acquire(server, CONNECTION_IDLE_S_MAX)
        except ServerUnreachableError as error:
            if not error.is_own_way:
                server.record_unreachable(self._clock.read_monotonic_s())
            return None
        is_answered = False
        is_kept = False
        sent_at_s = self._clock.read_monotonic_s()
        if connection.helper_id:
            round_.sent[server] = sent_at_s
        try:
            is_kept = await self._async_check(service, server, connection)
            is_answered = True
        except BrokenAnswerError:
            # An idle connection may end at any time; that says nothing of the server.
            if connection.requests <= 1:
                server.record_failure(self._clock.read_monotonic_s())
        finally:
            if not is_kept:
                self._pool.discard(connection)
            waited_s = self._clock.read_monotonic_s() - sent_at_s
            is_silent = not is_answered and waited_s >= LOAD_PROBE_TIMEOUT_S
            if is_silent and connection.helper_id:
                self._dialer.record_silent(connection.helper_id)
        return connection if is_kept else None

    def record_answer(self, server: ServerView, connection: ServerConnection) -> None:
        """Record that a server has answered on a connection."""
        if not connection.helper_id:
            self._ways.record_answer(server)

    async def _async_check(
        self, service: ServiceView, server: ServerView, connection: ServerConnection
    ) -> bool:
        """Send a health check and return whether the server takes work.

        Raises
        ------
        BrokenAnswerError
            When the answer is cut or malformed.
        """
        sent_at_s = self._clock.read_monotonic_s()
        self._send_check(server, connection)
        answer = await connection.async_receive(CHECK_BYTES_MAX)
        if answer is None:
            return False
        service.answered_at_s = self._clock.read_monotonic_s()
        self.record_answer(server, connection)
        if self._is_another(server, answer):
            server.record_unreachable(self._clock.read_monotonic_s())
            return False
        is_helped = bool(connection.helper_id)
        self._limits.record_check(server, answer, sent_at_s, is_helped)
        self._record_warm_up(server, answer)
        self._record_load(service, server, answer)
        if answer.status != STATUS_OK:
            server.record_failure(self._clock.read_monotonic_s())
            return False
        return connection.is_idle()

    def _send_check(self, server: ServerView, connection: ServerConnection) -> None:
        """Send a health check.

        Raises
        ------
        BrokenAnswerError
            When the connection is broken.
        """
        path = self.health_paths.get(server.entry.service, b"/")
        self.probes_sent += 1
        connection.send(
            b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (path, server.address.encode()),
            is_head=False,
            check=self._is_health_answer,
        )

    def _is_another(self, server: ServerView, answer: HttpAnswer) -> bool:
        """Return whether another server has the address now."""
        named = answer.find_header(self._names.server_id)
        return named is not None and named != server.vm_id.encode()

    def _record_warm_up(self, server: ServerView, answer: HttpAnswer) -> None:
        """Record that a server warms up, as one may do again at any moment."""
        value = answer.find_header(self._names.warm_up_ms)
        warm_up_ms = parse_count(value) if value is not None else None
        if warm_up_ms:
            now_s = self._clock.read_monotonic_s()
            was_warming = server.is_warming(now_s)
            server.record_warm_up(warm_up_ms / MS_PER_S, now_s)
            if not was_warming:
                # The limit holds for the request that would follow this check.
                self._limits.share()

    def _record_load(
        self, service: ServiceView, server: ServerView, answer: HttpAnswer
    ) -> None:
        """Record the load that an answer tells."""
        value = answer.find_header(self._names.load)
        report = self._names.parse_load(value) if value is not None else None
        if report is not None:
            service.reports_load = True
            service.record_report(report)
            server.record_report(report, self._clock.read_monotonic_s())
        elif service.reports_load is None and answer.status == STATUS_OK:
            service.reports_load = False

    def _is_health_answer(self, status: int, headers: HeaderList) -> bool:
        """Return whether an answer is not one to a request."""
        return find_field(headers, self._names.request_id) is None
