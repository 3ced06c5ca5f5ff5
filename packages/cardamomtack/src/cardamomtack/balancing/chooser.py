"""Choice of a backend server for a request."""

from __future__ import annotations

from random import Random
from typing import Protocol

from cardamomtack.balancing.const import (
    BUSY_COST_EXPONENT,
    CANDIDATES_MAX,
    FAILURE_COST_FACTOR,
    SLOW_START_COST_FACTOR,
    SLOW_START_S,
    ZONE_CROSSING_S,
)
from cardamomtack.balancing.directory import ServiceServers
from cardamomtack.balancing.server import BackendServer


class ServerChooser(Protocol):
    """Chooses a backend server."""

    def choose_server(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> BackendServer | None:
        """Return a server, or None when none may get work.

        Parameters
        ----------
        service : ServiceServers
            The servers to choose from.
        tried : frozenset of str
            Ids of servers that are left out while there are others.
        now_s : float
            Monotonic time, in seconds.
        """


class CostChooser:
    """Samples a few servers and takes the one expected to answer first.

    Sampling keeps the VMs from crowding on the server that their stale reports all
    show as the least loaded, and keeps the cost of a choice flat.

    Parameters
    ----------
    random : Random
        Source of the samples.
    availability_zone : str
        Zone of this VM; another zone costs the way there and back.
    """

    __slots__ = ("_availability_zone", "_random")

    def __init__(self, random: Random, availability_zone: str) -> None:
        self._random = random
        self._availability_zone = availability_zone

    def choose_server(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> BackendServer | None:
        """Return the cheapest of a few servers, or None when there is none."""
        candidates = self._sample_candidates(service, tried, now_s)
        if not candidates:
            return None
        return min(
            candidates, key=lambda server: self.estimate_cost_s(service, server, now_s)
        )

    def estimate_cost_s(
        self, service: ServiceServers, server: BackendServer, now_s: float
    ) -> float:
        """Return the seconds until an answer, with penalties for doubt."""
        latency_s = server.estimate_latency_s(service.usual_latency_s, now_s)
        busy_share = server.estimate_busy(service.usual_external, now_s) / server.slots
        cost_s = latency_s * (1.0 + busy_share**BUSY_COST_EXPONENT)
        cost_s *= 1.0 + FAILURE_COST_FACTOR * server.failure_share
        age_s = now_s - server.ready_since_s
        if age_s < SLOW_START_S:
            cost_s *= 1.0 + SLOW_START_COST_FACTOR * (1.0 - age_s / SLOW_START_S)
        if server.availability_zone != self._availability_zone:
            cost_s += ZONE_CROSSING_S
        return cost_s

    def _sample_candidates(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> list[BackendServer]:
        """Return a few servers, those that are ejected or tried only at need."""
        sample = self._sample_servers(service.eligible)
        usable = [
            server
            for server in sample
            if server.ejected_until_s <= now_s and server.vm_id not in tried
        ]
        if usable:
            return usable
        return self._search_all(service, tried, now_s)

    def _sample_servers(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return a few servers; one may stand twice, which harms nothing."""
        count = len(servers)
        if count <= CANDIDATES_MAX:
            return servers
        draw = self._random.random
        return [servers[int(draw() * count)] for _ in range(CANDIDATES_MAX)]

    def _search_all(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> list[BackendServer]:
        """Return usable servers when a sample held none."""
        untried = [
            server for server in service.eligible if server.vm_id not in tried
        ] or service.eligible
        if service.is_ejection_ignored(now_s):
            return untried
        return [
            server for server in untried if server.ejected_until_s <= now_s
        ] or untried
