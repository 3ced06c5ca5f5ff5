"""A policy that knows every server's load and speed: the bound for all others."""

from __future__ import annotations

from random import Random

from cardamomtack.placing.admission import CallerTimes, choose_retry_after_s
from cardamomtack.placing.const import WAIT_WORK_FACTOR
from cardamomtack_standins.model.policies import (
    Decision,
    Decisions,
    EndedCall,
    ModelCall,
    RandomPolicy,
)
from cardamomtack_standins.model.server import ModelServer


class FleetQueue:
    """The calls of all VMs that wait, in the order in which they get servers.

    Attributes
    ----------
    calls : list of ModelCall
        The calls that wait.
    """

    __slots__ = ("calls",)

    def __init__(self) -> None:
        self.calls: list[ModelCall] = []

    def enqueue(self, call: ModelCall) -> None:
        """Let a call wait: urgent ones first, then those with less time."""
        self.calls.append(call)
        self.calls.sort(key=lambda one: (one.kind.priority, one.objective_at_s))


class OraclePolicy(RandomPolicy):
    """Places calls at quick servers with a slot to spare, as soon as there is one.

    It knows the servers as they are at each moment, and all VMs share one queue, so no
    slot is looked for, found twice or left idle while a call waits that it can serve.

    Parameters
    ----------
    servers : list of ModelServer
        The servers.
    random : Random
        Spreads callers that come back.
    queue : FleetQueue
        The queue that all VMs share.
    """

    def __init__(
        self, servers: list[ModelServer], random: Random, queue: FleetQueue
    ) -> None:
        super().__init__(servers, random)
        self._queue = queue

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self._queue.calls)

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Return the least busy quick server, or let the call wait or come back."""
        is_late = _is_late(call, now_s)
        if not self._queue.calls or not is_late:
            server = self._find_server()
            if server is not None:
                return server
        if is_late:
            return self._refuse(call, now_s)
        self._queue.enqueue(call)
        return None

    def poll(self, now_s: float) -> Decisions:
        """Return what becomes of calls that wait."""
        decisions: Decisions = []
        for call in list(self._queue.calls):
            if _is_late(call, now_s):
                decisions.append((call.number, self._refuse(call, now_s)))
                self._queue.calls.remove(call)
        server = self._find_server()
        if server is not None and self._queue.calls:
            decisions.append((self._queue.calls.pop(0).number, server))
        return decisions

    def note_end(
        self, call: EndedCall, duration_s: float | None, now_s: float
    ) -> Decisions:
        """Return which call gets the slot that has come free."""
        return self.poll(now_s)

    def _find_server(self) -> int | None:
        """Return the least busy quick server with a slot to spare, or None."""
        best: tuple[int, int] | None = None
        for index, server in enumerate(self._servers):
            busy = len(server.running) + len(server.waiting)
            has_slot = busy + 1 <= server.traits.full_share * server.traits.slots
            if server.slowness <= 1.0 and has_slot:
                best = min(best or (busy, index), (busy, index))
        return None if best is None else best[1]

    def _refuse(self, call: ModelCall, now_s: float) -> float:
        """Return after how long a call is to come back, in seconds."""
        kind = call.kind
        times = CallerTimes(
            kind.objective_s, call.objective_at_s - now_s, call.deadline_at_s - now_s
        )
        return choose_retry_after_s(times, self._random)


def _is_late(call: ModelCall, now_s: float) -> bool:
    """Return whether a call is not expected to be in time at any server."""
    return call.objective_at_s - now_s < WAIT_WORK_FACTOR * call.kind.work_s
