"""Several backend servers in one process, and the port that controls them."""

from __future__ import annotations

from random import Random

from anyio import create_task_group, current_time
from msgspec import Struct, json

from cardamomtack_standins.asgi import (
    ServiceReply,
    ServiceRequest,
    async_serve_service,
)
from cardamomtack_standins.backend import BackendBehaviour, BackendStandIn, RunRecord


class BackendSpec(Struct):
    """A backend server to run."""

    vm_id: str
    address: str
    port: int
    slots: int
    behaviour: BackendBehaviour


class BackendLog(Struct):
    """What a backend server saw."""

    vm_id: str
    runs: list[RunRecord]
    arrivals: list[float]
    probes: list[float]
    crashes: int
    now_s: float


class BackendsControl:
    """Changes the behaviour of backend servers and tells what they saw.

    Parameters
    ----------
    servers : dict of str to BackendStandIn
        The servers by name.
    """

    __slots__ = ("_servers",)

    def __init__(self, servers: dict[str, BackendStandIn]) -> None:
        self._servers = servers

    async def async_answer(self, request: ServiceRequest) -> ServiceReply:
        """Take a behaviour, crash a server, or return the logs."""
        parts = request.path.strip("/").split("/")
        if parts[0] == "log":
            return ServiceReply(200, json.encode(self._list_logs()))
        server = self._servers.get(parts[-1])
        if server is None:
            return ServiceReply(404)
        if parts[0] == "crash":
            server.crash()
        if parts[0] == "mute":
            server.mute_connections()
        if parts[0] == "behaviour":
            server.behaviour = json.decode(request.body, type=BackendBehaviour)
        return ServiceReply(200, b"{}")

    def _list_logs(self) -> list[BackendLog]:
        """Return what each server saw."""
        return [
            BackendLog(
                server.vm_id,
                server.runs,
                server.arrivals,
                server.probes,
                server.crashes,
                current_time(),
            )
            for server in self._servers.values()
        ]


async def async_serve_backends(
    specs: list[BackendSpec], address: str, control_port: int, seed: int
) -> None:
    """Serve backend servers and their control until cancelled."""
    servers = {
        spec.vm_id: BackendStandIn(
            spec.vm_id, spec.slots, spec.behaviour, Random(f"{seed}-{spec.vm_id}")
        )
        for spec in specs
    }
    async with create_task_group() as tasks:
        for spec in specs:
            tasks.start_soon(servers[spec.vm_id].async_serve, spec.address, spec.port)
        tasks.start_soon(
            async_serve_service, BackendsControl(servers), address, control_port
        )
