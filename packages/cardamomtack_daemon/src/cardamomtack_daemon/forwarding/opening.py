"""Opens calls: finds route and workspace of a request, or answers without them."""

from __future__ import annotations

from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.helpers.decoding import parse_count
from cardamomtack.placing.caller_wait import CallerWaitEstimator
from cardamomtack.routing.policy import RoutePolicy
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack.util.digests import digest_parts
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.forwarding.body import ForwardedBody
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.const import UNCONFIGURED_RETRY_AFTER_S
from cardamomtack_daemon.forwarding.decisions import DecisionRecorder
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.identification import CallerIdentifier
from cardamomtack_daemon.forwarding.refusals import build_refusal
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.http1.body import BODY_WINDOW_BYTES, BodyMemory
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.problems import OUTCOME_NOT_RUN, build_problem

CALM_S = 3.0
"""Time without a refusal after which all callers are taken for new ones."""

LEAVING_RETRY_AFTER_S = 0.05
REASON_LEAVING = "this VM is leaving"
REASON_NO_ROUTE = "no route matches"
UNBOUNDED_CALLER_S = 60.0
"""For how long a caller without a deadline takes a long answer."""


class CallOpener:
    """Turns requests into calls.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the VM.
    names : HeaderNames
        Names of header fields.
    routes : PrefixRoutes
        The configuration in force.
    memory : BodyMemory
        Bounds what is kept of bodies.
    decisions : DecisionRecorder
        Takes the requests that have no route or no workspace.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    is_refusing : bool
        Whether new requests are sent to other VMs, because this one leaves.
    refused_at_s : float
        Monotonic time at which a caller was last sent back, in seconds.
    settings : EntrySettings
        Settings of the VM; newer ones may take their place.
    """

    __slots__ = (
        "_caller_waits",
        "_clock",
        "_decisions",
        "_identifier",
        "_memory",
        "_names",
        "_routes",
        "is_refusing",
        "refused_at_s",
        "settings",
    )

    def __init__(
        self,
        settings: EntrySettings,
        names: HeaderNames,
        routes: PrefixRoutes,
        memory: BodyMemory,
        decisions: DecisionRecorder,
        clock: Clock,
    ) -> None:
        self._caller_waits = CallerWaitEstimator()
        self._clock = clock
        self._decisions = decisions
        self._identifier = CallerIdentifier(names, routes, decisions)
        self._memory = memory
        self._names = names
        self._routes = routes
        self.is_refusing = False
        # Callers that were refused before a restart may come back to this VM.
        self.refused_at_s = clock.read_monotonic_s()
        self.settings = settings

    def open_call(self, request: HttpRequest) -> ForwardedCall | HttpAnswer:
        """Return the call of a request, or the answer when it can't be forwarded."""
        if self._routes.configuration is None:
            return build_refusal("no configuration yet", UNCONFIGURED_RETRY_AFTER_S)
        host = request.find_header(b"host")
        if host is None:
            return build_problem(400, "request has no Host", OUTCOME_NOT_RUN)
        route = self._routes.find_route(host, request.target)
        if route is None:
            self._decisions.record_unopened(
                request.find_header(self._names.request_id) or b"", 404, REASON_NO_ROUTE
            )
            return build_problem(404, REASON_NO_ROUTE, OUTCOME_NOT_RUN)
        workspace = self._identifier.identify(request, route)
        if isinstance(workspace, HttpAnswer):
            return workspace
        if route.fault is not None:
            return build_refusal(route.fault, UNCONFIGURED_RETRY_AFTER_S)
        if self.is_refusing:
            return build_refusal(REASON_LEAVING, LEAVING_RETRY_AFTER_S)
        if self._has_field_twice(request):
            detail = "request names its host or its id more than once"
            return build_problem(400, detail, OUTCOME_NOT_RUN)
        request_id = request.find_header(self._names.request_id)
        if request_id is None:
            return build_problem(400, "request has no id", OUTCOME_NOT_RUN)
        return self._build_call(request, route, workspace, host, request_id)

    def _build_call(
        self,
        request: HttpRequest,
        route: RoutePolicy,
        workspace: Workspace | None,
        host: bytes,
        request_id: bytes,
    ) -> ForwardedCall:
        """Return the call of a request, with its times."""
        now_s = self._clock.read_monotonic_s()
        wait_s = route.timeout_s
        caller_s = UNBOUNDED_CALLER_S
        waited_s = 0.0
        deadline_ms = request.find_header(self._names.deadline_ms)
        caller_ms = parse_count(deadline_ms) if deadline_ms is not None else None
        if caller_ms is not None:
            caller_s = caller_ms / MS_PER_S
            wait_s = min(wait_s, caller_s)
            waited_s = self._estimate_waited_s(
                request, route.full_prefix, caller_s, now_s
            )
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
            workspace=workspace,
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
        is_calm = now_s - self.refused_at_s > CALM_S
        return self._caller_waits.estimate_waited_s(route, caller_s, is_calm)
