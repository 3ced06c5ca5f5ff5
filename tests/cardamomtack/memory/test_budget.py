"""What a VM holds: the shares of its limits, and which reader goes first."""

from __future__ import annotations

import unittest

from cardamomtack.helpers.clock import ManualClock
from cardamomtack.memory.budget import MemoryBudget, ResponseBudget
from cardamomtack.memory.shares import divide_descriptors, divide_memory

LIMIT_BYTES = 1000


class Reader:
    """A reader that has taken some bytes."""

    def __init__(self, taken_bytes=0):
        self.taken_bytes = taken_bytes


class SharesTest(unittest.TestCase):
    """The shares leave room for what is not counted."""

    def test_shares_of_any_vm_leave_memory_and_descriptors_for_the_rest(self):
        for memory_mb, descriptors in ((96, 500), (152, 1535), (552, 8192)):
            memory = divide_memory(memory_mb * 1_000_000)
            held = memory.bodies_bytes + memory.heads_bytes + memory.responses_bytes
            # The process takes 33 MB before it holds anything.
            self.assertLess(held + 33_000_000, memory_mb * 1_000_000)
            shares = divide_descriptors(descriptors)
            used = 2 * (shares.callers + shares.tunnels) + shares.idle_servers
            self.assertLess(used, descriptors - 200)

    def test_a_vm_with_hardly_any_descriptors_still_takes_callers(self):
        self.assertEqual(divide_descriptors(100).callers, 1)


class MemoryBudgetTest(unittest.TestCase):
    """What is reserved stays under the limit."""

    def test_what_is_beyond_the_limit_is_not_reserved(self):
        budget = MemoryBudget(LIMIT_BYTES)
        self.assertTrue(budget.reserve(LIMIT_BYTES))
        self.assertFalse(budget.reserve(1))
        budget.release(1)
        self.assertTrue(budget.reserve(1))


class ResponseBudgetTest(unittest.TestCase):
    """Long responses yield before the limit, and slow readers beyond it."""

    def setUp(self):
        self.clock = ManualClock()
        self.budget = ResponseBudget(LIMIT_BYTES, self.clock)

    def test_what_is_held_decides_what_long_responses_may_do(self):
        seen = []
        for held_bytes in (499, 500, 999, 1000, 1250, 1251):
            budget = self.budget
            budget.held_bytes = held_bytes
            seen.append((budget.may_buffer, budget.has_room, budget.is_exceeded))
        self.assertEqual(
            seen,
            [
                (True, True, False),
                (False, True, False),
                (False, True, False),
                (False, False, False),
                (False, False, False),
                (False, False, True),
            ],
        )

    def test_the_reader_with_the_least_progress_goes_first(self):
        quick, slow = Reader(5000), Reader()
        self.budget.add_reader(quick)
        self.budget.add_reader(slow)
        self.clock.advance(2.0)
        quick.taken_bytes += 2000
        slow.taken_bytes += 1999
        self.assertIs(self.budget.choose_slowest(), slow)
        self.budget.remove_reader(slow)
        self.assertIs(self.budget.choose_slowest(), quick)
        self.budget.remove_reader(quick)
        self.assertIsNone(self.budget.choose_slowest())

    def test_a_reader_that_has_just_begun_is_not_taken_for_the_slowest(self):
        old, new = Reader(), Reader()
        self.budget.add_reader(old)
        self.clock.advance(2.0)
        old.taken_bytes = 100_000
        self.budget.add_reader(new)
        self.assertIs(self.budget.choose_slowest(), old)
        self.clock.advance(1.0)
        self.assertIs(self.budget.choose_slowest(), new)


if __name__ == "__main__":
    unittest.main()
