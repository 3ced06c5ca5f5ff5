"""Finds the workspaces of requests, and removes the keys from them."""

from __future__ import annotations

from cardamomtack.routing.policy import RoutePolicy
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack.workspaces.identification import KeyFault, identify_workspace
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.forwarding.const import UNCONFIGURED_RETRY_AFTER_S
from cardamomtack_daemon.forwarding.decisions import DecisionRecorder
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.refusals import build_refusal
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.problems import OUTCOME_NOT_RUN, build_problem

CHALLENGE = b'ApiKey realm="workspaces"'


class CallerIdentifier:
    """Finds the workspaces of requests by the keys in force.

    Parameters
    ----------
    names : HeaderNames
        Names of header fields.
    routes : PrefixRoutes
        The configuration in force.
    decisions : DecisionRecorder
        Takes the requests that are refused.
    """

    __slots__ = ("_decisions", "_has_known_workspaces", "_names", "_routes")

    def __init__(
        self, names: HeaderNames, routes: PrefixRoutes, decisions: DecisionRecorder
    ) -> None:
        self._decisions = decisions
        self._has_known_workspaces = False
        self._names = names
        self._routes = routes

    def identify(
        self, request: HttpRequest, route: RoutePolicy
    ) -> Workspace | HttpAnswer | None:
        """Return the workspace of a request, or the answer that refuses it.

        The key and the name of a workspace are removed from the request, so that no
        later part can pass them on.

        Returns
        -------
        Workspace or HttpAnswer or None
            None where there are no workspaces, or on a public route without a known
            key.
        """
        configuration = self._routes.configuration
        workspaces = configuration.workspaces if configuration is not None else None
        if workspaces is None and not self._has_known_workspaces:
            return None
        self._has_known_workspaces = True
        values = self._take_keys(request)
        if workspaces is None:
            # Callers may go on sending keys after a version without workspaces.
            return None
        found = identify_workspace(workspaces, values)
        if not isinstance(found, KeyFault):
            return found
        if route.is_public:
            return None
        answer = _build_key_refusal(found)
        request_id = request.find_header(self._names.request_id) or b""
        self._decisions.record_unopened(
            request_id, answer.status, found.value, route.name
        )
        return answer

    def _take_keys(self, request: HttpRequest) -> list[bytes]:
        """Remove the keys and names of workspaces from a request; return the keys."""
        names = self._names
        keys = [value for name, value in request.headers if name == names.workspace_key]
        taken = (names.workspace, names.workspace_key)
        # Servers that turn fields into CGI variables can't tell "_" from "-".
        request.headers = [
            one for one in request.headers if one[0].replace(b"_", b"-") not in taken
        ]
        return keys


def _build_key_refusal(fault: KeyFault) -> HttpAnswer:
    """Return the refusal of a request that belongs to no workspace.

    It is final, unless the configuration is at fault.
    """
    if fault is KeyFault.AMBIGUOUS:
        return build_refusal(fault.value, UNCONFIGURED_RETRY_AFTER_S)
    answer = build_problem(401, fault.value, OUTCOME_NOT_RUN)
    # RFC 9110, 15.5.2, requires a challenge.
    answer.headers.append((b"www-authenticate", CHALLENGE))
    return answer
