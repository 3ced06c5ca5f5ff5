"""Which VMs are asked to reach servers for this one."""

from __future__ import annotations

from random import Random

from cardamomtack.generated.relay import Member
from cardamomtack.reach.const import (
    HELPER_PAUSE_S_MAX,
    HELPER_PAUSE_S_MIN,
    HELPERS_IN_VAIN_MAX,
    IN_VAIN_S,
)
from cardamomtack.replicas.members import MemberTable

CHOICES = 2
FAILURES_MAX = 2
"""After how many failures in a row a VM no longer counts as one that has helped."""


class _Helper:
    """What is known of one VM as a helper."""

    __slots__ = ("connections", "failures", "has_helped", "pause_s", "paused_until_s")

    def __init__(self) -> None:
        self.connections = 0
        self.failures = 0
        self.has_helped = False
        self.pause_s = 0.0
        self.paused_until_s = 0.0


class HelperTable:
    """The other VMs as helpers.

    Parameters
    ----------
    members : MemberTable
        The VMs.
    random : Random
        Spreads the VMs that need help over the others.
    """

    __slots__ = ("_helpers", "_in_vain", "_in_vain_until_s", "_members", "_random")

    def __init__(self, members: MemberTable, random: Random) -> None:
        self._helpers: dict[str, _Helper] = {}
        self._in_vain = 0
        self._in_vain_until_s = 0.0
        self._members = members
        self._random = random

    def choose(self, excluded: set[str], now_s: float) -> Member | None:
        """Return a VM to ask, or None when there is none that could help now.

        Of two VMs it is the one that does less for this VM beside what its link takes.
        After one that could not help it is one that has helped before.

        Parameters
        ----------
        excluded : set of str
            VMs that were asked already.
        """
        if now_s < self._in_vain_until_s:
            return None
        others = [
            member
            for member in self._members.list_members()[1:]
            if member.tunnel_port and member.vm_id not in excluded
        ]
        able = [one for one in others if self._is_rested(one.vm_id, now_s)]
        known = [one for one in able if self._find(one.vm_id).has_helped]
        if excluded and known:
            able = known
        if not able:
            # Silence may be that of a server, so it takes the last helpers from nobody.
            able = [one for one in others if self._find(one.vm_id).has_helped]
        if not able:
            return None
        drawn = self._random.sample(able, min(CHOICES, len(able)))
        return min(drawn, key=self._compute_share)

    def can_help(self, now_s: float) -> bool:
        """Return whether a VM could be asked now."""
        return now_s >= self._in_vain_until_s and any(
            one.tunnel_port
            and (self._find(one.vm_id).has_helped or self._is_rested(one.vm_id, now_s))
            for one in self._members.list_members()[1:]
        )

    def has_any(self) -> bool:
        """Return whether there is another VM at all."""
        return any(one.tunnel_port for one in self._members.list_members()[1:])

    def record_help(self, vm_id: str) -> None:
        """Record that a VM has reached a server, or was refused by it."""
        self._in_vain = 0
        helper = self._find(vm_id)
        helper.failures = 0
        helper.has_helped = True
        helper.pause_s = 0.0

    def record_failure(self, vm_id: str, now_s: float) -> None:
        """Record that a VM can't help, for longer with each time in a row."""
        helper = self._find(vm_id)
        helper.pause_s = min(
            HELPER_PAUSE_S_MAX, max(HELPER_PAUSE_S_MIN, 2.0 * helper.pause_s)
        )
        helper.paused_until_s = now_s + helper.pause_s
        helper.failures += 1
        if helper.failures >= FAILURES_MAX:
            helper.has_helped = False
        if any(one.has_helped for one in self._helpers.values()):
            return
        self._in_vain += 1
        if self._in_vain >= min(HELPERS_IN_VAIN_MAX, self._members.count - 1):
            # Others are cut off, too, and asking them holds callers up.
            self._in_vain = 0
            self._in_vain_until_s = now_s + IN_VAIN_S

    def record_silence(self, vm_id: str, now_s: float) -> None:
        """Record that nothing came back through a VM; its server may be silent, too."""
        helper = self._find(vm_id)
        helper.paused_until_s = max(helper.paused_until_s, now_s + HELPER_PAUSE_S_MIN)

    def record_opened(self, vm_id: str) -> None:
        """Count a connection through a VM."""
        self._find(vm_id).connections += 1

    def record_closed(self, vm_id: str) -> None:
        """Count a connection through a VM that has ended."""
        self._find(vm_id).connections -= 1

    def _is_rested(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM is not passed over."""
        return self._find(vm_id).paused_until_s <= now_s

    def _compute_share(self, member: Member) -> float:
        """Return the connections through a VM for each Mbit/s of its link."""
        connections = self._find(member.vm_id).connections + 1
        return connections / max(1.0, member.link_mbps)

    def _find(self, vm_id: str) -> _Helper:
        """Return what is known of a VM."""
        return self._helpers.setdefault(vm_id, _Helper())
