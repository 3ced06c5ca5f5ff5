"""Servers that start again under the id of one that is gone."""

from __future__ import annotations

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer, async_answer

LATER_CALLS = 4


class ReusedIdTest(ForwardingCase):
    """Guards against requests that went to the server that had an id before."""

    def test_connection_in_use_is_not_kept_for_the_next_server_of_its_id(self):
        release = anyio.Event()

        async def answer_late(server, request, stream):
            await release.wait()
            await async_answer(server, request, stream)

        async def scenario(vm, servers):
            former = servers[0]
            former.script = answer_late
            following = ScriptedServer(former.server_id)
            registry = vm.daemon._registry

            async def count_requests():
                return len(former.requests)

            async def read_incarnation():
                return registry.servers[former.server_id].entry.incarnation

            async with anyio.create_task_group() as tasks:
                await tasks.start(following.async_serve)
                async with anyio.create_task_group() as calls:
                    calls.start_soon(vm.async_call, "book", "b-1")
                    await async_wait_for(count_requests, lambda count: count == 1)
                    vm.register(following.make_entry(incarnation=2))
                    await async_wait_for(read_incarnation, lambda known: known == 2)
                    release.set()
                for number in range(LATER_CALLS):
                    answer = await vm.async_call("book", f"c-{number}")
                    self.assertEqual(answer.status, 200)
                tasks.cancel_scope.cancel()
            self.assertEqual(former.ran, ["b-1"])
            self.assertEqual(len(following.ran), LATER_CALLS)

        self.play(scenario, servers=1)
