"""Odd messages of other processes, and odd records of VMs, at a VM that runs."""

from __future__ import annotations

import unittest

import anyio
from msgspec import msgpack

from cardamomtack.generated.relay import (
    Freshness,
    Member,
    Members,
    RelayMessage,
    ServerLimit,
    ServerLimits,
    Subscribe,
    TopicFreshness,
    TopicPosition,
    VmHeartbeat,
)
from cardamomtack_daemon.peers.stream import encode_frame
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase

HUGE = 2**64 - 1
SUBSCRIPTION = Subscribe(
    Member("vm-9", "1", "zone-0", "127.0.0.1", 9), [TopicPosition("configuration", 0)]
)
ODD_MEMBERS = [
    Member("vm-2", "1", "zone-0", "127.0.0.1", 70_000),
    Member("vm-3", "1", "zone-0", "127.0.0.1", -1),
    Member("vm-4", "1", "zone-0", "name.example", 7000),
    Member("vm 5\r\n", "1", "zone-0", "127.0.0.1", 7000),
    Member("", "1", "zone-0", "127.0.0.1", 7000),
    Member("vm-6", "1", "zone-0", "127.0.0.1", 7000, link_mbps=float("nan")),
    Member("vm-7", "1", "zone-0", "127.0.0.1", 7000, link_mbps=1e308),
]


def frame(body):
    """Return a frame with any body."""
    return len(body).to_bytes(4, "big") + body


class OddMessageTest(ForwardingCase):
    """One VM, which must serve on."""

    def test_odd_messages_end_the_process(self):
        async def scenario(vm, servers):
            odd = [
                frame(b"\x91" * 60_000 + b"\x01"),
                frame(b"\x81\xa1x" + b"\x91" * 60_000 + b"\x01"),
                encode_frame(RelayMessage(members=Members(ODD_MEMBERS))),
                encode_frame(
                    RelayMessage(
                        freshness=Freshness([TopicFreshness("configuration", 1, HUGE)])
                    )
                ),
                encode_frame(
                    RelayMessage(limits=ServerLimits([ServerLimit("s", HUGE, 1e308)]))
                ),
                encode_frame(RelayMessage(heartbeat=VmHeartbeat("x", "1", HUGE))),
                b"\xff\xff\xff\xff",
            ]
            first = encode_frame(RelayMessage(subscribe=SUBSCRIPTION))
            for data in [*odd, *(first + one for one in odd)]:
                stream = await anyio.connect_tcp("127.0.0.1", vm.settings.relay_port)
                async with stream:
                    await stream.send(data)
                    await anyio.sleep(0.05)
            await anyio.sleep(1.0)
            self.assertEqual((await vm.async_call("read", "r-1")).status, 200)

        self.play(scenario)

    def test_odd_records_of_vms_end_the_process(self):
        async def scenario(vm, servers):
            records = [msgpack.encode(one) for one in ODD_MEMBERS]
            records += [b"", b"\x91" * 60_000 + b"\x01", b"\xc1", b"\x80"]
            vm.members.records.update(
                {f"odd-{number}": record for number, record in enumerate(records)}
            )
            vm.daemon._membership.mark_restored()
            await anyio.sleep(3.0)
            self.assertEqual(vm.daemon._members.count, 1)
            self.assertEqual((await vm.async_call("read", "r-1")).status, 200)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
