"""The reader of a topic, against what others tell while it reads."""

from __future__ import annotations

import unittest
from random import Random

import anyio

from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.replicas.topic import START_NEWEST, TopicReplica
from cardamomtack_daemon.replicas.reader import TopicReader
from cardamomtack_daemon.replicas.source import RecordsDeletedError, StoreError


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


class FailingSource(DeletingSource):
    """A store that does not answer, or answers with failures."""

    def __init__(self, is_silent):
        super().__init__()
        self.is_silent = is_silent

    async def async_read_newest(self, timeout_s):
        if self.is_silent:
            await anyio.sleep_forever()
        raise StoreError("away")


class AvailabilityTest(unittest.TestCase):
    """Who may say that the store is away."""

    def read_unavailable(self, source, is_reader=True, age_s=None):
        """Return what a reader says of the store half a second after its start."""

        async def run():
            clock = SystemClock()
            replica = TopicReplica("t")
            if age_s is not None:
                replica.confirm(clock.read_boot_s() - age_s, "vm-2")
            reader = TopicReader(
                replica, source, lambda: is_reader, lambda _: None, clock, Random(1)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reader.async_follow)
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            return reader.is_store_unavailable()

        return anyio.run(run)

    def test_silence_of_another_vm_is_no_outage(self):
        # Nothing is read yet of what the other VM confirmed last.
        self.assertFalse(
            self.read_unavailable(FailingSource(True), is_reader=False, age_s=1.1)
        )

    def test_failure_of_the_own_reads_alone_is_no_outage(self):
        for is_silent in (True, False):
            self.assertFalse(self.read_unavailable(FailingSource(is_silent), age_s=0.0))

    def test_outage_is_one_for_this_vm_and_those_it_hears_from(self):
        for is_silent in (True, False):
            self.assertTrue(self.read_unavailable(FailingSource(is_silent)))
            self.assertTrue(self.read_unavailable(FailingSource(is_silent), age_s=1.1))


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
