"""Calls to the store while VMs of a fleet start."""

from __future__ import annotations

import os
import socket
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import anyio
from msgspec import msgpack, structs

from cardamomtack.generated.relay import Member
from cardamomtack_daemon.replicas.const import START_QUERY_S
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.replicas.test_fleet import RelayFleet

CALLS_PER_START_MAX = 1.5
KEPT_PORTS = (12_000, 28_000)
"""Below the ports that the kernel gives to connections."""

LATENCY_S = 0.01
READY_S_MAX = 0.15
"""Store, peers and the single processor of all VMs of a test."""

SETTLE_S = 0.6
VMS = 20


class StartFleet(RelayFleet):
    """VMs that are killed and started again under their addresses.

    Attributes
    ----------
    is_out : bool
        Whether the store turns away the VMs that start.
    """

    def __init__(self, count):
        super().__init__(count)
        self.ended = {}
        self.is_out = False
        self.tasks = None
        ports = find_kept_ports(4 * count)
        for number, vm in enumerate(self.vms):
            first = 4 * number
            settings = replace(
                vm.settings,
                port=ports[first],
                ready_port=ports[first + 1],
                relay_port=ports[first + 2],
                tunnel_port=ports[first + 3],
            )
            self.vms[number] = EntryVm(
                settings.vm_id,
                self.vms[0],
                settings.availability_zone,
                earlier=SimpleNamespace(settings=settings),
            )
        self.set_latency()

    async def async_run(self, number):
        """Run one VM until it is killed."""
        self.ended[number] = anyio.Event()
        await super().async_run(number)
        self.ended[number].set()

    def set_latency(self):
        """Have each call to the store take a while."""
        for vm in self.vms:
            vm.members.latency_s = LATENCY_S
            vm.configuration.latency_s = LATENCY_S
            vm.entries.latency_s = LATENCY_S

    @asynccontextmanager
    async def run(self):
        """Run all VMs until their topics are settled."""
        async with anyio.create_task_group() as self.tasks:
            self.vms[0].publish(make_configuration())
            yield self
            self.tasks.cancel_scope.cancel()

    def count_calls(self, numbers):
        """Return the calls of some VMs."""
        vms = [self.vms[number] for number in numbers]
        reads = sum(vm.configuration.reads + vm.entries.reads for vm in vms)
        return reads + sum(vm.members.calls for vm in vms)

    async def async_start(self, numbers):
        """Start VMs and return their calls for each, and when the last is ready."""
        before = self.count_calls(numbers)
        began_s = anyio.current_time()
        for number in numbers:
            self.tasks.start_soon(self.async_run, number)
        for number in numbers:
            await self.vms[number].async_wait_ready()
        ready_s = anyio.current_time() - began_s
        await anyio.sleep(SETTLE_S)
        return (self.count_calls(numbers) - before) / len(numbers), ready_s

    async def async_restart(self, numbers, keeps_addresses=True, gap_s=0.3):
        """Kill VMs and start them again."""
        for number in numbers:
            self.scopes[number].cancel()
        await anyio.sleep(gap_s)
        for number in numbers:
            await self.ended[number].wait()
        for number in numbers:
            old = self.vms[number]
            self.vms[number] = EntryVm(
                old.settings.vm_id,
                old,
                old.settings.availability_zone,
                earlier=old if keeps_addresses else None,
            )
            self.scopes[number] = anyio.CancelScope()
        self.set_latency()
        for vm in (self.vms[number] for number in numbers):
            for part in (vm.members, vm.configuration, vm.entries):
                part.is_out = self.is_out
        return await self.async_start(numbers)


def find_kept_ports(count):
    """Return free ports that no connection of another VM takes while a VM is down."""
    ports = []
    port = Random().randrange(*KEPT_PORTS)
    while len(ports) < count:
        port += 1
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def report(name, calls, ready_s):
    """Tell the figures of a run when they are wanted."""
    if os.environ.get("CARDAMOMTACK_TEST_FIGURES"):
        print(f"{name}: {calls:.2f} calls a start, ready after {ready_s:.3f} s")


