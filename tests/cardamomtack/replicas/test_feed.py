"""What a subscriber is told of a topic, and how it is packed."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack, structs
from zstandard import ZstdCompressor

from cardamomtack.generated.relay import (
    PackedRecords,
    Subscribe,
    TopicPosition,
    TopicRecord,
    TopicRecords,
)
from cardamomtack.helpers.clock import ManualClock
from cardamomtack.replicas.packing import (
    UNPACKED_BYTES_MAX,
    BaseUnknownError,
    PackingError,
)
from cardamomtack.replicas.replica_set import ReplicaSet
from cardamomtack.replicas.topic import START_NEWEST, TopicGapError, TopicReplica
from tests.cardamomtack.replicas.test_topic import (
    KEYS,
    DigitOrder,
    read_state,
    take_newest,
    take_range,
    write_log,
)

SMALL_LINK_BYTES = 5_000_000 / 8 * 2.0 / 16 / 2
"""Half of what a link of 5 Mbit/s takes in 2 s, for each of 16 subscribers."""


def make_text(routes: int, changed: int = -1) -> bytes:
    """Return a configuration of many routes, one of them changed."""
    random = Random(1)
    return b",".join(
        b'{"name":"r-%d","pathPrefix":"/%08x/","timeoutS":%d}'
        % (number, random.getrandbits(32), 9 if number == changed else 4)
        for number in range(routes)
    )


class Pair:
    """A VM and one that hears from it."""

    def __init__(self, order: DigitOrder | None = None) -> None:
        clock = ManualClock()
        self.known = TopicReplica("t", order)
        self.heard = TopicReplica("t", order)
        self.set = ReplicaSet([self.known], clock)
        self.subscriber = ReplicaSet([self.heard], clock)
        self.sent_bytes = 0
        self.subscribe()

    def subscribe(self) -> None:
        """Open a new stream."""
        told = self.subscriber.write_subscription(None, True)
        (self.feed,) = self.set.open_feeds(told)

    def tell(self) -> None:
        """Tell the subscriber what it lacks."""
        message = self.feed.take()
        if message is None:
            return
        if message.records is not None:
            self.sent_bytes = sum(len(one.value) for one in message.records.records)
            self.subscriber.apply_records(message.records, "vm-1")
        if message.packed is not None:
            self.sent_bytes = len(message.packed.body)
            self.subscriber.apply_packed(message.packed, "vm-1")


class FeedTest(unittest.TestCase):
    """One subscriber."""

    def test_overtaken_versions_are_told_before_the_newest(self):
        pair = Pair()
        log = write_log([("a", b"%d" % number) for number in range(9)])
        pair.known.apply_records(take_newest(log, 1))
        pair.tell()
        changes = []
        pair.heard.add_listener(changes.extend)
        for end in range(2, 10):
            pair.known.apply_records(take_range(log, end - 1, end))
        pair.tell()
        self.assertEqual([change.value for change in changes], [b"8"])

    def test_all_records_are_told_again_to_one_that_lacks_a_few(self):
        pair = Pair()
        log = write_log([(f"k-{number}", b"v" * 100) for number in range(500)])
        pair.known.apply_records(take_newest(log, 499))
        pair.tell()
        pair.known.apply_records(take_newest(log, 500))
        pair.subscribe()
        pair.tell()
        self.assertEqual(pair.sent_bytes, 100)
        self.assertEqual(read_state(pair.heard), read_state(pair.known))

    def test_change_of_one_route_costs_the_whole_configuration(self):
        for routes in (100, 400, 1400, 3000, 12_000):
            with self.subTest(routes):
                pair = Pair()
                log = write_log(
                    [("a", make_text(routes)), ("a", make_text(routes, routes // 2))]
                )
                pair.known.apply_records(take_newest(log, 1))
                pair.tell()
                pair.known.apply_records(take_range(log, 1, 2))
                pair.tell()
                self.assertEqual(read_state(pair.heard), read_state(pair.known))
                self.assertLess(pair.sent_bytes, SMALL_LINK_BYTES / 16)

    def test_whole_configuration_fills_a_small_link(self):
        pair = Pair()
        pair.known.apply_records(take_newest(write_log([("a", make_text(3000))]), 1))
        pair.tell()
        self.assertLess(pair.sent_bytes, SMALL_LINK_BYTES)

    def test_value_packed_against_another_is_taken(self):
        pair = Pair()
        log = write_log([("a", make_text(100, number)) for number in range(12)])
        pair.known.apply_records(take_newest(log, 1))
        pair.tell()
        pair.known.apply_records(take_range(log, 1, 2))
        message = pair.feed.take()
        for end in range(2, 12):
            pair.heard.apply_records(take_newest(log, end))
        late = structs.replace(message.packed, start=START_NEWEST, end=99)
        with self.assertRaises(BaseUnknownError):
            pair.subscriber.apply_packed(late, "vm-1")
        self.assertEqual(read_state(pair.heard), {"a": log[10].value})

    def test_vm_of_before_gets_what_it_can_not_read(self):
        pair = Pair()
        pair.known.apply_records(take_newest(write_log([("a", make_text(100))]), 1))
        (feed,) = pair.set.open_feeds(Subscribe(None, [TopicPosition("t", -1)]))
        self.assertEqual(feed.take().records.records[0].value, make_text(100))

    def test_odd_pages_end_more_than_their_stream(self):
        pair = Pair()
        too_long = ZstdCompressor().compress(b"\0" * (UNPACKED_BYTES_MAX + 1))
        unsized = ZstdCompressor(write_content_size=False).compress(b"\x90")
        for body in (b"", b"x" * 40, too_long, unsized, too_long[:20]):
            with self.subTest(body[:8]), self.assertRaises(PackingError):
                page = PackedRecords("t", START_NEWEST, 1, 0, body)
                pair.subscriber.apply_packed(page, "vm-1")
        records = TopicRecords("t", START_NEWEST, 1, [TopicRecord(0, "a", b"x", 7)])
        page = self.pack(records)
        with self.assertRaises(BaseUnknownError):
            pair.subscriber.apply_packed(page, "vm-1")

    def pack(self, page: TopicRecords) -> PackedRecords:
        """Return a page whose values are packed already."""
        body = ZstdCompressor().compress(msgpack.encode(page.records))
        return PackedRecords(page.topic, page.start, page.end, page.history, body)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.data())
    def test_subscriber_knows_something_else(self, data):
        values = st.tuples(st.sampled_from(KEYS), st.sampled_from([b"", b"1", b"2"]))
        log = write_log(data.draw(st.lists(values, min_size=1, max_size=14)))
        pair = Pair()
        for _ in range(data.draw(st.integers(1, 10))):
            end = data.draw(st.integers(0, len(log)))
            start = data.draw(st.integers(START_NEWEST, end))
            replica = data.draw(st.sampled_from([pair.known, pair.known, pair.heard]))
            try:
                if start == START_NEWEST:
                    replica.apply_records(take_newest(log, end))
                else:
                    replica.apply_records(take_range(log, start, end))
            except TopicGapError:
                continue
            if data.draw(st.booleans()):
                pair.subscribe()
            if data.draw(st.booleans()):
                pair.tell()
        pair.tell()
        self.assertGreaterEqual(pair.heard.end, pair.known.end)
        if pair.heard.end == pair.known.end:
            self.assertEqual(read_state(pair.heard), read_state(pair.known))


if __name__ == "__main__":
    unittest.main()
