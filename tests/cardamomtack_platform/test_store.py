"""The client of the store, against the stand-in of the store and its faults."""

from __future__ import annotations

import unittest

import anyio

from cardamomtack.helpers.clock import SystemClock
from cardamomtack.replicas.topic import START_NEWEST
from cardamomtack_daemon.replicas.source import RecordsDeletedError, StoreError
from cardamomtack_platform.settings import StoreSettings
from cardamomtack_platform.store import StoreConnection, StoreMembers, StoreTopic
from cardamomtack_standins.asgi import async_serve_service
from cardamomtack_standins.fleet import find_free_ports
from cardamomtack_standins.keyed_store import KeyedStoreStandIn, StoreFaults

NAME = "keyed.servers"


class StoreCase(unittest.TestCase):
    """Plays scenarios against a store."""

    def play(self, scenario):
        """Run a scenario with a store, a topic and the records of the VMs."""

        async def run():
            store = KeyedStoreStandIn()
            (port,) = find_free_ports(1)
            settings = StoreSettings("127.0.0.1", port)
            clock = SystemClock()
            topic = StoreTopic("servers", NAME, StoreConnection(settings, clock))
            members = StoreMembers(StoreConnection(settings, clock))
            async with anyio.create_task_group() as tasks:
                stopped = anyio.Event()
                tasks.start_soon(async_serve_service, store, "127.0.0.1", port, stopped)
                while True:
                    try:
                        await topic.async_read_newest(1.0)
                        break
                    except StoreError:
                        await anyio.sleep(0.02)
                store.calls.clear()
                await scenario(store, topic, members)
                topic.close()
                members.close()
                stopped.set()

        anyio.run(run)


class ReadTest(StoreCase):
    """Reads that go well."""

    def test_newest_and_on(self):
        async def scenario(store, topic, members):
            store.write(NAME, "a", b"1")
            store.write(NAME, "b", b"2")
            store.write(NAME, "a", b"")
            page = await topic.async_read_newest(1.0)
            self.assertEqual((page.start, page.end), (START_NEWEST, 3))
            self.assertEqual([one.key for one in page.records], ["b"])
            store.write(NAME, "c", b"3")
            page = await topic.async_read_from(3, 0.0, 1.0)
            self.assertEqual((page.start, page.end), (3, 4))
            self.assertEqual(page.records[0].value, b"3")

        self.play(scenario)

    def test_pages(self):
        async def scenario(store, topic, members):
            store.page_items_max = 3
            for number in range(8):
                store.write(NAME, f"key {number}&x", b"v")
            page = await topic.async_read_newest(1.0)
            self.assertEqual(len(page.records), 8)
            self.assertEqual(len(store.calls), 3)

        self.play(scenario)

    def test_read_that_waits_returns_with_the_first_record(self):
        async def scenario(store, topic, members):
            async with anyio.create_task_group() as tasks:

                async def write():
                    await anyio.sleep(0.1)
                    store.write(NAME, "a", b"1")

                tasks.start_soon(write)
                with anyio.fail_after(1.0):
                    page = await topic.async_read_from(0, 5.0, 1.0)
                self.assertEqual(len(page.records), 1)

        self.play(scenario)

    def test_long_answer_is_given_up_while_it_arrives(self):
        async def scenario(store, topic, members):
            store.write(NAME, "a", b"v" * 400_000)
            store.faults = StoreFaults(bytes_per_s=400_000)
            page = await topic.async_read_from(0, 0.0, 0.4)
            self.assertEqual(len(page.records[0].value), 400_000)
            page = await topic.async_read_newest(0.4)
            self.assertEqual(len(page.records[0].value), 400_000)

        self.play(scenario)

    def test_read_that_waits_in_vain_returns_nothing(self):
        async def scenario(store, topic, members):
            page = await topic.async_read_from(0, 0.1, 1.0)
            self.assertEqual((page.records, page.end), ([], 0))

        self.play(scenario)

    def test_records_without_a_key_count_as_read(self):
        async def scenario(store, topic, members):
            for record in (b"\x09abc", b"\x02\xff\xfev", b"\x01av"):
                store.write_raw(NAME, record)
            page = await topic.async_read_from(0, 0.0, 1.0)
            self.assertEqual([one.key for one in page.records], ["a"])
            self.assertEqual(page.end, 3)

        self.play(scenario)

    def test_history_that_was_dropped(self):
        async def scenario(store, topic, members):
            store.write(NAME, "a", b"1")
            store.drop_history(NAME)
            with self.assertRaises(RecordsDeletedError):
                await topic.async_read_from(0, 0.0, 1.0)
            self.assertEqual(len((await topic.async_read_newest(1.0)).records), 1)

        self.play(scenario)

    def test_pages_tell_the_history_of_the_store(self):
        async def scenario(store, topic, members):
            store.write(NAME, "a", b"1")
            copy = store.take_copy()
            store.write(NAME, "a", b"2")
            self.assertEqual((await topic.async_read_newest(1.0)).history, 0)
            store.restore(copy)
            with self.assertRaises(RecordsDeletedError):
                await topic.async_read_from(2, 0.0, 1.0)
            page = await topic.async_read_newest(1.0)
            self.assertEqual((page.history, page.end), (1, 1))
            page = await topic.async_read_from(0, 0.0, 1.0)
            self.assertEqual((page.history, page.records[0].value), (1, b"1"))

        self.play(scenario)

    def test_odd_history_is_an_error_of_the_store(self):
        async def scenario(store, topic, members):
            for history in ("x", "-1", "1.5", "9" * 40, ""):
                with self.subTest(history):
                    store.history = history or " "
                    with self.assertRaises(StoreError):
                        await topic.async_read_newest(1.0)

        self.play(scenario)

    def test_first_part_of_a_long_history_is_taken_for_all(self):
        async def scenario(store, topic, members):
            store.read_items_max = 3
            for number in range(8):
                store.write(NAME, "a", b"%d" % number)
            page = await topic.async_read_from(0, 0.0, 1.0)
            self.assertEqual((page.start, page.end, len(page.records)), (0, 8, 8))

        self.play(scenario)

    def test_records_of_vms(self):
        async def scenario(store, topic, members):
            await members.async_write_member("vm-1", b"one", 1.0)
            await members.async_write_member("vm-2", b"two", 1.0)
            await members.async_write_member("vm-1", b"", 1.0)
            self.assertEqual(await members.async_read_members(1.0), [b"two"])

        self.play(scenario)


