"""What is read from outside the process, and how odd it may be."""

from __future__ import annotations

import unittest

from cardamomtack.balancing.metrics_header import parse_load_metrics
from cardamomtack.claims.coordinator import ClaimCoordinator
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.helpers.clock import ManualClock
from cardamomtack.helpers.decoding import (
    is_count,
    is_number,
    is_token,
    parse_count,
    parse_number,
    parse_port,
)

DEEP_JSON = b'{"a":' * 60_000 + b"1" + b"}" * 60_000
DEEP_RECORD = b"\x81\xa1x" + b"\x91" * 60_000 + b"\x01"
HUGE = 10**400
LONG = b"8" * 5000


class ValueTest(unittest.TestCase):
    """Values by themselves."""

    def test_numbers(self):
        for value in (HUGE, -HUGE, float("nan"), float("inf"), 1e300, True, "1", None):
            self.assertFalse(is_number(value))
        for value in (HUGE, -1, 2**31, 1.0, True, None):
            self.assertFalse(is_count(value))
        self.assertTrue(is_number(-1.5))
        self.assertTrue(is_count(0))

    def test_texts(self):
        for text in ("", "a b", "a\r\n", "\u00e4", "\x7f", "x" * 256):
            self.assertFalse(is_token(text))
        self.assertTrue(is_token("i-1/2"))

    def test_digits(self):
        for value in (b"", LONG, b"+1", b"1_0", b" 1", "\u00b2", "-1"):
            self.assertIsNone(parse_count(value))
        self.assertEqual(parse_count(b"0042"), 42)
        for value in (LONG, b"nan", b"inf", b"1e999", b"1e300", b"x", b""):
            self.assertIsNone(parse_number(value))
        self.assertEqual(parse_number("-1.5"), -1.5)
        for text in ("0", "65536", LONG.decode(), "", "80 "):
            self.assertIsNone(parse_port(text))
        self.assertEqual(parse_port("65535"), 65535)


class OwnInterfaceTest(unittest.TestCase):
    """Records of the log service, and load in answers."""

    def test_deep_load_ends_a_request(self):
        for value in (DEEP_JSON, b'{"named_metrics":' + DEEP_JSON + b"}", b"\xff"):
            self.assertIsNone(parse_load_metrics(value))

    def test_deep_record_ends_the_process(self):
        claims = ClaimCoordinator("vm", "incarnation", 3, ManualClock())
        claims.apply_records(0, [(0, DEEP_RECORD)], caught_up=True)
        self.assertEqual(claims.table.folded_to, 1)
        configuration = ConfigurationCoordinator("vm")
        configuration.apply_record(0, DEEP_RECORD)
        self.assertIsNone(configuration.active_revision)


if __name__ == "__main__":
    unittest.main()
