"""Answers the requests of callers by forwarding them to backend servers."""

from __future__ import annotations

from asyncio import CancelledError
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from loguru import logger

from cardamomtack.generated.logs import RequestDecision
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.helpers.decoding import parse_count
from cardamomtack.limits.returns import ReturnSchedule
from cardamomtack.placing.admission import (
    CallerTimes,
    choose_prompt_retry_after_s,
    choose_retry_after_s,
)
from cardamomtack.placing.budget import (
    RetryBudget,
    choose_budget_share,
    compute_slack,
)
from cardamomtack.placing.caller_wait import CallerWaitEstimator
from cardamomtack.placing.server import is_near_capacity
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack.util.digests import digest_parts
from cardamomtack_daemon.forwarding.attempt import RequestSender
from cardamomtack_daemon.forwarding.body import ForwardedBody
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.const import (
    FINISH_FACTOR,
    SUSPECT_RETRY_AFTER_S,
)
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.hedging import HedgedSender
from cardamomtack_daemon.forwarding.outcome import SendOutcome, SendResult
from cardamomtack_daemon.forwarding.placer import Placer
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.forwarding.shared_limits import SharedLimits
from cardamomtack_daemon.http1.body import BODY_WINDOW_BYTES, BodyMemory
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.problems import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    build_problem,
)
from cardamomtack_daemon.http1.server import AnswerSource
from cardamomtack_daemon.logs import DecisionLog

Handled = tuple[HttpAnswer, AnswerSource | None]

CALM_S = 3.0
"""For how long nobody must have been sent back to take all callers for new ones."""

LEAVING_RETRY_AFTER_S = 0.05
REASON_NO_ROUTE = "no route matches"
UNBOUNDED_CALLER_S = 60.0
"""For how long a caller without a deadline takes a long answer."""

UNCONFIGURED_RETRY_AFTER_S = 0.3


@dataclass(slots=True, frozen=True)
class TopicAges:
    """Time since the store confirmed each topic, in milliseconds; -1 for never."""

    configuration_ms: int
    servers_ms: int


