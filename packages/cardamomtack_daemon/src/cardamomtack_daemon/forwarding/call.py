"""A request on its way to backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from cardamomtack.generated.logs import SendRecord
from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack.routing.policy import RoutePolicy
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.forwarding.body import ForwardedBody
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.http1.messages import (
    HeaderList,
    HttpRequest,
    encode_request_head,
    find_field,
    list_nominated,
)
from cardamomtack_daemon.quotas.gate import QuotaDecision

STATUS_MISDIRECTED = 421


@dataclass(slots=True)
class ForwardedCall:
    """One send of a caller.

    Attributes
    ----------
    service : str
        The service that the split of the route has dealt.
    arrived_s, deadline_s, objective_s : float
        Monotonic times of its arrival, of its deadline, and by which an answer is
        within the latency objective, in seconds.
    leaves_at_s : float
        Monotonic time until which the caller takes a long answer, in seconds.
    digest : bytes
        Digest of host, method, target and the beginning of the body.
    body : ForwardedBody
        The body, whole or still arriving.
    tried : set of str
        Ids of the servers that it was sent to or that did not take it.
    sends : list of SendRecord
        The servers that it was sent to, and what became of it there.
    estimate_s : float or None
        When the best server was last expected to answer, in seconds.
    probes : int
        Servers that were probed for their load.
    waited_s : float
        For how long it waited for capacity, in seconds.
    position : int or None
        Calls that would go before it when it began to wait or was refused for them.
    refusal : str
        Why it was not placed, where that is known; empty otherwise.
    workspace : Workspace or None
        Whose key it came with; None where the deployment has no workspaces, or on a
        public route without a known key.
    quota : QuotaDecision or None
        Whether the quota of the workspace admits it; None without a quota.
    """

    request: HttpRequest
    route: RoutePolicy
    service: str
    names: HeaderNames
    request_id: bytes
    arrived_s: float
    deadline_s: float
    objective_s: float
    leaves_at_s: float
    digest: bytes
    body: ForwardedBody
    tried: set[str] = field(default_factory=set)
    sends: list[SendRecord] = field(default_factory=list)
    estimate_s: float | None = None
    probes: int = 0
    waited_s: float = 0.0
    position: int | None = None
    refusal: str = ""
    workspace: Workspace | None = None
    quota: QuotaDecision | None = None

    @property
    def priority(self) -> int:
        """Return its rank, 0 for the most urgent; its workspace overrides its route."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def encode_head(self, server_id: str, now_s: float) -> bytes:
        """Return the head as it goes to a server.

        The deadline that is passed on is what is left of the caller's. The workspace is
        that under which the call was opened, whatever versions have come since.
        """
        names = self.names
        request = self.request
        dropped = list_nominated(request.headers) - {b"host", names.request_id}
        dropped |= {names.deadline_ms, names.target_server, b"expect"}
        headers = [field for field in request.headers if field[0] not in dropped]
        left_ms = max(1, int((self.deadline_s - now_s) * MS_PER_S))
        headers.append((names.deadline_ms, b"%d" % left_ms))
        headers.append((names.target_server, server_id.encode()))
        if self.workspace is not None:
            headers.append((names.workspace, self.workspace.name.encode()))
        return encode_request_head(
            request.method, request.target, headers, request.length
        )

    def owns_answer(self, status: int, headers: HeaderList) -> bool:
        """Return whether an answer belongs to this send, by the id that it echoes.

        A refusal without an id may be one of before that a server writes once more.
        """
        return find_field(headers, self.names.request_id) == self.request_id

    def is_not_run(self, status: int, headers: HeaderList) -> bool:
        """Return whether an answer proves that the server did not run the request."""
        if status == STATUS_MISDIRECTED:
            return True
        return find_field(headers, self.names.not_run) is not None
