"""The platform messages, field by field: settings, entries, configuration, headers."""

from __future__ import annotations

import copy
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomtack.placing.server import LoadReport
from cardamomtack.routing.coordinator import ConfigurationRecordError
from cardamomtack.routing.policy import Repeatability
from cardamomtack_platform.configuration import KnownRoutes, parse_configuration
from cardamomtack_platform.entries import parse_entry
from cardamomtack_platform.headers import parse_load, parse_rate_limit
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

MISSING = object()

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

    def test_change_of_one_route_has_all_read_again(self):
        known = KnownRoutes()
        paths = [{**PATH, "pathPrefix": f"/{number}/"} for number in range(50)]
        hosts = [{"host": "one.example", "paths": paths}]
        record = {**CONFIGURATION, "vhosts": hosts}
        before = parse_configuration(encode(record), known).routes
        paths[7] = {**paths[7], "timeoutS": 9.0}
        paths.insert(3, {**PATH, "pathPrefix": "/new/"})
        after = parse_configuration(encode(record), known).routes
        kept = {id(route) for route in before} & {id(route) for route in after}
        self.assertEqual((len(after), len(kept)), (51, 49))
        self.assertEqual(after, parse_configuration(encode(record)).routes)

    def test_route_of_before_is_taken_whatever_else_has_changed(self):
        known = KnownRoutes()
        parse_configuration(encode(CONFIGURATION), known)
        services = [{**CONFIGURATION["services"][0], "name": "other"}]
        for change in (
            {"services": services},
            {"vhosts": [{"host": "two.example", "paths": [PATH]}]},
            {"vhosts": [{"host": "one.example", "paths": [PATH, PATH]}]},
        ):
            with self.subTest(change):
                data = encode({**CONFIGURATION, **change})
                self.assertEqual(
                    parse_configuration(data, known), parse_configuration(data)
                )

    def test_single_service(self):
        record = copy.deepcopy(CONFIGURATION)
        path = record["vhosts"][0]["paths"][0]
        del path["split"]
        path["service"] = "line"
        path["kind"] = "non_idempotent"
        (route,) = parse_configuration(encode(record)).routes
        self.assertEqual([part.service for part in route.parts], ["line"])
        self.assertEqual(route.repeatability, Repeatability.ONCE_PER_SEND)

    def change_route(self, name, value):
        """Return the record with a second route, in which one member is changed."""
        record = copy.deepcopy(CONFIGURATION)
        changed = {**PATH, "name": "r-2", "pathPrefix": "/b/", name: value}
        if value is MISSING:
            del changed[name]
        record["vhosts"][0]["paths"].append(changed)
        return parse_configuration(encode(record))

    def test_unusable_records(self):
        whole = {"version": "0000000c", "vhosts": []}
        cases = [
            *({**whole, "version": value} for value in ("xyz", "", "-1", 12, None)),
            *({**whole, "vhosts": value} for value in ({}, "x", None)),
            {"vhosts": []},
            {"version": "0000000c"},
        ]
        for record in cases:
            with self.subTest(record), self.assertRaises(ConfigurationRecordError):
                parse_configuration(encode(record))

    def test_a_member_of_a_route_that_cannot_be_used(self):
        strictest = Repeatability.ONCE_PER_SEND
        cases = [
            ("kind", ("sometimes", 5, MISSING, "", "Idempotent"), "repeatability"),
            ("timeoutS", (0, -1, "1", True, MISSING), "timeout_s"),
            ("sloS", (0, "1", MISSING), "objective_s"),
            ("attempts", (0, -1, 1.5, "2", True, MISSING), "attempts_max"),
            ("priority", (-1, "high", MISSING), "priority"),
            ("name", (5, "", MISSING), "name"),
        ]
        expected = {
            "repeatability": strictest,
            "timeout_s": 30.0,
            "objective_s": PATH["timeoutS"],
            "attempts_max": 1,
            "priority": 2,
            "name": "one.example/b/",
        }
        for name, values, attribute in cases:
            for value in values:
                with self.subTest(name=name, value=value):
                    configuration = self.change_route(name, value)
                    first, second = configuration.routes
                    self.assertEqual(first.repeatability, Repeatability.IDEMPOTENT)
                    self.assertEqual(getattr(second, attribute), expected[attribute])
                    self.assertIsNone(second.fault)
                    (finding,) = configuration.findings
                    self.assertTrue(finding.startswith(f"/vhosts/0/paths/1/{name}: "))

    def test_a_route_whose_prefix_cannot_be_used_takes_only_itself_out(self):
        for value in ("a/", "/a", "", 5, MISSING, "/a/"):
            with self.subTest(value):
                configuration = self.change_route("pathPrefix", value)
                (route,) = configuration.routes
                self.assertEqual((route.name, route.path_prefix), ("r-1", "/a/"))
                self.assertEqual(len(configuration.findings), 1)

    def test_a_route_that_names_no_service_refuses_its_own_requests(self):
        for value in ([], {}, 5, MISSING, [{"service": "desk", "weight": 0}]):
            with self.subTest(value):
                first, second = self.change_route("split", value).routes
                self.assertIsNone(first.fault)
                self.assertIsNotNone(second.fault)

    def test_a_service_that_is_not_defined_is_left_to_its_share(self):
        split = [{"service": "nowhere", "weight": 1}, {"service": "desk", "weight": 3}]
        configuration = self.change_route("split", split)
        parts = [(one.service, one.weight) for one in configuration.routes[1].parts]
        self.assertEqual(parts, [("nowhere", 1.0), ("desk", 3.0)])
        self.assertNotIn("nowhere", configuration.services)
        self.assertEqual(len(configuration.findings), 1)

    def test_services_hosts_and_limits_that_cannot_be_used(self):
        whole = CONFIGURATION
        desk, line = whole["services"]
        cases = [
            ("services", [desk, {**line, "healthPath": 5}], 1),
            ("services", [desk, {**line, "maxConns": "many"}], 1),
            ("services", [desk, line, "service"], 1),
            ("services", [desk, line, {**line, "name": 5}], 1),
            ("vhosts", [*whole["vhosts"], "host"], 1),
            ("vhosts", [*whole["vhosts"], {"host": 5, "paths": []}], 1),
            ("vhosts", [*whole["vhosts"], {"host": "two.example", "paths": 5}], 1),
            ("limits", MISSING, 1),
            ("limits", [], 1),
            ("limits", {**whole["limits"], "maxBodyBytes": "much"}, 1),
            ("limits", {**whole["limits"], "idleTimeoutS": 0}, 1),
        ]
        for name, value, findings in cases:
            with self.subTest(name=name, value=value):
                record = {**whole, name: value}
                if value is MISSING:
                    del record[name]
                configuration = parse_configuration(encode(record))
                (route,) = configuration.routes
                self.assertIsNone(route.fault)
                self.assertEqual(set(configuration.services), {"desk", "line"})
                self.assertEqual(len(configuration.findings), findings)
                self.assertEqual(configuration.limits is None, name == "limits")

    def test_the_first_of_two_services_of_one_name_holds(self):
        # Guards against a service whose second entry won without a word.
        services = [*CONFIGURATION["services"], {"name": "desk", "maxConns": 1}]
        record = {**CONFIGURATION, "services": services}
        configuration = parse_configuration(encode(record))
        self.assertEqual(configuration.services["desk"].connections_max, 220)
        self.assertEqual(
            configuration.findings, ("/services/2/name: 'desk' is there twice",)
        )

    def test_the_first_of_two_routes_of_one_host_and_prefix_holds(self):
        # Guards against a host whose name, written otherwise, replaced its routes.
        paths = [{**PATH, "service": "line"}]
        hosts = [*CONFIGURATION["vhosts"], {"host": "One.Example", "paths": paths}]
        record = {**CONFIGURATION, "vhosts": hosts}
        configuration = parse_configuration(encode(record))
        self.assertEqual(
            [route.host for route in configuration.routes], ["one.example"]
        )
        self.assertEqual(
            configuration.findings,
            ("/vhosts/1/paths/0/pathPrefix: is there twice",),
        )

    def test_routes_of_one_name_are_all_taken(self):
        hosts = [*CONFIGURATION["vhosts"], {"host": "two.example", "paths": [PATH]}]
        record = {**CONFIGURATION, "vhosts": hosts}
        configuration = parse_configuration(encode(record))
        self.assertEqual([route.name for route in configuration.routes], ["r-1"] * 2)
        self.assertEqual(configuration.findings, ())

    def test_uploads_run_at_most_once_for_each_send(self):
        configuration = self.change_route("kind", "upload")
        route = configuration.routes[1]
        self.assertEqual(route.repeatability, Repeatability.ONCE_PER_SEND)
        self.assertEqual(configuration.findings, ())

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        with self.assertRaises(ConfigurationRecordError):
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

    def test_quotas(self):
        """Guards against a VM that exceeds quotas where no bound allows it."""
        bounds = "bounds.quotaWindowS=5\nbounds.quotaOver=0.1\nbounds.quotaSlack=20\n"
        for ports, more, expected in (
            ("7660,7675", bounds, (7662, 5.0, 0.1, 20.0)),
            ("7660,7662", "", (7662, 0.0, 0.0, 0.0)),
            ("7660,7661", "", (0, 0.0, 0.0, 0.0)),
            ("7660", "", (0, 0.0, 0.0, 0.0)),
        ):
            with self.subTest(ports):
                text = SETTINGS.replace("7660,7675", ports) + more
                entry = parse_settings(text, "boot.conf").entry
                read = (
                    entry.quota_port,
                    entry.quota_window_s,
                    entry.quota_over_share,
                    entry.quota_slack,
                )
                self.assertEqual(read, expected)

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


