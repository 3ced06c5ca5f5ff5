"""When a VM takes its own way to servers for cut, and when it takes it again."""

from __future__ import annotations

import unittest

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.helpers.clock import ManualClock
from cardamomtack.reach.ways import DirectWays

SERVERS = 6


class Changes:
    """Keeps what was told of changes."""

    def __init__(self):
        self.told = []

    def begin_help(self, group, is_silent):
        self.told.append(("begin", group, is_silent))

    def end_help(self, group):
        self.told.append(("end", group))


class WaysTest(unittest.TestCase):
    """One VM, and servers of one service in two availability zones."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.registry = ServerRegistry(self.clock)
        self.changes = Changes()
        self.ways = DirectWays(self.registry, self.changes, self.clock)
        for zone in ("a", "b"):
            for number in range(SERVERS):
                name = f"{zone}-{number}"
                self.registry.apply_entry(
                    ServerEntry(name, "desk", "10.0.0.1", 80, zone, 4, False, 0.0, 1)
                )

    def find(self, name):
        """Return a server."""
        return self.registry.servers[name]

    def cut(self):
        """Have the VM find out that it is cut off from zone a."""
        for number in range(3):
            self.ways.record_failed_open(self.find(f"a-{number}"))

    def list_others(self, name):
        """Return the names of the servers that tell of the way to one."""
        return sorted(one.vm_id for one in self.ways.list_others(self.find(name)))

    def test_way_is_tested_at_servers_that_are_down_as_well(self):
        self.ways.record_failed_open(self.find("a-0"))
        self.ways.record_silence(self.find("a-1"))
        self.assertEqual(self.list_others("a-0"), ["a-2", "a-3", "a-4", "a-5"])
        self.assertEqual(self.list_others("a-2"), ["a-3", "a-4", "a-5"])

    def test_way_is_not_tested_where_no_server_of_the_zone_is_left(self):
        for number in range(1, SERVERS):
            self.ways.record_failed_open(self.find(f"a-{number}"))
        self.assertEqual(self.list_others("a-0"), [f"b-{one}" for one in range(6)])

    def test_one_server_that_is_down_is_taken_for_a_cut(self):
        for _ in range(20):
            self.ways.record_failed_open(self.find("a-0"))
            self.ways.record_silence(self.find("a-0"))
            self.clock.advance(0.3)
        self.assertFalse(self.ways.is_helped(self.find("a-0")))
        self.assertEqual(self.changes.told, [])

    def test_two_servers_that_are_down_are_taken_for_a_cut(self):
        for _ in range(20):
            for number in (0, 1):
                self.ways.record_failed_open(self.find(f"a-{number}"))
            self.clock.advance(0.3)
        self.assertFalse(self.ways.is_helped(self.find("a-0")))

    def test_failures_among_connections_that_open_are_taken_for_a_cut(self):
        for number in range(SERVERS - 1):
            self.ways.record_failed_open(self.find(f"a-{number}"))
            self.ways.record_opened(self.find("a-5"))
        self.assertFalse(self.ways.is_cut(self.find("a-0")))

    def test_old_failures_are_taken_for_a_cut(self):
        for number in range(SERVERS):
            self.ways.record_failed_open(self.find(f"a-{number}"))
            self.clock.advance(6.0)
        self.assertFalse(self.ways.is_cut(self.find("a-0")))

    def test_cut_of_a_zone_is_taken_for_one_of_all(self):
        self.cut()
        self.assertTrue(self.ways.is_helped(self.find("a-5")))
        self.assertFalse(self.ways.is_helped(self.find("b-0")))
        self.assertEqual(self.changes.told, [("begin", ("desk", "a"), False)])

    def test_servers_that_are_slow_together_for_a_moment_are_taken_for_cut_off(self):
        for number in range(SERVERS):
            self.ways.record_silence(self.find(f"a-{number}"))
        self.assertFalse(self.ways.is_cut(self.find("a-0")))
        self.ways.record_answer(self.find("a-3"))
        self.clock.advance(1.0)
        self.ways.record_silence(self.find("a-1"))
        self.assertFalse(self.ways.is_cut(self.find("a-0")))

    def test_silent_servers_are_never_taken_for_cut_off(self):
        for number in range(3):
            self.ways.record_silence(self.find(f"a-{number}"))
            self.clock.advance(0.15)
        self.ways.record_silence(self.find("a-0"))
        self.assertTrue(self.ways.is_cut(self.find("a-5")))
        self.assertEqual(self.changes.told, [("begin", ("desk", "a"), True)])

    def test_servers_that_others_do_not_reach_either_are_taken_for_cut_off(self):
        self.cut()
        for number in range(3):
            self.ways.record_down(self.find(f"a-{number}"))
        self.assertFalse(self.ways.is_cut(self.find("a-0")))
        self.cut()
        self.assertFalse(self.ways.is_cut(self.find("a-0")))
        self.clock.advance(2.1)
        self.cut()
        self.assertTrue(self.ways.is_cut(self.find("a-0")))

    def test_vm_that_is_cut_off_itself_tells_of_one_server_that_it_is_down(self):
        self.ways.record_failed_open(self.find("a-0"))
        self.assertFalse(self.ways.is_in_doubt(self.find("a-0")))
        self.ways.record_failed_open(self.find("a-1"))
        self.assertTrue(self.ways.is_in_doubt(self.find("a-0")))
        self.ways.record_opened(self.find("a-5"))
        self.assertFalse(self.ways.is_in_doubt(self.find("a-1")))

    def test_all_connections_return_at_once(self):
        self.cut()
        self.assertEqual(self.ways.list_trials(), [("desk", "a")])
        self.assertEqual(self.ways.list_trials(), [])
        self.ways.record_trial(("desk", "a"))
        server = self.find("a-0")
        direct = sum(not self.ways.is_helped(server) for _ in range(100))
        self.assertEqual(direct, 1)
        self.clock.advance(0.5)
        direct += sum(not self.ways.is_helped(server) for _ in range(100))
        self.assertEqual(direct, 4)
        self.clock.advance(2.0)
        direct = sum(not self.ways.is_helped(server) for _ in range(100))
        self.assertEqual(direct, 100)

    def test_way_that_fails_again_while_connections_return_is_kept(self):
        self.cut()
        self.ways.record_trial(("desk", "a"))
        self.ways.record_failed_open(self.find("a-4"))
        self.assertTrue(self.ways.is_cut(self.find("a-0")))
        self.assertEqual(
            [one[0] for one in self.changes.told], ["begin", "end", "begin"]
        )


if __name__ == "__main__":
    unittest.main()
