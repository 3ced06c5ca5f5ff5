"""Base of the tests of forwarding: one daemon, scripted servers, and callers.

Everything runs in one event loop on loopback.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import anyio

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.placing.server import LoadReport
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack_daemon.forwarding.daemon import EntryDaemon, StoreSources
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.logs import LogLineWriter
from cardamomtack_standins.fleet import find_free_ports
from tests.cardamomtack_daemon.forwarding.callers import (
    BODY_BYTES_KEPT,
    WAIT_S,
    Caller,
    CallerAnswer,
)
from tests.cardamomtack_daemon.forwarding.memory import (
    EntryOrder,
    MemoryCodec,
    MemoryMembers,
    MemoryTopic,
    VersionOrder,
    make_configuration,
)
from tests.cardamomtack_daemon.forwarding.servers import ZONE, ScriptedServer


def parse_load(value: bytes) -> LoadReport | None:
    """Return the load of a test server."""
    running, waiting, slots = (int(figure) for figure in value.split(b","))
    return LoadReport(running, waiting, slots)


NAMES = HeaderNames(
    request_id=b"test-id",
    deadline_ms=b"test-deadline",
    target_server=b"test-target",
    signature=b"test-signature",
    not_run=b"test-not-run",
    load=b"test-load",
    server_id=b"test-server",
    rate_limit=b"test-limit",
    leaving=b"test-leaving",
    warm_up_ms=b"test-warm-up",
    workspace=b"test-workspace",
    workspace_key=b"test-key",
    parse_load=parse_load,
    parse_rate_limit=float,
)


class EntryVm:
    """One daemon with its servers, inside a test.

    Attributes
    ----------
    codec, configuration, entries : MemoryCodec and MemoryTopic
        What the daemon reads at the store.
    """

    def __init__(
        self,
        vm_id: str = "vm-1",
        store: EntryVm | None = None,
        zone: str = ZONE,
        grace_s: float = 6.0,
        writer: LogLineWriter | None = None,
        body_memory_bytes: int = 50_000_000,
        earlier: EntryVm | None = None,
        quota_over_share: float = 0.0,
        quota_slack: float = 40.0,
    ) -> None:
        self.codec = store.codec if store else MemoryCodec()
        self.configuration = MemoryTopic("configuration")
        self.entries = MemoryTopic("servers")
        if store:
            self.configuration.log = store.configuration.log
            self.entries.log = store.entries.log
        self.members = MemoryMembers(store.members if store else None)
        port, ready_port, relay_port, tunnel_port, quota_port = find_free_ports(5)
        self.settings = EntrySettings(
            vm_id=vm_id,
            availability_zone=zone,
            address="127.0.0.1",
            port=port,
            ready_port=ready_port,
            relay_port=relay_port,
            retry_share=0.2,
            retry_slack=50.0,
            retry_window_s=10.0,
            checks_per_server_per_s=1000.0,
            body_memory_bytes=body_memory_bytes,
            resends_use_new_connections=True,
            grace_s=grace_s,
            tunnel_port=tunnel_port,
            quota_port=quota_port,
            quota_window_s=5.0,
            quota_over_share=quota_over_share,
            quota_slack=quota_slack,
        )
        if earlier is not None:
            # The same VM starts again, under its addresses.
            self.settings = earlier.settings
        self.stopping = anyio.Event()
        sources = StoreSources(
            self.configuration,
            self.entries,
            self.members,
            VersionOrder(self.codec),
            EntryOrder(self.codec),
        )
        self.daemon = EntryDaemon(
            self.settings,
            NAMES,
            self.codec,
            sources,
            SystemClock(),
            Random(1),
            writer=writer,
        )

    def publish(self, configuration: FleetConfiguration) -> None:
        """Write a configuration to the store."""
        self.configuration.write("config", self.codec.encode(configuration))

    def register(self, entry: ServerEntry) -> None:
        """Write the entry of a server to the store."""
        self.entries.write(entry.server_id, self.codec.encode(entry))

    def evacuate(self, zone: str, is_evacuated: bool = True) -> None:
        """Write the record of an evacuation to the store, or remove it."""
        self.configuration.write(f"evacuate/{zone}", b"{}" if is_evacuated else b"")

    def unregister(self, server_id: str) -> None:
        """Drop the entry of a server."""
        self.entries.write(server_id, b"")

    @asynccontextmanager
    async def open_caller(self, body_bytes_kept: int = BODY_BYTES_KEPT):
        """Open a connection of a caller."""
        stream = await anyio.connect_tcp("127.0.0.1", self.settings.port)
        async with stream:
            yield Caller(stream, body_bytes_kept)

    async def async_call(
        self, route: str, request_id: str, body: bytes = b"", deadline_ms: int = 2000
    ) -> CallerAnswer:
        """Call on a connection of its own."""
        async with self.open_caller() as caller:
            return await caller.async_call(route, request_id, body, deadline_ms)

    async def async_ask_ready(self) -> int:
        """Return the status that the balancer gets; 0 when nobody listens."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self.settings.ready_port)
        except OSError:
            return 0
        async with stream:
            await stream.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return (await Caller(stream).async_receive()).status

    async def async_wait_ready(self) -> None:
        """Wait until the balancer would send callers."""
        await async_wait_for(self.async_ask_ready, lambda status: status == 200)


async def async_wait_for(
    read: Callable[[], Awaitable[object]], is_right: Callable[[object], bool]
) -> None:
    """Wait until a reading is right."""
    with anyio.fail_after(WAIT_S):
        while not is_right(await read()):
            await anyio.sleep(0.02)


class ForwardingCase(unittest.TestCase):
    """Runs scenarios with one daemon and a few servers."""

    def play(
        self,
        scenario: Callable[[EntryVm, list[ScriptedServer]], Awaitable[None]],
        servers: int = 2,
        configuration: FleetConfiguration | None = None,
        prepare: Callable[[list[ScriptedServer]], None] = lambda servers: None,
        grace_s: float = 6.0,
        body_memory_bytes: int = 50_000_000,
    ) -> None:
        """Run a scenario with a daemon that is ready."""

        async def run() -> None:
            vm = EntryVm(grace_s=grace_s, body_memory_bytes=body_memory_bytes)
            scripted = [ScriptedServer(f"server-{number}") for number in range(servers)]
            prepare(scripted)
            async with anyio.create_task_group() as tasks:
                for server in scripted:
                    await tasks.start(server.async_serve)
                    vm.register(server.make_entry())
                vm.publish(configuration or make_configuration())
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                await scenario(vm, scripted)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})
