"""The stable subset of a service's servers that one VM sends to.

This module handles fleets of many VMs and many servers, where each VM has few requests
a second. If each probe drew from all servers, nearly every one would need a new
connection. So a VM keeps to the servers that come first by a rendezvous hash of its own
id and theirs, half of them of its own availability zone and the others of all other
zones in turn. Different VMs get different servers, so the load is spread, and a server
that comes or goes changes few subsets. The subset grows with the requests of the VM,
and while calls find no capacity in it.
"""

from __future__ import annotations

from math import ceil, inf, log
from typing import Final

from cardamomtack.placing.server import ServerView, ServiceView
from cardamomtack.util.digests import rank_by_rendezvous_hash

CHANGED_EVERY_S: Final = 2.0
RATE_HALF_LIFE_S: Final = 5.0
SERVERS_MIN: Final = 16
SERVERS_PER_REQUEST_PER_S: Final = 8.0
"""Servers for each request a second: each connection is used every few seconds then."""

WIDENED_FACTOR: Final = 1.25
WIDENED_FACTOR_MAX: Final = 2.0
"""In a shortage of the whole fleet more servers bring nothing but new connections."""


class SubsetSize:
    """How many servers of one service a VM sends to."""

    __slots__ = ("_changed_at_s", "_count", "_counted_at_s", "_factor", "_short_at_s")

    def __init__(self) -> None:
        self._changed_at_s = -inf
        self._count = 0.0
        self._counted_at_s = 0.0
        self._factor = 1.0
        self._short_at_s = -inf

    def record_request(self, now_s: float) -> None:
        """Count a request."""
        self._count = self._read_count(now_s) + 1.0
        self._counted_at_s = now_s

    def record_shortage(self, now_s: float) -> None:
        """Widen the subset because a call found no capacity in it."""
        self._narrow(now_s)
        self._short_at_s = now_s
        if now_s - self._changed_at_s >= CHANGED_EVERY_S:
            self._changed_at_s = now_s
            self._factor = min(WIDENED_FACTOR_MAX, self._factor * WIDENED_FACTOR)

    def compute_servers(self, now_s: float, servers: int) -> int:
        """Return how many of the servers the subset holds, all of them at most."""
        self._narrow(now_s)
        rate_per_s = self._read_count(now_s) * log(2.0) / RATE_HALF_LIFE_S
        wanted = max(float(SERVERS_MIN), SERVERS_PER_REQUEST_PER_S * rate_per_s)
        return min(servers, ceil(wanted * self._factor))

    def _narrow(self, now_s: float) -> None:
        """Narrow the subset step by step when its servers have capacity again."""
        while (
            self._factor > 1.0
            and now_s - max(self._changed_at_s, self._short_at_s) >= CHANGED_EVERY_S
        ):
            self._changed_at_s = (
                max(self._changed_at_s, self._short_at_s) + CHANGED_EVERY_S
            )
            self._factor = max(1.0, self._factor / WIDENED_FACTOR)

    def _read_count(self, now_s: float) -> float:
        """Return the requests, fading with time."""
        age_s = max(0.0, now_s - self._counted_at_s)
        return self._count * float(0.5 ** (age_s / RATE_HALF_LIFE_S))


class ServerSubsets:
    """The subsets of one VM.

    Parameters
    ----------
    vm_id : str
        Id of the VM.
    """

    __slots__ = ("_ranked", "_sizes", "_vm_id")

    def __init__(self, vm_id: str) -> None:
        self._ranked: dict[
            tuple[str, bool], tuple[list[ServerView], list[ServerView]]
        ] = {}
        self._sizes: dict[str, SubsetSize] = {}
        self._vm_id = vm_id

    def find_size(self, service: ServiceView) -> SubsetSize:
        """Return the size of the subset of a service."""
        return self._sizes.setdefault(service.name, SubsetSize())

    def list_members(
        self, service: ServiceView, zone: str, is_own_zone: bool, now_s: float
    ) -> list[ServerView]:
        """Return the servers of the subset in the own zone, or in the others.

        Servers that may get no work now are replaced by those that come next.

        Parameters
        ----------
        zone : str
            Availability zone of this VM.
        """
        members = service.list_members(zone, is_own_zone)
        count = self.find_size(service).compute_servers(now_s, len(service.members))
        if count >= len(service.members):
            return members
        others = len(service.members) - len(members)
        share = max(ceil(count / 2), count - others)
        subset: list[ServerView] = []
        for server in self._rank(service, members, is_own_zone):
            if len(subset) >= share:
                break
            if server.is_usable(now_s) and not service.is_spared(server, now_s):
                subset.append(server)
        return subset

    def _rank(
        self, service: ServiceView, members: list[ServerView], is_own_zone: bool
    ) -> list[ServerView]:
        """Return servers by their rank; those of several zones in turn."""
        key = (service.name, is_own_zone)
        known = self._ranked.get(key)
        if known is not None and known[0] is members:
            return known[1]
        zones: dict[str, dict[str, ServerView]] = {}
        for server in members:
            in_zone = zones.setdefault(server.entry.availability_zone, {})
            in_zone[server.key] = server
        placed: list[tuple[int, int, ServerView]] = []
        # The zones begin with another one at each VM, so that none gets more.
        for turn, zone in enumerate(rank_by_rendezvous_hash(self._vm_id, list(zones))):
            keys = rank_by_rendezvous_hash(self._vm_id, list(zones[zone]))
            for rank, name in enumerate(keys):
                placed.append((rank, turn, zones[zone][name]))
        placed.sort(key=lambda one: one[:2])
        ranked = [server for _, _, server in placed]
        self._ranked[key] = (members, ranked)
        return ranked
