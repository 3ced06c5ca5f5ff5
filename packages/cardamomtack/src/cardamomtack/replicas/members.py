"""The entry VMs, and who of them reads the store for the others.

The load that this answers: reads of the store are paid by the call, and 115 VMs that
each read for themselves would pay for every change 115 times. A few VMs read, the
others hear from them, and nobody is set aside: every VM ranks the VMs it knows alike,
and takes over as soon as those before it are silent.
"""

from __future__ import annotations

from math import ceil

from cardamomtack.generated.relay import Member
from cardamomtack.replicas.const import (
    DEAD_S_MAX,
    DEAD_S_MIN,
    READERS_MIN,
    VMS_PER_READER,
)


class MemberTable:
    """What one VM knows of all VMs.

    Parameters
    ----------
    own : Member
        This VM.
    """

    __slots__ = ("_dead_s", "_dead_until_s", "_gone", "_members", "own")

    def __init__(self, own: Member) -> None:
        self._dead_s: dict[str, float] = {}
        self._dead_until_s: dict[str, float] = {}
        self._gone: set[tuple[str, str]] = set()
        self._members: dict[str, Member] = {}
        self.own = own

    @property
    def count(self) -> int:
        """Return how many VMs are known, this one included."""
        return 1 + len(self._members)

    def list_members(self) -> list[Member]:
        """Return all known VMs, this one first."""
        return [self.own, *self._members.values()]

    def add_member(self, member: Member) -> bool:
        """Take news of a VM and return whether they are new."""
        if member.vm_id == self.own.vm_id:
            return False
        run = (member.vm_id, member.incarnation)
        known = self._members.get(member.vm_id)
        if member.is_leaving:
            if run in self._gone:
                return False
            self._gone.add(run)
            if known is not None and known.incarnation == member.incarnation:
                del self._members[member.vm_id]
            return True
        if run in self._gone:
            return False
        if known is not None and known.incarnation == member.incarnation:
            return False
        self._members[member.vm_id] = member
        self.note_alive(member.vm_id)
        return True

    def note_alive(self, vm_id: str) -> None:
        """Note that a VM can be heard and that the store answers it."""
        self._dead_s.pop(vm_id, None)
        self._dead_until_s.pop(vm_id, None)

    def note_dead(self, vm_id: str, now_s: float) -> None:
        """Pass over a VM for a while, longer each time in a row.

        It is silent, or the store does not answer it; this VM can be meant, too.
        """
        pause_s = min(DEAD_S_MAX, 2.0 * self._dead_s.get(vm_id, DEAD_S_MIN / 2.0))
        self._dead_s[vm_id] = pause_s
        self._dead_until_s[vm_id] = now_s + pause_s

    def is_alive(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM is not passed over."""
        return self._dead_until_s.get(vm_id, 0.0) <= now_s

    def choose_readers(self, now_s: float) -> list[Member]:
        """Return the VMs that read the store, the first one at the root.

        They are spread over the availability zones. A VM that is passed over reads
        only when all are, as in an outage of the store.
        """
        known = self.list_members()
        alive = [one for one in known if self.is_alive(one.vm_id, now_s)] or known
        by_zone: dict[str, list[Member]] = {}
        for member in sorted(alive, key=lambda one: one.vm_id):
            by_zone.setdefault(member.availability_zone, []).append(member)
        zones = [by_zone[zone] for zone in sorted(by_zone)]
        wanted = max(READERS_MIN, ceil(len(alive) / VMS_PER_READER))
        readers: list[Member] = []
        turn = 0
        while len(readers) < min(wanted, len(alive)):
            zone = zones[turn % len(zones)]
            rank = turn // len(zones)
            if rank < len(zone):
                readers.append(zone[rank])
            turn += 1
        return readers

    def is_reader(self, now_s: float) -> bool:
        """Return whether this VM reads the store for others."""
        return any(one is self.own for one in self.choose_readers(now_s))

    def choose_upstream(self, now_s: float) -> Member | None:
        """Return the VM from which this one hears of changes, None at the root.

        Readers hear of news of the VMs from the root; the others prefer a reader of
        their own zone.
        """
        readers = self.choose_readers(now_s)
        if readers[0] is self.own:
            return None
        if any(one is self.own for one in readers):
            return readers[0]
        zone = self.own.availability_zone
        near = [one for one in readers if one.availability_zone == zone]
        choices = near or readers
        # The VMs spread over the readers by their names.
        return choices[sum(self.own.vm_id.encode()) % len(choices)]
