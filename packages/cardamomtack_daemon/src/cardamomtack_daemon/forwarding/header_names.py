"""The names under which callers and backend servers say what the product needs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cardamomtack.placing.server import LoadReport


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Header fields, in lower case.

    Attributes
    ----------
    request_id : bytes
        Id of one send of a caller; the server echoes it.
    deadline_ms : bytes
        How long the caller waits, in milliseconds.
    target_server : bytes
        Id of the only server that may run the request.
    signature : bytes
        Proof that a server made the answer.
    not_run : bytes
        Says that the server did not run the request.
    load : bytes
        The load of the server.
    server_id : bytes
        Id of the server, on answers to health checks.
    rate_limit : bytes
        Requests a second that the server takes from all VMs together.
    leaving : bytes
        Says with ``1`` that the server leaves, on any answer.
    warm_up_ms : bytes
        How much longer the server warms up, in milliseconds, on answers to health
        checks.
    workspace : bytes
        Name of the workspace of the caller, for servers.
    workspace_key : bytes
        Key by which a caller shows its workspace.
    parse_load : callable
        Returns the report of a load header, or None when it can't be read.
    parse_rate_limit : callable
        Returns the limit of a header, in requests a second, or None when it can't be
        read.
    """

    request_id: bytes
    deadline_ms: bytes
    target_server: bytes
    signature: bytes
    not_run: bytes
    load: bytes
    server_id: bytes
    rate_limit: bytes
    leaving: bytes
    warm_up_ms: bytes
    workspace: bytes
    workspace_key: bytes
    parse_load: Callable[[bytes], LoadReport | None]
    parse_rate_limit: Callable[[bytes], float | None]
