"""Servers that come, drain, vanish and come back."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cardamomtack.discovery.const import HOLD_LAPSED_S
from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.helpers.clock import ManualClock

DRAIN_S = 2.0
"""Bound of the users for a server that has left to get no more work, in seconds."""

ENTRY = ServerEntry("s-1", "desk", "10.0.0.1", 80, "zone-a", 4, False, 0.0, 1)


class RegistryTest(unittest.TestCase):
    """Which servers may get work."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.registry = ServerRegistry(self.clock)
        self.gone = []
        self.registry.add_listener(lambda server: self.gone.append(server.vm_id))

    def list_usable(self, service="desk"):
        """Return the ids of the servers that may get work."""
        now_s = self.clock.read_monotonic_s()
        members = self.registry.find_service(service).members
        return sorted(one.vm_id for one in members if one.is_usable(now_s))

    def test_new_draining_and_gone(self):
        self.registry.apply_entry(ENTRY)
        self.assertEqual(self.list_usable(), ["s-1"])
        self.registry.apply_entry(replace(ENTRY, is_draining=True))
        self.assertEqual(self.list_usable(), [])
        self.registry.remove_entry("s-1")
        self.assertEqual(self.registry.servers, {})
        self.assertEqual(self.gone, ["s-1"])

    def test_older_incarnation_changes_nothing(self):
        self.registry.apply_entry(replace(ENTRY, incarnation=5))
        self.registry.apply_entry(replace(ENTRY, incarnation=4, is_draining=True))
        self.assertEqual(self.list_usable(), ["s-1"])

    def test_late_entry_of_a_draining_server_makes_it_ready_again(self):
        self.registry.apply_entry(replace(ENTRY, sequence=7))
        self.registry.apply_entry(replace(ENTRY, is_draining=True, sequence=8))
        self.registry.apply_entry(replace(ENTRY, sequence=6))
        self.assertEqual(self.list_usable(), [])
        self.registry.apply_entry(replace(ENTRY, incarnation=2, sequence=1))
        self.assertEqual(self.list_usable(), ["s-1"])

    def test_server_that_tells_no_start_is_followed_as_its_entries_come(self):
        self.registry.apply_entry(replace(ENTRY, incarnation=0, sequence=7))
        self.registry.apply_entry(
            replace(ENTRY, incarnation=0, is_draining=True, sequence=2)
        )
        self.assertEqual(self.list_usable(), [])

    def test_newer_incarnation_starts_anew(self):
        self.registry.apply_entry(ENTRY)
        known = self.registry.servers["s-1"]
        known.record_unreachable(100.0)
        self.registry.apply_entry(replace(ENTRY, incarnation=2, port=81))
        self.assertTrue(known.is_removed)
        self.assertEqual(self.list_usable(), ["s-1"])
        self.assertEqual(self.registry.servers["s-1"].port, 81)

    def test_address_that_goes_to_another_service(self):
        self.registry.apply_entry(ENTRY)
        self.registry.remove_entry("s-1")
        self.registry.apply_entry(replace(ENTRY, server_id="s-2", service="line"))
        self.assertEqual(self.list_usable("desk"), [])
        self.assertEqual(self.list_usable("line"), ["s-2"])

    def test_entry_that_lapses_with_its_source_is_held(self):
        self.registry.apply_entry(ENTRY)
        self.registry.mark_source_unavailable()
        self.clock.advance(1.0)
        self.registry.remove_entry("s-1")
        self.registry.remove_expired()
        self.assertEqual(self.list_usable(), ["s-1"])
        self.clock.advance(HOLD_LAPSED_S + 0.1)
        self.registry.remove_expired()
        self.assertEqual(self.list_usable(), [])

    def test_server_that_leaves_after_an_outage_is_held_as_if_it_had_lapsed(self):
        self.registry.apply_entry(ENTRY)
        self.registry.mark_source_unavailable()
        self.clock.advance(HOLD_LAPSED_S - 0.1)
        self.registry.remove_entry("s-1")
        self.clock.advance(DRAIN_S)
        self.registry.remove_expired()
        self.assertEqual(self.list_usable(), [])

    def test_held_entry_that_comes_back_stays(self):
        self.registry.apply_entry(ENTRY)
        self.registry.mark_source_unavailable()
        self.registry.remove_entry("s-1")
        self.registry.apply_entry(ENTRY)
        self.clock.advance(HOLD_LAPSED_S + 0.1)
        self.registry.remove_expired()
        self.assertEqual(self.list_usable(), ["s-1"])

    def test_draining_entry_is_not_held(self):
        self.registry.apply_entry(replace(ENTRY, is_draining=True))
        self.registry.mark_source_unavailable()
        self.registry.remove_entry("s-1")
        self.assertEqual(self.registry.servers, {})

    def test_held_server_that_starts_again_elsewhere_is_replaced(self):
        self.registry.apply_entry(ENTRY)
        self.registry.mark_source_unavailable()
        self.registry.remove_entry("s-1")
        self.registry.apply_entry(replace(ENTRY, incarnation=2, port=81))
        self.clock.advance(HOLD_LAPSED_S + 0.1)
        self.registry.remove_expired()
        self.assertEqual(self.registry.servers["s-1"].port, 81)

    def test_removing_an_unknown_server_does_nothing(self):
        self.registry.remove_entry("nobody")
        self.registry.remove_expired()
        self.assertEqual(self.gone, [])


if __name__ == "__main__":
    unittest.main()
