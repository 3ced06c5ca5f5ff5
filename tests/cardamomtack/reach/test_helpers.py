"""Which VMs are asked for help, and how evenly."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from cardamomtack.generated.relay import Member
from cardamomtack.reach.helpers import HelperTable
from cardamomtack.replicas.members import MemberTable


def make_table(vms, links_mbps=(), tunnel_port=7001):
    """Return the helpers of the first of some VMs."""
    members = [
        Member(f"vm-{number:03}", "1", "zone", "10.0.0.1", 7000)
        for number in range(vms)
    ]
    table = MemberTable(members[0])
    for number, member in enumerate(members[1:]):
        member.tunnel_port = tunnel_port
        member.link_mbps = links_mbps[number] if links_mbps else 0.0
        table.update_member(member)
    return HelperTable(table, Random(1))


class HelpersTest(unittest.TestCase):
    """The other VMs as one VM sees them."""

    def test_few_vms_help_all(self):
        helpers = make_table(6)
        counts = Counter()
        for _ in range(100):
            helper = helpers.choose(set(), 0.0)
            helpers.record_opened(helper.vm_id)
            counts[helper.vm_id] += 1
        self.assertEqual(len(counts), 5)
        self.assertLessEqual(max(counts.values()), 24)

    def test_vms_with_small_links_help_as_much_as_others(self):
        helpers = make_table(5, (100.0, 100.0, 5.0, 5.0))
        counts = Counter()
        for _ in range(120):
            helper = helpers.choose(set(), 0.0)
            helpers.record_opened(helper.vm_id)
            counts[helper.vm_id] += 1
        small = counts["vm-003"] + counts["vm-004"]
        self.assertLess(small, 40)

    def test_vm_that_can_not_help_is_asked_again_and_again(self):
        helpers = make_table(9)
        paused = helpers.choose(set(), 0.0)
        helpers.record_failure(paused.vm_id, 0.0)
        chosen = {helpers.choose(set(), 0.4).vm_id for _ in range(200)}
        self.assertNotIn(paused.vm_id, chosen)
        chosen = {helpers.choose(set(), 0.6).vm_id for _ in range(200)}
        self.assertIn(paused.vm_id, chosen)

    def test_silent_servers_keep_all_vms_from_helping(self):
        helpers = make_table(9)
        for number in range(1, 8):
            helpers.record_silence(f"vm-{number:03}", 0.0)
        self.assertEqual(helpers.choose(set(), 0.0).vm_id, "vm-008")
        self.assertTrue(helpers.can_help(0.0))

    def test_callers_wait_while_all_vms_are_asked_in_turn(self):
        helpers = make_table(300)
        for number in range(4):
            helper = helpers.choose(set(), 0.0)
            self.assertIsNotNone(helper, number)
            helpers.record_failure(helper.vm_id, 0.0)
        self.assertIsNone(helpers.choose(set(), 0.0))
        self.assertFalse(helpers.can_help(0.0))
        self.assertTrue(helpers.can_help(0.6))

    def test_silent_server_takes_the_only_helper_away(self):
        helpers = make_table(2)
        helpers.record_help("vm-001")
        helpers.record_silence("vm-001", 0.0)
        self.assertTrue(helpers.can_help(0.0))
        self.assertEqual(helpers.choose(set(), 0.0).vm_id, "vm-001")
        helpers.record_failure("vm-001", 0.0)
        self.assertTrue(helpers.can_help(0.0))
        helpers.record_failure("vm-001", 0.0)
        self.assertIsNone(helpers.choose(set(), 0.1))
        self.assertFalse(helpers.can_help(0.1))

    def test_one_vm_that_helps_is_lost_among_many_that_can_not(self):
        helpers = make_table(13)
        helpers.record_help("vm-007")
        for number in (1, 2, 3, 4, 5):
            helpers.record_failure(f"vm-{number:03}", 0.0)
        self.assertTrue(helpers.can_help(0.0))
        chosen = {helpers.choose({"vm-001"}, 0.0).vm_id for _ in range(50)}
        self.assertEqual(chosen, {"vm-007"})
        self.assertGreater(
            len({helpers.choose(set(), 0.0).vm_id for _ in range(99)}), 3
        )

    def test_vm_without_the_port_is_asked(self):
        helpers = make_table(3, tunnel_port=0)
        self.assertIsNone(helpers.choose(set(), 0.0))
        self.assertFalse(helpers.has_any())


if __name__ == "__main__":
    unittest.main()
