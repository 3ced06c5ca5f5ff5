"""A configuration of thousands of routes among VMs with small links."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.memory import ROUTES
from tests.cardamomtack_daemon.replicas.links import LinkedFleet
from tests.cardamomtack_daemon.replicas.routes import describe_routes
from tests.cardamomtack_daemon.replicas.test_fleet import (
    APPLY_S,
    ONLY_READ,
)

LINK_BYTES_PER_S = 625_000.0
"""The smallest link of the users' VMs: 5 Mbit/s."""

ROUTES_IDLE = 4200
VMS = 9


class SmallLinkFleet(LinkedFleet):
    """VMs with small links and long configurations."""

    def __init__(self, count: int, routes_idle: int) -> None:
        super().__init__(count, LINK_BYTES_PER_S)
        self.vms[0].codec.padding = describe_routes(routes_idle)
        for vm in self.vms:
            vm.configuration.link_bytes_per_s = LINK_BYTES_PER_S


class LargeConfigurationTest(unittest.TestCase):
    """Nine VMs in two zones, two of them reading for all."""

    def test_large_configuration_is_late_over_small_links(self):
        async def run():
            fleet = SmallLinkFleet(VMS, ROUTES_IDLE)
            async with anyio.create_task_group() as tasks:
                for link in fleet.links:
                    await tasks.start(link.async_serve)
                async with fleet.run():
                    for version, routes in ((2, ONLY_READ), (3, ROUTES)):
                        fleet.publish(version, routes)
                        await anyio.sleep(0.5)
                    fleet.publish(4)
                    with anyio.fail_after(APPLY_S):
                        await fleet.async_wait_in_force(fleet.vms)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_change_is_sent_whole_to_every_vm(self):
        async def run():
            fleet = SmallLinkFleet(VMS, ROUTES_IDLE)
            async with anyio.create_task_group() as tasks:
                for link in fleet.links:
                    await tasks.start(link.async_serve)
                async with fleet.run():
                    before = sum(link.sent_bytes for link in fleet.links)
                    fleet.publish(2)
                    with anyio.fail_after(2 * APPLY_S):
                        await fleet.async_wait_in_force(fleet.vms)
                    await anyio.sleep(APPLY_S)
                    sent = sum(link.sent_bytes for link in fleet.links) - before
                tasks.cancel_scope.cancel()
            # All changes of two seconds may take a tenth of the links of nine VMs.
            self.assertLess(sent, VMS * APPLY_S * LINK_BYTES_PER_S / 10)

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
