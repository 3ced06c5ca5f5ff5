"""Answers the requests of callers by forwarding them to backend servers."""

from __future__ import annotations

from asyncio import CancelledError
from random import Random

from loguru import logger

from cardamomtack.helpers.clock import Clock
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
from cardamomtack.placing.server import is_near_capacity
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack_daemon.forwarding.attempt import RequestSender
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.const import (
    QUOTA_RETURN_OBJECTIVE_SHARE,
    SUSPECT_RETRY_AFTER_S,
    SUSPENDED_RETRY_AFTER_S,
    UNCONFIGURED_RETRY_AFTER_S,
)
from cardamomtack_daemon.forwarding.decisions import DecisionRecorder
from cardamomtack_daemon.forwarding.departure import Departure
from cardamomtack_daemon.forwarding.hedging import HedgedSender
from cardamomtack_daemon.forwarding.opening import (
    LEAVING_RETRY_AFTER_S,
    REASON_LEAVING,
    CallOpener,
)
from cardamomtack_daemon.forwarding.outcome import SendOutcome, SendResult
from cardamomtack_daemon.forwarding.placer import Placer
from cardamomtack_daemon.forwarding.refusals import (
    build_quota_refusal,
    build_refusal,
)
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.forwarding.shared_limits import SharedLimits
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.problems import OUTCOME_UNKNOWN, build_problem
from cardamomtack_daemon.http1.server import AnswerSource
from cardamomtack_daemon.quotas.const import QUOTA_KEY_BYTES
from cardamomtack_daemon.quotas.gate import QuotaGate

REASON_CALLER_GONE = "caller has gone"
REASON_ENDED = "this VM has ended"
REASON_EVACUATED = "availability zone is evacuated"

Handled = tuple[HttpAnswer, AnswerSource | None]


