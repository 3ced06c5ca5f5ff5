"""Connections to servers that were probed for callers who have left."""

from __future__ import annotations

import anyio

from cardamomtack_daemon.http1.messages import HttpRequest
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase

CALLERS = 20
LEAVING_S = 0.012
"""Later than the answers of full servers, sooner than the wait for silent ones."""


async def async_stay_silent(server, request, stream):
    """Take a health check and never answer."""
    await anyio.sleep_forever()


class AbandonedProbeTest(ForwardingCase):
    """Guards against connections that were neither kept nor closed."""

    def test_connections_of_answered_probes_are_given_back(self):
        async def scenario(vm, servers):
            for server in servers[:3]:
                server.load = "4,0,4"
            for server in servers[3:]:
                server.check_script = async_stay_silent
            for number in range(CALLERS):
                async with vm.open_caller() as caller:
                    await caller.async_send("read", f"r-{number}")
                    await anyio.sleep(LEAVING_S)
                await anyio.sleep(LEAVING_S)
            await anyio.sleep(0.1)
            pool = vm.daemon._pool
            idle = sum(len(connections) for connections in pool._idle.values())
            self.assertEqual(pool.opened - pool.discarded, idle)

        self.play(scenario, servers=6)

    def test_connection_of_a_send_that_never_began_is_given_back(self):
        async def scenario(vm, servers):
            placer, sender = vm.daemon._forwarder._placer, vm.daemon._sender
            headers = [(b"host", HOST.encode()), (b"test-id", b"r-1")]
            request = HttpRequest(b"GET", b"/read/x", headers, b"")
            call = vm.daemon._opener.open_call(request)
            probed = await placer.async_place(call)
            sender.open_send(call, probed, 0.1).close()
            self.assertTrue(vm.daemon._pool.has_idle(probed.server))

        self.play(scenario, servers=1)
