"""What a server has said of the requests that it wants."""

from __future__ import annotations

import unittest

from cardamomtack.limits.const import PAUSE_S_MAX
from cardamomtack.limits.demands import ServerDemands, parse_pause_s


class PauseTest(unittest.TestCase):
    """Pauses that a server asks for."""

    def setUp(self):
        self.demands = ServerDemands(0.0)

    def test_shorter_pause_cuts_a_longer_one_short(self):
        self.demands.record_pause(5.0, 100.0)
        self.demands.record_pause(1.0, 101.0)
        self.assertFalse(self.demands.is_open(104.9))
        self.assertEqual(self.demands.compute_wait_s(101.0), 4.0)
        self.assertTrue(self.demands.is_open(105.0))

    def test_requests_rejected_together_lengthen_the_pause(self):
        for _ in range(10):
            self.demands.record_pause(2.0, 100.0)
        self.assertTrue(self.demands.is_open(102.0))

    def test_answer_to_a_request_of_before_ends_the_pause(self):
        self.demands.record_pause(5.0, 100.0)
        self.demands.record_success(99.9)
        self.assertFalse(self.demands.is_open(101.0))
        self.demands.record_success(100.1)
        self.assertTrue(self.demands.is_open(101.0))

    def test_huge_pause_is_believed(self):
        self.demands.record_pause(1e12, 100.0)
        self.assertTrue(self.demands.is_open(100.0 + PAUSE_S_MAX))

    def test_values(self):
        for value, pause_s in (
            (b"1.5", 1.5),
            (b" 2 ", 2.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"", None),
            (b"9" * 5000, None),
            (b"Fri, 31 Dec 1999 23:59:59 GMT", None),
        ):
            with self.subTest(value[:30]):
                self.assertEqual(parse_pause_s(value), pause_s)


if __name__ == "__main__":
    unittest.main()
