"""Choice of a backend server from what one VM knows."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from cardamomtack.balancing.baselines import make_chooser
from cardamomtack.balancing.const import EJECTION_FAILURES, LOAD_DECAY_S, SLOW_START_S
from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.balancing.metrics_header import parse_load_metrics
from cardamomtack.generated.services import Health, VirtualMachine
from cardamomtack.helpers.clock import ManualClock

CHOICES = 2000
SERVERS = 10


def make_vm(index: int, state: str = "live") -> VirtualMachine:
    """Return a backend server of the VM list."""
    zone = f"zone-{index % 2}"
    return VirtualMachine(f"s{index}", "app", "127.0.0.1", 1000 + index, zone, state)


class ChooserTest(unittest.TestCase):
    """Choices among ten servers that are past their cold start."""

    def setUp(self):
        self.clock = ManualClock()
        self.directory = ServerDirectory(self.clock)
        self.vms = [make_vm(index) for index in range(SERVERS)]
        self.directory.apply_vm_list(self.vms)
        self.clock.advance(SLOW_START_S)
        self.service = self.directory.find_service("app")
        self.chooser = make_chooser("cost", Random(1), "zone-0")
        for server in self.service.members:
            server.slots = 6
            server.record_success(0.01, self.clock.read_monotonic_s())
        self.service.usual_latency_s = 0.01

    def choose_many(self) -> Counter[str]:
        """Return how often each server is chosen."""
        now_s = self.clock.read_monotonic_s()
        chosen = Counter()
        for _ in range(CHOICES):
            server = self.chooser.choose_server(self.service, frozenset(), now_s)
            chosen[server.vm_id] += 1
        return chosen

    def find_share(self, vm_id: str) -> float:
        """Return the share of choices that a server gets."""
        return self.choose_many()[vm_id] / CHOICES

    def test_straggler_gets_little_work_and_is_tried_again(self):
        for _ in range(5):
            now_s = self.clock.read_monotonic_s()
            self.directory.servers["s0"].record_success(0.1, now_s)
        self.assertLess(self.find_share("s0"), 0.01)
        self.clock.advance(30.0)
        self.assertGreater(self.find_share("s0"), 0.02)

    def test_fast_errors_never_make_a_server_look_good(self):
        server = self.directory.servers["s0"]
        for _ in range(EJECTION_FAILURES - 1):
            server.record_failure(self.clock.read_monotonic_s())
        self.assertLess(self.find_share("s0"), 0.01)

    def test_failing_server_is_ejected_for_a_while(self):
        server = self.directory.servers["s0"]
        for _ in range(EJECTION_FAILURES):
            server.record_failure(self.clock.read_monotonic_s())
        self.assertEqual(self.find_share("s0"), 0.0)
        self.assertGreater(server.ejected_until_s, self.clock.read_monotonic_s())

    def test_ejection_is_ignored_when_most_servers_look_bad(self):
        for server in self.service.members[:7]:
            for _ in range(EJECTION_FAILURES):
                server.record_failure(self.clock.read_monotonic_s())
        self.assertTrue(self.service.is_ejection_ignored(self.clock.read_monotonic_s()))

    def test_old_report_is_discounted(self):
        server = self.directory.servers["s0"]
        server.record_report(6, self.clock.read_monotonic_s())
        fresh = server.estimate_busy(1.0, self.clock.read_monotonic_s())
        self.clock.advance(10 * LOAD_DECAY_S)
        old = server.estimate_busy(1.0, self.clock.read_monotonic_s())
        self.assertAlmostEqual(fresh, 6.0)
        self.assertAlmostEqual(old, 1.0, places=3)

    def test_own_zone_is_preferred_until_it_is_busy(self):
        chosen = self.choose_many()
        own = sum(count for vm_id, count in chosen.items() if int(vm_id[1:]) % 2 == 0)
        self.assertGreater(own / CHOICES, 0.85)
        for server in self.service.members[::2]:
            server.in_flight = 6
        chosen = self.choose_many()
        own = sum(count for vm_id, count in chosen.items() if int(vm_id[1:]) % 2 == 0)
        self.assertLess(own / CHOICES, 0.15)

    def test_new_server_gets_its_share_slowly(self):
        self.directory.apply_vm_list([*self.vms, make_vm(10)])
        self.directory.servers["s10"].slots = 6
        self.assertLess(self.find_share("s10"), 0.02)
        self.clock.advance(SLOW_START_S)
        self.assertGreater(self.find_share("s10"), 0.05)

    def test_leaving_server_stays_out_although_its_health_says_ready(self):
        self.directory.apply_vm_list([make_vm(0, "leaving"), *self.vms[1:]])
        self.directory.apply_health("s0", Health("ready"), 100.0)
        self.assertEqual(self.find_share("s0"), 0.0)

    def test_tried_servers_are_left_out_while_there_are_others(self):
        tried = frozenset(f"s{index}" for index in range(9))
        server = self.chooser.choose_server(self.service, tried, 100.0)
        self.assertEqual(server.vm_id, "s9")
        every = frozenset(f"s{index}" for index in range(SERVERS))
        self.assertIsNotNone(self.chooser.choose_server(self.service, every, 100.0))

    def test_service_without_servers(self):
        empty = self.directory.find_service("none")
        for name in ("cost", "random", "round-robin", "two-choices"):
            chooser = make_chooser(name, Random(1), "zone-0")
            self.assertIsNone(chooser.choose_server(empty, frozenset(), 0.0))

    def test_load_header(self):
        cases = [
            (b'JSON {"named_metrics": {"in_use": 3}}', 3),
            (b'{"named_metrics": {"in_use": 3}, "state": "ready"}', 3),
            (b"JSON {", None),
            (b"TEXT in_use=3", None),
        ]
        for value, in_use in cases:
            with self.subTest(value):
                metrics = parse_load_metrics(value)
                found = metrics.named_metrics.in_use if metrics else None
                self.assertEqual(found, in_use)


if __name__ == "__main__":
    unittest.main()
