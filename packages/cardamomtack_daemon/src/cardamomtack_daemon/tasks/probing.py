"""Probes the health of backend servers within the budget."""

from __future__ import annotations

from random import Random

from anyio import create_task_group, sleep
from msgspec import json

from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.balancing.server import BackendServer
from cardamomtack.generated.peer import ServerLoad
from cardamomtack.generated.services import Health
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack.measuring.const import PROBERS_PER_SERVER
from cardamomtack.measuring.pacer import MeasuringLimiter
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import encode_request
from cardamomtack_daemon.peers.router import PeerRouter
from cardamomtack_daemon.pool import ConnectionPool, ServerUnreachableError
from cardamomtack_daemon.tasks.vm_list import VmListTask

HEALTH_BYTES_MAX = 4096
IDLE_PAUSE_S = 0.5
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
SHARE_INTERVAL_S = 1.0


class ProbingTask:
    """Probes the servers that the rendezvous hash gives to this VM.

    Parameters
    ----------
    vm_id : str
        This VM.
    directory : ServerDirectory
        Takes what is measured.
    membership : VmListTask
        Names the live entry VMs.
    pool : ConnectionPool
        Opens connections.
    router : PeerRouter
        Shares what is measured.
    pacer : MeasuringLimiter
        Keeps the budget.
    clock : Clock
        Tells the time.
    random : Random
        Source of the order of probes.
    """

    __slots__ = (
        "_assigned",
        "_assigned_for",
        "_clock",
        "_directory",
        "_measured",
        "_membership",
        "_pacer",
        "_pool",
        "_random",
        "_router",
        "_vm_id",
        "probes",
    )

    def __init__(
        self,
        vm_id: str,
        directory: ServerDirectory,
        membership: VmListTask,
        pool: ConnectionPool,
        router: PeerRouter,
        pacer: MeasuringLimiter,
        clock: Clock,
        random: Random,
    ) -> None:
        self._assigned: list[BackendServer] = []
        self._assigned_for: tuple[tuple[str, ...], int] | None = None
        self._vm_id = vm_id
        self._directory = directory
        self._membership = membership
        self._pool = pool
        self._router = router
        self._pacer = pacer
        self._clock = clock
        self._random = random
        self._measured: dict[str, tuple[Health, float]] = {}
        self.probes = 0

    async def async_probe(self) -> None:
        """Probe one server after another until cancelled."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._async_share)
            while True:
                servers = self._list_assigned()
                if not servers or self._pacer.probes_per_window < 1.0:
                    await sleep(IDLE_PAUSE_S)
                    continue
                self._random.shuffle(servers)
                pause_s = max(
                    1.0 / self._pacer.probes_per_window, PROBE_INTERVAL_S / len(servers)
                )
                for server in servers:
                    await sleep(pause_s)
                    if self._pacer.spend_probe(self._clock.read_monotonic_s()):
                        self.probes += 1
                        tasks.start_soon(self._async_probe_server, server)

    def _list_assigned(self) -> list[BackendServer]:
        """Return the servers that this VM probes."""
        members = sorted({self._vm_id, *self._membership.entry_vms})
        basis = (tuple(members), self._directory.changes)
        if basis != self._assigned_for:
            self._assigned_for = basis
            self._assigned = [
                server
                for vm_id, server in self._directory.servers.items()
                if self._vm_id
                in rank_by_rendezvous_hash(vm_id, members)[:PROBERS_PER_SERVER]
            ]
        return list(self._assigned)

    async def _async_probe_server(self, server: BackendServer) -> None:
        """Probe one server on a new connection."""
        now_s = self._clock.read_monotonic_s()
        connection: ServerConnection | None = None
        health: Health | None = None
        try:
            connection = await self._pool.async_open(server.address, server.port)
            health = await _async_read_health(connection, server)
        except (ServerUnreachableError, BrokenAnswerError):
            pass
        finally:
            if connection is not None:
                self._pool.discard(connection)
        if health is None:
            server.record_failure(self._clock.read_monotonic_s())
            return
        if health.state == "draining":
            self._router.report_draining(server.vm_id, "health")
        self._directory.apply_health(server.vm_id, health, now_s)
        self._measured[server.vm_id] = (health, now_s)

    async def _async_share(self) -> None:
        """Share what was measured since the last report, until cancelled."""
        while True:
            await sleep(SHARE_INTERVAL_S)
            if not self._measured:
                continue
            now_s = self._clock.read_monotonic_s()
            loads = [
                ServerLoad(
                    vm_id,
                    health.state,
                    health.in_use,
                    int((now_s - measured_at_s) * MS_PER_S),
                )
                for vm_id, (health, measured_at_s) in self._measured.items()
            ]
            self._measured.clear()
            self._router.broadcast_loads(loads)


async def _async_read_health(
    connection: ServerConnection, server: BackendServer
) -> Health | None:
    """Return what a server says of itself, or None when it says nonsense."""
    host = f"{server.address}:{server.port}".encode()
    headers = [(b"host", host)]
    connection.send(encode_request(b"GET", b"/health", headers, b""), False)
    answer = await connection.async_receive(HEALTH_BYTES_MAX, PROBE_TIMEOUT_S)
    if answer is None:
        return None
    try:
        return json.decode(answer.body, type=Health)
    except DECODE_ERRORS:
        return None
