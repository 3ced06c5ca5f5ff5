"""Finds a server for a request: probes, compares, and lets it wait for capacity."""

from __future__ import annotations

from asyncio import CancelledError
from dataclasses import dataclass
from math import inf

from anyio import move_on_after

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.admission import (
    PlacementTimes,
    ServerCapacity,
    is_good_enough,
    is_worth_placing,
)
from cardamomtack.placing.chooser import (
    PlacementChooser,
    WorkEstimates,
    assume_loads,
    choose_sample_size,
)
from cardamomtack.placing.server import (
    ServerView,
    ServiceView,
    compute_busy_share,
    is_near_capacity,
    is_slow_with_capacity,
)
from cardamomtack.placing.wait_queue import QueuedCall
from cardamomtack.placing.zone_finds import ZoneFinds
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.departure import Departure
from cardamomtack_daemon.forwarding.prober import ProbedServer, ServerProber
from cardamomtack_daemon.forwarding.wait_queue import AsyncQueuedCall, AsyncWaitQueue
from cardamomtack_daemon.http1.client import ServerConnection
from cardamomtack_daemon.pool import (
    CONNECTION_IDLE_S_MAX,
    ConnectionPool,
    ServerUnreachableError,
)
from cardamomtack_daemon.tunnels.dialer import ServerDialer

REASON_URGENT = "more urgent requests find no capacity"


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """What the servers of a service take while none is open by its own word.

    Attributes
    ----------
    wait_s : float
        Until this VM may send again, in seconds; infinite where only others may.
    rate_per_s : float
        Requests a second that they take from all VMs together.
    """

    wait_s: float
    rate_per_s: float


