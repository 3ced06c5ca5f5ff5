"""A VM that hears from one whose messages come later and later."""

from __future__ import annotations

import time
import unittest

import anyio
from msgspec import msgpack

from cardamomtack.generated.relay import Member
from cardamomtack_standins.fleet import find_free_ports
from tests.cardamomtack_daemon.forwarding.case import EntryVm, async_wait_for
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.replicas.test_fleet import APPLY_S, ONLY_READ

TELL_S = 0.2
TIME_SHARE = 0.1
"""Part of the time that passes for what the lagging VM has written by then."""


class LaggingUpstream:
    """Tells what was so when it wrote it, which was long ago."""

    def __init__(self, port, vm):
        self.port = port
        self.vm = vm

    async def async_serve(self):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        await listener.serve(self.async_tell)

    async def async_tell(self, stream):
        began_s = time.monotonic()
        positions = [
            (topic.topic, len(topic.records), topic.log.history)
            for topic in (self.vm.configuration, self.vm.entries)
        ]
        async with stream:
            while True:
                written_s = began_s + TIME_SHARE * (time.monotonic() - began_s)
                body = msgpack.encode(
                    {
                        "freshness": {
                            "topics": [
                                {"topic": name, "end": end, "history": history}
                                | {"age_ms": 0}
                                for name, end, history in positions
                            ],
                            "sent_at_ms": int(written_s * 1000.0),
                        }
                    }
                )
                try:
                    await stream.send(len(body).to_bytes(4, "big") + body)
                except anyio.BrokenResourceError:
                    return
                await anyio.sleep(TELL_S)


class LaggingPeerTest(unittest.TestCase):
    """A VM, and the one from which it hears."""

    def test_messages_that_lag_keep_a_version_from_being_read(self):
        async def run():
            vm = EntryVm("vm-9", zone="zone-0")
            (port,) = find_free_ports(1)
            for number in (0, 1):
                member = Member(f"vm-{number}", "1", "zone-0", "127.0.0.1", port)
                vm.members.records[member.vm_id] = msgpack.encode(member)
            vm.publish(make_configuration())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(LaggingUpstream(port, vm).async_serve)
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                await anyio.sleep(1.0)
                vm.publish(make_configuration(2, ONLY_READ))

                async def read():
                    return (await vm.async_call("book", "x", b"v")).status

                with anyio.fail_after(APPLY_S):
                    await async_wait_for(read, lambda status: status == 404)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
