"""What follows when servers are reached in another way than before."""

from __future__ import annotations

from collections.abc import Iterator

from loguru import logger

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.placing.server import ServerView
from cardamomtack.reach.ways import Group, find_group
from cardamomtack_daemon.pool import ConnectionPool


class WayChanges:
    """Drops what was learnt of servers on a way that has ended.

    Parameters
    ----------
    registry : ServerRegistry
        The servers.
    pool : ConnectionPool
        Connections to them.
    """

    __slots__ = ("_pool", "_registry")

    def __init__(self, registry: ServerRegistry, pool: ConnectionPool) -> None:
        self._pool = pool
        self._registry = registry

    def begin_help(self, group: Group, is_silent: bool) -> None:
        """Forget the failures of servers that this VM is cut off from."""
        _log(group, "servers are reached through other VMs")
        for server in self._iterate_servers(group):
            server.forget_failures()
            if is_silent:
                self._pool.close_connections(server.vm_id)

    def end_help(self, group: Group) -> None:
        """Forget the failures of servers that this VM was cut off from."""
        _log(group, "servers are reached directly again")
        for server in self._iterate_servers(group):
            server.forget_failures()

    def _iterate_servers(self, group: Group) -> Iterator[ServerView]:
        """Return the servers of a group."""
        members = self._registry.find_service(group[0]).members
        return (server for server in members if find_group(server) == group)


def _log(group: Group, event: str) -> None:
    """Log a change of the way to a group."""
    logger.bind(service=group[0], availability_zone=group[1]).info(event)