class FaultTest(StoreCase):
    """Faults of the store; after each one the same client reads again."""

    def check(self, faults, timeout_s=0.3):
        """Check that a fault is an error, in time, and is over with its cause."""

        async def scenario(store, topic, members):
            store.write(NAME, "a", b"1")
            store.faults = faults
            with anyio.fail_after(timeout_s + 0.5):
                with self.assertRaises(StoreError):
                    await topic.async_read_newest(timeout_s)
            with anyio.fail_after(timeout_s + 0.5):
                with self.assertRaises(StoreError):
                    await topic.async_read_from(0, 0.0, timeout_s)
            with anyio.fail_after(timeout_s + 0.5):
                with self.assertRaises(StoreError):
                    await members.async_write_member("vm", b"x", timeout_s)
            store.faults = StoreFaults()
            page = await topic.async_read_newest(1.0)
            self.assertEqual(len(page.records), 1)

        self.play(scenario)

    def test_unavailable(self):
        self.check(StoreFaults(status=503))

    def test_too_many_calls(self):
        self.check(StoreFaults(status=429))

    def test_condition_failed(self):
        self.check(StoreFaults(status=412))

    def test_storage_full(self):
        self.check(StoreFaults(status=507))

    def test_silent(self):
        self.check(StoreFaults(is_silent=True))

    def test_slow(self):
        self.check(StoreFaults(delay_s=1.0))

    def test_answer_lost(self):
        self.check(StoreFaults(loses_answers=True))

    def test_write_that_takes_effect_late(self):
        async def scenario(store, topic, members):
            store.faults = StoreFaults(loses_answers=True, late_s=0.4)
            with self.assertRaises(StoreError):
                await members.async_write_member("vm-1", b"one", 0.1)
            store.faults = StoreFaults()
            self.assertEqual(await members.async_read_members(1.0), [])

        self.play(scenario)

    def test_nobody_listens(self):
        async def run():
            (port,) = find_free_ports(1)
            settings = StoreSettings("127.0.0.1", port)
            topic = StoreTopic("t", NAME, StoreConnection(settings, SystemClock()))
            with self.assertRaises(StoreError):
                await topic.async_read_newest(0.5)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
