"""Divides the memory and the descriptors of a VM."""

from __future__ import annotations

from dataclasses import dataclass

from cardamomtack.memory.const import (
    BODIES_SHARE,
    CALLERS_MAX,
    CALLERS_SHARE,
    DESCRIPTORS_RESERVED,
    HEADS_SHARE,
    IDLE_SERVERS_MAX,
    IDLE_SERVERS_SHARE,
    RESPONSES_SHARE,
    TUNNELS_MAX,
    TUNNELS_SHARE,
)


@dataclass(slots=True, frozen=True)
class MemoryShares:
    """What a VM may hold at once, in bytes."""

    bodies_bytes: int
    heads_bytes: int
    responses_bytes: int


@dataclass(slots=True, frozen=True)
class DescriptorShares:
    """How many connections a VM keeps; the rest is for servers, peers and the store.

    Attributes
    ----------
    callers : int
        Connections of callers, of which each may take one to a server.
    idle_servers : int
        Unused connections to servers.
    tunnels : int
        Connections to servers for other VMs.
    """

    callers: int
    idle_servers: int
    tunnels: int


def divide_memory(memory_bytes: int) -> MemoryShares:
    """Return the shares of a VM's memory."""
    return MemoryShares(
        int(memory_bytes * BODIES_SHARE),
        int(memory_bytes * HEADS_SHARE),
        int(memory_bytes * RESPONSES_SHARE),
    )


def divide_descriptors(descriptors: int) -> DescriptorShares:
    """Return the shares of a VM's descriptors; of each there is at least one."""
    sockets = max(0, descriptors - DESCRIPTORS_RESERVED)
    return DescriptorShares(
        min(CALLERS_MAX, max(1, int(sockets * CALLERS_SHARE))),
        min(IDLE_SERVERS_MAX, max(1, int(sockets * IDLE_SERVERS_SHARE))),
        min(TUNNELS_MAX, max(1, int(sockets * TUNNELS_SHARE))),
    )
