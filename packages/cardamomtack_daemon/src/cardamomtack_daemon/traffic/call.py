"""A request on its way."""

from __future__ import annotations

from dataclasses import dataclass, field

from cardamomtack.configuration.routes import KindPolicy
from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack_daemon.const import (
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    HEADER_TRACEPARENT,
)
from cardamomtack_daemon.http1.messages import HttpRequest, encode_request


@dataclass(slots=True)
class Call:
    """A request of a known kind.

    Attributes
    ----------
    deadline_s : float
        Monotonic time by which the caller wants its answer.
    digest : bytes
        Digest of service, method, path and body.
    request_id : bytes
        Names this request to the backend server, which may echo it.
    server_id : str
        Server that answered, empty before.
    is_admitted : bool
        Whether it may have been sent.
    """

    request: HttpRequest
    kind: KindPolicy
    deadline_s: float
    digest: bytes
    request_id: bytes
    traceparent: bytes
    server_id: str = ""
    tried: set[str] = field(default_factory=set)
    is_admitted: bool = False

    def encode(self, now_s: float) -> bytes:
        """Return the request as it goes to a backend server.

        The deadline that is passed on is what is left of the caller's.
        """
        replaced = (HEADER_DEADLINE_MS, HEADER_REQUEST_ID, HEADER_TRACEPARENT)
        headers = [field for field in self.request.headers if field[0] not in replaced]
        left_ms = max(1, int((self.deadline_s - now_s) * MS_PER_S))
        headers.append((HEADER_DEADLINE_MS, b"%d" % left_ms))
        headers.append((HEADER_REQUEST_ID, self.request_id))
        headers.append((HEADER_TRACEPARENT, self.traceparent))
        request = self.request
        return encode_request(request.method, request.target, headers, request.body)
