"""Connections to servers that a VM opens for another one, when an end misbehaves."""

from __future__ import annotations

import socket
import time
import tracemalloc
import unittest
from unittest.mock import patch

import anyio
from anyio.abc import SocketAttribute

from cardamomtack.generated.tunnel import TunnelMessage, TunnelOpen
from cardamomtack_daemon.peers.stream import STREAM_ERRORS, encode_frame
from cardamomtack_daemon.tunnels import server as tunnel_server
from cardamomtack_daemon.tunnels.stream import async_connect_stream
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.cuts import CutFleet
from tests.cardamomtack_daemon.forwarding.test_abandoned_uploads import (
    GONE_S,
    RESET,
    write_upload,
)
from tests.cardamomtack_daemon.http1.test_endless_bursts import (
    GROWTH_BYTES_MAX,
    SETTLE_S,
    SHORT_FIELDS,
    BurstServer,
)

SENT_BYTES = 8_000_000
TUNNELS_MAX = 2


class AbandonedTunnelTest(ForwardingCase):
    """Ends of other VMs behind what a server does not take."""

    def test_the_end_of_a_helped_vm_reaches_a_server_that_reads_nothing(self):
        anyio.run(self.async_play, backend_options={"use_uvloop": True})

    async def async_play(self):
        """Send more than the server takes through a VM, and reset the tunnel."""
        fleet = CutFleet(1, 1)
        (vm,), (server,) = fleet.vms, fleet.servers
        server.body_bytes_max = 100_000
        async with fleet.run() as tasks:
            stream = await async_open(vm, server.server_id, server.port)
            tasks.start_soon(async_send, stream, write_upload(SENT_BYTES))
            await anyio.sleep(0.3)
            self.assertEqual(vm.daemon._tunnels.count, 1)
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await stream.aclose()

            async def read_count():
                return vm.daemon._tunnels.count

            with anyio.fail_after(GONE_S):
                await async_wait_for(read_count, lambda count: count == 0)


class EndlessTunnelTest(ForwardingCase):
    """Servers that send without end to a VM that takes nothing."""

    def test_a_helper_keeps_what_a_server_sends_without_end(self):
        anyio.run(self.async_play, backend_options={"use_uvloop": True})

    async def async_play(self):
        """Have a server send faster than the helper's tasks get their turn."""
        fleet = CutFleet(1, 1)
        (vm,), (server,) = fleet.vms, fleet.servers
        endless = BurstServer(b"", SHORT_FIELDS)
        async with fleet.run():
            vm.register(server.make_entry(port=endless.port, incarnation=2))
            while vm.daemon._registry.servers[server.server_id].port != endless.port:
                await anyio.sleep(0.02)
            stream = await async_open(vm, server.server_id, endless.port)
            tracemalloc.start()
            try:
                await stream.send(b"GET / HTTP/1.1\r\n\r\n")
                await anyio.sleep(0.01)
                # The buffers of the kernel fill while the loop does something else.
                time.sleep(SETTLE_S)
                await anyio.sleep(5 * SETTLE_S)
                held = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            await stream.aclose()
        endless.close()
        self.assertLess(held, GROWTH_BYTES_MAX)


class TunnelBoundTest(ForwardingCase):
    """The bound of the connections for other VMs."""

    def test_connections_that_are_opened_at_once_do_not_exceed_the_bound(self):
        async def scenario(vm, servers):
            vm.daemon._tunnels._tunnels_max = TUNNELS_MAX
            server = servers[0]
            streams = []

            async def open_one():
                streams.append(await async_open(vm, server.server_id, server.port))

            async def connect_slowly(*args):
                await anyio.sleep(0.1)
                return await async_connect_stream(*args)

            with patch.object(tunnel_server, "async_connect_stream", connect_slowly):
                async with anyio.create_task_group() as tasks:
                    for _ in range(5 * TUNNELS_MAX):
                        tasks.start_soon(open_one)
            count = vm.daemon._tunnels.count
            for stream in streams:
                await stream.aclose()
            self.assertEqual(count, TUNNELS_MAX)

        self.play(scenario, servers=1)


async def async_open(vm, server_id, port):
    """Return a connection to a server through a VM."""
    stream = await anyio.connect_tcp("127.0.0.1", vm.settings.tunnel_port)
    wanted = TunnelOpen(server_id, "127.0.0.1", port)
    await stream.send(encode_frame(TunnelMessage(open=wanted)))
    await stream.receive()
    return stream


async def async_send(stream, data):
    """Send as much as is taken."""
    try:
        await stream.send(data)
    except STREAM_ERRORS:
        pass


if __name__ == "__main__":
    unittest.main()
