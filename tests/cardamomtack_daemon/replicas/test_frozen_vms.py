"""Servers that leave while VMs from which others hear are frozen or killed."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer
from tests.cardamomtack_daemon.replicas.links import LinkedFleet

DRAIN_S = 2.0
"""Bound of the users for a server that has left to get no more work, in seconds."""

SERVERS = 3
VMS = 7


class FrozenVmTest(unittest.TestCase):
    """Seven VMs in two zones, two of them reading for all; the store answers."""

    def play(self, scenario):
        """Run a scenario with servers, on a fleet that has settled."""

        async def run():
            fleet = LinkedFleet(VMS)
            servers = [ScriptedServer(f"server-{number}") for number in range(SERVERS)]
            async with anyio.create_task_group() as tasks:
                for link in fleet.links:
                    await tasks.start(link.async_serve)
                for server in servers:
                    await tasks.start(server.async_serve)
                    fleet.vms[0].register(server.make_entry())
                async with fleet.run():
                    await scenario(fleet)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    async def async_check_leaving(self, fleet, number, vms):
        """Remove the entry of a server and check when VMs have dropped it."""
        server_id = f"server-{number}"
        fleet.vms[0].unregister(server_id)
        for vm in fleet.vms:
            vm.entries.changed.set()
            vm.entries.changed = anyio.Event()
        await anyio.sleep(DRAIN_S)
        for vm in vms:
            self.assertNotIn(server_id, vm.daemon._registry.servers)

    def test_server_that_left_is_held_while_other_vms_are_frozen(self):
        for frozen, before_s in (
            ((0,), 1.2),
            ((0, 1), 1.2),
            ((0, 1), 2.0),
            ((2,), 1.2),
        ):
            with self.subTest(frozen=frozen, before_s=before_s):

                async def scenario(fleet, frozen=frozen, before_s=before_s):
                    for number in frozen:
                        fleet.links[number].freeze()
                    await anyio.sleep(before_s)
                    others = [
                        vm
                        for number, vm in enumerate(fleet.vms)
                        if number not in frozen
                    ]
                    await self.async_check_leaving(fleet, 0, others)
                    # A VM that runs on brings nothing back.
                    for number in frozen:
                        fleet.links[number].thaw()
                    await self.async_check_leaving(fleet, 1, fleet.vms)

                self.play(scenario)

    def test_server_that_left_is_held_after_readers_were_killed(self):
        async def scenario(fleet):
            for number in (0, 1):
                fleet.scopes[number].cancel()
            await anyio.sleep(1.2)
            await self.async_check_leaving(fleet, 0, fleet.vms[2:])

        self.play(scenario)

    def test_entries_that_lapse_in_an_outage_are_held_at_every_vm(self):
        async def scenario(fleet):
            fleet.silence(True)
            await anyio.sleep(3.1)
            fleet.vms[0].unregister("server-0")
            await anyio.sleep(0.5)
            fleet.silence(False)
            await anyio.sleep(1.5)
            for vm in fleet.vms:
                self.assertIn("server-0", vm.daemon._registry.servers)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
