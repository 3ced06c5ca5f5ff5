"""Requests that crash the servers that run them, while others of these are down."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import anyio

from cardamomtack.generated.tunnel import TunnelAnswer
from cardamomtack_daemon.pool import ServerUnreachableError
from cardamomtack_daemon.tunnels.server import TunnelServer
from tests.cardamomtack_daemon.forwarding.cuts import Cut, CutFleet

CRASHES_MAX = 3
"""Crashes after which the users count retries of a request."""

SENDS = 7


def make_crash(after_s):
    """Return a script that ends the server some time after a request has come."""

    async def crash(server, request, stream):
        await anyio.sleep(after_s)
        await server.async_crash()

    return crash


class CrashingRequestTest(unittest.TestCase):
    """VMs and the servers of one zone; one request goes from VM to VM."""

    def play(self, scenario, vms, servers):
        """Run a scenario on a fleet."""

        async def run():
            fleet = CutFleet(vms, servers)
            async with fleet.run():
                for vm in fleet.vms:
                    while vm.daemon._members.count < vms:
                        await anyio.sleep(0.02)
                await scenario(fleet)

        anyio.run(run, backend_options={"use_uvloop": True})

    async def async_meet(self, fleet):
        """Have each VM find out for itself which servers refuse connections."""
        for vm in fleet.vms:
            for server in list(vm.daemon._registry.servers.values()):
                try:
                    connection = await vm.daemon._pool.async_open(
                        server.address, server.port
                    )
                except ServerUnreachableError:
                    vm.daemon._prober._ways.record_failed_open(server)
                else:
                    connection.abort()

    def check_quarantine(self, vms, servers, after_s=0.0):
        """Check that a request that crashes servers is soon refused everywhere."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.script = make_crash(after_s)
            for number in range(SENDS):
                vm = fleet.vms[number % vms]
                await vm.async_call("book", f"b-{number}", b"poison")
                await self.async_meet(fleet)
            crashed = sum(one.is_stopped for one in fleet.servers)
            self.assertLessEqual(crashed, CRASHES_MAX)
            for vm in fleet.vms:
                answer = await vm.async_call("book", "b-last", b"poison")
                self.assertEqual(answer.status, 503)

        self.play(scenario, vms, servers)

    def test_crashes_are_not_believed_while_another_server_is_down(self):
        for vms in (2, 6):
            with self.subTest(vms):
                self.check_quarantine(vms, 10)

    def test_later_crashes_are_not_believed_while_another_server_is_down(self):
        self.check_quarantine(3, 10, after_s=0.3)

    def test_crashes_are_not_believed_where_few_servers_are_left(self):
        self.check_quarantine(3, 4)

    def test_crashes_are_not_believed_beside_vms_in_doubt(self):
        # A VM of the version before says that it is cut off.
        async def say_cut(server, wanted):
            return TunnelAnswer("cut"), None

        with patch.object(TunnelServer, "_async_connect", say_cut):
            self.check_quarantine(3, 8)

    def test_requests_of_a_vm_that_is_cut_off_are_blamed(self):
        async def scenario(fleet):
            for server in fleet.servers:
                server.script = make_crash(60.0)
            for vm in fleet.vms:
                async with anyio.create_task_group() as tasks:
                    for number in range(4):
                        body = f"other-{number}".encode()
                        tasks.start_soon(vm.async_call, "book", f"b-{number}", body)
                    await anyio.sleep(0.2)
                    fleet.cut(vm, Cut.RESET)
            for vm in fleet.vms:
                self.assertEqual(vm.daemon._crash_tracker._suspects, {})

        self.play(scenario, 3, 6)


if __name__ == "__main__":
    unittest.main()
