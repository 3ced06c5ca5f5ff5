"""Who reads the store for whom."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter

from msgspec import structs

from cardamomtack.generated.relay import Member
from cardamomtack.replicas.members import MemberTable


def make_member(number, zone="zone-0", incarnation="1", is_leaving=False):
    """Return a VM."""
    return Member(
        f"vm-{number:03}", incarnation, zone, f"10.0.0.{number}", 7000, is_leaving
    )


def make_tables(count, zones=4, links_mbps=None):
    """Return the tables of VMs that all know one another."""
    members = [make_member(one, f"zone-{one % zones}") for one in range(count)]
    for member, link_mbps in zip(members, links_mbps or [], strict=False):
        member.link_mbps = link_mbps
    tables = []
    for own in members:
        table = MemberTable(own)
        for member in members:
            table.update_member(member)
        tables.append(table)
    return tables


class RunTest(unittest.TestCase):
    """News of the runs of a VM, which come out of turn."""

    def setUp(self):
        self.table = MemberTable(make_member(0))
        self.first = structs.replace(make_member(1), started_ms=1000)
        self.second = structs.replace(self.first, incarnation="2", started_ms=2000)
        self.assertTrue(self.table.update_member(self.second))

    def find(self):
        """Return what is known of the VM."""
        return self.table.list_members()[1]

    def test_record_of_an_earlier_run_takes_the_place_of_the_one_that_runs(self):
        self.assertFalse(self.table.update_member(self.first))
        self.assertEqual(self.find(), self.second)
        third = structs.replace(self.first, incarnation="3", started_ms=3000)
        self.assertTrue(self.table.update_member(third))
        self.assertEqual(self.find(), third)

    def test_run_after_a_clock_that_went_back_is_taken_for_an_earlier_one(self):
        again = structs.replace(self.first, incarnation="3", started_ms=500)
        MemberTable(again).update_member(self.second)
        self.assertTrue(self.table.update_member(again))
        self.assertEqual(self.find(), again)

    def test_vm_whose_clock_went_back_is_not_found_at_its_new_address(self):
        moved = structs.replace(self.first, address="10.0.9.9")
        self.assertTrue(self.table.update_member(moved))
        self.assertEqual(self.find(), moved)

    def test_vm_that_is_set_back_to_a_build_without_starts_is_not_known(self):
        older = structs.replace(self.first, started_ms=0)
        self.assertTrue(self.table.update_member(older))
        self.assertTrue(self.table.update_member(self.second))


class ReadersTest(unittest.TestCase):
    """The choice of readers and of the VM to hear from."""

    def test_all_vms_agree_and_the_readers_stand_in_different_zones(self):
        for count, wanted in ((1, 1), (2, 2), (13, 2), (121, 2), (300, 2)):
            with self.subTest(count):
                tables = make_tables(count)
                choices = {
                    tuple(one.vm_id for one in table.choose_readers(0.0))
                    for table in tables
                }
                self.assertEqual(len(choices), 1)
                readers = tables[0].choose_readers(0.0)
                self.assertEqual(len(readers), wanted)
                zones = {one.availability_zone for one in readers}
                self.assertEqual(len(zones), wanted)

    def test_vms_with_small_links_tell_all_others(self):
        # Two VMs of each zone have large links, and they are not the first by name.
        links_mbps = [100.0 if 80 <= number < 86 else 5.0 for number in range(94)]
        tables = make_tables(94, 3, links_mbps)
        told = Counter()
        for table in tables:
            upstream = table.choose_upstream(0.0)
            if upstream is not None:
                told[upstream.vm_id] += 1
        large = {f"vm-{number:03}" for number in range(80, 86)}
        self.assertEqual(set(told), large)
        self.assertLessEqual(max(told.values()), 24)

    def test_reader_of_a_zone_of_small_links_reads_for_all(self):
        links_mbps = [100.0 if number % 3 == 2 else 5.0 for number in range(13)]
        readers = make_tables(13, 3, links_mbps)[0].choose_readers(0.0)
        self.assertEqual(readers[0].link_mbps, 100.0)

    def test_everybody_hears_from_its_zone_and_few_from_another(self):
        tables = {table.own.vm_id: table for table in make_tables(121)}
        readers = next(iter(tables.values())).choose_readers(0.0)
        listeners = Counter()
        crossing = 0
        for vm_id, table in tables.items():
            upstream = table.choose_upstream(0.0)
            if vm_id == readers[0].vm_id:
                self.assertIsNone(upstream)
                continue
            listeners[upstream.vm_id] += 1
            crossing += upstream.availability_zone != table.own.availability_zone
            # The way to the store is short.
            steps = 1
            while upstream not in readers:
                upstream = tables[upstream.vm_id].choose_upstream(0.0)
                steps += 1
            self.assertLessEqual(steps, 2)
        self.assertLessEqual(max(listeners.values()), 24)
        self.assertLessEqual(crossing, 8)

    def test_silent_reader_is_passed_over_and_tried_again(self):
        table = make_tables(5)[4]
        first = table.choose_readers(0.0)[0]
        table.mark_unreachable(first.vm_id, 0.0)
        self.assertNotIn(first, table.choose_readers(0.5))
        self.assertIn(first, table.choose_readers(100.0))

    def test_pauses_grow_and_end_with_a_sign_of_life(self):
        table = make_tables(3)[2]
        ends_s = []
        now_s = 0.0
        for _ in range(10):
            table.mark_unreachable("vm-000", now_s)
            self.assertFalse(table.is_reachable("vm-000", now_s))
            while not table.is_reachable("vm-000", now_s):
                now_s += 0.5
            ends_s.append(now_s)
        pauses_s = [b - a for a, b in itertools.pairwise(ends_s)]
        self.assertEqual(pauses_s, sorted(pauses_s))
        self.assertLessEqual(max(pauses_s), 60.0)
        table.mark_unreachable("vm-000", now_s)
        table.mark_reachable("vm-000")
        self.assertTrue(table.is_reachable("vm-000", now_s))

    def test_vm_that_the_store_does_not_answer_leaves_reading_to_others(self):
        table = make_tables(5)[0]
        self.assertTrue(table.is_reader(0.0))
        table.mark_unreachable(table.own.vm_id, 0.0)
        self.assertFalse(table.is_reader(0.0))
        self.assertIsNotNone(table.choose_upstream(0.0))

    def test_everybody_may_read_when_all_are_passed_over(self):
        table = make_tables(3)[1]
        for number in range(3):
            table.mark_unreachable(f"vm-{number:03}", 0.0)
        self.assertEqual(len(table.choose_readers(0.0)), 2)


class NewsTest(unittest.TestCase):
    """News of VMs that come, go and start again."""

    def setUp(self):
        self.table = MemberTable(make_member(0))

    def test_news_are_new_once(self):
        self.assertTrue(self.table.update_member(make_member(1)))
        self.assertFalse(self.table.update_member(make_member(1)))
        self.assertFalse(self.table.update_member(make_member(0)))
        self.assertEqual(self.table.count, 2)

    def test_vm_that_left_does_not_come_back_by_old_news(self):
        self.table.update_member(make_member(1))
        self.assertTrue(self.table.update_member(make_member(1, is_leaving=True)))
        self.assertFalse(self.table.update_member(make_member(1)))
        self.assertEqual(self.table.count, 1)

    def test_late_news_of_leaving_does_not_touch_the_next_run(self):
        self.table.update_member(make_member(1, incarnation="2"))
        self.table.update_member(make_member(1, incarnation="1", is_leaving=True))
        self.assertEqual(self.table.count, 2)


if __name__ == "__main__":
    unittest.main()
