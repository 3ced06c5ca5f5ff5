"""Settings of an entry VM that forwards."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """What an entry VM is told at its start.

    Attributes
    ----------
    address : str
        IP address on which callers and the balancer come in.
    port, ready_port, relay_port : int
        Ports of callers, of the balancer's readiness checks and of the other VMs.
    retry_share : float
        Further sends that the fleet may make for each request.
    retry_slack : float
        Further sends that the fleet may make beyond that in a window.
    retry_window_s : float
        Window of the retry budget, in seconds.
    checks_per_server_per_s : float
        Health checks that a server may get from the fleet, per second.
    body_memory_bytes : int
        Most that the bodies of all requests may hold together.
    resends_use_new_connections : bool
        Whether callers send a request again only on a new connection, so that a later
        request of a connection is a first send.
    tunnel_port : int
        Port at which servers are reached for other VMs; 0 for none.
    quota_port : int
        Port at which this VM grants tokens of quotas; 0 for none.
    quota_window_s, quota_over_share, quota_slack : float
        In no window of so many seconds do all VMs together send more requests of a
        workspace than its quota, that share of it and the slack; all 0 when nothing
        may exceed a quota.
    memory_bytes : int
        Memory of the VM, of which shares bound what is held of heads and responses.
    descriptors : int
        Descriptors of the process, of which shares bound its connections.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s; 0 when it is not known.
    """

    vm_id: str
    availability_zone: str
    address: str
    port: int
    ready_port: int
    relay_port: int
    retry_share: float
    retry_slack: float
    retry_window_s: float
    checks_per_server_per_s: float
    body_memory_bytes: int
    resends_use_new_connections: bool
    grace_s: float
    link_mbps: float = 0.0
    tunnel_port: int = 0
    quota_port: int = 0
    quota_window_s: float = 0.0
    quota_over_share: float = 0.0
    quota_slack: float = 0.0
    memory_bytes: int = 200_000_000
    descriptors: int = 8192
