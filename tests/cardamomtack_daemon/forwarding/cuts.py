"""Bars single VMs from all servers, while callers and other VMs still reach them."""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from enum import Enum
from unittest.mock import patch

import anyio

from cardamomtack_daemon import pool
from cardamomtack_daemon.http1.client import ServerConnection, async_connect
from cardamomtack_daemon.tunnels import server as tunnels
from cardamomtack_daemon.tunnels.stream import BoundedStream, async_connect_stream
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer

_VM_ID: ContextVar[str] = ContextVar("vm_id", default="")


class Cut(Enum):
    """What becomes of the connections of a VM that is cut off."""

    HANG = "all hang"
    RESET = "all are reset"
    REFUSE_NEW = "old ones live on, new ones are refused"
    ONE_WAY = "servers get what is sent on old ones, and nothing comes back"


class _NoTransport:
    """Swallows what is sent on a connection that hangs."""

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0


class CutNetwork:
    """The connections of VMs to servers, and the cuts between them."""

    def __init__(self) -> None:
        self._barred: dict[str, set[int]] = {}
        self._connections: dict[str, list[tuple[int, ServerConnection]]] = {}
        self._cuts: dict[str, Cut] = {}

    @contextmanager
    def apply(self):
        """Have the VMs open their connections to servers here."""
        with (
            patch.object(pool, "async_connect", self.async_connect),
            patch.object(tunnels, "async_connect_stream", self.async_connect_stream),
        ):
            yield

    def enter_vm(self, vm_id: str) -> None:
        """Have the connections that the calling task opens be those of a VM."""
        _VM_ID.set(vm_id)

    def list_connections(self, vm_id: str) -> list[tuple[int, ServerConnection]]:
        """Return the connections that a VM has opened itself, with their ports."""
        return self._connections.get(vm_id, [])

    def cut(self, vm_id: str, cut: Cut, ports: set[int]) -> None:
        """Cut a VM off from the servers with some ports."""
        self._cuts[vm_id] = cut
        self._barred[vm_id] = ports
        for port, connection in self.list_connections(vm_id):
            transport = connection._transport
            if port not in ports or transport is None or connection._is_cut:
                continue
            if cut is Cut.RESET:
                transport.abort()
            elif cut in (Cut.HANG, Cut.ONE_WAY):
                transport.pause_reading()
            if cut is Cut.HANG:
                connection._transport = _NoTransport()

    def heal(self, vm_id: str) -> None:
        """End the cut of a VM; connections that hang go on hanging."""
        self._cuts.pop(vm_id, None)

    async def async_connect(
        self, address: str, port: int, now_s: float, uses_tcp_keepalive: bool = False
    ) -> ServerConnection:
        """Open a connection of the VM that calls, as its cut allows."""
        await self._async_pass(port)
        connection = await async_connect(address, port, now_s, uses_tcp_keepalive)
        self._connections.setdefault(_VM_ID.get(), []).append((port, connection))
        return connection

    async def async_connect_stream(self, address: str, port: int) -> BoundedStream:
        """Open a connection that a VM wants for another one, as its own cut allows."""
        await self._async_pass(port)
        return await async_connect_stream(address, port)

    async def _async_pass(self, port: int) -> None:
        """Wait for ever, or fail, when the VM that calls is cut off from a server."""
        cut = self._cuts.get(_VM_ID.get())
        if cut is None or port not in self._barred[_VM_ID.get()]:
            return
        if cut in (Cut.RESET, Cut.REFUSE_NEW):
            raise ConnectionRefusedError("cut off")
        await anyio.sleep_forever()


class CutFleet:
    """VMs and servers of one service, and the cuts between them."""

    def __init__(self, vms: int, servers: int, **options: object) -> None:
        self.vms = [EntryVm("vm-0", **options)]
        self.vms += [
            EntryVm(f"vm-{number}", self.vms[0], **options) for number in range(1, vms)
        ]
        self.servers = [ScriptedServer(f"server-{number}") for number in range(servers)]
        self._network = CutNetwork()
        self._scopes: dict[str, anyio.CancelScope] = {}

    def cut(self, vm: EntryVm, cut: Cut, servers: list[ScriptedServer] | None = None):
        """Cut a VM off from servers, from all of them by default."""
        ports = {one.port for one in servers or self.servers}
        self._network.cut(vm.settings.vm_id, cut, ports)

    def heal(self) -> None:
        """End all cuts."""
        for vm in self.vms:
            self._network.heal(vm.settings.vm_id)

    def kill(self, vm: EntryVm) -> None:
        """End a VM at once."""
        self._scopes[vm.settings.vm_id].cancel()

    def list_connections(self, vm: EntryVm) -> list[tuple[int, ServerConnection]]:
        """Return the connections that a VM has opened itself, with their ports."""
        return self._network.list_connections(vm.settings.vm_id)

    async def async_run_vm(self, vm: EntryVm) -> None:
        """Run a VM until it has shut down or is killed."""
        self._network.enter_vm(vm.settings.vm_id)
        with anyio.CancelScope() as scope:
            self._scopes[vm.settings.vm_id] = scope
            await vm.daemon.async_serve(vm.stopping)

    @asynccontextmanager
    async def run(self, configuration=None):
        """Run all VMs and servers."""
        with self._network.apply():
            async with anyio.create_task_group() as tasks:
                for server in self.servers:
                    await tasks.start(server.async_serve)
                    self.vms[0].register(server.make_entry())
                self.vms[0].publish(configuration or make_configuration())
                for vm in self.vms:
                    tasks.start_soon(self.async_run_vm, vm)
                for vm in self.vms:
                    await vm.async_wait_ready()
                yield tasks
                tasks.cancel_scope.cancel()
