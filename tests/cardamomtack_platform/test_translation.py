"""The platform messages, field by field: settings, entries, configuration, headers."""

from __future__ import annotations

import copy
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomtack.placing.server import LoadReport
from cardamomtack.routing.coordinator import UnusableError
from cardamomtack.routing.policy import Repeatability
from cardamomtack_platform.configuration import parse_configuration
from cardamomtack_platform.entries import parse_entry
from cardamomtack_platform.headers import parse_load
from cardamomtack_platform.settings import PlatformSettings, parse_settings

ENTRY = {
    "service": "desk",
    "addr": "10.1.2.3:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmupLeftS": 1.5,
    "seq": 4,
    "born": 1_700_000_000_000,
}

PATH = {
    "name": "r-1",
    "pathPrefix": "/a/",
    "kind": "idempotent",
    "timeoutS": 1.5,
    "sloS": 0.6,
    "priority": 2,
    "split": [{"service": "desk", "weight": 90}, {"service": "line", "weight": 10}],
    "attempts": 2,
}

CONFIGURATION = {
    "version": "0000000c",
    "services": [
        {"name": "desk", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1"},
        {"name": "line", "healthPath": "/healthz", "maxConns": 220, "protocol": "h1"},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "vhosts": [{"host": "one.example", "paths": [PATH]}],
}

SETTINGS = """node=edge-a-1
zone=a
listen.front=10.1.0.35:8144
listen.ready=10.1.0.35:8140
internalPorts=7660,7675
bounds.retryBudget=0.2
bounds.retrySlack=56
bounds.graceS=6
provider.addr=10.200.1.7:8142
"""


def encode(value):
    """Return a body."""
    return json.dumps(value).encode()


class EntryTest(unittest.TestCase):
    """Entries of servers, which anybody may write."""

    def test_whole_entry(self):
        entry = parse_entry("i-1", encode(ENTRY))
        self.assertEqual((entry.address, entry.port), ("10.1.2.3", 8080))
        self.assertEqual((entry.service, entry.availability_zone), ("desk", "a"))
        self.assertEqual((entry.slots, entry.warm_up_left_s), (6, 1.5))
        self.assertEqual(entry.incarnation, ENTRY["born"])
        self.assertFalse(entry.is_draining)

    def test_draining_and_unknown_members(self):
        entry = parse_entry("i-1", encode({**ENTRY, "state": "draining", "more": [1]}))
        self.assertTrue(entry.is_draining)

    def test_missing_members(self):
        for name in ("service", "addr", "zone", "slots", "state"):
            with self.subTest(name):
                entry = {key: value for key, value in ENTRY.items() if key != name}
                self.assertIsNone(parse_entry("i-1", encode(entry)))

    def test_members_of_a_wrong_type_or_value(self):
        cases = [
            ("service", 5),
            ("service", ""),
            ("addr", 80),
            ("addr", "10.1.2.3"),
            ("addr", "10.1.2:80"),
            ("addr", "name.example:80"),
            ("addr", "10.1.2.300:80"),
            ("addr", "10.1.2.3:0"),
            ("addr", "10.1.2.3:70000"),
            ("addr", "10.1.2.3:8\u0664"),
            ("zone", None),
            ("slots", "6"),
            ("slots", 0),
            ("slots", -1),
            ("state", "gone"),
            ("state", 1),
            ("warmupLeftS", "soon"),
            ("born", "now"),
            ("born", 1.5),
        ]
        for name, value in cases:
            with self.subTest(name=name, value=value):
                self.assertIsNone(parse_entry("i-1", encode({**ENTRY, name: value})))

    def test_bytes_that_are_no_entry(self):
        for data in (b"", b"\xff\xfe", b"[]", b"{}", b"null", encode(ENTRY)[:-5]):
            with self.subTest(data):
                self.assertIsNone(parse_entry("i-1", data))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        self.assertIsNone(parse_entry("i-1", data))


class ConfigurationTest(unittest.TestCase):
    """Configuration records."""

    def test_whole_record(self):
        configuration = parse_configuration(encode(CONFIGURATION))
        (route,) = configuration.routes
        self.assertEqual(configuration.version, 12)
        self.assertEqual(route.repeatability, Repeatability.IDEMPOTENT)
        self.assertEqual([part.weight for part in route.parts], [90, 10])
        self.assertEqual((route.timeout_s, route.objective_s), (1.5, 0.6))
        self.assertEqual(configuration.services["desk"].health_path, "/healthz")
        self.assertEqual(configuration.limits.body_bytes_max, 1000)

    def test_single_service(self):
        record = copy.deepcopy(CONFIGURATION)
        path = record["vhosts"][0]["paths"][0]
        del path["split"]
        path["service"] = "line"
        path["kind"] = "non_idempotent"
        (route,) = parse_configuration(encode(record)).routes
        self.assertEqual([part.service for part in route.parts], ["line"])
        self.assertEqual(route.repeatability, Repeatability.ONCE_PER_SEND)

    def test_missing_members(self):
        for name in ("version", "services", "limits", "vhosts"):
            with self.subTest(name):
                record = {
                    key: value for key, value in CONFIGURATION.items() if key != name
                }
                with self.assertRaises(UnusableError):
                    parse_configuration(encode(record))
        for name in ("name", "pathPrefix", "kind", "timeoutS", "attempts", "split"):
            with self.subTest(name):
                record = copy.deepcopy(CONFIGURATION)
                del record["vhosts"][0]["paths"][0][name]
                with self.assertRaises(UnusableError):
                    parse_configuration(encode(record))

    def test_values_that_contradict(self):
        cases = [
            ("kind", "sometimes"),
            ("pathPrefix", "a/"),
            ("pathPrefix", "/a"),
            ("timeoutS", 0),
            ("timeoutS", "1"),
            ("attempts", 0),
            ("service", "nowhere"),
            ("split", [{"service": "nowhere", "weight": 1}]),
            ("split", [{"service": "desk", "weight": 0}]),
        ]
        for name, value in cases:
            with self.subTest(name=name, value=value):
                record = copy.deepcopy(CONFIGURATION)
                record["vhosts"][0]["paths"][0][name] = value
                with self.assertRaises(UnusableError):
                    parse_configuration(encode(record))
        with self.assertRaises(UnusableError):
            parse_configuration(encode({**CONFIGURATION, "version": "xyz"}))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        with self.assertRaises(UnusableError):
            parse_configuration(data)


class LoadTest(unittest.TestCase):
    """The load header."""

    def test_values(self):
        cases = [
            (b"3,0,8", LoadReport(3, 0, 8)),
            (b"3,1,8,250", LoadReport(3, 1, 8, 2.5)),
            (b"3,1,8,250,9", LoadReport(3, 1, 8, 2.5)),
            (b"3,1,8,0", LoadReport(3, 1, 8)),
            (b"3,1", None),
            (b"3,1,0", None),
            (b"-1,1,8", None),
            (b"a,1,8", None),
            (b"", None),
        ]
        for value, report in cases:
            with self.subTest(value):
                self.assertEqual(parse_load(value), report)


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def test_whole_file(self):
        result = parse_settings(f"{SETTINGS}unknown.field=1\n# note\n", "boot.conf")
        self.assertIsInstance(result, PlatformSettings)
        self.assertEqual(result.entry.vm_id, "edge-a-1")
        self.assertEqual((result.entry.port, result.entry.relay_port), (8144, 7660))
        self.assertEqual(result.entry.retry_slack, 56.0)
        self.assertEqual(result.store.address, "10.200.1.7")

    def test_all_faults_are_reported_with_line_and_name(self):
        text = SETTINGS.replace("10.1.0.35:8144", "10.1.0.35")
        text = text.replace("0.2", "a lot").replace("7660,7675", "70000")
        text = text.replace("zone=a\n", "").replace("graceS=6", "graceS=-1")
        findings = parse_settings(text, "boot.conf")
        self.assertIsInstance(findings, list)
        places = {(one.line, one.pointer) for one in findings}
        self.assertEqual(
            places,
            {
                (0, "zone"),
                (2, "listen.front"),
                (4, "internalPorts"),
                (5, "bounds.retryBudget"),
                (7, "bounds.graceS"),
            },
        )
        self.assertTrue(all("boot.conf" in str(one) for one in findings))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(max_size=300))
    def test_any_text(self, text):
        self.assertIsInstance(parse_settings(text, "boot.conf"), list)


if __name__ == "__main__":
    unittest.main()
