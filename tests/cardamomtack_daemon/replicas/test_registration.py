"""The records of the VMs at the store."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.replicas.test_fleet import RelayFleet


class RegistrationTest(unittest.TestCase):
    """Three VMs."""

    def test_vm_stays_unknown_at_a_store_that_has_lost_its_record(self):
        async def run():
            fleet = RelayFleet(3)
            async with fleet.run():
                records = fleet.vms[0].members.records
                own = records.pop("vm-2")
                await fleet.async_restore(list(fleet.vms[0].configuration.records))
                with anyio.fail_after(5.0):
                    while records.get("vm-2") != own:
                        await anyio.sleep(0.05)

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
