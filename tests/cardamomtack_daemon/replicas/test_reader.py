"""The reader of a topic, against what others tell while it reads."""

from __future__ import annotations

import unittest
from random import Random

import anyio

from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.replicas.topic import START_NEWEST, TopicReplica
from cardamomtack_daemon.replicas.reader import TopicReader
from cardamomtack_daemon.replicas.source import RecordsDeletedError


class OvertakenSource:
    """A store that another VM has read anew before its answer comes."""

    def __init__(self, replica):
        self.replica = replica
        self.reads = 0

    async def async_read_newest(self, timeout_s):
        return TopicRecords("t", START_NEWEST, 4, [], 1)

    async def async_read_from(self, offset, wait_s, timeout_s):
        self.reads += 1
        if self.reads == 1:
            restored = TopicRecords("t", START_NEWEST, 1, [], 2)
            self.replica.apply_records(restored, "vm-2")
        end = offset + 1
        record = TopicRecord(offset, "a", b"1")
        await anyio.sleep(0.01)
        return TopicRecords("t", offset, end, [record], 2)

    def close(self):
        pass


class DeletingSource:
    """A store that has never kept what its newest records end with."""

    def __init__(self):
        self.reads = 0

    async def async_read_newest(self, timeout_s):
        self.reads += 1
        return TopicRecords("t", START_NEWEST, 4, [], 1)

    async def async_read_from(self, offset, wait_s, timeout_s):
        self.reads += 1
        raise RecordsDeletedError("deleted")

    def close(self):
        pass


class ReaderTest(unittest.TestCase):
    """One topic."""

    def test_read_from_before_a_restore_ends_the_process(self):
        replica = TopicReplica("t")
        source = OvertakenSource(replica)
        reader = TopicReader(
            replica, source, lambda: True, lambda _: None, SystemClock(), Random(1)
        )

        async def run():
            with anyio.move_on_after(1.0):
                await reader.async_follow()

        anyio.run(run)
        self.assertGreater(source.reads, 1)
        self.assertGreater(replica.position, (2, 1))

    def test_store_that_keeps_nothing_is_read_without_a_pause(self):
        source = DeletingSource()
        reader = TopicReader(
            TopicReplica("t"),
            source,
            lambda: True,
            lambda _: None,
            SystemClock(),
            Random(1),
        )

        async def run():
            with anyio.move_on_after(2.0):
                await reader.async_follow()

        anyio.run(run)
        self.assertLess(source.reads, 40)


if __name__ == "__main__":
    unittest.main()
