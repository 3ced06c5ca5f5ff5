"""All topics of one VM, and what VMs tell one another of them."""

from __future__ import annotations

from math import ceil

from cardamomtack.generated.relay import (
    Freshness,
    Member,
    PackedRecords,
    Subscribe,
    TopicFreshness,
    TopicPosition,
    TopicRecords,
)
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.replicas.const import STALE_AFTER_S
from cardamomtack.replicas.feed import TopicFeed
from cardamomtack.replicas.packing import PagePacker, unpack_page
from cardamomtack.replicas.peer_clock import PeerClock
from cardamomtack.replicas.topic import END_UNKNOWN, START_NEWEST, TopicReplica


class ReplicaSet:
    """The replicas of a VM by topic.

    Parameters
    ----------
    replicas : list of TopicReplica
        One for each topic.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_packer", "_replicas")

    def __init__(self, replicas: list[TopicReplica], clock: Clock) -> None:
        self._clock = clock
        self._packer = PagePacker()
        self._replicas = {replica.topic: replica for replica in replicas}

    def apply_records(self, page: TopicRecords, vm_id: str) -> None:
        """Take the records that another VM tells; a topic not known here is not.

        Raises
        ------
        TopicGapError
            When records are missing; a new subscription brings them.
        """
        replica = self._replicas.get(page.topic)
        if replica is not None:
            replica.apply_records(page, vm_id)

    def apply_packed(self, packed: PackedRecords, vm_id: str) -> None:
        """Take records that another VM tells packed; what is known is left packed.

        Raises
        ------
        BaseUnknownError
            When they are packed against what is not known here; a new subscription
            brings them.
        PackingError
            When they can't be read.
        TopicGapError
            When records are missing; a new subscription brings them.
        """
        replica = self._replicas.get(packed.topic)
        if replica is None:
            return
        is_known = (packed.history, packed.end) <= replica.position
        if packed.start == START_NEWEST or not is_known:
            page = unpack_page(packed, replica.values.find)
            replica.apply_records(page, vm_id)

    def is_known(self) -> bool:
        """Return whether something is known of every topic."""
        return all(replica.end != END_UNKNOWN for replica in self._replicas.values())

    def is_stale(self) -> bool:
        """Return whether the store has not confirmed a topic for too long."""
        now_s = self._clock.read_boot_s()
        return any(
            replica.compute_age_s(now_s) > STALE_AFTER_S
            for replica in self._replicas.values()
        )

    def write_subscription(self, own: Member, wants_members: bool) -> Subscribe:
        """Return the first message to another VM: what this one knows."""
        positions = [
            TopicPosition(
                topic, replica.end, replica.history, replica.values.list_digests()
            )
            for topic, replica in self._replicas.items()
        ]
        return Subscribe(own, positions, wants_members)

    def open_feeds(self, subscribe: Subscribe) -> list[TopicFeed]:
        """Return what a subscriber has to be told of each topic, now and later."""
        told = {position.topic: position for position in subscribe.positions}
        return [
            TopicFeed(replica, self._packer, told.get(topic))
            for topic, replica in self._replicas.items()
        ]

    def write_freshness(self) -> Freshness:
        """Return the heartbeat; topics that are stale here are left out."""
        now_s = self._clock.read_boot_s()
        topics = [
            TopicFreshness(topic, replica.end, ceil(age_s * MS_PER_S), replica.history)
            for topic, replica in self._replicas.items()
            if (age_s := replica.compute_age_s(now_s)) <= STALE_AFTER_S
        ]
        return Freshness(topics, int(now_s * MS_PER_S))

    def apply_freshness(
        self, freshness: Freshness, vm_id: str, peer_clock: PeerClock
    ) -> None:
        """Apply the heartbeat of another VM.

        It confirms only what it knows, too: the same history, as far or less far.
        """
        now_s = self._clock.read_boot_s()
        sent_at_s = peer_clock.find_sent_at_s(freshness.sent_at_ms, now_s)
        for told in freshness.topics:
            replica = self._replicas.get(told.topic)
            if replica is None or replica.history != told.history:
                continue
            if replica.end >= told.end:
                replica.confirm(sent_at_s - told.age_ms / MS_PER_S, vm_id)

    def covers_all(self, freshness: Freshness) -> bool:
        """Return whether a VM has told that it is fresh in every topic."""
        return len(self._list_told(freshness)) == len(self._replicas)

    def knows_more(self, freshness: Freshness, vm_id: str) -> bool:
        """Return whether a VM lacks a topic that others have confirmed here.

        Then the store answers others, but neither that VM nor those it hears from.
        """
        now_s = self._clock.read_boot_s()
        told = self._list_told(freshness)
        return any(
            topic not in told and replica.is_fresh_without(vm_id, now_s)
            for topic, replica in self._replicas.items()
        )

    def _list_told(self, freshness: Freshness) -> set[str]:
        """Return the topics of a heartbeat that are of no older history than here."""
        return {
            told.topic
            for told in freshness.topics
            if (replica := self._replicas.get(told.topic)) is not None
            and told.history >= replica.history
        }
