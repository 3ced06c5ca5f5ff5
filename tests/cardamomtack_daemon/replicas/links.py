"""Links of a VM, between its relay and the VMs that hear from it."""

from __future__ import annotations

import time
from math import inf

import anyio
from anyio.abc import SocketStream

from cardamomtack.generated.relay import Member
from cardamomtack_standins.fleet import find_free_ports
from tests.cardamomtack_daemon.replicas.test_fleet import RelayFleet

CHUNK_BYTES = 4096
STREAM_ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, OSError)


class RelayLink:
    """Passes connections on; what the VM sends on all of them shares one bandwidth.

    Messages to a VM that is frozen wait, as does what it sends.

    Attributes
    ----------
    sent_bytes : int
        What the VM has sent so far.
    """

    def __init__(self, port: int, relay_port: int, bytes_per_s: float = inf) -> None:
        self.port = port
        self._relay_port = relay_port
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self._moving = anyio.Event()
        self._moving.set()
        self.sent_bytes = 0

    def freeze(self) -> None:
        """Pass nothing on; connections are still taken, as at a VM that is frozen."""
        self._moving = anyio.Event()

    def thaw(self) -> None:
        """Pass on what has waited, and what follows."""
        self._moving.set()

    async def async_serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._async_pass)

    async def _async_pass(self, subscriber: SocketStream) -> None:
        try:
            vm = await anyio.connect_tcp("127.0.0.1", self._relay_port)
        except OSError:
            await subscriber.aclose()
            return
        async with subscriber, vm, anyio.create_task_group() as tasks:

            async def copy(source, target, is_slow):
                try:
                    while True:
                        data = await source.receive(CHUNK_BYTES)
                        await self._moving.wait()
                        if is_slow:
                            await self._async_send(len(data))
                        await target.send(data)
                except STREAM_ENDS:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(copy, subscriber, vm, False)
            tasks.start_soon(copy, vm, subscriber, True)

    async def _async_send(self, size: int) -> None:
        """Wait until the link has taken some bytes more."""
        self.sent_bytes += size
        if self._bytes_per_s == inf:
            return
        begins_s = max(time.monotonic(), self._free_at_s)
        self._free_at_s = begins_s + size / self._bytes_per_s
        await anyio.sleep(max(0.0, self._free_at_s - time.monotonic()))


class LinkedFleet(RelayFleet):
    """VMs whose relays are reached over links.

    Attributes
    ----------
    links : list of RelayLink
        The link of each VM, to be served before the fleet runs.
    """

    def __init__(self, count: int, bytes_per_s: float = inf) -> None:
        super().__init__(count)
        self.links = []
        for vm in self.vms:
            own = vm.daemon._members.own
            (port,) = find_free_ports(1)
            self.links.append(RelayLink(port, own.port, bytes_per_s))
            vm.daemon._members.own = Member(
                own.vm_id, own.incarnation, own.availability_zone, own.address, port
            )