class WarmUpTest(unittest.TestCase):
    """What a service takes while its servers warm up."""

    def parse(self, **changes):
        """Return the first service of a configuration, and the findings."""
        record = copy.deepcopy(CONFIGURATION)
        record["services"][0].update(changes)
        configuration = parse_configuration(json.dumps(record).encode())
        return configuration.services["desk"], configuration.findings

    def test_rate(self):
        service, findings = self.parse(warmupPerS=3.9)
        self.assertEqual((service.warm_up_rate_per_s, findings), (3.9, ()))
        service, findings = self.parse()
        self.assertEqual((service.warm_up_rate_per_s, findings), (None, ()))

    def test_what_is_no_rate(self):
        for value in (0, -1, "3", True, []):
            with self.subTest(value=value):
                service, findings = self.parse(warmupPerS=value)
                self.assertIsNone(service.warm_up_rate_per_s)
                self.assertIn("/services/0/warmupPerS", findings[0])


class RateLimitTest(unittest.TestCase):
    """The limit that a server names in its answers."""

    def test_decimal_numbers(self):
        for text, rate in ((b"1.8", 1.8), (b"12", 12.0), (b"0.25", 0.25), (b"0", 0.0)):
            with self.subTest(text=text):
                self.assertEqual(parse_rate_limit(text), rate)

    def test_what_is_no_limit(self):
        for text in (b"", b"fast", b"-1", b"nan", b"inf", b"1,8", b"1.8/s"):
            with self.subTest(text=text):
                self.assertIsNone(parse_rate_limit(text))


if __name__ == "__main__":
    unittest.main()
