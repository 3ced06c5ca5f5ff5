"""Answers the requests of callers."""

from __future__ import annotations

from enum import Enum
from random import Random

from anyio import CancelScope, Event, move_on_after
from loguru import logger

from cardamomtack.admission.queue import Admission, ServiceAdmission
from cardamomtack.admission.rate import RateLimiter
from cardamomtack.claims.keys import digest_key, validate_key
from cardamomtack.configuration.routes import KindPolicy, RouteTable, Unroutable
from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.util.digests import digest_parts
from cardamomtack_daemon.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_TRACEPARENT,
)
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.problems import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    build_problem,
)
from cardamomtack_daemon.http1.server import AnswerSource
from cardamomtack_daemon.tracing import HopSpan, Tracer
from cardamomtack_daemon.traffic.call import Call
from cardamomtack_daemon.traffic.const import RETRY_AFTER_S, SERVER_FAILURE_STATUS_MIN
from cardamomtack_daemon.traffic.dispatcher import AttemptResult, Dispatcher
from cardamomtack_daemon.traffic.exchange import AttemptFailure
from cardamomtack_daemon.traffic.keyed import KeyedDispatcher
from cardamomtack_daemon.traffic.metrics import TrafficMetrics

DEADLINE_MS_MAX = 600_000
REQUEST_ID_BITS = 64

Handled = tuple[HttpAnswer, AnswerSource | None]


