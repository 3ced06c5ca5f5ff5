"""Which VMs can be heard while limits are shared.

This module handles VMs that freeze, end without a word or are cut off from the others.
VMs that hear one another use the part of a limit that is theirs by their number; what
belongs to VMs that are silent is left to them, since they may only be cut off and use
it. A VM that has been silent for long is taken to be gone.
"""

from __future__ import annotations

from dataclasses import dataclass

from cardamomtack.generated.relay import Member
from cardamomtack.limits.const import (
    FORGOTTEN_S,
    HEARTBEAT_S_MIN,
    HEARTBEATS_PER_S_MAX,
    SILENT_AFTER_HEARTBEATS,
)


@dataclass(slots=True)
class _Heard:
    """What was heard of one run of a VM.

    Attributes
    ----------
    at_s : float
        Monotonic time of its last heartbeat, or of the moment from which on one is
        expected, in seconds.
    number : int
        Number of its last heartbeat; -1 for none.
    """

    incarnation: str
    at_s: float
    number: int = -1
    is_idle: bool = False


@dataclass(slots=True, frozen=True)
class FleetPresence:
    """The VMs that share limits.

    Attributes
    ----------
    candidates : list of Member
        Those that are heard and have callers; those that are heard where none has.
    heard_share : float
        Part of all VMs that is heard, from 0 to 1.
    """

    candidates: list[Member]
    heard_share: float


class PresenceTable:
    """Tells which VMs are heard.

    Attributes
    ----------
    is_idle : bool
        Whether this VM has no callers.
    """

    __slots__ = ("_heard", "is_idle")

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self.is_idle = False

    def clear(self) -> None:
        """Expect no heartbeats any more."""
        self._heard.clear()

    def record_heartbeat(
        self, vm_id: str, incarnation: str, number: int, is_idle: bool, now_s: float
    ) -> bool:
        """Record a heartbeat, and return whether it is news.

        Parameters
        ----------
        number : int
            Grows with each heartbeat of a run of the VM.
        """
        heard = self._heard.get(vm_id)
        if heard is None or heard.incarnation != incarnation:
            self._heard[vm_id] = _Heard(incarnation, now_s, number, is_idle)
            return True
        if number <= heard.number:
            return False
        heard.at_s = now_s
        heard.number = number
        heard.is_idle = is_idle
        return True

    def survey(self, own: Member, others: list[Member], now_s: float) -> FleetPresence:
        """Return which of the known VMs share limits.

        Those of which nothing was heard yet count as heard for a while.
        """
        silent_s = SILENT_AFTER_HEARTBEATS * compute_heartbeat_s(1 + len(others))
        heard = [own]
        silent = 0
        idle = {own.vm_id} if self.is_idle else set()
        for member in others:
            record = self._heard.get(member.vm_id)
            if record is None or record.incarnation != member.incarnation:
                record = _Heard(member.incarnation, now_s)
                self._heard[member.vm_id] = record
            age_s = now_s - record.at_s
            if age_s <= silent_s:
                heard.append(member)
                if record.is_idle:
                    idle.add(member.vm_id)
            elif age_s <= silent_s + FORGOTTEN_S:
                silent += 1
        busy = [member for member in heard if member.vm_id not in idle]
        return FleetPresence(busy or heard, len(heard) / (len(heard) + silent))


def compute_heartbeat_s(vms: int) -> float:
    """Return the interval of the heartbeats in a fleet of some size, in seconds."""
    return max(HEARTBEAT_S_MIN, vms / HEARTBEATS_PER_S_MAX)
