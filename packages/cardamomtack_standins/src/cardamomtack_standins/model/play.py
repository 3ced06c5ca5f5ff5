"""Plays a load to a policy and counts what callers get."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from cardamomtack.placing.const import QUEUE_POLL_INTERVAL_S
from cardamomtack_standins.model.load import (
    Arrival,
    LoadPlan,
    list_arrivals,
)
from cardamomtack_standins.model.policies import (
    Decisions,
    EndedCall,
    ModelCall,
    Policy,
)
from cardamomtack_standins.model.server import Job, ModelServer, ServerTraits

KEPT_CONNECTION_SHARE = 0.7
"""Share of first sends that come on a connection which has carried requests before."""


@dataclass(slots=True)
class KindOutcome:
    """What the callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Return the share of requests that were answered within the objective."""
        return self.in_time / max(1, self.asked)

    @property
    def served_share(self) -> float:
        """Return the share of requests that were answered at all."""
        return (self.in_time + self.late) / max(1, self.asked)


@dataclass(slots=True)
class PlayOutcome:
    """What all callers got.

    Attributes
    ----------
    zones : dict
        The same for the callers of each availability zone, by its index.
    """

    kinds: dict[str, KindOutcome] = field(default_factory=dict)
    zones: dict[int, KindOutcome] = field(default_factory=dict)
    credit: float = 0.0
    credit_owed: float = 0.0

    @property
    def credit_share(self) -> float:
        """Return the credit that was earned, as a share of what was owed."""
        return self.credit / max(1e-9, self.credit_owed)


@dataclass(slots=True, frozen=True)
class FleetShape:
    """The VMs and servers of a play.

    Attributes
    ----------
    server_zones, vm_zones : tuple of int
        Zones of the servers and of the VMs, repeated until all have one; empty for an
        equal spread. A zone with more VMs has more callers.
    """

    vms: int = 13
    servers: int = 14
    zones: int = 4
    traits: ServerTraits = ServerTraits(slots=6, queue_max=12)  # noqa: RUF009
    server_zones: tuple[int, ...] = ()
    vm_zones: tuple[int, ...] = ()

    def find_server_zone(self, index: int) -> int:
        """Return the availability zone of a server."""
        zones = self.server_zones or tuple(range(self.zones))
        return zones[index % len(zones)]

    def find_vm_zone(self, index: int) -> int:
        """Return the availability zone of a VM."""
        zones = self.vm_zones or tuple(range(self.zones))
        return zones[index % len(zones)]


PolicyMaker = Callable[[list[ModelServer], Random, str], Policy]


@dataclass(slots=True)
class _Request:
    """A request on its way; ``sends`` counts how often its caller has sent it."""

    number: int
    arrival: Arrival
    vm: int
    sends: int = 0
    server: int = -1
    sent_at_s: float = 0.0
    is_counted: bool = True
    zone: int = 0


class LoadPlay:
    """One play of a load; the same seed gives the same play.

    Parameters
    ----------
    plan : LoadPlan
        What arrives.
    shape : FleetShape
        VMs and servers.
    make_policy : callable
        Makes the policy of a VM of a zone.
    seed : int
        Source of all chance.
    """

    def __init__(
        self, plan: LoadPlan, shape: FleetShape, make_policy: PolicyMaker, seed: int
    ) -> None:
        random = Random(seed)
        self._connections = Random(seed)
        self._polling: set[int] = set()
        self._random = Random(random.random())
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = count()
        self._outcome = PlayOutcome()
        self._requests: list[_Request] = []
        self._versions = [0] * shape.servers
        self.servers = [
            ModelServer(
                str(index),
                f"zone-{shape.find_server_zone(index)}",
                shape.traits,
                Random(random.random()),
            )
            for index in range(shape.servers)
        ]
        self._policies = [
            make_policy(
                self.servers,
                Random(random.random()),
                f"zone-{shape.find_vm_zone(index)}",
            )
            for index in range(shape.vms)
        ]
        self._plan = plan
        for arrival in list_arrivals(plan, Random(random.random())):
            vm = random.randrange(shape.vms)
            request = _Request(
                len(self._requests), arrival, vm, zone=shape.find_vm_zone(vm)
            )
            self._requests.append(request)
        for server in range(shape.servers):
            start_s = random.random() * shape.traits.noise_s
            self._push(start_s, partial(self._shift, server))

    def run(self, counted_from_s: float = 0.0) -> PlayOutcome:
        """Play until all requests have ended and return what callers got.

        Parameters
        ----------
        counted_from_s : float
            Arrival from which requests count, in seconds.
        """
        for request in self._requests:
            kind = request.arrival.kind
            self._push(request.arrival.at_s, partial(self._send, request))
            request.is_counted = request.arrival.at_s >= counted_from_s
            if not request.is_counted:
                continue
            for outcome in self._list_outcomes(request):
                outcome.asked += 1
            self._outcome.credit_owed += kind.credit
        while self._events:
            now_s, _, act = heappop(self._events)
            act(now_s)
        return self._outcome

    def _push(self, at_s: float, act: Callable[[float], None]) -> None:
        """Have something happen at a time."""
        heappush(self._events, (at_s, next(self._numbers), act))

    def _shift(self, server: int, now_s: float) -> None:
        """Shift the speed of a server, again and again while load arrives."""
        self.servers[server].shift_speed(now_s)
        self._plan_finish(server)
        if now_s < self._plan.length_s + 10.0:
            next_s = now_s + self.servers[server].traits.noise_s
            self._push(next_s, partial(self._shift, server))

    def _send(self, request: _Request, now_s: float) -> None:
        """Let the policy of a VM place a request."""
        request.sends += 1
        if request.sends > 1:
            # A new connection of a caller may reach another VM.
            request.vm = self._random.randrange(len(self._policies))
        call = self._make_call(request)
        decision = self._policies[request.vm].place(call, now_s)
        if decision is None:
            self._plan_poll(request.vm, now_s)
        else:
            self._carry_out([(request.number, decision)], now_s)

    def _make_call(self, request: _Request) -> ModelCall:
        """Return a send of a request as its VM sees it."""
        arrival = request.arrival
        is_first_send = request.sends == 1
        return ModelCall(
            request.number,
            arrival.kind,
            arrival.at_s + arrival.kind.objective_s,
            arrival.at_s + arrival.deadline_s,
            is_first_send and self._connections.random() < KEPT_CONNECTION_SHARE,
        )

    def _carry_out(self, decisions: Decisions, now_s: float) -> None:
        """Send requests to servers, or their callers back."""
        for number, decision in decisions:
            request = self._requests[number]
            if isinstance(decision, float):
                self._refuse(request, now_s + decision)
            else:
                self._start(request, decision, now_s)

    def _start(self, request: _Request, server: int, now_s: float) -> None:
        """Send a request to a server."""
        arrival = request.arrival
        policy = self._policies[request.vm]
        policy.note_send(request.number, server)
        request.server = server
        request.sent_at_s = now_s
        job = Job(request.number, arrival.work_s)
        if not self.servers[server].add_job(job, now_s):
            ended = EndedCall(request.number, arrival.kind, server)
            policy.note_end(ended, None, now_s)
            pause_s = policy.choose_pause_s(self._make_call(request), server, now_s)
            self._refuse(request, now_s + pause_s)
            return
        self._plan_finish(server)

    def _plan_poll(self, vm: int, now_s: float) -> None:
        """Plan the next poll of a VM in which calls wait."""
        if vm not in self._polling:
            self._polling.add(vm)
            self._push(now_s + QUEUE_POLL_INTERVAL_S, partial(self._poll, vm))

    def _poll(self, vm: int, now_s: float) -> None:
        """Let a VM look for room for the calls that wait."""
        self._polling.discard(vm)
        self._carry_out(self._policies[vm].poll(now_s), now_s)
        if self._policies[vm].waiting:
            self._plan_poll(vm, now_s)

    def _refuse(self, request: _Request, back_s: float) -> None:
        """Send a caller back, or count it as refused."""
        arrival = request.arrival
        deadline_s = arrival.at_s + arrival.deadline_s
        if request.sends < arrival.kind.sends_max and back_s < deadline_s:
            self._push(back_s, partial(self._send, request))
            return
        if request.is_counted:
            for outcome in self._list_outcomes(request):
                outcome.refused += 1

    def _plan_finish(self, server: int) -> None:
        """Plan the next finish of a server, in place of the one planned before."""
        self._versions[server] += 1
        version = self._versions[server]
        finish_s = self.servers[server].find_finish_s()
        if finish_s is not None:
            self._push(finish_s, partial(self._finish, server, version))

    def _finish(self, server: int, version: int, now_s: float) -> None:
        """Finish a job unless its server has changed since."""
        if version != self._versions[server]:
            return
        job = self.servers[server].finish_job(now_s)
        self._plan_finish(server)
        request = self._requests[job.request]
        kind = request.arrival.kind
        policy = self._policies[request.vm]
        if request.is_counted:
            self._count(request, now_s - request.arrival.at_s)
        duration_s = now_s - request.sent_at_s
        ended = EndedCall(request.number, kind, server)
        self._carry_out(policy.note_end(ended, duration_s, now_s), now_s)

    def _count(self, request: _Request, latency_s: float) -> None:
        """Count an answer by its time since the first send."""
        kind = request.arrival.kind
        is_in_time = latency_s <= kind.objective_s
        is_late = not is_in_time and latency_s <= request.arrival.deadline_s
        for outcome in self._list_outcomes(request):
            outcome.latencies_s.append(latency_s)
            outcome.in_time += is_in_time
            outcome.late += is_late
        if is_in_time:
            self._outcome.credit += kind.credit
        elif is_late:
            self._outcome.credit += kind.late_credit

    def _list_outcomes(self, request: _Request) -> tuple[KindOutcome, KindOutcome]:
        """Return where a request counts: at its kind, and at the zone of its caller."""
        outcome = self._outcome
        return (
            outcome.kinds.setdefault(request.arrival.kind.name, KindOutcome()),
            outcome.zones.setdefault(request.zone, KindOutcome()),
        )
