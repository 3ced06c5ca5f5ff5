"""The replica of a topic, against records that come late, twice, stale or with gaps."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.replicas.topic import START_NEWEST, TopicGapError, TopicReplica

KEYS = ("a", "b", "c")


def write_log(values):
    """Return the records of a log from pairs of key and value."""
    return [
        TopicRecord(offset, key, value) for offset, (key, value) in enumerate(values)
    ]


def take_newest(log, end):
    """Return the newest records as of an offset."""
    newest = {record.key: record for record in log[:end]}
    records = [record for record in newest.values() if record.value]
    return TopicRecords("t", START_NEWEST, end, records)


def take_range(log, start, end):
    """Return a range of records."""
    return TopicRecords("t", start, end, log[start:end])


def read_state(replica):
    """Return what a replica holds."""
    return {
        record.key: record.value for record in replica.build_newest_records().records
    }


LOG = write_log([("a", b"1"), ("b", b"2"), ("a", b"3"), ("b", b""), ("c", b"4")])


class ReplicaTest(unittest.TestCase):
    """What a replica holds after each way of learning."""

    def setUp(self):
        self.replica = TopicReplica("t")

    def test_newest_then_range(self):
        self.replica.apply_records(take_newest(LOG, 2))
        self.replica.apply_records(take_range(LOG, 2, 5))
        self.assertEqual(read_state(self.replica), {"a": b"3", "c": b"4"})
        self.assertEqual(self.replica.end, 5)

    def test_stale_newest_changes_nothing(self):
        self.replica.apply_records(take_newest(LOG, 5))
        self.replica.apply_records(take_newest(LOG, 2))
        self.assertEqual(read_state(self.replica), {"a": b"3", "c": b"4"})

    def test_range_that_is_known_changes_nothing(self):
        self.replica.apply_records(take_newest(LOG, 5))
        changes = []
        self.replica.add_listener(changes.extend)
        self.replica.apply_records(take_range(LOG, 0, 4))
        self.assertEqual(changes, [])

    def test_gap_is_an_error(self):
        self.replica.apply_records(take_newest(LOG, 2))
        with self.assertRaises(TopicGapError):
            self.replica.apply_records(take_range(LOG, 3, 5))

    def test_newest_without_a_key_drops_it(self):
        self.replica.apply_records(take_newest(LOG, 2))
        changes = []
        self.replica.add_listener(changes.extend)
        self.replica.apply_records(take_newest(LOG, 5))
        self.assertIn(("b", b""), [(one.key, one.value) for one in changes])

    def test_pages_that_are_newer_than_their_end(self):
        # The page was read while records were written, so it holds more than it says.
        page = TopicRecords("t", START_NEWEST, 1, [LOG[2], LOG[4]])
        self.replica.apply_records(page)
        self.replica.apply_records(take_range(LOG, 1, 5))
        self.assertEqual(read_state(self.replica), {"a": b"3", "c": b"4"})

    def test_relays_get_each_record_once(self):
        relayed = []
        self.replica.add_records_listener(relayed.append)
        self.replica.apply_records(take_newest(LOG, 2))
        self.replica.apply_records(take_range(LOG, 2, 4))
        self.replica.apply_records(take_range(LOG, 2, 5))
        spans = [(one.start, one.end, len(one.records)) for one in relayed]
        self.assertEqual(spans, [(START_NEWEST, 2, 2), (2, 4, 2), (4, 5, 1)])

    def test_age_counts_from_the_newest_confirmation(self):
        self.replica.confirm(5.0)
        self.replica.confirm(3.0)
        self.assertEqual(self.replica.compute_age_s(6.0), 1.0)
        self.replica.clear_confirmation()
        self.assertGreater(self.replica.compute_age_s(6.0), 1e9)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_never_goes_back_whatever_arrives(self, data):
        values = st.tuples(st.sampled_from(KEYS), st.sampled_from([b"", b"1", b"2"]))
        log = write_log(data.draw(st.lists(values, min_size=1, max_size=12)))
        replica = TopicReplica("t")
        for _ in range(data.draw(st.integers(1, 8))):
            end = data.draw(st.integers(0, len(log)))
            start = data.draw(st.integers(START_NEWEST, end))
            known = replica.end
            try:
                if start == START_NEWEST:
                    replica.apply_records(take_newest(log, end))
                else:
                    replica.apply_records(take_range(log, start, end))
            except TopicGapError:
                self.assertGreater(start, known)
            self.assertGreaterEqual(replica.end, known)
            if replica.end >= 0:
                expected = take_newest(log, replica.end).records
                self.assertEqual(
                    read_state(replica), {one.key: one.value for one in expected}
                )


if __name__ == "__main__":
    unittest.main()
