"""Evacuations of a soak: nothing reaches the servers of their zones."""

from __future__ import annotations

from math import inf

import anyio

from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.replicas.contact import StoreContact

EVACUATED_S = 5.0
GAP_S = 10.0
"""For how long a zone is left alone after its evacuation; all VMs hear of its end."""

STRETCH_S = 5.0
UNDER_WAY_S = 0.5
"""How long a request may take to a server after its VM has heard of an evacuation."""


class SoakEvacuations:
    """The zones that are evacuated, and what must hold meanwhile.

    Attributes
    ----------
    checked : int
        Requests for which a bound had passed, at any server.
    events : list of str
        What was written and lost, to trace a finding.
    removed_again : int
        Records that had to be written and removed once more after a restore.
    """

    def __init__(
        self, store: EntryVm, contact: StoreContact, findings: list[str]
    ) -> None:
        self.checked = 0
        self.events: list[str] = []
        self.removed_again = 0
        self._contact = contact
        self._ended_s: dict[str, float] = {}
        self._findings = findings
        self._known_s: dict[tuple[EntryVm, str], float] = {}
        self._restored: set[str] = set()
        self._since_s: dict[str, float] = {}
        self._store = store

    def list_free(self, zones: list[str]) -> list[str]:
        """Return the zones that may be evacuated, of which one always stays."""
        if len(self._since_s) + 1 >= len(zones):
            return []
        latest_s = anyio.current_time() - GAP_S
        free = [zone for zone in zones if zone not in self._since_s]
        return [zone for zone in free if self._ended_s.get(zone, -inf) < latest_s]

    def begin(self, zone: str) -> None:
        """Write the record of an evacuation."""
        self.note_event(f"begins {zone}")
        self._since_s[zone] = anyio.current_time()
        self._store.evacuate(zone)

    def end(self, zone: str) -> None:
        """Remove the record of an evacuation."""
        self.note_event(f"ends {zone}")
        del self._since_s[zone]
        self._ended_s[zone] = anyio.current_time()
        self._known_s = {
            pair: at_s for pair, at_s in self._known_s.items() if pair[1] != zone
        }
        self._store.evacuate(zone, False)

    def write_again(self) -> None:
        """Write all records anew, after the store came back from a copy."""
        self.note_event(f"writes again, evacuated: {sorted(self._since_s)}")
        self._restored |= {*self._since_s, *self._ended_s}
        for zone in self._restored:
            self._store.evacuate(zone, zone in self._since_s)

    def note_event(self, what: str) -> None:
        """Keep what happened, with its time."""
        self.events.append(f"{anyio.current_time():.2f} {what}")

    def watch(self, vms: list[EntryVm]) -> None:
        """Note which VMs know of the evacuations, and that one has forgotten."""
        for vm in vms:
            zones = vm.daemon._registry.evacuated_zones.list_zones()
            for zone in self._since_s:
                if zone in zones:
                    self._known_s.setdefault((vm, zone), anyio.current_time())
                elif self._known_s.pop((vm, zone), None) is not None:
                    self._findings.append(f"{vm.settings.vm_id} forgot about {zone}")

    def check_arrival(self, zone: str, vm: EntryVm, request_id: str) -> None:
        """Note a request that came from a VM to a server of an evacuated zone."""
        bound_s = {one: self._find_bound(one, vm) for one in self._since_s}
        now_s = anyio.current_time()
        self.checked += any(now_s > one for one in bound_s.values())
        if now_s > bound_s.get(zone, inf):
            began_s = now_s - self._since_s[zone]
            self._findings.append(
                f"{request_id} came from {vm.settings.vm_id} to {zone}, "
                f"{began_s:.2f} s after its evacuation"
            )

    def remove_again(self, vms: list[EntryVm]) -> None:
        """Remove records again of which VMs have missed the end in a restored store.

        The newest records don't list what was removed, so VMs keep such a zone
        evacuated (docs/design/evacuation.md). Without a restore that is a fault.
        """
        for zone in self._restored - self._since_s.keys():
            if self._list_keepers(zone, vms):
                self.note_event(f"removes {zone} again")
                self.removed_again += 1
                self._store.evacuate(zone)
                self._store.evacuate(zone, False)

    def check_ended(self, vms: list[EntryVm]) -> None:
        """Note VMs that keep a zone evacuated long after its record was removed."""
        latest_s = anyio.current_time() - EVACUATED_S - STRETCH_S
        for zone, ended_s in self._ended_s.items():
            if zone in self._since_s or ended_s > latest_s:
                continue
            for vm_id in self._list_keepers(zone, vms):
                self._findings.append(f"{vm_id} kept {zone} evacuated")

    def _list_keepers(self, zone: str, vms: list[EntryVm]) -> list[str]:
        """Return the VMs for which a zone is evacuated."""
        return [
            vm.settings.vm_id
            for vm in vms
            if zone in vm.daemon._registry.evacuated_zones
        ]

    def _find_bound(self, zone: str, vm: EntryVm) -> float:
        """Return from when on no request of a VM may reach a zone."""
        known_s = self._known_s.get((vm, zone), inf) + UNDER_WAY_S
        if not self._contact.is_in_contact(vm):
            return known_s
        since_s = self._since_s[zone]
        is_stretched = self._contact.read_disturbed_s(vm) > since_s
        bound_s = since_s + EVACUATED_S + (STRETCH_S if is_stretched else 0.0)
        return min(known_s, bound_s)
