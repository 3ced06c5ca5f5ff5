"""The age of what other VMs tell, whatever time their messages take."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomtack.replicas.peer_clock import PeerClock

DELAYS_S = st.lists(st.floats(0.0, 3.0), min_size=1, max_size=8)
ROUNDING_S = 0.002


class PeerClockTest(unittest.TestCase):
    """One stream, and two VMs that hear from one another."""

    def test_message_that_was_late_is_taken_for_young(self):
        clock = PeerClock(100.0)
        self.assertEqual(clock.find_sent_at_s(7_000, 100.0), 100.0)
        self.assertEqual(clock.find_sent_at_s(8_000, 103.0), 101.0)
        self.assertEqual(clock.slack_s, 0.0)

    def test_first_message_that_was_late_makes_the_others_older_only(self):
        clock = PeerClock(100.0)
        self.assertEqual(clock.find_sent_at_s(7_000, 100.4), 100.0)
        self.assertAlmostEqual(clock.slack_s, 0.4)
        self.assertEqual(clock.find_sent_at_s(8_000, 101.0), 101.0)

    def test_time_that_cannot_be_is_not_in_the_future(self):
        clock = PeerClock(100.0)
        clock.find_sent_at_s(0, 100.0)
        self.assertEqual(clock.find_sent_at_s(2**62, 105.0), 105.0)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(DELAYS_S, DELAYS_S, st.floats(-1e4, 1e4))
    def test_two_vms_keep_each_other_fresh(self, forth_s, back_s, offset_s):
        # One VM heard from the store at 0 and never again; both tell each other on.
        now_s = 0.0
        confirmed_s = [0.0, -1e9]
        clocks = [PeerClock(0.0), PeerClock(0.0)]
        for delays_s in zip(forth_s, back_s, strict=False):
            for receiver, delay_s in zip((1, 0), delays_s, strict=True):
                sender = 1 - receiver
                sent_at_ms = int((now_s + (offset_s if sender else 0.0)) * 1000.0)
                age_s = now_s - confirmed_s[sender]
                now_s += delay_s
                sent_at_s = clocks[receiver].find_sent_at_s(sent_at_ms, now_s)
                confirmed_s[receiver] = max(confirmed_s[receiver], sent_at_s - age_s)
                self.assertLess(confirmed_s[receiver], 20 * ROUNDING_S)


if __name__ == "__main__":
    unittest.main()
