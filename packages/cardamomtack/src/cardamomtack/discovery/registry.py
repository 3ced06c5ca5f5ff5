"""The servers that may get work, from entries that come, change and vanish.

This module handles servers that drain, end, start again under their id, and give their
address to others, while the source of the entries is away, drops its history, or lets
entries lapse that are back a moment later.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cardamomtack.discovery.const import HOLD_LAPSED_S
from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.discovery.evacuation import EvacuatedZones
from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.server import ServerView, ServiceView


class ServerRegistry:
    """Keeps the servers of each service.

    Parameters
    ----------
    clock : Clock
        Tells the time.

    Attributes
    ----------
    evacuated_zones : EvacuatedZones
        The zones whose servers get no work.
    is_known : bool
        Whether the entries have been read once.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_listeners",
        "_trouble_until_s",
        "evacuated_zones",
        "is_known",
        "servers",
        "services",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: set[str] = set()
        self._listeners: list[Callable[[ServerView], None]] = []
        self._trouble_until_s = 0.0
        self.evacuated_zones = EvacuatedZones()
        self.evacuated_zones.add_listener(self._mark_zone)
        self.is_known = False
        self.servers: dict[str, ServerView] = {}
        self.services: dict[str, ServiceView] = {}

    def add_listener(self, listener: Callable[[ServerView], None]) -> None:
        """Call a listener with each server that is removed."""
        self._listeners.append(listener)

    def find_service(self, name: str) -> ServiceView:
        """Return the servers of a service, none when it is unknown."""
        service = self.services.get(name)
        if service is None:
            service = ServiceView(name)
            self.services[name] = service
        return service

    def mark_source_unavailable(self) -> None:
        """Note that the source of the entries can't be read at the moment."""
        now_s = self._clock.read_monotonic_s()
        if now_s >= self._trouble_until_s:
            logger.info("removed entries are held, their source can't be read")
        self._trouble_until_s = now_s + HOLD_LAPSED_S

    def apply_entry(self, entry: ServerEntry) -> None:
        """Take an entry; one that its server wrote before the known one is not."""
        now_s = self._clock.read_monotonic_s()
        known = self.servers.get(entry.server_id)
        if known is not None:
            if entry.is_older_than(known.entry):
                return
            self._held.discard(entry.server_id)
            if known.matches_entry(entry):
                known.apply_entry(entry, now_s)
                return
            self._remove(known)
        service = self.find_service(entry.service)
        server = ServerView(entry, now_s, service.slowdown_estimates)
        server.is_evacuated = entry.availability_zone in self.evacuated_zones
        self.servers[entry.server_id] = server
        service.add_member(server)

    def remove_entry(self, server_id: str) -> None:
        """Take note that the entry of a server has vanished."""
        server = self.servers.get(server_id)
        if server is None:
            return
        now_s = self._clock.read_monotonic_s()
        if now_s < self._trouble_until_s and not server.entry.is_draining:
            # Entries lapse with their source; those of live servers soon come back.
            self._held.add(server_id)
            logger.bind(server=server_id).info("entry is gone, server held")
            return
        self._remove(server)

    def remove_expired(self) -> None:
        """Remove the servers whose entries have not come back."""
        if self._clock.read_monotonic_s() < self._trouble_until_s:
            return
        for server_id in list(self._held):
            self._remove(self.servers[server_id])

    def _mark_zone(self, zone: str, is_evacuated: bool) -> None:
        """Mark the servers of a zone whose evacuation begins or ends."""
        for server in self.servers.values():
            if server.entry.availability_zone == zone:
                server.is_evacuated = is_evacuated

    def _remove(self, server: ServerView) -> None:
        """Remove a server."""
        del self.servers[server.entry.server_id]
        logger.bind(server=server.entry.server_id).info("server removed")
        self._held.discard(server.entry.server_id)
        self.find_service(server.entry.service).remove_member(server)
        server.is_removed = True
        for listener in self._listeners:
            listener(server)
