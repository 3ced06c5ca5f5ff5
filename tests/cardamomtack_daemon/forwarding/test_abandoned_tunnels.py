"""A VM that helps another one sees that one leave though it does not read it."""

from __future__ import annotations

import socket
import unittest

import anyio
from anyio.abc import SocketAttribute

from cardamomtack.generated.tunnel import TunnelMessage, TunnelOpen
from cardamomtack_daemon.peers.stream import STREAM_ERRORS, encode_frame
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.cuts import CutFleet
from tests.cardamomtack_daemon.forwarding.test_abandoned_uploads import (
    GONE_S,
    RESET,
    write_upload,
)

SENT_BYTES = 8_000_000


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
            stream = await anyio.connect_tcp("127.0.0.1", vm.settings.tunnel_port)
            wanted = TunnelOpen(server.server_id, "127.0.0.1", server.port)
            await stream.send(encode_frame(TunnelMessage(open=wanted)))
            await stream.receive()
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


async def async_send(stream, data):
    """Send as much as is taken."""
    try:
        await stream.send(data)
    except STREAM_ERRORS:
        pass


if __name__ == "__main__":
    unittest.main()
