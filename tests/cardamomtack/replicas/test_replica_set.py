"""What VMs conclude from what others tell of their topics."""

from __future__ import annotations

import unittest

from cardamomtack.generated.relay import Freshness, TopicRecords
from cardamomtack.helpers.clock import ManualClock
from cardamomtack.replicas.peer_clock import PeerClock
from cardamomtack.replicas.replica_set import ReplicaSet
from cardamomtack.replicas.topic import SOURCE_STORE, START_NEWEST, TopicReplica


class ReplicaSetTest(unittest.TestCase):
    """Two topics of a VM that hears from vm-1."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.replicas = [TopicReplica("a"), TopicReplica("b")]
        for replica in self.replicas:
            replica.apply_records(TopicRecords(replica.topic, START_NEWEST, 3, [], 2))
            replica.confirm(100.0, "vm-1")
        self.set = ReplicaSet(self.replicas, self.clock)

    def count_told(self, subscribe):
        """Return of how many topics a subscriber is told the newest records."""
        messages = [feed.take() for feed in self.set.open_feeds(subscribe)]
        pages = [message.records for message in messages if message is not None]
        return sum(page.start == START_NEWEST for page in pages)

    def hear(self, freshness, vm_id="vm-1"):
        """Apply a heartbeat that was not late."""
        peer_clock = PeerClock(self.clock.read_boot_s())
        self.set.apply_freshness(freshness, vm_id, peer_clock)

    def test_vm_that_knows_nothing_while_the_store_is_away_is_passed_over(self):
        silent = Freshness([])
        self.assertFalse(self.set.knows_more(silent, "vm-1"))
        self.clock.advance(5.0)
        self.assertTrue(self.set.is_stale())
        self.assertFalse(self.set.knows_more(silent, "vm-1"))

    def test_vm_that_the_store_does_not_answer_is_heard_on(self):
        self.clock.advance(5.0)
        self.replicas[0].confirm(104.9, SOURCE_STORE)
        self.assertTrue(self.set.knows_more(Freshness([]), "vm-1"))

    def test_heartbeat_of_another_history_confirms(self):
        told = self.set.write_freshness()
        self.clock.advance(1.0)
        for topic in told.topics:
            topic.age_ms = 0
            topic.history = 1
        self.hear(told)
        self.assertEqual(self.replicas[0].compute_age_s(101.0), 1.0)
        self.assertFalse(self.set.covers_all(told))
        for topic in told.topics:
            topic.history = 3
        self.hear(told)
        self.assertEqual(self.replicas[0].compute_age_s(101.0), 1.0)
        for topic in told.topics:
            topic.history = 2
        self.hear(told)
        self.assertEqual(self.replicas[0].compute_age_s(101.0), 0.0)

    def test_subscriber_of_an_older_history_is_told_nothing(self):
        other = ReplicaSet([TopicReplica("a"), TopicReplica("b")], self.clock)
        self.assertEqual(self.count_told(other.write_subscription(None, True)), 2)
        own = self.set.write_subscription(None, True)
        self.assertEqual(self.count_told(own), 0)
        for position in own.positions:
            position.history, position.end = 1, 9
        self.assertEqual(self.count_told(own), 2)


if __name__ == "__main__":
    unittest.main()
