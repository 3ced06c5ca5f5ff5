"""What a VM may spend of the fleet's budgets before it knows the other VMs."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer, write_not_run


async def async_refuse(server, request, stream):
    """Refuse a request."""
    await stream.send(write_not_run(request))


class StartTest(unittest.TestCase):
    """A VM that has just started while the records of the VMs can't be read."""

    def test_budgets_of_the_fleet_are_not_spent_by_a_vm_that_knows_no_others(self):
        async def run():
            vm = EntryVm()
            vm.members.is_silent = True
            servers = [ScriptedServer(f"server-{number}") for number in range(4)]
            async with anyio.create_task_group() as tasks:
                for server in servers:
                    await tasks.start(server.async_serve)
                    vm.register(server.make_entry())
                    server.script = async_refuse
                vm.publish(make_configuration())
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                for number in range(20):
                    await vm.async_call("book", f"b-{number}", b"van")
                sends = sum(len(server.requests) for server in servers)
                self.assertLessEqual(sends - 20, 0.2 * 20)
                self.assertLessEqual(sum(server.checks for server in servers), 40)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
