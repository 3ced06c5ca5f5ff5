"""Keys that are revoked and added, at VMs that hear of it from other VMs."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_workspaces
from tests.cardamomtack_daemon.forwarding.test_workspaces import async_call
from tests.cardamomtack_daemon.replicas.test_fleet import APPLY_S, RelayFleet

OLD, NEW = "Test-Key: old", "Test-Key: new"
SERVED = 503
"""What a request gets that is accepted, as there are no servers."""


class RevocationTest(unittest.TestCase):
    """Five VMs in two zones, three of which hear from others."""

    def test_revoked_key_is_served_or_a_new_one_refused(self):
        async def async_wait_replaced(vms):
            with anyio.fail_after(APPLY_S):
                for vm in vms:
                    while (await async_call(vm, "read", OLD)).status == SERVED:
                        await anyio.sleep(0.02)
            for vm in vms:
                self.assertEqual((await async_call(vm, "read", OLD)).status, 401)
                self.assertEqual((await async_call(vm, "read", NEW)).status, SERVED)

        async def run():
            fleet = RelayFleet(5)
            async with fleet.run(), anyio.create_task_group() as tasks:
                fleet.publish(2, workspaces=make_workspaces(one=["old"]))
                with anyio.fail_after(APPLY_S):
                    for vm in fleet.vms:
                        while vm.daemon._routes.version < 2:
                            await anyio.sleep(0.02)
                for vm in fleet.vms:
                    self.assertEqual((await async_call(vm, "read", OLD)).status, SERVED)
                fleet.publish(3, workspaces=make_workspaces(one=["new"]))
                await async_wait_replaced(fleet.vms)
                # One starts again, and the store does not answer it.
                fleet.scopes[4].cancel()
                vm = EntryVm("vm-4", fleet.vms[0], zone="zone-0")
                vm.configuration.is_silent = vm.entries.is_silent = True
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                await async_wait_replaced([vm])
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
