"""Zones with few servers or many callers: what their callers get in overload."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from cardamomtack.placing.const import POLLED_MAX, POLLED_OTHER_ZONES_MAX
from cardamomtack.placing.zone_finds import ZoneFinds
from cardamomtack_standins.model.load import KindLoad, LoadPlan
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy
from cardamomtack_standins.model.server import ServerTraits

OWN_FIRST = [(True, POLLED_MAX), (False, POLLED_OTHER_ZONES_MAX)]
OTHERS_FIRST = [(False, POLLED_MAX), (True, POLLED_OTHER_ZONES_MAX)]
SEEDS = (1, 2, 3)


class ZoneFindsTest(unittest.TestCase):
    """Where the probes for calls that wait begin."""

    def record(self, finds, own, others):
        """Record probes of which so many in ten find capacity."""
        for number in range(200):
            finds.record_probe(True, number % 10 < own)
            finds.record_probe(False, number % 10 < others)

    def test_own_zone_first_without_probes_and_where_both_find_alike(self):
        finds = ZoneFinds()
        self.assertEqual(finds.list_polls(), OWN_FIRST)
        self.record(finds, 3, 3)
        self.assertEqual(finds.list_polls(), OWN_FIRST)

    def test_other_zones_first_while_they_have_more_capacity(self):
        finds = ZoneFinds()
        self.record(finds, 2, 4)
        self.assertEqual(finds.list_polls(), OTHERS_FIRST)
        self.record(finds, 8, 4)
        self.assertEqual(finds.list_polls(), OWN_FIRST)


class PlayedZonesTest(unittest.TestCase):
    """Callers of one zone, beside those of the others."""

    def play(self, shape, factor, has_finds=True):
        """Return the credit, and the shares in time of the first zone and the worst."""
        kinds = (
            KindLoad("lookup", 133.0 * factor, 0.22, 0.612, 6.116, 0, sends_max=3),
            KindLoad("notice", 44.5 * factor, 0.29, 0.912, 5.699, 1, sends_max=3),
        )
        probes_per_s = 42.0 * shape.servers / shape.vms

        def make(servers, random, zone):
            return AskingPolicy(
                servers, random, zone, checks_per_s=probes_per_s, learns_waits=True
            )

        outcomes = []
        with patch(
            "cardamomtack.placing.zone_finds.MOVED_SHARE_MIN",
            0.53 if has_finds else 1.0,
        ):
            for seed in SEEDS:
                play = LoadPlay(LoadPlan(kinds, 6.0), shape, make, seed)
                outcomes.append(play.run(1.0))
        zones = [
            sum(one.zones[zone].in_time_share for one in outcomes) / len(SEEDS)
            for zone in range(shape.zones)
        ]
        credit = sum(one.credit_share for one in outcomes) / len(SEEDS)
        return credit, zones[0], min(zones)

    def test_callers_get_as_much_in_a_zone_with_half_of_the_servers(self):
        traits = ServerTraits(4, 4)
        shape = FleetShape(60, 40, 3, traits, server_zones=(0, 1, 1, 2, 2))
        credit, first, worst = self.play(shape, 1.8)
        known_credit, known_first, _ = self.play(shape, 1.8, False)
        self.assertGreater(first, known_first + 0.05)
        self.assertGreater(worst, 0.92)
        self.assertGreater(credit, known_credit)

    def test_callers_get_more_in_a_zone_with_half_as_many_callers_more(self):
        traits = ServerTraits(2, 2)
        shape = FleetShape(124, 111, 4, traits, vm_zones=(0, 0, 0, 1, 1, 2, 2, 3, 3))
        credit, first, _ = self.play(shape, 1.6)
        known_credit, known_first, _ = self.play(shape, 1.6, False)
        self.assertGreater(first, known_first)
        self.assertGreater(credit, known_credit - 0.01)


if __name__ == "__main__":
    unittest.main()