class Placer:
    """Places requests on servers.

    Parameters
    ----------
    registry : ServerRegistry
        The servers.
    chooser : PlacementChooser
        Compares servers.
    prober : ServerProber
        Asks servers for their load.
    pool : ConnectionPool
        Connections to servers.
    dialer : ServerDialer
        Knows which servers are not reached.
    clock : Clock
        Tells the time.
    departure : Departure
        Knows when this VM ends.

    Attributes
    ----------
    estimates : WorkEstimates
        How long the work of each route takes.
    """

    __slots__ = (
        "_chooser",
        "_clock",
        "_departure",
        "_dialer",
        "_finds",
        "_pool",
        "_prober",
        "_queues",
        "_registry",
        "estimates",
    )

    def __init__(
        self,
        registry: ServerRegistry,
        chooser: PlacementChooser,
        prober: ServerProber,
        pool: ConnectionPool,
        dialer: ServerDialer,
        clock: Clock,
        departure: Departure,
    ) -> None:
        self._departure = departure
        self._dialer = dialer
        self._finds: dict[str, ZoneFinds] = {}
        self._prober = prober
        self._chooser = chooser
        self._clock = clock
        self._pool = pool
        self._queues: dict[str, AsyncWaitQueue] = {}
        self._registry = registry
        self.estimates = WorkEstimates()

    async def async_place(
        self, call: ForwardedCall, may_wait: bool = True
    ) -> ProbedServer | None:
        """Return a server and a connection to it, or None when none takes the call.

        Nothing of the request has left when this returns; it is counted against the
        limit of its server.

        Parameters
        ----------
        may_wait : bool
            Whether the call may wait until a server has capacity for it.
        """
        if not self._departure.has_begun:
            return await self._async_place(call, may_wait)
        latest_start_s = self._compute_latest_start_s(call)
        with move_on_after(latest_start_s - self._clock.read_monotonic_s()):
            return await self._async_place(call, may_wait)
        return None

    async def _async_place(
        self, call: ForwardedCall, may_wait: bool
    ) -> ProbedServer | None:
        """Return a server, whether this VM is leaving or not."""
        service = self._registry.find_service(call.service)
        if may_wait and not call.sends and not self._admits(call):
            call.refusal = REASON_URGENT
            return None
        while not service.is_evacuated and self.find_limits(call) is None:
            placed = await self._async_find(call, may_wait)
            now_s = self._clock.read_monotonic_s()
            if placed is None or placed.server.reserve_send(now_s):
                return placed
            # Another call has used what the server takes of this VM.
            self._pool.release(placed.server, placed.connection)
        return None

    def is_evacuated(self, service: str) -> bool:
        """Return whether all servers of a service are in evacuated zones."""
        return self._registry.find_service(service).is_evacuated

    def find_limits(self, call: ForwardedCall) -> ServiceLimits | None:
        """Return when servers take requests again, or None where some may take one.

        Only limits and pauses count: servers that have no capacity or have failed are
        believed to take a request, until they are probed.
        """
        now_s = self._clock.read_monotonic_s()
        work_s = self.estimate_work_s(call)
        wait_s = inf
        rate_per_s = 0.0
        for server in self._registry.find_service(call.service).members:
            if not server.may_stay:
                continue
            if server.demands.is_open(now_s):
                if server.vm_id not in call.tried:
                    return None
                continue
            wait_s = min(wait_s, server.demands.compute_wait_s(now_s))
            rate_per_s += server.demands.compute_rate_per_s(server.entry.slots, work_s)
        return ServiceLimits(wait_s, rate_per_s) if rate_per_s else None

    async def _async_find(
        self, call: ForwardedCall, may_wait: bool
    ) -> ProbedServer | None:
        """Return a server for a call, not counted yet, or None."""
        service = self._registry.find_service(call.service)
        if self._reaches_none(service):
            return None
        if service.reports_load is False:
            return await self._async_place_unprobed(service, call)
        queue = self._find_queue(call.service)
        placed: ProbedServer | None = None
        if queue.is_empty:
            placed = await self._async_place_fresh(service, call, queue)
        if placed is None and queue.is_empty:
            placed = await self._async_place_probed(service, call, queue)
        if placed is None and may_wait:
            placed = await self._async_wait(service, call, queue)
            if placed is not None or not self._can_start(call):
                return placed
        if placed is None and queue.is_empty:
            placed = await self._async_place_without_capacity(service, call)
        if placed is not None:
            queue.record_placed(self._rank(call))
        return placed

    def _admits(self, call: ForwardedCall) -> bool:
        """Return whether a new call is placed beside more urgent ones, and count it."""
        service = self._registry.find_service(call.service)
        self._chooser.record_request(service, self._clock.read_monotonic_s())
        queue = self._find_queue(call.service)
        return self._chooser.draw(queue.record_call(self._rank(call)))

    def _rank(self, call: ForwardedCall) -> QueuedCall:
        """Return what decides about the order of a call."""
        work_s = self.estimate_work_s(call)
        return QueuedCall(call.priority, call.objective_s, work_s, call.workspace)

    def _reaches_none(self, service: ServiceView) -> bool:
        """Return whether no server of a service is known to be reached by any VM.

        Old connections may live on, and tell otherwise.
        """
        members = service.members
        if not members or not self._dialer.is_unreachable(members[0]):
            return False
        return not any(
            one.may_stay
            and (self._pool.has_idle(one) or not self._dialer.is_unreachable(one))
            for one in members
        )

    def release_connection(
        self, server: ServerView, connection: ServerConnection
    ) -> None:
        """Accept the connection of a request that has ended.

        It goes to a call that waits, if the server has told that it has capacity.
        """
        queue = self._queues.get(server.entry.service)
        if queue is not None:
            queue.record_freed_slot()
            has_told = server.has_current_report(self._clock.read_monotonic_s())
            has_told = has_told and not is_near_capacity(server)
            if has_told and connection.is_idle():
                probed = ProbedServer(server, connection)
                if queue.assign(probed):
                    return
        self._pool.release(server, connection)
        self._registry.find_service(server.entry.service).add_answered(server)

    async def _async_place_fresh(
        self, service: ServiceView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> ProbedServer | None:
        """Return a server that has just answered and needs no probe, or None."""
        now_s = self._clock.read_monotonic_s()
        for server in service.list_fresh(now_s):
            if server.vm_id in call.tried or not self._pool.has_idle(server):
                continue
            if not self._is_enough(server, call, queue):
                continue
            connected = await self._async_connect(server)
            if connected is not None:
                self._record_estimate(server, call)
                return connected
        return None

    async def _async_connect(self, server: ServerView) -> ProbedServer | None:
        """Return a server that is not probed with a connection, or None."""
        try:
            connection = await self._pool.async_acquire(server, CONNECTION_IDLE_S_MAX)
        except ServerUnreachableError as error:
            if not error.is_own_way:
                server.record_unreachable(self._clock.read_monotonic_s())
            return None
        if not server.is_removed:
            return ProbedServer(server, connection)
        self._pool.discard(connection)
        return None

    async def _async_place_probed(
        self, service: ServiceView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> ProbedServer | None:
        """Ask servers in turn until one is good enough, and return the best one."""
        probed: list[ProbedServer] = []

        def is_enough(one: ProbedServer) -> bool:
            return self._is_enough(one.server, call, queue)

        for is_own_zone in (True, False):
            servers = self._sample(service, call, queue, is_own_zone)
            try:
                answers = await self._prober.async_probe_in_turn(
                    service, servers, is_enough
                )
            except CancelledError:
                self._prober.release(probed, None)
                raise
            self._record_finds(service, answers)
            probed += answers
            if any(is_enough(one) for one in probed):
                break
        call.probes += len(probed)
        if not probed:
            now_s = self._clock.read_monotonic_s()
            ejected = self._chooser.sample_ejected(service, call.tried, now_s)
            probed = await self._prober.async_probe(service, ejected)
        best = self._choose(probed, call)
        self._record_estimate(best.server if best is not None else None, call)
        if best is not None and not self._is_worth_it(best.server, call, queue):
            best = None
        self._prober.release(probed, best)
        return best

    def _sample(
        self,
        service: ServiceView,
        call: ForwardedCall,
        queue: AsyncWaitQueue,
        is_own_zone: bool,
    ) -> list[ServerView]:
        """Return servers to ask of the own zone, or of the others."""
        now_s = self._clock.read_monotonic_s()
        size = choose_sample_size(
            self._prober.remaining_budget_share,
            is_own_zone,
            queue.is_overloaded,
            call.objective_s <= now_s,
        )
        return self._chooser.sample_servers(
            service, call.tried, is_own_zone, now_s, size
        )

    async def _async_wait(
        self, service: ServiceView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> ProbedServer | None:
        """Let a call wait until a server has capacity for it."""

        def is_fit(one: ProbedServer) -> bool:
            server = one.server
            now_s = self._clock.read_monotonic_s()
            if server.vm_id in call.tried or not server.is_usable(now_s):
                return False
            if service.is_spared(server, now_s):
                return False
            is_in_time = self._find_times(server, call).is_in_time
            return is_in_time and not is_near_capacity(server)

        async def poll() -> None:
            await self._async_poll(service, call, queue)

        def can_be_served() -> bool:
            return not service.is_evacuated and self._can_start(call)

        work_s = self.estimate_work_s(call)
        began_s = self._clock.read_monotonic_s()
        self._chooser.record_shortage(service, began_s)
        queued = AsyncQueuedCall(
            call.priority, call.objective_s, work_s, is_fit, call.workspace
        )
        queued.latest_start_at_s = min(
            queued.latest_start_at_s, self._departure.compute_latest_start_s(work_s)
        )
        is_done = False
        try:
            placed = await queue.async_wait(queued, poll, can_be_served)
            is_done = True
        finally:
            call.position = queued.position
            call.waited_s += self._clock.read_monotonic_s() - began_s
            if not is_done and queued.assigned is not None:
                self.release_connection(
                    queued.assigned.server, queued.assigned.connection
                )
        if placed is not None:
            self._record_estimate(placed.server, call)
        return placed

    async def _async_poll(
        self, service: ServiceView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> None:
        """Ask a few servers, and offer them to the calls that wait."""
        now_s = self._clock.read_monotonic_s()
        servers: list[ServerView] = []
        for is_own_zone, size in self._find_finds(service).list_polls():
            servers += self._chooser.sample_servers(
                service, call.tried, is_own_zone, now_s, size
            )
        answers = await self._prober.async_probe(service, servers)
        self._record_finds(service, answers)
        for one in answers:
            if not queue.assign(one):
                self._pool.release(one.server, one.connection)

    async def _async_place_without_capacity(
        self, service: ServiceView, call: ForwardedCall
    ) -> ProbedServer | None:
        """Return a server where none is known to have capacity, or None.

        No health check may be sent now, or all servers tell that they are full. What
        servers tell may be wrong, so a VM that has nothing running at a service sends
        it a request all the same.
        """
        is_idle = not any(server.in_flight for server in service.members)
        if self._prober.is_exhausted:
            return await self._async_place_unprobed(service, call, is_idle)
        now_s = self._clock.read_monotonic_s()
        full = [one for one in service.members if one.has_current_report(now_s)]
        if not is_idle or not full:
            return None
        return await self._async_place_unprobed(service, call, True, full)

    def _compute_latest_start_s(self, call: ForwardedCall) -> float:
        """Return until when a call may be sent, so that this VM passes its answer on.

        It is a monotonic time, in seconds.
        """
        return self._departure.compute_latest_start_s(self.estimate_work_s(call))

    def _can_start(self, call: ForwardedCall) -> bool:
        """Return whether the answer to a call that is sent now can be passed on."""
        return self._departure.can_finish(self.estimate_work_s(call))

    def estimate_work_s(self, call: ForwardedCall) -> float:
        """Return the work of a call on an idle server, in seconds."""
        return self.estimates.estimate_work_s(
            call.route.full_prefix, call.route.objective_s
        )

    def compute_answer_age_s(self, service: str) -> float:
        """Return the seconds since a server of a service last answered this VM."""
        now_s = self._clock.read_monotonic_s()
        return now_s - self._registry.find_service(service).answered_at_s

    def count_usable(self, service: str) -> int:
        """Return how many servers of a service might get work."""
        now_s = self._clock.read_monotonic_s()
        members = self._registry.find_service(service).members
        return sum(server.is_usable(now_s) for server in members)

    def _record_estimate(self, best: ServerView | None, call: ForwardedCall) -> None:
        """Record for the log what a choice was made from."""
        call.estimate_s = None
        if best is not None:
            call.estimate_s = self._find_times(best, call).estimate_s

    def _choose(
        self, probed: list[ProbedServer], call: ForwardedCall
    ) -> ProbedServer | None:
        """Return the probed server that is expected to answer first, or None.

        Those with capacity come first. A server may have left while it was probed.
        """
        now_s = self._clock.read_monotonic_s()
        service = self._registry.find_service(call.service)
        work_s = self.estimate_work_s(call)
        usable = [one.server for one in probed if one.server.is_usable(now_s)]
        with_capacity = [server for server in usable if not is_near_capacity(server)]
        chosen = self._chooser.choose_server(
            service, with_capacity or usable, work_s, now_s
        )
        return next((one for one in probed if one.server is chosen), None)

    def _is_enough(
        self, server: ServerView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> bool:
        """Return whether no other server needs to be probed."""
        now_s = self._clock.read_monotonic_s()
        if not server.is_usable(now_s) or not self._is_worth_it(server, call, queue):
            return False
        service = self._registry.find_service(call.service)
        objective_left_s = call.objective_s - now_s
        if objective_left_s <= 0:
            return True
        work_s = self.estimate_work_s(call)
        cost_s = self._chooser.estimate_cost_s(service, server, work_s, now_s)
        return is_good_enough(cost_s, objective_left_s)

    def _is_worth_it(
        self, server: ServerView, call: ForwardedCall, queue: AsyncWaitQueue
    ) -> bool:
        """Return whether a call is sent to a server."""
        capacity = ServerCapacity(
            compute_busy_share(server), not is_near_capacity(server)
        )
        times = self._find_times(server, call)
        if is_worth_placing(times, capacity, queue.is_overloaded):
            return True
        return (
            is_slow_with_capacity(server) and server.slowdown_estimates.is_trial_due()
        )

    def _find_times(self, server: ServerView, call: ForwardedCall) -> PlacementTimes:
        """Return the times that decide whether a call goes to a server."""
        now_s = self._clock.read_monotonic_s()
        work_s = self.estimate_work_s(call)
        return PlacementTimes(
            self._chooser.estimate_s(server, work_s, now_s),
            work_s,
            call.objective_s - now_s,
            call.deadline_s - now_s,
        )

    async def _async_place_unprobed(
        self,
        service: ServiceView,
        call: ForwardedCall,
        accepts_full: bool = True,
        choices: list[ServerView] | None = None,
    ) -> ProbedServer | None:
        """Return a server that is not probed, or None when none takes the call.

        Its service tells no load, or no health check may be sent now.

        Parameters
        ----------
        accepts_full : bool
            Whether servers are taken that are believed to have no capacity.
        choices : list of ServerView or None
            Servers to choose from; None for all.
        """
        queue = self._find_queue(call.service)
        tried = set(call.tried)
        while self._clock.read_monotonic_s() < call.deadline_s:
            server = self._choose_unprobed(service, tried, call, choices)
            self._record_estimate(server, call)
            if server is None:
                return None
            times = self._find_times(server, call)
            if service.reports_load and times.estimate_s > times.deadline_left_s:
                return None
            if not accepts_full and not self._is_worth_it(server, call, queue):
                return None
            connected = await self._async_connect(server)
            if connected is not None:
                return connected
            tried.add(server.vm_id)
        return None

    def _choose_unprobed(
        self,
        service: ServiceView,
        tried: set[str],
        call: ForwardedCall,
        choices: list[ServerView] | None,
    ) -> ServerView | None:
        """Return a server by what is known without asking, or None."""
        now_s = self._clock.read_monotonic_s()
        if choices is not None:
            servers = [one for one in choices if one.is_usable(now_s)]
            servers = [one for one in servers if one.vm_id not in tried]
        else:
            servers = self._chooser.sample_servers(service, tried, True, now_s)
            servers += self._chooser.sample_servers(service, tried, False, now_s)
        if not servers and choices is None:
            servers = self._chooser.sample_ejected(service, tried, now_s)
        assume_loads(service, servers, now_s)
        work_s = self.estimate_work_s(call)
        return self._chooser.choose_server(service, servers, work_s, now_s)

    def _record_finds(self, service: ServiceView, probed: list[ProbedServer]) -> None:
        """Record which of the servers that have just answered have capacity."""
        finds = self._find_finds(service)
        for one in probed:
            is_own_zone = self._chooser.is_own_zone(one.server)
            finds.record_probe(is_own_zone, not is_near_capacity(one.server))

    def _find_finds(self, service: ServiceView) -> ZoneFinds:
        """Return where probes for a service have found capacity lately."""
        return self._finds.setdefault(service.name, ZoneFinds())

    def _find_queue(self, service: str) -> AsyncWaitQueue:
        """Return the calls that wait for capacity at a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = AsyncWaitQueue(self._clock)
            self._queues[service] = queue
        return queue
