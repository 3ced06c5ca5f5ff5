"""A small link of a VM, between its relay and the VMs that hear from it."""

from __future__ import annotations

import time

import anyio
from anyio.abc import SocketStream

CHUNK_BYTES = 4096
STREAM_ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, OSError)


class SmallLink:
    """Passes connections on; what the VM sends on all of them shares one bandwidth.

    Attributes
    ----------
    sent_bytes : int
        What the VM has sent so far.
    """

    def __init__(self, port: int, relay_port: int, bytes_per_s: float) -> None:
        self.port = port
        self._relay_port = relay_port
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.sent_bytes = 0

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
        begins_s = max(time.monotonic(), self._free_at_s)
        self._free_at_s = begins_s + size / self._bytes_per_s
        await anyio.sleep(max(0.0, self._free_at_s - time.monotonic()))
