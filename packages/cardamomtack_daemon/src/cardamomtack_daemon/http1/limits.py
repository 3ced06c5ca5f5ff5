"""Bounds of what callers may send, and of how long they may take."""

from __future__ import annotations

from cardamomtack.memory.budget import MemoryBudget
from cardamomtack_daemon.http1.body import BodyMemory
from cardamomtack_daemon.http1.responses import ResponseMemory

HEAD_BYTES_MAX = 65536
HEAD_TIMEOUT_S = 30.0


class ConnectionLimits:
    """Bounds of caller connections.

    Parameters
    ----------
    body_bytes_max : int
        Largest request body, in bytes.
    connections_max : int
        Open connections.
    idle_s : float
        Time after which an idle connection is closed, in seconds.
    head_bytes_max : int
        Largest head of a request, in bytes.
    head_s : float
        Time for the head of a request, from its first byte on, in seconds.
    cancels_abandoned : bool
        Whether the work on a request ends when its caller has gone. Work that others
        wait for, as that on a claim, goes on.
    memory : BodyMemory or None
        Bounds what is held of the bodies of all requests, which are then handed on as
        they arrive; None hands them on whole.
    heads : MemoryBudget or None
        Bounds what is held of large heads and of requests that wait behind another.
    responses : ResponseMemory or None
        Counts what is held of responses that are not taken.
    """

    __slots__ = (
        "body_bytes_max",
        "cancels_abandoned",
        "connections_max",
        "head_bytes_max",
        "head_s",
        "heads",
        "idle_s",
        "memory",
        "responses",
    )

    def __init__(
        self,
        body_bytes_max: int,
        connections_max: int,
        idle_s: float,
        cancels_abandoned: bool = False,
        memory: BodyMemory | None = None,
        heads: MemoryBudget | None = None,
        responses: ResponseMemory | None = None,
    ) -> None:
        self.body_bytes_max = body_bytes_max
        self.cancels_abandoned = cancels_abandoned
        self.connections_max = connections_max
        self.head_bytes_max = HEAD_BYTES_MAX
        self.head_s = HEAD_TIMEOUT_S
        self.heads = heads
        self.idle_s = idle_s
        self.memory = memory
        self.responses = responses