class Forwarder:
    """Answers each request by at most one run, or more where that is allowed.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the VM.
    opener : CallOpener
        Finds the routes of requests.
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
    decisions : DecisionRecorder
        Takes how requests ended.
    quotas : QuotaGate
        Admits the requests of workspaces.
    departure : Departure
        Knows when this VM ends.

    Attributes
    ----------
    in_flight : int
        Requests that are not answered yet.
    settings : EntrySettings
        Settings of the VM; newer ones may take their place.
    vms : int or None
        How many VMs share the budgets of the fleet; None before that is known.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_crash_tracker",
        "_decisions",
        "_departure",
        "_hedged",
        "_limits",
        "_opener",
        "_placer",
        "_quotas",
        "_random",
        "_returns",
        "_routes",
        "_sender",
        "_started_at_s",
        "in_flight",
        "settings",
        "vms",
    )

    def __init__(
        self,
        settings: EntrySettings,
        opener: CallOpener,
        routes: PrefixRoutes,
        placer: Placer,
        sender: RequestSender,
        crash_tracker: CrashTracker,
        clock: Clock,
        random: Random,
        limits: SharedLimits,
        decisions: DecisionRecorder,
        quotas: QuotaGate,
        departure: Departure,
    ) -> None:
        self._departure = departure
        self._quotas = quotas
        self._decisions = decisions
        self._opener = opener
        self._started_at_s = clock.read_monotonic_s()
        self._budgets: dict[str, RetryBudget] = {}
        self._limits = limits
        self._returns: dict[str, ReturnSchedule] = {}
        self._clock = clock
        self._crash_tracker = crash_tracker
        self._placer = placer
        self._random = random
        self._routes = routes
        self._sender = sender
        self._hedged = HedgedSender(
            sender, placer, crash_tracker, self._find_budget, clock, departure
        )
        self.in_flight = 0
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
        call = self._opener.open_call(request)
        if not isinstance(call, ForwardedCall):
            return call, None
        if self._crash_tracker.is_quarantined(call.digest):
            detail = "this request crashed the backend servers that ran it"
            return self._refuse_call(call, detail, SUSPECT_RETRY_AFTER_S)
        if not self._routes.has_service(call.service):
            detail = "the configuration does not name the service of this route"
            return self._refuse_call(call, detail, UNCONFIGURED_RETRY_AFTER_S)
        if not self._can_finish(call):
            # It would not even be answered in time if it were sent at once.
            return self._refuse_call(call, REASON_LEAVING, LEAVING_RETRY_AFTER_S)
        try:
            handled, reason = await self._async_admit(call)
        except CancelledError:
            has_ended = self._departure.is_over
            reason = REASON_ENDED if has_ended else REASON_CALLER_GONE
            self._decisions.record_call(call, 0, reason)
            raise
        finally:
            call.body.release()
        self._decisions.record_call(call, handled[0].status, reason)
        return handled

    def _refuse_call(
        self, call: ForwardedCall, reason: str, retry_after_s: float
    ) -> Handled:
        """Refuse a call and log why."""
        answer = build_refusal(reason, retry_after_s)
        self._decisions.record_call(call, answer.status, reason)
        return answer, None

    async def _async_admit(self, call: ForwardedCall) -> tuple[Handled, str]:
        """Forward a call that the quota of its workspace admits.

        Returns
        -------
        (HttpAnswer, AnswerSource or None), str
            The answer, and the reason for the log.
        """
        workspace = call.workspace
        if workspace is None or not workspace.has_quota:
            return await self._async_forward(call)
        objective_left_s = call.objective_s - self._clock.read_monotonic_s()
        soon_s = QUOTA_RETURN_OBJECTIVE_SHARE * max(0.0, objective_left_s)
        quota = await self._quotas.async_admit(
            workspace, int.from_bytes(call.digest[:QUOTA_KEY_BYTES]), soon_s
        )
        call.quota = quota
        if not quota.is_admitted:
            retry_after_s = quota.retry_after_s
            if retry_after_s >= soon_s:
                retry_after_s = self._choose_retry_after_s(call, False)
            self._opener.refused_at_s = self._clock.read_monotonic_s()
            answer = build_quota_refusal(quota.reason, retry_after_s)
            return (answer, None), quota.reason
        try:
            return await self._async_forward(call)
        finally:
            self._quotas.give_back(quota)

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
            if not self._can_finish(call):
                if probed is not None:
                    self._sender.release_unused(probed)
                return self._finish_leaving(call, result)
            if probed is None:
                return self._finish_unplaced(call, result)
            if result is not None and not budget.spend_send(
                self._clock.read_monotonic_s(),
                choose_budget_share(call.priority),
            ):
                self._sender.release_unused(probed)
                reason = "retry budget is spent"
                return self._finish(call, result, reason, had_capacity)
            if call.quota is not None and not self._quotas.record_sent(call.quota):
                self._sender.release_unused(probed)
                reason = "this VM was suspended"
                return (build_refusal(reason, SUSPENDED_RETRY_AFTER_S), None), reason
            result = _keep_worse(result, await self._hedged.async_send(call, probed))
            had_capacity = not is_near_capacity(probed.server)
            if not self._may_send_again(call, result):
                return self._finish(call, result, result.outcome.value, had_capacity)

    def _can_finish(self, call: ForwardedCall) -> bool:
        """Return whether a call that is sent now is answered before this VM ends."""
        estimate_s = call.estimate_s or self._placer.estimate_work_s(call)
        return self._departure.can_finish(estimate_s)

    def _finish_leaving(
        self, call: ForwardedCall, result: SendResult | None
    ) -> tuple[Handled, str]:
        """Return the final answer of a call that other VMs can take, and the reason."""
        reason = REASON_LEAVING
        if result is not None and result.outcome is not SendOutcome.NOT_RUN:
            return self._finish(call, result, reason)
        return (build_refusal(reason, LEAVING_RETRY_AFTER_S), None), reason

    def _finish_unplaced(
        self, call: ForwardedCall, result: SendResult | None
    ) -> tuple[Handled, str]:
        """Return the final answer of a call that no server takes, and the reason."""
        if self._placer.is_evacuated(call.service):
            return self._finish(call, result, REASON_EVACUATED)
        limits = self._placer.find_limits(call)
        is_proved = result is None or result.outcome is SendOutcome.NOT_RUN
        if limits is None or not is_proved:
            reason = call.refusal or "no server can answer in time"
            return self._finish(call, result, reason)
        reason = "servers want no request yet"
        now_s = self._clock.read_monotonic_s()
        schedule = self._returns.setdefault(call.service, ReturnSchedule())
        retry_after_s = schedule.choose_retry_after_s(
            limits.wait_s,
            limits.rate_per_s / (self.vms or 1),
            call.leaves_at_s - now_s,
            now_s,
        )
        self._opener.refused_at_s = now_s
        return (build_refusal(reason, retry_after_s), None), reason

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
            return (build_refusal(reason, retry_after_s), None), reason
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
        self._opener.refused_at_s = now_s
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