class StartTest(unittest.TestCase):
    """Twenty VMs."""

    def play(self, scenario, count=VMS):
        """Run a scenario on a fleet that has settled."""

        async def run():
            fleet = StartFleet(count)
            async with fleet.run():
                await fleet.async_start(range(count))
                await anyio.sleep(1.5)
                await scenario(fleet)

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_one_vm_that_starts_again_reads_what_others_know(self):
        async def scenario(fleet):
            calls, ready_s = await fleet.async_restart([15])
            report("one of 20", calls, ready_s)
            self.assertLessEqual(calls, 1.0)
            self.assertLess(ready_s, READY_S_MAX)
            self.assertTrue(await self.async_is_known(fleet, 15))

        self.play(scenario)

    def test_half_of_the_vms_that_start_again_read_what_others_know(self):
        async def scenario(fleet):
            calls, ready_s = await fleet.async_restart(range(10, VMS))
            report("half of 20", calls, ready_s)
            self.assertLess(calls, CALLS_PER_START_MAX)
            evens = range(0, VMS, 2)
            calls, ready_s = await fleet.async_restart(evens)
            report("half of 20, a reader among them", calls, ready_s)
            # The reader reads on, however long its start is.
            others = [number for number in evens if number]
            calls = fleet.count_calls(others) / len(others)
            self.assertLess(calls, CALLS_PER_START_MAX)
            self.assertTrue(await self.async_is_known(fleet, 0))

        self.play(scenario)

    def test_all_vms_that_start_at_once_read_the_store_for_themselves(self):
        async def scenario(fleet):
            calls, ready_s = await fleet.async_restart(range(VMS))
            report("all of 20 again", calls, ready_s)
            self.assertLessEqual(calls, 3.5)

        self.play(scenario)

    def test_first_start_of_all_vms(self):
        async def run():
            fleet = StartFleet(VMS)
            async with fleet.run():
                calls, ready_s = await fleet.async_start(range(VMS))
                report("all of 20, first start", calls, ready_s)
                self.assertLessEqual(calls, 5.5)
                counts = {vm.daemon._members.count for vm in fleet.vms}
                self.assertEqual(counts, {VMS})

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_vms_start_late_after_the_store_was_away_for_the_whole_fleet(self):
        async def scenario(fleet):
            def set_out(is_out):
                for vm in fleet.vms:
                    for part in (vm.members, vm.configuration, vm.entries):
                        part.is_out = is_out

            fleet.is_out = True
            for scope in fleet.scopes:
                scope.cancel()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.async_restart, range(8))
                await anyio.sleep(2.0)
                set_out(False)
                began_s = anyio.current_time()
                for vm in fleet.vms:
                    await vm.async_wait_ready()
                ready_s = anyio.current_time() - began_s
            report("8 after an outage", 0.0, ready_s)
            self.assertLess(ready_s, 1.2)

        self.play(scenario, 8)

    def test_vms_that_are_gone_hold_up_a_start(self):
        async def scenario(fleet):
            records = fleet.vms[0].members.records
            hung = await anyio.create_tcp_listener(local_host="127.0.0.1")
            hung_port = hung.extra(anyio.abc.SocketAttribute.local_port)
            for number in range(30):
                port = hung_port if number % 2 else 9
                gone = Member(
                    f"gone-{number}",
                    "1",
                    f"zone-{number % 2}",
                    "127.0.0.1",
                    port,
                    link_mbps=1000.0,
                )
                records[gone.vm_id] = msgpack.encode(gone)
            async with hung:
                calls, ready_s = await fleet.async_restart([5])
            report("beside 30 that are gone", calls, ready_s)
            self.assertLessEqual(calls, 3.5)
            self.assertLess(ready_s, READY_S_MAX + START_QUERY_S)

        self.play(scenario, 6)

    def test_vm_that_has_moved_or_has_an_old_record_stays_unknown(self):
        async def scenario(fleet):
            records = fleet.vms[0].members.records
            moved, updated = "vm-4", "vm-5"
            old = msgpack.decode(records[updated], type=Member)
            records[updated] = msgpack.encode(structs.replace(old, started_ms=0))
            # The address of one that has moved goes to another VM.
            taken = msgpack.decode(records[moved], type=Member)
            await fleet.async_restart([4], keeps_addresses=False)
            await fleet.async_restart([5])
            for number in (4, 5):
                own = fleet.vms[number].daemon._members.own
                self.assertEqual(msgpack.decode(records[own.vm_id], type=Member), own)
                self.assertTrue(await self.async_is_known(fleet, number))
            self.assertNotEqual(fleet.vms[4].daemon._members.own.port, taken.port)

        self.play(scenario, 6)

    async def async_is_known(self, fleet, number):
        """Return whether all VMs come to know the run of a VM that has started."""
        vm_id = fleet.vms[number].settings.vm_id
        run = fleet.vms[number].daemon._members.own.incarnation
        others = [vm for vm in fleet.vms if vm.settings.vm_id != vm_id]
        with anyio.move_on_after(3.0):
            for vm in others:
                while vm.daemon._members._members[vm_id].incarnation != run:
                    await anyio.sleep(0.02)
            return True
        return False


if __name__ == "__main__":
    unittest.main()
