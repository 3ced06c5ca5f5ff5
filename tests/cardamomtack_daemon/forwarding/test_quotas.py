"""Requests of workspaces with a quota, from the caller to the server and back."""

from __future__ import annotations

import json
import os
import unittest
from contextlib import contextmanager

import anyio

from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.logs import LogLineWriter
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer
from tests.cardamomtack_daemon.quotas.case import configure

BURST = 4
WORKSPACE = Workspace("kiln", rate_per_s=5.0, burst=BURST)


async def async_call(vm, route, request_id, body=b"", deadline_ms=2000):
    """Call with the key of the workspace, on a connection of its own."""
    extra = f"test-key: {WORKSPACE.name}\r\n"
    async with vm.open_caller() as caller:
        await caller.async_send(route, request_id, body, deadline_ms, extra)
        return await caller.async_receive()


@contextmanager
def open_log():
    """Return a writer, and a function that reads the decisions it has written."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)

    def read():
        lines = os.read(reader, 1_000_000).decode().splitlines()
        requests = [json.loads(line).get("request") for line in lines]
        return [request for request in requests if request]

    try:
        yield LogLineWriter(writer, "vm-1"), read
    finally:
        os.close(reader)
        os.close(writer)


class QuotaTest(unittest.TestCase):
    """One VM with one server."""

    def play(self, scenario, *workspaces, has_any=True, servers=1):
        """Run a scenario with a VM that listens for other VMs."""

        async def run():
            with open_log() as (writer, read):
                vm = EntryVm(writer=writer)
                server = ScriptedServer("server-0")
                async with anyio.create_task_group() as tasks:
                    await tasks.start(server.async_serve)
                    if servers:
                        vm.register(server.make_entry())
                    keyed = configure(*workspaces or (WORKSPACE,))
                    vm.publish(keyed if has_any else make_configuration())
                    tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                    await vm.async_wait_ready()
                    await anyio.sleep(1.0)
                    await scenario(vm, server, read)
                    tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_request_over_the_quota_gets_429_and_is_admitted_when_told(self):
        async def scenario(vm, server, read):
            answers = [
                await async_call(vm, "book", f"b-{number}", b"van %d" % number)
                for number in range(BURST + 1)
            ]
            self.assertEqual([one.status for one in answers], [200] * BURST + [429])
            refused = answers[-1]
            self.assertEqual(json.loads(refused.body)["outcome"], "not-run")
            retry_s = float(refused.headers["retry-after"])
            self.assertLess(retry_s, 0.3)
            await anyio.sleep(retry_s)
            again = await async_call(vm, "book", "b-9", b"van %d" % BURST)
            self.assertEqual(again.status, 200)
            self.assertEqual(len(server.requests), BURST + 1)
            (line,) = [one for one in read() if one["status"] == 429]
            self.assertEqual(line["reason"], "quota of the workspace is used up")
            self.assertEqual(line["quota_holder"], "vm-1")

        self.play(scenario)

    def test_request_that_no_server_takes_gives_its_token_back(self):
        async def scenario(vm, server, read):
            statuses = []

            async def call(request_id: str) -> None:
                answer = await async_call(vm, "read", request_id, deadline_ms=50)
                statuses.append(answer.status)

            for turn in range(3):
                async with anyio.create_task_group() as callers:
                    for number in range(BURST):
                        callers.start_soon(call, f"r-{turn}-{number}")
            self.assertEqual(statuses, [503] * 3 * BURST)

        self.play(scenario, servers=0)

    def test_workspace_without_a_quota_is_not_limited(self):
        async def scenario(vm, server, read):
            for number in range(3 * BURST):
                answer = await async_call(vm, "read", f"r-{number}")
                self.assertEqual(answer.status, 200)

        self.play(scenario, Workspace(WORKSPACE.name))

    def test_nothing_listens_while_there_are_no_workspaces(self):
        async def scenario(vm, server, read):
            with self.assertRaises(OSError):
                await anyio.connect_tcp("127.0.0.1", vm.settings.quota_port)
            vm.publish(configure(version=2))
            with anyio.fail_after(5.0):
                while vm.daemon._quotas._tasks is None:
                    await anyio.sleep(0.05)
            async with await anyio.connect_tcp("127.0.0.1", vm.settings.quota_port):
                pass

        self.play(scenario, has_any=False)


class QuotaFleetTest(unittest.TestCase):
    """Five VMs that hear of one another as in a fleet; one of them holds nothing."""

    def play(self, scenario):
        """Run a scenario with VMs that all know who holds the workspace."""

        async def run():
            vms = [EntryVm("vm-0")]
            vms += [EntryVm(f"vm-{number}", vms[0]) for number in range(1, 5)]
            server = ScriptedServer("server-0")
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.async_serve)
                vms[0].register(server.make_entry())
                vms[0].publish(configure(WORKSPACE))
                for vm in vms:
                    tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                for vm in vms:
                    await vm.async_wait_ready()
                with anyio.fail_after(10.0):
                    named = {None}
                    while None in named or len(named) > 1:
                        await anyio.sleep(0.1)
                        named = {find_holder(vm) for vm in vms}
                await scenario(vms, server)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_quota_holds_wherever_callers_come_and_while_the_holder_leaves(self):
        """Guards against VMs that find no holder, or another one than the others."""

        async def scenario(vms, server):
            await anyio.sleep(1.0)
            statuses = [
                (await async_call(vm, "read", f"r-{number}")).status
                for number, vm in enumerate([*vms, *vms])
            ]
            # The burst, and what has come meanwhile.
            self.assertGreaterEqual(statuses.count(200), BURST)
            self.assertGreaterEqual(statuses.count(429), 1)
            holder_id = find_holder(vms[0])
            (holder,) = [vm for vm in vms if vm.settings.vm_id == holder_id]
            others = [vm for vm in vms if vm is not holder]
            holder.stopping.set()
            await anyio.sleep(1.5)
            for number, vm in enumerate(others):
                answer = await async_call(vm, "read", f"s-{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(vm.daemon._quotas.gate.counts.refused_by_fallback, 0)
            (next_id,) = {find_holder(vm) for vm in others}
            self.assertNotEqual(next_id, holder_id)

        self.play(scenario)


def find_holder(vm):
    """Return the VM that holds the workspace, as one VM knows it, or None."""
    holders = vm.daemon._quotas._holders
    return holders.find(WORKSPACE.name, anyio.current_time()).holder_id or None


if __name__ == "__main__":
    unittest.main()
