"""Bars single VMs from all servers, while callers and other VMs still reach them."""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextvars import ContextVar
from enum import Enum
from unittest.mock import patch

import anyio

from cardamomtack_daemon import pool
from cardamomtack_daemon.http1.client import ServerConnection
from cardamomtack_daemon.tunnels import server as tunnels
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


class CutFleet:
    """VMs and servers of one service, and the cuts between them.

    Attributes
    ----------
    cuts : dict
        How each VM is cut off, by its id; those that are not there reach all servers.
    barred : dict
        Servers that a VM that is cut off does not reach, by its id; all by default.
    """

    def __init__(self, vms: int, servers: int, **options: object) -> None:
        self.vms = [EntryVm("vm-0", **options)]
        self.vms += [
            EntryVm(f"vm-{number}", self.vms[0], **options) for number in range(1, vms)
        ]
        self.servers = [ScriptedServer(f"server-{number}") for number in range(servers)]
        self.cuts: dict[str, Cut] = {}
        self.barred: dict[str, set[int]] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._connections: dict[str, list[tuple[int, ServerConnection]]] = {}
        self._connect = pool.async_connect

    def cut(self, vm: EntryVm, cut: Cut, servers: list[ScriptedServer] | None = None):
        """Cut a VM off from servers, from all of them by default."""
        vm_id = vm.settings.vm_id
        self.cuts[vm_id] = cut
        barred = {one.port for one in servers or self.servers}
        self.barred[vm_id] = barred
        for port, connection in self._connections.get(vm_id, []):
            transport = connection._transport
            if port not in barred or transport is None:
                continue
            if cut is Cut.RESET:
                transport.abort()
            elif cut is Cut.ONE_WAY and not connection._is_cut:
                transport.pause_reading()
            elif cut is Cut.HANG:
                if not connection._is_cut:
                    transport.pause_reading()
                connection._transport = _NoTransport()

    def list_connections(self, vm: EntryVm) -> list[tuple[int, ServerConnection]]:
        """Return the connections that a VM has opened itself, with their ports."""
        return self._connections.get(vm.settings.vm_id, [])

    def heal(self) -> None:
        """End all cuts; connections that hang go on hanging."""
        self.cuts.clear()

    async def async_connect(
        self, address: str, port: int, now_s: float, uses_tcp_keepalive: bool = False
    ) -> ServerConnection:
        """Open a connection of the VM that calls, as its cut allows."""
        vm_id = _VM_ID.get()
        cut = self.cuts.get(vm_id)
        if cut is not None and port in self.barred[vm_id]:
            if cut in (Cut.RESET, Cut.REFUSE_NEW):
                raise ConnectionRefusedError("cut off")
            await anyio.sleep_forever()
        connection = await self._connect(address, port, now_s, uses_tcp_keepalive)
        self._connections.setdefault(vm_id, []).append((port, connection))
        return connection

    async def async_connect_tcp(self, address: str, port: int):
        """Open a connection that a VM wants for another one, as its own cut allows."""
        cut = self.cuts.get(_VM_ID.get())
        if cut is not None and port in self.barred[_VM_ID.get()]:
            if cut in (Cut.RESET, Cut.REFUSE_NEW):
                raise ConnectionRefusedError("cut off")
            await anyio.sleep_forever()
        return await anyio.connect_tcp(address, port)

    def kill(self, vm: EntryVm) -> None:
        """End a VM at once."""
        self._scopes[vm.settings.vm_id].cancel()

    async def async_run_vm(self, vm: EntryVm) -> None:
        """Run a VM until it has shut down or is killed."""
        _VM_ID.set(vm.settings.vm_id)
        with anyio.CancelScope() as scope:
            self._scopes[vm.settings.vm_id] = scope
            await vm.daemon.async_serve(vm.stopping)

    @asynccontextmanager
    async def run(self, configuration=None):
        """Run all VMs and servers."""
        with (
            patch.object(pool, "async_connect", self.async_connect),
            patch.object(tunnels, "connect_tcp", self.async_connect_tcp),
        ):
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