class Forwarder:
    """Answers each request by at most one run, or more where that is allowed.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the VM.
    names : HeaderNames
        Names of header fields.
    routes : PrefixRoutes
        The configuration in force.
    placer : Placer
        Finds servers.
    sender : RequestSender
        Sends to servers.
    crash_tracker : CrashTracker
        Requests that are refused because they crash servers.
    clock : Clock
        Tells the time.
    random : Random
        Spreads callers that come back.
    limits : SharedLimits
        Counts callers, for the shares of limits.
    decisions : DecisionLog
        Takes how requests ended.
    memory : BodyMemory
        Bounds what is kept of bodies.
    read_ages_ms : callable
        Returns how long ago the store confirmed what this VM knows.

    Attributes
    ----------
    ends_at_s : float
        Monotonic time at which this VM ends, in seconds; infinite while it doesn't.
    in_flight : int
        Requests that are not answered yet.
    is_refusing : bool
        Whether new requests are sent to other VMs, because this one leaves.
    settings : EntrySettings
        Settings of the VM; newer ones may take their place.
    vms : int or None
        How many VMs share the budgets of the fleet; None before that is known.
    """

    __slots__ = (
        "_budgets",
        "_caller_waits",
        "_clock",
        "_crash_tracker",
        "_decisions",
        "_hedged",
        "_limits",
        "_memory",
        "_names",
        "_placer",
        "_random",
        "_read_ages_ms",
        "_refused_at_s",
        "_returns",
        "_routes",
        "_sender",
        "_started_at_s",
        "ends_at_s",
        "in_flight",
        "is_refusing",
        "settings",
        "vms",
    )

    def __init__(
        self,
        settings: EntrySettings,
        names: HeaderNames,
        routes: PrefixRoutes,
        placer: Placer,
        sender: RequestSender,
        crash_tracker: CrashTracker,
        clock: Clock,
        random: Random,
        limits: SharedLimits,
        decisions: DecisionLog,
        memory: BodyMemory,
        read_ages_ms: Callable[[], TopicAges],
    ) -> None:
        self._decisions = decisions
        self._memory = memory
        self._read_ages_ms = read_ages_ms
        # Callers of before a start may come back to this VM.
        self._started_at_s = clock.read_monotonic_s()
        self._refused_at_s = self._started_at_s
        self._budgets: dict[str, RetryBudget] = {}
        self._limits = limits
        self._returns: dict[str, ReturnSchedule] = {}
        self._clock = clock
        self._crash_tracker = crash_tracker
        self._names = names
        self._caller_waits = CallerWaitEstimator()
        self._placer = placer
        self._random = random
        self._routes = routes
        self._sender = sender
        self._hedged = HedgedSender(
            sender, placer, crash_tracker, self._find_budget, clock
        )
        self.ends_at_s = inf
        self.in_flight = 0
        self.is_refusing = False
        self.settings = settings
        self.vms: int | None = None

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
        """Find the route of a request and answer it."""
        self._limits.record_request()
        call = self._open_call(request)
        if not isinstance(call, ForwardedCall):
            return call, None
        if self._crash_tracker.is_quarantined(call.digest):
            detail = "this request crashed the backend servers that ran it"
            return self._refuse_call(call, detail, SUSPECT_RETRY_AFTER_S)
        if not self._routes.has_service(call.service):
            detail = "the configuration does not name the service of this route"
            return self._refuse_call(call, detail, UNCONFIGURED_RETRY_AFTER_S)
        try:
            handled, reason = await self._async_forward(call)
        except CancelledError:
            self._log_decision(call, 0, "caller has gone")
            raise
        finally:
            call.body.release()
        self._log_decision(call, handled[0].status, reason)
        return handled

    def _open_call(self, request: HttpRequest) -> ForwardedCall | HttpAnswer:
        """Return the call of a request, or the answer when it can't be forwarded."""
        if self._routes.configuration is None:
            return _write_refusal("no configuration yet", UNCONFIGURED_RETRY_AFTER_S)
        host = request.find_header(b"host")
        if host is None:
            return build_problem(400, "request has no Host", OUTCOME_NOT_RUN)
        route = self._routes.find_route(host, request.target)
        if route is None:
            self._log_unknown_route(request)
            return build_problem(404, REASON_NO_ROUTE, OUTCOME_NOT_RUN)
        if route.fault is not None:
            return _write_refusal(route.fault, UNCONFIGURED_RETRY_AFTER_S)
        if self.is_refusing:
            return _write_refusal("this VM is leaving", LEAVING_RETRY_AFTER_S)
        if self._has_field_twice(request):
            detail = "request names its host or its id more than once"
            return build_problem(400, detail, OUTCOME_NOT_RUN)
        request_id = request.find_header(self._names.request_id)
        if request_id is None:
            return build_problem(400, "request has no id", OUTCOME_NOT_RUN)
        now_s = self._clock.read_monotonic_s()
        wait_s = route.timeout_s
        caller_s = UNBOUNDED_CALLER_S
        waited_s = 0.0
        deadline_ms = request.find_header(self._names.deadline_ms)
        caller_ms = parse_count(deadline_ms) if deadline_ms is not None else None
        if caller_ms is not None:
            caller_s = caller_ms / MS_PER_S
            wait_s = min(wait_s, caller_s)
            waited_s = self._estimate_waited_s(request, route.name, caller_s, now_s)
        return ForwardedCall(
            request,
            route,
            self._routes.choose_service(route),
            self._names,
            request_id,
            now_s,
            now_s + wait_s,
            now_s + route.objective_s - waited_s,
            now_s + max(wait_s, caller_s),
            digest_parts(
                host,
                request.method,
                request.target,
                request.body[:BODY_WINDOW_BYTES],
            ),
            ForwardedBody(request, self._memory),
        )

    def _has_field_twice(self, request: HttpRequest) -> bool:
        """Return whether VM and server could take a request for different ones."""
        names = [name for name, _ in request.headers]
        return names.count(b"host") > 1 or names.count(self._names.request_id) > 1

    def _estimate_waited_s(
        self, request: HttpRequest, route: str, caller_s: float, now_s: float
    ) -> float:
        """Return how long a caller has probably waited, in seconds."""
        if self.settings.resends_use_new_connections and not request.is_first:
            self._caller_waits.record_first_send(route, caller_s)
            return 0.0
        is_calm = now_s - self._refused_at_s > CALM_S
        return self._caller_waits.estimate_waited_s(route, caller_s, is_calm)

    def _refuse_call(
        self, call: ForwardedCall, reason: str, retry_after_s: float
    ) -> Handled:
        """Refuse a call and log why."""
        answer = _write_refusal(reason, retry_after_s)
        self._log_decision(call, answer.status, reason)
        return answer, None

    def _log_unknown_route(self, request: HttpRequest) -> None:
        """Log that no route matches, with what this VM knew and since when."""
        ages = self._read_ages_ms()
        decision = RequestDecision(
            request_id=(request.find_header(self._names.request_id) or b"").decode(
                "latin-1"
            ),
            route="",
            service="",
            status=404,
            reason=REASON_NO_ROUTE,
            version=self._routes.version,
            configuration_age_ms=ages.configuration_ms,
            servers_age_ms=ages.servers_ms,
        )
        self._decisions.record_decision(decision, False)

    def _log_decision(self, call: ForwardedCall, status: int, reason: str) -> None:
        """Log how a call ended, and what decided it."""
        now_s = self._clock.read_monotonic_s()
        ages = self._read_ages_ms()
        estimate_s = call.estimate_s
        is_first_send_success = (
            reason == SendOutcome.ANSWERED.value and len(call.sends) == 1
        )
        decision = RequestDecision(
            request_id=call.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service,
            status=status,
            reason=reason,
            version=self._routes.version,
            configuration_age_ms=ages.configuration_ms,
            servers_age_ms=ages.servers_ms,
            duration_ms=int((now_s - call.arrived_s) * MS_PER_S),
            deadline_left_ms=int((call.deadline_s - now_s) * MS_PER_S),
            estimate_ms=-1 if estimate_s is None else int(estimate_s * MS_PER_S),
            objective_left_ms=int((call.objective_s - call.arrived_s) * MS_PER_S),
            asked=call.probes,
            waited_ms=int(call.waited_s * MS_PER_S),
            sends=call.sends,
        )
        if not is_first_send_success:
            decision.usable = self._placer.count_usable(call.service)
            age_s = self._placer.compute_answer_age_s(call.service)
            decision.answer_age_ms = int(age_s * MS_PER_S) if age_s < inf else -1
        self._decisions.record_decision(decision, is_first_send_success)

    async def _async_forward(self, call: ForwardedCall) -> tuple[Handled, str]:
        """Send a call until it is answered or may not be sent again.

        Returns
        -------
        (HttpAnswer, AnswerSource or None), str
            The answer, and the reason for the log.
        """
        budget = self._find_budget(call.service)
        budget.record_request(call.arrived_s)
        result: SendResult | None = None
        had_capacity = False
        while True:
            probed = await self._placer.async_place(call)
            if probed is None:
                return self._finish_unplaced(call, result)
            if not self._can_finish(call):
                self._sender.release_unused(probed)
                return self._finish_leaving(call, result)
            if result is not None and not budget.spend_send(
                self._clock.read_monotonic_s(),
                choose_budget_share(call.priority),
            ):
                self._sender.release_unused(probed)
                reason = "retry budget is spent"
                return self._finish(call, result, reason, had_capacity)
            result = _keep_worse(result, await self._hedged.async_send(call, probed))
            had_capacity = not is_near_capacity(probed.server)
            if not self._may_send_again(call, result):
                return self._finish(call, result, result.outcome.value, had_capacity)

    def _can_finish(self, call: ForwardedCall) -> bool:
        """Return whether a call that is sent now is answered before this VM ends."""
        estimate_s = call.estimate_s or self._placer.estimate_work_s(call)
        now_s = self._clock.read_monotonic_s()
        return now_s + FINISH_FACTOR * estimate_s <= self.ends_at_s

    def _finish_leaving(
        self, call: ForwardedCall, result: SendResult | None
    ) -> tuple[Handled, str]:
        """Return the final answer of a call that other VMs can take, and the reason."""
        reason = "this VM is leaving"
        if result is not None and result.outcome is not SendOutcome.NOT_RUN:
            return self._finish(call, result, reason)
        return (_write_refusal(reason, LEAVING_RETRY_AFTER_S), None), reason

    def _finish_unplaced(
        self, call: ForwardedCall, result: SendResult | None
    ) -> tuple[Handled, str]:
        """Return the final answer of a call that no server takes, and the reason."""
        limits = self._placer.find_limits(call)
        is_proved = result is None or result.outcome is SendOutcome.NOT_RUN
        if limits is None or not is_proved:
            return self._finish(call, result, "no server can answer in time")
        reason = "servers want no request yet"
        now_s = self._clock.read_monotonic_s()
        schedule = self._returns.setdefault(call.service, ReturnSchedule())
        retry_after_s = schedule.choose_retry_after_s(
            limits.wait_s,
            limits.rate_per_s / (self.vms or 1),
            call.leaves_at_s - now_s,
            now_s,
        )
        self._refused_at_s = now_s
        return (_write_refusal(reason, retry_after_s), None), reason

    def _may_send_again(self, call: ForwardedCall, result: SendResult) -> bool:
        """Return whether a call may be sent to another server."""
        if result.outcome in (SendOutcome.ANSWERED, SendOutcome.OVERDUE):
            return False
        if result.outcome is not SendOutcome.NOT_RUN and not call.route.is_idempotent:
            return False
        if result.rest is not None or not call.body.is_kept:
            return False
        if len(call.sends) >= call.route.attempts_max:
            return False
        return self._clock.read_monotonic_s() < call.deadline_s

    def _finish(
        self,
        call: ForwardedCall,
        result: SendResult | None,
        reason: str,
        had_capacity: bool = False,
    ) -> tuple[Handled, str]:
        """Return the final answer of a call, and the reason for the log.

        Parameters
        ----------
        had_capacity : bool
            Whether the last server that rejected it told that it had capacity.
        """
        if result is None or result.outcome is SendOutcome.NOT_RUN:
            retry_after_s = self._choose_retry_after_s(call, had_capacity)
            return (_write_refusal(reason, retry_after_s), None), reason
        if result.answer is not None:
            return (result.answer, result.rest), reason
        status = 504 if result.outcome is SendOutcome.OVERDUE else 502
        problem = build_problem(status, result.outcome.value, OUTCOME_UNKNOWN)
        return (problem, None), reason

    def _choose_retry_after_s(self, call: ForwardedCall, had_capacity: bool) -> float:
        """Return when the caller of a refused call should come back, in seconds."""
        if had_capacity:
            return choose_prompt_retry_after_s(self._random)
        now_s = self._clock.read_monotonic_s()
        self._refused_at_s = now_s
        times = CallerTimes(
            call.route.objective_s, call.objective_s - now_s, call.leaves_at_s - now_s
        )
        return choose_retry_after_s(times, self._random)

    def _find_budget(self, service: str) -> RetryBudget:
        """Return the budget of further sends to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets[service] = budget
        settings = self.settings
        budget.apply_bounds(
            settings.retry_share,
            compute_slack(
                settings.retry_slack,
                self.vms,
                self._clock.read_monotonic_s() - self._started_at_s,
                settings.retry_window_s,
            ),
            settings.retry_window_s,
        )
        return budget


def _keep_worse(known: SendResult | None, result: SendResult) -> SendResult:
    """Return what a call has come to after one more send.

    A proof that one server did not run the request proves nothing about another.
    """
    if known is None or result.outcome is not SendOutcome.NOT_RUN:
        return result
    return known


def _write_refusal(detail: str, retry_after_s: float) -> HttpAnswer:
    """Return the refusal of a request that has not run and will not run."""
    return build_problem(503, detail, OUTCOME_NOT_RUN, retry_after_s)
