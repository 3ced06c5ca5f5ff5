"""The life of a daemon: readiness, draining servers, versions, graceful shutdown."""

from __future__ import annotations

from unittest.mock import patch

import anyio

from cardamomtack.routing.policy import Repeatability
from cardamomtack_daemon.forwarding.const import LOAD_PROBE_TIMEOUT_S
from cardamomtack_daemon.http1.server import CallerServer
from tests.cardamomtack_daemon.forwarding.case import (
    EntryVm,
    ForwardingCase,
    async_wait_for,
)
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import async_answer, write_answer


async def async_hold(server, request, stream):
    """Run a request for a while."""
    server.ran.append(request.headers[b"test-id"].decode())
    await anyio.sleep(0.6)
    await stream.send(write_answer(request))


class ReadinessTest(ForwardingCase):
    """When the balancer should send callers, and what comes before."""

    def test_not_ready_and_not_run_before_the_store_answers(self):
        async def run():
            vm = EntryVm()
            vm.configuration.is_out = True
            vm.entries.is_out = True
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await async_wait_for(vm.async_ask_ready, lambda status: status == 503)
                answer = await vm.async_call("book", "b-1", b"van")
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
                vm.publish(make_configuration())
                vm.configuration.is_out = False
                vm.entries.is_out = False
                await vm.async_wait_ready()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_not_ready_before_callers_can_connect(self):
        async def run():
            vm = EntryVm()
            vm.publish(make_configuration())
            callers = vm.daemon._callers
            serve = CallerServer.async_serve

            async def serve_late(server, address, port, **status):
                if server is callers:
                    await anyio.sleep(0.3)
                await serve(server, address, port, **status)

            with patch.object(CallerServer, "async_serve", serve_late):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                    await vm.async_wait_ready()
                    async with vm.open_caller():
                        pass
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_unknown_route_is_not_found(self):
        async def scenario(vm, servers):
            answer = await vm.async_call("nowhere", "x-1")
            self.assertEqual(answer.status, 404)

        self.play(scenario)

    def test_request_without_an_id_is_a_bad_request(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                await caller.stream.send(
                    b"GET /read/x HTTP/1.1\r\nHost: clinic.test\r\n\r\n"
                )
                self.assertEqual((await caller.async_receive()).status, 400)

        self.play(scenario)

    def test_bounds_of_callers(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                await caller.async_send("read", "x", extra=f"x: {'y' * 3000}\r\n")
                self.assertEqual((await caller.async_receive()).status, 431)
            async with vm.open_caller() as caller:
                await caller.async_send("book", "x", b"z" * 100_001)
                self.assertEqual((await caller.async_receive()).status, 413)
            self.assertEqual([one for one in servers if one.requests], [])

        self.play(scenario)

    def test_head_that_trickles_is_closed_and_a_fresh_one_is_not(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                await anyio.sleep(2.0)
                self.assertEqual((await caller.async_call("read", "x")).status, 200)
                await caller.stream.send(b"GET /read/x HTTP/1.1\r\n")
                with anyio.fail_after(4.0):
                    with self.assertRaises(anyio.EndOfStream):
                        await caller.stream.receive()

        self.play(scenario)


class DrainingTest(ForwardingCase):
    """Servers that leave, vanish and come back."""

    def test_draining_server_gets_no_new_work(self):
        async def scenario(vm, servers):
            vm.register(servers[0].make_entry(is_draining=True))
            await anyio.sleep(0.3)
            for number in range(10):
                await vm.async_call("read", f"r-{number}")
            self.assertEqual(servers[0].ran, [])
            self.assertEqual(len(servers[1].ran), 10)

        self.play(scenario)

    def test_vanished_server_gets_no_new_work(self):
        async def scenario(vm, servers):
            vm.unregister("server-0")
            await anyio.sleep(0.3)
            for number in range(10):
                await vm.async_call("read", f"r-{number}")
            self.assertEqual(servers[0].ran, [])

        self.play(scenario)

    def test_server_that_drains_while_it_is_asked_gets_nothing(self):
        async def scenario(vm, servers):
            answers = []

            async def call():
                answers.append(await vm.async_call("book", "b-1", b"van"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                vm.register(servers[0].make_entry(is_draining=True))
            await anyio.sleep(0.3)
            await vm.async_call("read", "r-1")
            self.assertEqual([one for one in servers[0].ran if one == "r-1"], [])

        self.play(scenario)

    def test_new_server_gets_work(self):
        async def scenario(vm, servers):
            vm.unregister("server-1")
            await anyio.sleep(0.3)
            await vm.async_call("read", "r-0")
            vm.register(servers[1].make_entry(incarnation=2))
            await anyio.sleep(0.3)
            for number in range(20):
                await vm.async_call("read", f"r-{number}")
            self.assertGreater(len(servers[1].ran), 0)

        self.play(scenario)


class VersionTest(ForwardingCase):
    """Versions of the configuration."""

    def test_new_version_is_in_force_and_older_ones_never_return(self):
        async def scenario(vm, servers):
            only_read = (make_route("read", Repeatability.IDEMPOTENT),)
            vm.publish(make_configuration(7, only_read))
            await anyio.sleep(0.3)
            self.assertEqual((await vm.async_call("book", "b-1", b"v")).status, 404)
            vm.publish(make_configuration(3))
            await anyio.sleep(0.3)
            self.assertEqual((await vm.async_call("book", "b-2", b"v")).status, 404)

        self.play(scenario)

    def test_new_version_after_a_silent_outage_of_the_store(self):
        async def scenario(vm, servers):
            vm.configuration.is_silent = True
            await anyio.sleep(2.5)
            vm.configuration.is_silent = False
            only_read = (make_route("read", Repeatability.IDEMPOTENT),)
            vm.publish(make_configuration(2, only_read))

            async def read():
                return (await vm.async_call("book", "b-1", b"v")).status

            with anyio.fail_after(2.0):
                await async_wait_for(read, lambda status: status == 404)

        self.play(scenario)


class ShutdownTest(ForwardingCase):
    """A graceful shutdown breaks nothing off."""

    def test_requests_in_flight_and_on_kept_connections_are_answered(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = async_hold
            results = []

            async def call(caller, request_id):
                results.append(await caller.async_call("book", request_id, b"van"))

            async with (
                vm.open_caller() as first,
                vm.open_caller() as second,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(call, first, "b-1")
                await anyio.sleep(0.1)
                vm.stopping.set()
                await anyio.sleep(0.05)
                self.assertEqual(await vm.async_ask_ready(), 503)
                tasks.start_soon(call, second, "b-2")
            self.assertEqual([one.status for one in results], [200, 200])
            self.assertEqual(
                {one.headers.get("connection") for one in results}, {"close"}
            )

        self.play(scenario)

    def test_what_comes_late_is_sent_to_other_vms(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = async_hold
            results = []

            async def call():
                results.append(
                    await vm.async_call("book", "b-1", b"van", deadline_ms=5000)
                )

            async with anyio.create_task_group() as tasks:
                vm.stopping.set()
                await anyio.sleep(2.2)
                tasks.start_soon(call)
                await anyio.sleep(0.45)
                late = await vm.async_call("book", "b-2", b"van")
            self.assertEqual(results[0].status, 200)
            self.assertEqual(late.status, 503)
            self.assertIn("retry-after", late.headers)
            self.assertNotIn("b-2", [one for server in servers for one in server.ran])

        self.play(scenario)

    def test_what_outlasts_the_grace_period_gets_an_answer(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await anyio.sleep_forever()

            for server in servers:
                server.script = script
            results = []

            async def call():
                results.append(await vm.async_call("read", "r-1", deadline_ms=60_000))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(0.1)
                vm.stopping.set()
            self.assertEqual(results[0].status, 504)

        routes = (make_route("read", Repeatability.IDEMPOTENT, timeout_s=60.0),)
        self.play(scenario, configuration=make_configuration(1, routes), grace_s=3.2)


class CrashTest(ForwardingCase):
    """A request that crashes the servers that run it."""

    def test_is_refused_after_two_crashes(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                if request.target == b"/read/x":
                    server.stop()
                await async_answer(server, request, stream)

            for server in servers:
                server.script = script
            for _ in range(4):
                answer = await vm.async_call("read", "r-1")
            self.assertEqual(answer.status, 503)
            crashed = [server for server in servers if server.requests]
            self.assertEqual(len(crashed), 2)

        self.play(scenario, servers=5)

    def test_server_that_takes_connections_and_answers_nothing_has_crashed(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                if request.target == b"/read/x":
                    server.answers_checks = False
                    await stream.aclose()
                await async_answer(server, request, stream)

            for server in servers:
                server.script = script
            for _ in range(4):
                answer = await vm.async_call("read", "r-1")
            self.assertEqual(answer.status, 503)
            crashed = [server for server in servers if server.requests]
            self.assertEqual(len(crashed), 2)

        self.play(scenario, servers=5)

    def test_server_that_cuts_connections_and_lives_has_not_crashed(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await stream.aclose()

            for server in servers:
                server.script = script
            for _ in range(4):
                answer = await vm.async_call("read", "r-1")
                self.assertEqual(answer.status, 502)
            for server in servers:
                server.script = async_answer
            answer = await vm.async_call("read", "r-1")
            self.assertEqual(answer.status, 200)

        self.play(scenario, servers=5)


class SilenceTest(ForwardingCase):
    """Servers that accept connections and never answer."""

    def test_silent_server_delays_few_requests(self):
        async def scenario(vm, servers):
            async def hang(server, request, stream):
                await anyio.sleep_forever()

            servers[0].answers_checks = False
            servers[0].script = hang
            slow = 0
            for number in range(20):
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200)
                slow += answer.duration_s > LOAD_PROBE_TIMEOUT_S
            self.assertLessEqual(slow, 4)

        self.play(scenario, servers=3)
