"""Servers that say that they leave, and servers that ask for a pause."""

from __future__ import annotations

import unittest

import anyio

from tests.cardamomtack_daemon.forwarding.case import EntryVm, ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import (
    ScriptedServer,
    write_answer,
    write_not_run,
)

CALLS = 40
HEARD_AFTER_S = 0.5
"""From when on after its answer a server expects the pause to be kept."""

REQUESTS_MAX = 2


async def async_answer_leaving(server, request, stream):
    """Run a request, and say that the server leaves."""
    server.ran.append(request.headers[b"test-id"].decode())
    await stream.send(write_answer(request, test_leaving="1"))


def ask_pause(value):
    """Return a script that turns each request away and asks for a pause."""

    async def act(server, request, stream):
        server.ran.append(str(anyio.current_time()))
        await stream.send(write_not_run(request, retry_after=value))

    return act


class LeavingTest(ForwardingCase):
    """A server whose answers say that it leaves."""

    def test_server_that_says_it_leaves_gets_new_work(self):
        async def scenario(vm, servers):
            servers[0].script = async_answer_leaving
            for number in range(CALLS):
                await vm.async_call("read", f"r-{number}")
                if servers[0].requests:
                    break
            self.assertEqual(len(servers[0].requests), 1)
            for number in range(CALLS):
                answer = await vm.async_call("book", f"b-{number}", b"van")
                self.assertEqual(answer.status, 200)
            # Its entry says that it is ready, and comes back from an old copy.
            vm.unregister("server-0")
            await anyio.sleep(0.5)
            vm.register(servers[0].make_entry())
            await anyio.sleep(0.5)
            for number in range(CALLS):
                await vm.async_call("read", f"s-{number}")
            self.assertEqual(len(servers[0].requests), 1)
            servers[0].script = servers[1].script
            vm.register(servers[0].make_entry(incarnation=2))
            await anyio.sleep(0.5)
            for number in range(CALLS):
                await vm.async_call("read", f"t-{number}")
            self.assertGreater(len(servers[0].requests), 1)

        self.play(scenario)

    def test_word_of_another_vm_makes_a_service_empty(self):
        async def run():
            first = EntryVm("vm-0", zone="zone-0")
            second = EntryVm("vm-1", first, zone="zone-0")
            servers = [
                ScriptedServer(f"server-{number}", "zone-0") for number in (0, 1)
            ]
            async with anyio.create_task_group() as tasks:
                for server in servers:
                    await tasks.start(server.async_serve)
                    first.register(server.make_entry())
                first.publish(make_configuration())
                for vm in (first, second):
                    tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                for vm in (first, second):
                    await vm.async_wait_ready()
                await anyio.sleep(1.0)
                servers[0].script = async_answer_leaving
                while not servers[0].requests:
                    await first.async_call("read", "r")
                await anyio.sleep(0.2)
                servers[0].requests.clear()
                for number in range(CALLS):
                    await second.async_call("read", f"r-{number}")
                self.assertEqual(servers[0].requests, [])
                servers[1].script = async_answer_leaving
                while not servers[1].requests:
                    await first.async_call("read", "r")
                await anyio.sleep(0.2)
                # Both are said to leave, and their entries say that they are ready.
                self.assertEqual((await second.async_call("read", "x")).status, 200)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


class PauseTest(ForwardingCase):
    """A server that turns requests away and names when to come back."""

    def count_asked(self, value, play_s, servers=2):
        """Return when a server that asks for a pause got requests, in seconds."""
        times = []

        async def scenario(vm, scripted):
            scripted[0].script = ask_pause(value)
            began_s = anyio.current_time()
            number = 0
            while anyio.current_time() - began_s < play_s:
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200 if servers > 1 else 503)
                number += 1
                await anyio.sleep(0.01)
            times.extend(float(one) - began_s for one in scripted[0].ran)

        self.play(scenario, servers=servers)
        return times

    def test_server_that_asks_for_a_pause_gets_requests(self):
        times = self.count_asked("3", 2.9, servers=1)
        self.assertGreaterEqual(len(times), 1)
        late = [one for one in times if one > times[0] + HEARD_AFTER_S]
        self.assertLessEqual(len(late), REQUESTS_MAX)

    def test_pause_that_has_ended_still_holds(self):
        times = self.count_asked("0.3", 2.0, servers=1)
        self.assertGreater(len(times), 2)

    def test_odd_pause_is_kept(self):
        for value in (
            "0",
            "-5",
            "Fri, 31 Dec 1999 23:59:59 GMT",
            "soon",
            "nan",
            "1e999",
        ):
            with self.subTest(value):
                self.assertGreater(len(self.count_asked(value, 1.6, servers=1)), 2)

    def test_callers_are_held_while_all_servers_want_a_pause(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = ask_pause("1.0")
            await vm.async_call("read", "r-0")
            returns_s = []
            for number in range(1, 6):
                began_s = anyio.current_time()
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 503)
                self.assertLess(anyio.current_time() - began_s, 0.2)
                returns_s.append(float(answer.headers["retry-after"]))
            self.assertGreater(min(returns_s), 0.5)
            self.assertEqual(len(set(returns_s)), len(returns_s))
            self.assertEqual(sum(len(one.requests) for one in servers), 2)
            for server in servers:
                server.script = ScriptedServer("x").script
            await anyio.sleep(max(returns_s))
            self.assertEqual((await vm.async_call("read", "r-9")).status, 200)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
