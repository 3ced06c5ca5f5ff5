"""Availability zones that are evacuated: nothing goes there, on any path."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

import anyio
from anyio.lowlevel import checkpoint

from cardamomtack.generated.tunnel import TunnelMessage, TunnelOpen
from cardamomtack.routing.policy import BackendService
from cardamomtack_daemon.forwarding.decisions import DecisionRecorder
from cardamomtack_daemon.peers.stream import MessageStream, encode_frame
from tests.cardamomtack_daemon.forwarding.case import EntryVm, ForwardingCase
from tests.cardamomtack_daemon.forwarding.cuts import Cut, CutFleet
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import (
    SERVICE,
    async_answer,
    write_not_run,
)

CALLS = 12
COLD_MS = 20_000
LEFT, EVACUATED = "zone-b", "zone-a"
"""The evacuated zone is that of the VMs, which prefer its servers."""

REASON = "availability zone is evacuated"
WARM_UP_PER_S = 2.6
COLD_PER_S_MAX = WARM_UP_PER_S * 1.5 + 8
"""Bound of the users for a second of a server that is cold."""


async def async_wait_evacuated(vm, *zones):
    """Wait until a VM has heard which zones are evacuated, and no others."""
    with anyio.fail_after(3.0):
        while vm.daemon._registry.evacuated_zones.list_zones() != sorted(zones):
            await anyio.sleep(0.01)


async def async_reject(server, request, stream):
    """Prove that a request has not run."""
    await stream.send(write_not_run(request))


def hold(event):
    """Return a script that answers after an event."""

    async def act(server, request, stream):
        await event.wait()
        await async_answer(server, request, stream)

    return act


def set_zones(*zones):
    """Return a preparation that spreads the servers over zones."""

    def prepare(servers):
        for server, zone in zip(servers, zones, strict=True):
            server.zone = zone

    return prepare


class EvacuationTest(ForwardingCase):
    """Servers of evacuated zones, one VM."""

    def play_zones(self, scenario, *zones):
        """Run a scenario with a server in each of some zones."""
        self.play(scenario, len(zones), prepare=set_zones(*zones))

    def test_usual_requests_go_to_an_evacuated_zone(self):
        for load in ("0,0,4", None, "3,2,4"):
            with self.subTest(load):

                async def scenario(vm, servers, load=load):
                    for server in servers:
                        server.load = load
                    await vm.async_call("read", "first")
                    vm.evacuate(EVACUATED)
                    await async_wait_evacuated(vm, EVACUATED)
                    known = len(servers[1].requests)
                    for number in range(CALLS):
                        answer = await vm.async_call("read", f"r-{number}")
                        self.assertEqual(answer.status, 200)
                    self.assertEqual(len(servers[1].requests), known)

                self.play_zones(scenario, LEFT, EVACUATED)

    def test_requests_go_to_an_evacuated_zone_when_the_others_have_failed(self):
        async def scenario(vm, servers):
            vm.evacuate(EVACUATED)
            await async_wait_evacuated(vm, EVACUATED)
            servers[0].stop()
            for number in range(CALLS):
                answer = await vm.async_call("read", f"r-{number}", deadline_ms=300)
                self.assertEqual(answer.status, 503)
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_request_is_sent_again_to_an_evacuated_zone(self):
        async def scenario(vm, servers):
            servers[0].script = async_reject
            vm.evacuate(EVACUATED)
            await async_wait_evacuated(vm, EVACUATED)
            for number in range(CALLS):
                answer = await vm.async_call("book", f"b-{number}", b"van")
                self.assertEqual(answer.status, 503)
            self.assertEqual(len(servers[0].requests), CALLS)
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_late_answer_is_hedged_in_an_evacuated_zone(self):
        async def scenario(vm, servers):
            answered = anyio.Event()
            servers[0].script = hold(answered)
            vm.evacuate(EVACUATED)
            await async_wait_evacuated(vm, EVACUATED)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vm.async_call, "read", "r-1")
                await anyio.sleep(1.5)
                answered.set()
            self.assertEqual(len(servers[0].requests), 1)
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_waiting_request_gets_a_server_of_an_evacuated_zone(self):
        async def scenario(vm, servers):
            await vm.async_call("read", "first")
            held = anyio.Event()
            for server in servers:
                server.script = hold(held)
                server.load = "4,0,4"
            answers = []

            async def call(number):
                answers.append(await vm.async_call("read", f"r-{number}"))

            async with anyio.create_task_group() as tasks:
                for number in range(CALLS):
                    tasks.start_soon(call, number)
                await anyio.sleep(0.1)
                known = len(servers[1].requests)
                vm.evacuate(EVACUATED)
                await async_wait_evacuated(vm, EVACUATED)
                servers[1].load = "0,0,4"
                await anyio.sleep(0.3)
                held.set()
            self.assertGreater(len(servers[0].requests) + known, 0)
            self.assertEqual(len(servers[1].requests), known)

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_request_that_was_placed_is_sent_after_the_evacuation(self):
        async def scenario(vm, servers):
            placer = vm.daemon._forwarder._placer
            find = placer._async_find
            placed = []

            async def find_and_evacuate(call, may_wait):
                found = await find(call, may_wait)
                if found is not None:
                    placed.append(found.server.entry.availability_zone)
                    vm.daemon._registry.evacuated_zones.begin(EVACUATED)
                return found

            replaced = staticmethod(find_and_evacuate)
            with patch.object(type(placer), "_async_find", replaced):
                answer = await vm.async_call("read", "r-1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(placed, [EVACUATED, LEFT])
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_running_request_is_cut_by_an_evacuation(self):
        async def scenario(vm, servers):
            answered = anyio.Event()
            for server in servers:
                server.script = hold(answered)
            answers = []

            async def call(number):
                body = b"van"
                answers.append(await vm.async_call("book", f"b-{number}", body))

            async with anyio.create_task_group() as tasks:
                for number in range(CALLS // 3):
                    tasks.start_soon(call, number)
                while sum(len(one.requests) for one in servers) < CALLS // 3:
                    await anyio.sleep(0.01)
                vm.evacuate(LEFT)
                vm.evacuate(EVACUATED)
                await async_wait_evacuated(vm, LEFT, EVACUATED)
                answered.set()
            self.assertEqual({one.status for one in answers}, {200})

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_request_for_an_evacuated_service_waits_until_its_deadline(self):
        async def scenario(vm, servers):
            reasons = []

            def record(recorder, call, status, reason):
                reasons.append(reason)

            vm.evacuate(LEFT)
            vm.evacuate(EVACUATED)
            await async_wait_evacuated(vm, LEFT, EVACUATED)
            with patch.object(DecisionRecorder, "record_call", record):
                for route, body in (("read", b""), ("book", b"van")):
                    answer = await vm.async_call(route, f"{route}-1", body)
                    self.assertEqual(answer.status, 503)
                    self.assertLess(answer.duration_s, 0.2)
                    self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            self.assertEqual(reasons, [REASON, REASON])
            for server in servers:
                self.assertEqual(server.requests, [])
            vm.evacuate(LEFT, False)
            await async_wait_evacuated(vm, EVACUATED)
            answer = await vm.async_call("read", "r-2")
            self.assertEqual(answer.status, 200)
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED)

    def test_request_that_waits_for_an_evacuated_service_waits_on(self):
        async def scenario(vm, servers):
            await vm.async_call("read", "first")
            held = anyio.Event()
            servers[0].script = hold(held)
            servers[0].load = "4,0,4"
            waited_s = []

            async def call(number):
                answer = await vm.async_call("read", f"r-{number}")
                if answer.status == 503:
                    waited_s.append(answer.duration_s)

            async with anyio.create_task_group() as tasks:
                for number in range(CALLS):
                    tasks.start_soon(call, number)
                await anyio.sleep(0.1)
                vm.evacuate(LEFT)
                await async_wait_evacuated(vm, LEFT)
                await anyio.sleep(0.1)
                held.set()
            self.assertGreater(len(waited_s), 0)
            self.assertLess(max(waited_s), 0.4)

        self.play_zones(scenario, LEFT)

    def test_zone_that_was_lost_gets_work_when_its_servers_are_back(self):
        async def scenario(vm, servers):
            vm.evacuate(EVACUATED)
            vm.evacuate("zone-c")
            await async_wait_evacuated(vm, EVACUATED, "zone-c")
            vm.unregister("server-1")
            while "server-1" in vm.daemon._registry.servers:
                await anyio.sleep(0.02)
            vm.register(servers[1].make_entry(incarnation=2))
            while "server-1" not in vm.daemon._registry.servers:
                await anyio.sleep(0.02)
            for number in range(CALLS):
                await vm.async_call("read", f"r-{number}")
            self.assertEqual(servers[1].requests + servers[2].requests, [])
            vm.evacuate("zone-c", False)
            await async_wait_evacuated(vm, EVACUATED)
            for number in range(CALLS):
                await vm.async_call("read", f"s-{number}")
            self.assertEqual(servers[1].requests, [])

        self.play_zones(scenario, LEFT, EVACUATED, "zone-c")

    def test_server_that_turns_out_cold_takes_all_that_was_kept_from_it(self):
        async def scenario(vm, servers):
            services = {SERVICE: BackendService(SERVICE, "/health", 100, WARM_UP_PER_S)}
            vm.publish(replace(make_configuration(2), services=services))
            vm.evacuate(EVACUATED)
            await async_wait_evacuated(vm, EVACUATED)
            arrived = await async_end_evacuation(vm, [vm], servers[1])
            self.assertLessEqual(count_most(arrived), COLD_PER_S_MAX)

        self.play_zones(scenario, LEFT, EVACUATED)


def count_most(times):
    """Return the most moments in a second."""
    return max((sum(one <= at < one + 1.0 for at in times) for one in times), default=0)


async def async_end_evacuation(store, vms, *cold):
    """Take a zone back whose servers are cold, and return when requests arrived.

    They tell that in their health checks only. The other servers are half busy.
    """
    arrived = []

    async def check(server, request, stream):
        head = f"HTTP/1.1 200 X\r\ntest-server: {server.server_id}\r\n"
        head += f"test-load: 0,0,4\r\ntest-warm-up: {COLD_MS}\r\n"
        await stream.send(f"{head}content-length: 0\r\n\r\n".encode())

    async def answer(server, request, stream):
        arrived.append((server.server_id, anyio.current_time()))
        await async_answer(server, request, stream)

    for server in cold:
        server.check_script = check
        server.script = answer
    store.evacuate(EVACUATED, False)
    for vm in vms:
        await async_wait_evacuated(vm)

    async def call(vm, number):
        await vm.async_call("read", f"cold-{number}")

    async with anyio.create_task_group() as calls:
        for number in range(240):
            calls.start_soon(call, vms[number % len(vms)], number)
            await anyio.sleep(0.005)
    most = Counter(server_id for server_id, _ in arrived).most_common(1)
    return [at for server_id, at in arrived if most and server_id == most[0][0]]


class FleetEvacuationTest(unittest.TestCase):
    """Evacuations in a fleet."""

    def run_fleet(self, scenario, vms, zones):
        """Run a scenario with VMs of one zone and a server in each of some zones."""

        async def run():
            fleet = CutFleet(vms, len(zones))
            set_zones(*zones)(fleet.servers)
            async with fleet.run() as tasks:
                while any(one.daemon._members.count < vms for one in fleet.vms):
                    await anyio.sleep(0.02)
                await scenario(fleet, tasks)

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_vm_that_starts_while_the_store_is_away_sends_to_an_evacuated_zone(self):
        async def scenario(fleet, tasks):
            store = fleet.vms[0]
            store.evacuate(EVACUATED)
            await async_wait_evacuated(store, EVACUATED)
            started = EntryVm("vm-9", store)
            started.configuration.is_out = True
            started.entries.is_out = True
            tasks.start_soon(fleet.async_run_vm, started)
            await started.async_wait_ready()
            for number in range(CALLS):
                answer = await started.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(fleet.servers[1].requests, [])

        self.run_fleet(scenario, 2, (LEFT, EVACUATED))

    def test_vm_opens_a_connection_to_an_evacuated_zone_for_another_one(self):
        async def scenario(fleet, tasks):
            helper = fleet.vms[1]
            helper.evacuate(EVACUATED)
            await async_wait_evacuated(helper, EVACUATED)
            server = fleet.servers[1]
            known = server.connections
            # A build that doesn't know the outcome could not read it.
            for reads_evacuated, outcome in ((True, "evacuated"), (False, "unknown")):
                wanted = TunnelOpen(
                    server.server_id, "127.0.0.1", server.port, reads_evacuated
                )
                frame = encode_frame(TunnelMessage(open=wanted))
                port = helper.settings.tunnel_port
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(frame)
                    messages = MessageStream(stream, TunnelMessage)
                    message = await messages.async_receive(2.0)
                self.assertEqual(message.answer.outcome, outcome)
            self.assertEqual(server.connections, known)

        self.run_fleet(scenario, 2, (LEFT, EVACUATED))

    def test_helper_that_knows_of_an_evacuation_first_is_taken_for_cut_off(self):
        async def scenario(fleet, tasks):
            vm, helper = fleet.vms
            fleet.cut(vm, Cut.RESET)
            registry = vm.daemon._registry
            for server in registry.servers.values():
                vm.daemon._prober._ways.record_failed_open(server)
            helper.daemon._registry.evacuated_zones.begin(EVACUATED)
            for number in range(CALLS):
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200)
                await checkpoint()
            self.assertEqual(fleet.servers[1].requests, [])
            self.assertEqual(registry.servers["server-1"].ejected_until_s, 0.0)

        self.run_fleet(scenario, 2, (LEFT, EVACUATED))

    def test_zone_that_comes_back_cold_gets_more_from_all_vms_than_it_takes(self):
        async def scenario(fleet, tasks):
            store = fleet.vms[0]
            services = {SERVICE: BackendService(SERVICE, "/health", 100, WARM_UP_PER_S)}
            store.publish(replace(make_configuration(2), services=services))
            store.evacuate(EVACUATED)
            for vm in fleet.vms:
                await async_wait_evacuated(vm, EVACUATED)
            arrived = await async_end_evacuation(store, fleet.vms, *fleet.servers[1:])
            self.assertLessEqual(count_most(arrived), COLD_PER_S_MAX)

        self.run_fleet(scenario, 6, (LEFT, EVACUATED, EVACUATED))


if __name__ == "__main__":
    unittest.main()
