"""Which VMs of a soak are in contact with the store."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

import anyio

from tests.cardamomtack_daemon.forwarding.case import EntryVm

CONTACT_S = 3.0
"""For how long a VM has reached the store when rules with a bound hold for it."""


class StoreContact:
    """When the store was last disturbed, for each VM and for all."""

    def __init__(self) -> None:
        self._disturbed_s: dict[EntryVm, float] = {}
        self._settles_s = -inf

    def watch(self, vms: Iterable[EntryVm]) -> None:
        """Note the VMs that the store refuses or ignores now."""
        for vm in vms:
            topics = (vm.configuration, vm.entries)
            if any(topic.is_out or topic.is_silent for topic in topics):
                self._disturbed_s[vm] = anyio.current_time()

    def disturb(self, until_s: float) -> None:
        """Note that the store lacks records until some time."""
        self._settles_s = max(self._settles_s, until_s)

    def read_disturbed_s(self, vm: EntryVm) -> float:
        """Return when the store was last disturbed for a VM."""
        return max(self._disturbed_s.get(vm, -inf), self._settles_s)

    def is_in_contact(self, vm: EntryVm) -> bool:
        """Return whether rules with a bound hold for a VM."""
        return anyio.current_time() > self.read_disturbed_s(vm) + CONTACT_S
