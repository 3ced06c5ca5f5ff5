"""Availability zones that are evacuated, and records of it that can't be used."""

from __future__ import annotations

import unittest
from dataclasses import replace

from loguru import logger

from cardamomtack.discovery.evacuation import (
    CHANGES_LOGGED_MAX,
    EvacuatedZones,
    EvacuationCoordinator,
)
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import TopicRecord
from cardamomtack.helpers.clock import ManualClock
from cardamomtack_platform.codec import PlatformCodec
from tests.cardamomtack.discovery.test_registry import ENTRY

FAULTY_KEYS = (
    "evacuate/",
    "evacuate/a\r\nb",
    "evacuate/\x00",
    "evacuate/" + "z" * 300,
    "evacuate/\ud800",
)


def write(key, value=b"{}", offset=7):
    """Return a record."""
    return TopicRecord(offset, key, value)


class EvacuationTest(unittest.TestCase):
    """Which servers may get work while zones are evacuated."""

    def setUp(self):
        self.registry = ServerRegistry(ManualClock(100.0))
        self.coordinator = EvacuationCoordinator(
            PlatformCodec(),
            self.registry.evacuated_zones,
            lambda: "vm-2",
            lambda: 0.25,
        )
        self.lines = []
        sink = logger.add(self.lines.append, level="INFO")
        self.addCleanup(logger.remove, sink)
        for server_id, zone in (("s-1", "a"), ("s-2", "b"), ("s-3", "c")):
            self.register(server_id, zone)

    def register(self, server_id, zone, **changes):
        """Register a server of a zone."""
        entry = replace(ENTRY, server_id=server_id, availability_zone=zone, **changes)
        self.registry.apply_entry(entry)

    def list_usable(self):
        """Return the servers that may get work, by each way to ask."""
        servers = sorted(self.registry.servers.values(), key=lambda one: one.vm_id)
        usable = [one.vm_id for one in servers if one.is_usable(100.0)]
        staying = [one.vm_id for one in servers if one.may_stay]
        reserved = [one.vm_id for one in servers if one.reserve_send(100.0)]
        self.assertEqual(usable, staying)
        self.assertEqual(usable, reserved)
        return usable

    def test_server_of_an_evacuated_zone_gets_work(self):
        self.coordinator.apply_records([write("evacuate/a")])
        self.assertEqual(self.list_usable(), ["s-2", "s-3"])
        self.coordinator.apply_records([write("evacuate/c"), write("evacuate/a", b"")])
        self.assertEqual(self.list_usable(), ["s-1", "s-2"])

    def test_server_that_comes_back_during_an_evacuation_gets_work(self):
        self.coordinator.apply_records([write("evacuate/a")])
        self.registry.remove_entry("s-1")
        self.register("s-1", "a", incarnation=2)
        self.register("s-4", "a")
        self.register("s-2", "a", incarnation=2)
        self.assertEqual(self.list_usable(), ["s-3"])
        self.coordinator.apply_records([write("evacuate/a", b"")])
        self.assertEqual(self.list_usable(), ["s-1", "s-2", "s-3", "s-4"])

    def test_service_is_taken_for_evacuated_with_a_server_elsewhere(self):
        service = self.registry.find_service("desk")
        for zone in ("a", "b"):
            self.coordinator.apply_records([write(f"evacuate/{zone}")])
            self.assertFalse(service.is_evacuated)
        self.coordinator.apply_records([write("evacuate/c")])
        self.assertTrue(service.is_evacuated)
        self.assertFalse(self.registry.find_service("other").is_evacuated)

    def test_faulty_key_ends_the_process_or_hides_the_others(self):
        records = [write(key) for key in FAULTY_KEYS]
        records += [write("config"), write("evacuated/b"), write("evacuate/a", b"\xff")]
        self.coordinator.apply_records(records)
        self.assertEqual(self.list_usable(), ["s-2", "s-3"])
        faults = [line for line in self.lines if "evacuation can't be used" in line]
        self.assertEqual(len(faults), len(FAULTY_KEYS))
        self.assertEqual(self.coordinator.faulty_keys, len(FAULTY_KEYS))

    def test_thousands_of_zones_write_a_line_each(self):
        records = [write(f"evacuate/z-{number}") for number in range(5000)]
        records += [write(f"evacuate/\x00{number}") for number in range(5000)]
        self.coordinator.apply_records([*records, write("evacuate/a")])
        self.assertEqual(self.list_usable(), ["s-2", "s-3"])
        self.assertLessEqual(len(self.lines), 2 * CHANGES_LOGGED_MAX + 2)
        self.assertEqual(self.lines[-1].record["extra"]["changes"], 5001)

    def test_change_is_logged_once_with_offset_source_and_age(self):
        for value in (b"{}", b"{}", b"", b""):
            self.coordinator.apply_records([write("evacuate/a", value)])
        self.assertEqual(len(self.lines), 2)
        extra = self.lines[0].record["extra"]
        self.assertEqual(
            extra, {"zone": "a", "offset": 7, "source": "vm-2", "age_ms": 250}
        )
        zones = self.registry.evacuated_zones
        self.assertEqual((zones.begun, zones.ended), (1, 1))

    def test_zones_hold_only_what_is_evacuated(self):
        zones = EvacuatedZones()
        self.assertFalse(zones.end("a"))
        zones.begin("a")
        self.assertEqual(zones.list_zones(), ["a"])
        zones.end("a")
        self.assertEqual(zones.list_zones(), [])


if __name__ == "__main__":
    unittest.main()
