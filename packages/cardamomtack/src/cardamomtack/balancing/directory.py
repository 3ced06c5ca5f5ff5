"""The backend servers of all services, as this VM sees them."""

from __future__ import annotations

from cardamomtack.balancing.const import EJECTION_SHARE_MAX, LATENCY_INITIAL_S
from cardamomtack.balancing.server import BackendServer, ServerState
from cardamomtack.configuration.routes import RouteTable
from cardamomtack.generated.services import Health, VirtualMachine
from cardamomtack.helpers.clock import Clock

SLOTS_DEFAULT = 1
USUAL_GAIN = 0.05


class ServiceServers:
    """The backend servers of one service.

    Attributes
    ----------
    members : list of BackendServer
        All servers that the VM list names.
    eligible : list of BackendServer
        Those that are ready and not leaving.
    usual_latency_s : float
        Smoothed latency of the service, in seconds.
    usual_external : float
        Smoothed slots per server that other VMs use.
    """

    __slots__ = ("eligible", "members", "name", "usual_external", "usual_latency_s")

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: list[BackendServer] = []
        self.eligible: list[BackendServer] = []
        self.usual_latency_s = LATENCY_INITIAL_S
        self.usual_external = 0.0

    def refresh_eligible(self) -> None:
        """Collect the servers that may get new work."""
        self.eligible = [
            server for server in self.members if server.state is ServerState.READY
        ]

    def is_ejection_ignored(self, now_s: float) -> bool:
        """Return whether so many look bad that the measurement is suspected."""
        ejected = sum(server.ejected_until_s > now_s for server in self.eligible)
        return ejected > EJECTION_SHARE_MAX * len(self.eligible)

    def record_latency(self, latency_s: float) -> None:
        """Take a latency into the usual one of the service."""
        self.usual_latency_s += USUAL_GAIN * (latency_s - self.usual_latency_s)

    def record_external_in_use(self, external: float) -> None:
        """Take the slots that others use on a server into the usual ones."""
        self.usual_external += USUAL_GAIN * (external - self.usual_external)


class ServerDirectory:
    """Keeps the backend servers and what is known of their state.

    Parameters
    ----------
    clock : Clock
        Tells when something was learnt.

    Attributes
    ----------
    changes : int
        How often a server came or went.
    """

    __slots__ = (
        "_clock",
        "_drained",
        "_slots",
        "_slots_by_vm",
        "changes",
        "servers",
        "services",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._drained: dict[str, str] = {}
        self._slots: dict[str, int] = {}
        self._slots_by_vm: dict[str, int] = {}
        self.changes = 0
        self.servers: dict[str, BackendServer] = {}
        self.services: dict[str, ServiceServers] = {}

    def apply_routes(self, routes: RouteTable) -> None:
        """Take the slots and drains of a new configuration."""
        self._slots = {name: service.slots for name, service in routes.services.items()}
        self._slots_by_vm = routes.slots_by_vm
        released = set(self._drained) - set(routes.drained)
        self._drained = routes.drained
        for server in self.servers.values():
            server.slots = self._find_slots(server.vm_id, server.service)
            if server.vm_id in released:
                server.state = ServerState.READY
                server.drain_reason = None
        for vm_id, reason in routes.drained.items():
            self.mark_draining(vm_id, f"exception: {reason}")
        for service in self.services.values():
            service.refresh_eligible()

    def apply_vm_list(self, vms: list[VirtualMachine]) -> list[BackendServer]:
        """Take the VM list and return the servers that are gone from it."""
        now_s = self._clock.read_monotonic_s()
        listed = {vm.vm_id: vm for vm in vms}
        gone = [
            server
            for vm_id, server in self.servers.items()
            if not _is_same_server(server, listed.get(vm_id))
        ]
        for server in gone:
            self._remove_server(server)
        for vm in vms:
            if vm.vm_id not in self.servers:
                self._add_server(vm, now_s)
            if vm.state == "leaving":
                self.mark_draining(vm.vm_id, "VM list")
        return gone

    def find_service(self, name: str) -> ServiceServers:
        """Return the servers of a service, none when it is unknown."""
        return self.services.setdefault(name, ServiceServers(name))

    def mark_draining(self, vm_id: str, reason: str) -> bool:
        """Note a sign that a server leaves and return whether it is news."""
        server = self.servers.get(vm_id)
        if server is None or server.state is ServerState.DRAINING:
            return False
        server.state = ServerState.DRAINING
        server.drain_reason = reason
        self.find_service(server.service).refresh_eligible()
        return True

    def apply_health(self, vm_id: str, health: Health, measured_at_s: float) -> bool:
        """Take what a server says of itself and return whether its state changed."""
        server = self.servers.get(vm_id)
        if server is None:
            return False
        server.record_report(health.in_use, measured_at_s)
        service = self.find_service(server.service)
        service.record_external_in_use(server.external_in_use)
        if health.state == "draining":
            return self.mark_draining(vm_id, "health")
        # Health lags, so a server that was seen leaving doesn't come back by it.
        if server.state is ServerState.DRAINING:
            return False
        state = ServerState(health.state)
        if state is server.state:
            return False
        server.state = state
        server.ready_since_s = self._clock.read_monotonic_s()
        service.refresh_eligible()
        return True

    def _find_slots(self, vm_id: str, service: str) -> int:
        """Return the slots of a server by exception or default."""
        default = self._slots.get(service, SLOTS_DEFAULT)
        return self._slots_by_vm.get(vm_id, default)

    def _add_server(self, vm: VirtualMachine, now_s: float) -> None:
        """Add a server of the VM list."""
        self.changes += 1
        server = BackendServer(vm, self._find_slots(vm.vm_id, vm.role), now_s)
        self.servers[vm.vm_id] = server
        service = self.find_service(vm.role)
        service.members.append(server)
        service.refresh_eligible()
        if vm.vm_id in self._drained:
            self.mark_draining(vm.vm_id, f"exception: {self._drained[vm.vm_id]}")

    def _remove_server(self, server: BackendServer) -> None:
        """Remove a server that the VM list no longer names."""
        self.changes += 1
        server.is_removed = True
        del self.servers[server.vm_id]
        service = self.find_service(server.service)
        service.members.remove(server)
        service.refresh_eligible()


def _is_same_server(server: BackendServer, vm: VirtualMachine | None) -> bool:
    """Return whether an entry of the VM list still means the server."""
    if vm is None or vm.role != server.service:
        return False
    return vm.address == server.address and vm.port == server.port