class RequestOutcome(Enum):
    """How a request is counted."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not-run"
    REPLAYED = "replayed"
    UNKNOWN = "unknown"


OUTCOMES = {outcome.value.encode(): outcome for outcome in RequestOutcome}


class TrafficHandler:
    """Finds the kind of a request and has it answered before its deadline.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    dispatcher : Dispatcher
        Answers idempotent requests.
    keyed : KeyedDispatcher
        Answers the others.
    crash_tracker : CrashTracker
        Requests that are refused because they crash servers.
    accounts : TrafficMetrics
        Counts requests.
    tracer : Tracer
        Starts spans.
    clock : Clock
        Tells the time.
    random : Random
        Source of request ids.
    """

    __slots__ = (
        "_accounts",
        "_admissions",
        "_clock",
        "_crash_tracker",
        "_dispatcher",
        "_keyed",
        "_random",
        "_routes",
        "_scopes",
        "_settings",
        "_tracer",
        "in_flight",
        "limiter",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        dispatcher: Dispatcher,
        keyed: KeyedDispatcher,
        crash_tracker: CrashTracker,
        accounts: TrafficMetrics,
        tracer: Tracer,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._crash_tracker = crash_tracker
        self._accounts = accounts
        self._tracer = tracer
        self._clock = clock
        self._random = random
        self._routes: RouteTable | None = None
        self._admissions: dict[str, ServiceAdmission] = {}
        self._scopes: set[CancelScope] = set()
        self.limiter = RateLimiter()
        self.in_flight = 0

    @property
    def admissions(self) -> dict[str, ServiceAdmission]:
        """Return the admission of each service that has had requests."""
        return self._admissions

    def apply_routes(self, routes: RouteTable) -> None:
        """Take a new configuration."""
        self._routes = routes
        self.limiter.apply_routes(routes)
        for name, admission in self._admissions.items():
            if name in routes.services:
                admission.queue_max = routes.services[name].queue_max

    async def async_handle(self, request: HttpRequest) -> Handled:
        """Return the answer, and the source of its rest when it isn't whole."""
        self.in_flight += 1
        try:
            return await self._async_route(request)
        except Exception as error:
            logger.bind(error=repr(error)).exception("request handling failed")
            return build_problem(500, "internal error", OUTCOME_UNKNOWN), None
        finally:
            self.in_flight -= 1

    async def _async_route(self, request: HttpRequest) -> Handled:
        """Find the kind of a request and answer it."""
        started_s = self._clock.read_monotonic_s()
        kind = self._find_kind(request)
        if isinstance(kind, HttpAnswer):
            return kind, None
        deadline_ms = _parse_deadline_ms(request, kind)
        if deadline_ms is None:
            detail = f"Deadline-Ms wants 1 to {DEADLINE_MS_MAX}"
            return build_problem(400, detail, OUTCOME_NOT_RUN), None
        span = self._tracer.start_hop(
            kind.name, request.find_header(HEADER_TRACEPARENT)
        )
        call = self._open_call(request, kind, started_s + deadline_ms / MS_PER_S, span)
        answer, source = await self._async_answer(call)
        outcome = _find_outcome(answer)
        duration_s = self._clock.read_monotonic_s() - started_s
        self._accounts.record_request(
            kind.service.name, kind.name, outcome.value, duration_s
        )
        span.finish(kind.name, outcome.value, call.server_id)
        return answer, source

    def _find_kind(self, request: HttpRequest) -> KindPolicy | HttpAnswer:
        """Return the kind of a request, or the refusal of an unknown one."""
        if self._routes is None:
            return build_problem(
                503, "no configuration yet", OUTCOME_NOT_RUN, RETRY_AFTER_S
            )
        host = request.find_header(b"host")
        if host is None:
            return build_problem(400, "request has no Host", OUTCOME_NOT_RUN)
        found = self._routes.find_kind(
            host.decode("latin-1"),
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
        )
        if not isinstance(found, Unroutable):
            return found
        hint = f"; did you mean {found.nearest!r}?" if found.nearest else ""
        detail = f"unknown {found.noun} {found.name!r}{hint}"
        return build_problem(404, detail, OUTCOME_NOT_RUN)

    def _open_call(
        self, request: HttpRequest, kind: KindPolicy, deadline_s: float, span: HopSpan
    ) -> Call:
        """Return the request as a call of its kind."""
        digest = digest_parts(
            kind.service.name.encode(), request.method, request.target, request.body
        )
        request_id = b"%016x" % self._random.getrandbits(REQUEST_ID_BITS)
        return Call(request, kind, deadline_s, digest, request_id, span.traceparent)

    def expire_all(self) -> None:
        """Have every request that waits or runs answered now, because this VM ends."""
        for scope in list(self._scopes):
            scope.cancel()

    async def _async_answer(self, call: Call) -> Handled:
        """Answer a call, at the latest when this VM ends."""
        with CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await self._async_admit(call)
            finally:
                self._scopes.discard(scope)
        detail = "this VM is leaving"
        if not call.is_admitted:
            return build_problem(503, detail, OUTCOME_NOT_RUN, RETRY_AFTER_S), None
        return build_problem(504, detail, OUTCOME_UNKNOWN), None

    async def _async_admit(self, call: Call) -> Handled:
        """Answer a call, or refuse it before anything is sent."""
        if self._crash_tracker.is_quarantined(call.digest):
            detail = "this request crashed the backend servers that ran it"
            return build_problem(422, detail, OUTCOME_NOT_RUN), None
        now_s = self._clock.read_monotonic_s()
        if not self.limiter.admit_request(call.kind, now_s):
            detail = f"kind {call.kind.name!r} is over its limit"
            return build_problem(429, detail, OUTCOME_NOT_RUN, RETRY_AFTER_S), None
        key_digest = self._read_key(call)
        if isinstance(key_digest, HttpAnswer):
            return key_digest, None
        admission = self._find_admission(call.kind)
        if not await self._async_enter(call, admission):
            detail = f"service {call.kind.service.name!r} is overloaded"
            return build_problem(503, detail, OUTCOME_NOT_RUN, RETRY_AFTER_S), None
        call.is_admitted = True
        return await self._async_dispatch(call, key_digest, admission)

    async def _async_dispatch(
        self, call: Call, key_digest: bytes | None, admission: ServiceAdmission
    ) -> Handled:
        """Have an admitted call answered."""
        duration_s: float | None = None
        try:
            if key_digest is not None:
                return await self._keyed.async_dispatch(call, key_digest), None
            result = await self._dispatcher.async_dispatch(call, admission)
            if result.is_good and result.exchange is not None:
                duration_s = result.exchange.duration_s
            return _write_result(result)
        finally:
            admission.finish_request(self._clock.read_monotonic_s(), duration_s)

    def _read_key(self, call: Call) -> bytes | HttpAnswer | None:
        """Return the key digest of a non-idempotent call, or its refusal."""
        if call.kind.idempotent:
            return None
        value = call.request.find_header(HEADER_IDEMPOTENCY_KEY)
        key = value.decode("latin-1") if value is not None else None
        fault = validate_key(
            key,
            call.kind,
            self._clock.read_epoch_ms(),
            self._settings.claims_retention_ms,
        )
        if fault is not None or key is None:
            return build_problem(400, str(fault), OUTCOME_NOT_RUN)
        return digest_key(call.kind.service.name, key)

    def _find_admission(self, kind: KindPolicy) -> ServiceAdmission:
        """Return the admission of the service of a kind."""
        admission = self._admissions.get(kind.service.name)
        if admission is None:
            admission = ServiceAdmission(kind.service.queue_max)
            self._admissions[kind.service.name] = admission
        return admission

    async def _async_enter(self, call: Call, admission: ServiceAdmission) -> bool:
        """Wait until a call is admitted and return whether it was."""
        woken = Event()
        admitted = False

        def wake(is_admitted: bool) -> None:
            nonlocal admitted
            admitted = is_admitted
            woken.set()

        now_s = self._clock.read_monotonic_s()
        verdict, waiter = admission.request_admission(
            call.kind.priority, call.deadline_s, now_s, wake
        )
        if waiter is None:
            return verdict is Admission.ADMITTED
        with move_on_after(call.deadline_s - now_s):
            await woken.wait()
        if not woken.is_set():
            admission.cancel_wait(waiter)
        return admitted


def _parse_deadline_ms(request: HttpRequest, kind: KindPolicy) -> int | None:
    """Return how long the caller waits, or None when it says nonsense."""
    value = request.find_header(HEADER_DEADLINE_MS)
    if value is None:
        return kind.deadline_ms
    if not value.isdigit() or not 1 <= int(value) <= DEADLINE_MS_MAX:
        return None
    return int(value)


def _write_result(result: AttemptResult) -> Handled:
    """Return the answer to an idempotent call."""
    if result.answer is not None:
        source = None if result.answer.is_whole else result.exchange
        return result.answer, source
    if result.exchange is None:
        detail = "no backend server takes work"
        return build_problem(503, detail, OUTCOME_NOT_RUN, RETRY_AFTER_S), None
    failure = result.failure or AttemptFailure.BROKEN
    status = 504 if failure is AttemptFailure.DEADLINE else 502
    return build_problem(status, failure.value, OUTCOME_UNKNOWN), None


def _find_outcome(answer: HttpAnswer) -> RequestOutcome:
    """Return how an answer is counted."""
    value = answer.find_header(HEADER_OUTCOME)
    if value is not None:
        return OUTCOMES.get(value, RequestOutcome.UNKNOWN)
    if answer.status >= SERVER_FAILURE_STATUS_MIN:
        return RequestOutcome.FAILED
    return RequestOutcome.OK
