"""Logs how requests ended, and what decided it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from cardamomtack.generated.logs import RequestDecision
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.outcome import SendOutcome
from cardamomtack_daemon.forwarding.placer import Placer
from cardamomtack_daemon.logs import DecisionLog


@dataclass(slots=True, frozen=True)
class TopicAges:
    """Time since the store confirmed each topic, in milliseconds; -1 for never."""

    configuration_ms: int
    servers_ms: int


class DecisionRecorder:
    """Writes the decisions about requests, with what this VM knew and since when.

    Parameters
    ----------
    log : DecisionLog
        Takes the decisions.
    routes : PrefixRoutes
        The configuration in force.
    placer : Placer
        Knows the servers.
    read_ages_ms : callable
        Returns how long ago the store confirmed what this VM knows.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_log", "_placer", "_read_ages_ms", "_routes")

    def __init__(
        self,
        log: DecisionLog,
        routes: PrefixRoutes,
        placer: Placer,
        read_ages_ms: Callable[[], TopicAges],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._log = log
        self._placer = placer
        self._read_ages_ms = read_ages_ms
        self._routes = routes

    def record_unopened(
        self, request_id: bytes, status: int, reason: str, route: str = ""
    ) -> None:
        """Record a request that was answered before it had a route or a workspace."""
        ages = self._read_ages_ms()
        decision = RequestDecision(
            request_id=request_id.decode("latin-1"),
            route=route,
            service="",
            status=status,
            reason=reason,
            version=self._routes.version,
            configuration_age_ms=ages.configuration_ms,
            servers_age_ms=ages.servers_ms,
        )
        self._log.record_decision(decision, False)

    def record_call(self, call: ForwardedCall, status: int, reason: str) -> None:
        """Record how a call ended, and what decided it."""
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
            position=-1 if call.position is None else call.position,
            sends=call.sends,
            route_prefix=call.route.full_prefix,
            workspace=call.workspace.name if call.workspace is not None else "",
        )
        quota = call.quota
        if quota is not None:
            decision.quota_holder = quota.holder_id
            decision.quota_age_ms = -1
            if quota.holder_id:
                decision.quota_age_ms = int(quota.age_s * MS_PER_S)
        if not is_first_send_success:
            decision.usable = self._placer.count_usable(call.service)
            age_s = self._placer.compute_answer_age_s(call.service)
            decision.answer_age_ms = int(age_s * MS_PER_S) if age_s < inf else -1
        self._log.record_decision(decision, is_first_send_success)
