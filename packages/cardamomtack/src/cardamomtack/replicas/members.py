"""The entry VMs, and who of them reads the store for the others.

Reads of the store are paid by the call, and 115 VMs that each read for themselves would
pay for every change 115 times; and bytes between availability zones are dear. Two VMs
read, whatever the size of the fleet. In each zone a few VMs hear from them and the
others of the zone from those few, so that the way to another zone is paid once for
many. Nobody is set aside: every VM ranks the VMs it knows alike, those with the largest
links first, and takes over as soon as those before it are silent.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from math import ceil
from random import Random

from msgspec import structs

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.decoding import (
    PORT_MAX,
    TEXT_LENGTH_MAX,
    is_number,
    is_token,
)
from cardamomtack.replicas.const import (
    DEAD_S_MAX,
    DEAD_S_MIN,
    READERS,
    VMS_PER_RELAY,
)

STARTED_MS_MAX = 10**14


class MemberTable:
    """What one VM knows of all VMs.

    Parameters
    ----------
    own : Member
        This VM.

    Attributes
    ----------
    revision : int
        Grows with each change of the VMs that are known or have left.
    """

    __slots__ = ("_dead_s", "_dead_until_s", "_gone", "_members", "own", "revision")

    def __init__(self, own: Member) -> None:
        self._dead_s: dict[str, float] = {}
        self._dead_until_s: dict[str, float] = {}
        self._gone: set[tuple[str, str]] = set()
        self._members: dict[str, Member] = {}
        self.own = own
        self.revision = 0

    @property
    def count(self) -> int:
        """Return how many VMs are known, this one included."""
        return 1 + len(self._members)

    def list_members(self) -> list[Member]:
        """Return all known VMs, this one first."""
        return [self.own, *self._members.values()]

    def update_member(self, member: Member) -> bool:
        """Take news of a VM and return whether they are new."""
        if not _is_sound(member):
            return False
        if member.vm_id == self.own.vm_id:
            self._follow_earlier_run(member)
            return False
        run = (member.vm_id, member.incarnation)
        known = self._members.get(member.vm_id)
        if member.is_leaving:
            if run in self._gone:
                return False
            self._gone.add(run)
            if known is not None and known.incarnation == member.incarnation:
                del self._members[member.vm_id]
            self.revision += 1
            return True
        if run in self._gone:
            return False
        if known is not None and not _is_newer_run(member, known):
            return False
        self._members[member.vm_id] = member
        self.revision += 1
        self.mark_reachable(member.vm_id)
        return True

    def _follow_earlier_run(self, member: Member) -> None:
        """Date this run after an earlier one, also if the clock was set back.

        Other VMs would pass over its news otherwise.
        """
        if member.incarnation != self.own.incarnation:
            self.own.started_ms = max(self.own.started_ms, member.started_ms + 1)

    def has_left(self, vm_id: str, incarnation: str) -> bool:
        """Return whether a run of a VM has announced that it leaves."""
        return (vm_id, incarnation) in self._gone

    def mark_reachable(self, vm_id: str) -> None:
        """Note that a VM can be heard and that the store answers it."""
        self._dead_s.pop(vm_id, None)
        self._dead_until_s.pop(vm_id, None)

    def mark_unreachable(self, vm_id: str, now_s: float) -> None:
        """Pass over a VM for a while, longer each time in a row.

        It is silent, or the store answers others but not it; this VM can be meant, too.
        """
        pause_s = min(DEAD_S_MAX, 2.0 * self._dead_s.get(vm_id, DEAD_S_MIN / 2.0))
        self._dead_s[vm_id] = pause_s
        self._dead_until_s[vm_id] = now_s + pause_s

    def is_reachable(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM is not passed over."""
        return self._dead_until_s.get(vm_id, 0.0) <= now_s

    def choose_other(self, random: Random, upstream_id: str) -> Member | None:
        """Return any VM but this one and the one it hears from, None without others."""
        others = [one for one in self._members.values() if one.vm_id != upstream_id]
        return random.choice(others) if others else None

    def choose_readers(self, now_s: float) -> list[Member]:
        """Return the VMs that read the store, the first one at the root.

        They are spread over the availability zones. A VM that is passed over reads
        only when all are, as in an outage of the store.
        """
        zones = self._rank_zones(now_s)
        wanted = min(READERS, sum(len(zone) for zone in zones.values()))
        names = sorted(zones, key=lambda name: (-zones[name][0].link_mbps, name))
        ranked = [zones[name] for name in names]
        readers: list[Member] = []
        turn = 0
        while len(readers) < wanted:
            zone = ranked[turn % len(ranked)]
            rank = turn // len(ranked)
            if rank < len(zone):
                readers.append(zone[rank])
            turn += 1
        return readers

    def is_reader(self, now_s: float) -> bool:
        """Return whether this VM reads the store for others."""
        return any(one is self.own for one in self.choose_readers(now_s))

    def choose_upstream(self, now_s: float) -> Member | None:
        """Return the VM from which this one hears of changes, None at the root.

        The second reader hears of news of the VMs from the root, the relays of a zone
        from a reader, and the other VMs from a relay of their zone.
        """
        readers = self.choose_readers(now_s)
        if readers[0] is self.own:
            return None
        if any(one is self.own for one in readers):
            return readers[0]
        relays = self._choose_relays(readers, now_s)
        if any(one is self.own for one in relays):
            return self._draw(readers)
        return self._draw(relays or readers)

    def _choose_relays(self, readers: list[Member], now_s: float) -> list[Member]:
        """Return the VMs of this VM's zone from which the others of it hear."""
        name = self.own.availability_zone
        zone = self._rank_zones(now_s).get(name, [])
        relays = [one for one in readers if one.availability_zone == name]
        wanted = ceil(len(zone) / VMS_PER_RELAY)
        relays += [one for one in zone if one not in relays]
        return relays[:wanted]

    def _draw(self, choices: list[Member]) -> Member:
        """Return one of some VMs, by the own name, so that the VMs spread over them."""
        return choices[sum(self.own.vm_id.encode()) % len(choices)]

    def _rank_zones(self, now_s: float) -> dict[str, list[Member]]:
        """Return the VMs that are not passed over, ranked, by availability zone.

        When all are passed over, as in an outage of the store, all are returned.
        """
        known = self.list_members()
        alive = [one for one in known if self.is_reachable(one.vm_id, now_s)] or known
        zones: dict[str, list[Member]] = {}
        for member in sorted(alive, key=lambda one: (-one.link_mbps, one.vm_id)):
            zones.setdefault(member.availability_zone, []).append(member)
        return zones


def is_same_place(member: Member, other: Member) -> bool:
    """Return whether two runs of a VM are reached and ranked alike."""
    aligned = structs.replace(
        other, incarnation=member.incarnation, started_ms=member.started_ms
    )
    return member == aligned


def _is_newer_run(member: Member, known: Member) -> bool:
    """Return whether news of a VM tell of another run than the one that is known.

    The store may name an earlier run, since a VM that starts again at the same place
    does not write its record again.
    """
    if member.incarnation == known.incarnation:
        return False
    if not member.started_ms or not known.started_ms:
        return True
    is_earlier = member.started_ms < known.started_ms
    return not (is_earlier and is_same_place(member, known))


def _is_sound(member: Member) -> bool:
    """Return whether a VM can be connected to, and named in a log."""
    try:
        IPv4Address(member.address)
    except AddressValueError:
        return False
    return (
        0 < member.port <= PORT_MAX
        and is_number(member.link_mbps)
        and 0 <= member.tunnel_port <= PORT_MAX
        and 0 <= member.quota_port <= PORT_MAX
        and 0 <= member.started_ms <= STARTED_MS_MAX
        and is_token(member.vm_id)
        and len(member.availability_zone) <= TEXT_LENGTH_MAX
    )
