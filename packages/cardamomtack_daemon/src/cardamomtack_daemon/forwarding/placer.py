"""Finds a server for a request: samples, asks, and compares."""

from __future__ import annotations

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.admission import (
    PlacementTimes,
    is_good_enough,
    is_worth_placing,
)
from cardamomtack.placing.chooser import (
    PlacementChooser,
    WorkEstimates,
    assume_loads,
)
from cardamomtack.placing.server import ServerView, ServiceView, is_past_room
from cardamomtack_daemon.forwarding.asking import AskedServer, ServerAsker
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.pool import (
    CONNECTION_IDLE_S_MAX,
    ConnectionPool,
    ServerUnreachableError,
)


class Placer:
    """Places requests on servers.

    Parameters
    ----------
    registry : ServerRegistry
        The servers.
    chooser : PlacementChooser
        Compares servers.
    asker : ServerAsker
        Asks servers for their load.
    pool : ConnectionPool
        Connections to servers that tell no load.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    estimates : WorkEstimates
        How long the work of each route takes.
    """

    __slots__ = ("_asker", "_chooser", "_clock", "_pool", "_registry", "estimates")

    def __init__(
        self,
        registry: ServerRegistry,
        chooser: PlacementChooser,
        asker: ServerAsker,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self._asker = asker
        self._chooser = chooser
        self._clock = clock
        self._pool = pool
        self._registry = registry
        self.estimates = WorkEstimates()

    async def async_place(self, call: ForwardedCall) -> AskedServer | None:
        """Return a server and a connection to it, or None when none takes the call.

        Nothing of the request has left when this returns.
        """
        service = self._registry.find_service(call.service)
        if service.tells_load is False:
            return await self._async_place_unasked(service, call)
        work_s = self.estimates.find_work_s(call.route.name)
        asked = await self._async_ask(service, call, True)
        best = self._choose(asked, work_s)
        if best is None or not self._is_good(best, call, work_s):
            asked += await self._async_ask(service, call, False)
            best = self._choose(asked, work_s)
        if best is None:
            resting = self._chooser.sample_resting(service, call.tried)
            asked = await self._asker.async_ask(service, resting)
            best = self._choose(asked, work_s)
        if best is None and self._asker.is_exhausted:
            return await self._async_place_unasked(service, call)
        chosen = best.server if best is not None else None
        self._note_choice(service, chosen, call, work_s)
        if chosen is not None and not self._is_worth_it(chosen, call, work_s):
            best = None
        self._asker.release(asked, best)
        return best

    def _note_choice(
        self,
        service: ServiceView,
        best: ServerView | None,
        call: ForwardedCall,
        work_s: float,
    ) -> None:
        """Note for the log what a choice was made from."""
        now_s = self._clock.read_monotonic_s()
        call.usable = sum(server.is_usable(now_s) for server in service.members)
        call.estimate_s = None
        if best is not None:
            call.estimate_s = self._chooser.estimate_s(best, work_s, now_s)

    async def _async_ask(
        self, service: ServiceView, call: ForwardedCall, is_own_zone: bool
    ) -> list[AskedServer]:
        """Ask a few servers of the own zone, or of the others."""
        now_s = self._clock.read_monotonic_s()
        servers = self._chooser.sample_servers(
            service, call.tried, is_own_zone, now_s, self._asker.sample_size
        )
        asked = await self._asker.async_ask(service, servers)
        # A server may have left while it was asked.
        now_s = self._clock.read_monotonic_s()
        kept = [one for one in asked if one.server.is_usable(now_s)]
        if len(kept) < len(asked):
            kept_ids = {one.server.vm_id for one in kept}
            left = [one for one in asked if one.server.vm_id not in kept_ids]
            self._asker.release(left, None)
        return kept

    def _choose(self, asked: list[AskedServer], work_s: float) -> AskedServer | None:
        """Return the asked server that is expected to answer first, or None."""
        now_s = self._clock.read_monotonic_s()
        servers = [one.server for one in asked]
        chosen = self._chooser.choose_server(servers, work_s, now_s)
        return next((one for one in asked if one.server is chosen), None)

    def _is_good(self, best: AskedServer, call: ForwardedCall, work_s: float) -> bool:
        """Return whether no other zone needs to be asked."""
        now_s = self._clock.read_monotonic_s()
        cost_s = self._chooser.estimate_cost_s(best.server, work_s, now_s)
        objective_left_s = call.objective_s - now_s
        return is_good_enough(cost_s, objective_left_s)

    def _is_worth_it(
        self, server: ServerView, call: ForwardedCall, work_s: float
    ) -> bool:
        """Return whether the call is sent although the server may be full."""
        now_s = self._clock.read_monotonic_s()
        times = PlacementTimes(
            self._chooser.estimate_s(server, work_s, now_s),
            call.objective_s - now_s,
            call.deadline_s - now_s,
        )
        return is_worth_placing(times, call.route.priority, is_past_room(server))

    async def _async_place_unasked(
        self, service: ServiceView, call: ForwardedCall
    ) -> AskedServer | None:
        """Return a server that is not asked, or None when none takes the call.

        Its service tells no load, or no health check may be sent now.
        """
        work_s = self.estimates.find_work_s(call.route.name)
        tried = set(call.tried)
        while self._clock.read_monotonic_s() < call.deadline_s:
            server = self._choose_unasked(service, tried, work_s)
            self._note_choice(service, server, call, work_s)
            if server is None:
                return None
            if service.tells_load and not self._is_worth_it(server, call, work_s):
                return None
            try:
                connection = await self._pool.async_acquire(
                    server, CONNECTION_IDLE_S_MAX
                )
            except ServerUnreachableError:
                server.record_unreachable(self._clock.read_monotonic_s())
                tried.add(server.vm_id)
                continue
            if not server.is_gone:
                return AskedServer(server, connection)
            self._pool.discard(connection)
        return None

    def _choose_unasked(
        self, service: ServiceView, tried: set[str], work_s: float
    ) -> ServerView | None:
        """Return a server by what is known without asking, or None."""
        now_s = self._clock.read_monotonic_s()
        servers = self._chooser.sample_servers(service, tried, True, now_s)
        servers += self._chooser.sample_servers(service, tried, False, now_s)
        if not servers:
            servers = self._chooser.sample_resting(service, tried)
        assume_loads(service, servers, now_s)
        return self._chooser.choose_server(servers, work_s, now_s)
