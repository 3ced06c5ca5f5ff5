"""Workspaces in the platform's configuration record."""

from __future__ import annotations

import copy
import json
import sys
import tracemalloc
import unittest
from random import Random

from loguru import logger

from cardamomtack.generated.relay import TopicRecord
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.routing.coordinator import (
    ConfigurationRecordError,
    RoutingCoordinator,
)
from cardamomtack.routing.policy import Repeatability
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_platform.codec import PlatformCodec
from cardamomtack_platform.configuration import parse_configuration
from cardamomtack_platform.const import KEY_CONFIGURATION
from cardamomtack_platform.headers import NAMES
from cardamomtack_platform.workspaces import WorkspaceReader, make_digester
from tests.cardamomtack_platform.test_translation import CONFIGURATION, PATH, encode

ONE = {"name": "one", "apiKeys": ["key-1a", "key-1b"], "priority": 1}
TWO = {"name": "two", "apiKeys": ["key-2a"], "ratePerS": 68, "burst": 70.5}


def parse(tenants, reader=None):
    """Return the configuration of a record with workspaces."""
    return parse_configuration(
        encode({**CONFIGURATION, "tenants": tenants}), None, reader
    )


def find_name(configuration, key):
    """Return the name of the workspace of a key, "?" for a key in doubt."""
    found = configuration.workspaces.find_workspace(key.encode())
    if configuration.workspaces.is_ambiguous(key.encode()):
        return "?"
    return found and found.name


class TenantTest(unittest.TestCase):
    """Lists of workspaces."""

    def test_whole_list(self):
        configuration = parse([ONE, TWO])
        self.assertEqual(configuration.findings, ())
        keys = ("key-1a", "key-1b", "key-2a", "key-3", "", "one")
        self.assertEqual(
            [find_name(configuration, key) for key in keys],
            ["one", "one", "two", None, None, None],
        )
        find = configuration.workspaces.find_by_name
        self.assertEqual(find("one"), Workspace("one", 1))
        self.assertEqual(find("two"), Workspace("two", None, 68.0, 70.5))

    def test_keys_are_wanted_where_there_are_no_workspaces(self):
        self.assertIsNone(parse_configuration(encode(CONFIGURATION)).workspaces)

    def test_list_that_is_empty_or_no_list_opens_all_routes(self):
        for value, named in (([], None), ({}, "?"), (None, "?"), ("key-1a", "?")):
            with self.subTest(value):
                configuration = parse(value)
                self.assertEqual(find_name(configuration, "key-1a"), named)
                findings = () if named is None else ("/tenants: is no list",)
                self.assertEqual(configuration.findings, findings)

    def test_fault_takes_out_more_than_its_part(self):
        surrogate = b'{"name": "x\xff", "apiKeys": ["key-3"]}'
        cases = [
            ("tenant", ["/tenants/1"], None),
            ({**TWO, "name": 5}, ["/tenants/1/name"], "?"),
            ({**TWO, "name": ""}, ["/tenants/1/name"], "?"),
            ({**TWO, "name": "a\r\nb: c"}, ["/tenants/1/name"], "?"),
            ({**TWO, "name": " two"}, ["/tenants/1/name"], "?"),
            ({"apiKeys": ["key-2a"]}, ["/tenants/1/name"], "?"),
            ({**TWO, "apiKeys": "key-2a"}, ["/tenants/1/apiKeys"], None),
            (
                {**TWO, "apiKeys": [5, "key-2a", "", None, " x", "a\nb", "key-2a"]},
                [f"/tenants/1/apiKeys/{place}" for place in (0, 2, 3, 4, 5, 6)],
                "two",
            ),
            ({**TWO, "priority": -1}, ["/tenants/1/priority"], "two"),
            ({**TWO, "ratePerS": "68"}, ["/tenants/1/ratePerS"], "two"),
            ({**TWO, "ratePerS": -1}, ["/tenants/1/ratePerS"], "two"),
            ({**TWO, "burst": True}, ["/tenants/1/burst"], "two"),
            (
                {**TWO, "apiKeys": ["key-2a", "key-1b"]},
                ["/tenants/0/apiKeys/1", "/tenants/1/apiKeys/1"],
                "two",
            ),
            ({**TWO, "name": "three"}, [], "three"),
            (TWO, [], "two"),
        ]
        reader = WorkspaceReader(make_digester())
        for entry, places, named in cases:
            with self.subTest(entry):
                for _ in range(2):
                    configuration = parse([ONE, entry], reader)
                    findings = configuration.findings
                    self.assertEqual([one.split(": ")[0] for one in findings], places)
                    self.assertNotIn("key-", "".join(findings))
                    self.assertEqual(find_name(configuration, "key-2a"), named)
                    self.assertEqual(find_name(configuration, "key-1a"), "one")
        data = encode({**CONFIGURATION, "tenants": [ONE, TWO, 1]})
        configuration = parse_configuration(data[:-3] + surrogate + b"]}")
        self.assertEqual(configuration.findings, ("/tenants/2: names no workspace",))
        self.assertEqual(find_name(configuration, "key-2a"), "two")

    def test_two_of_one_name_are_served(self):
        other = {"name": "one", "apiKeys": ["key-3"]}
        for doubled in (other, ONE):
            with self.subTest(doubled):
                reader = WorkspaceReader(make_digester())
                parse([ONE, TWO], reader)
                configuration = parse([ONE, TWO, doubled], reader)
                self.assertEqual(find_name(configuration, "key-1a"), "?")
                self.assertEqual(find_name(configuration, "key-2a"), "two")
                names = [one for one in configuration.findings if "/name" in one]
                self.assertEqual(
                    [one.split(":")[0] for one in names],
                    ["/tenants/0/name", "/tenants/2/name"],
                )
                configuration = parse([ONE, TWO], reader)
                self.assertEqual(find_name(configuration, "key-1a"), "one")
                self.assertEqual(configuration.findings, ())


class RouteTest(unittest.TestCase):
    """What routes say beside."""

    def parse_route(self, **changes):
        """Return a route, and the findings."""
        record = copy.deepcopy(CONFIGURATION)
        record["vhosts"][0]["paths"] = [{**PATH, **changes}]
        configuration = parse_configuration(encode(record))
        return configuration.routes[0], configuration.findings

    def test_route_that_does_not_say_so_is_public(self):
        self.assertFalse(self.parse_route()[0].is_public)
        self.assertFalse(self.parse_route(public=False)[0].is_public)
        self.assertTrue(self.parse_route(public=True)[0].is_public)
        for value in (1, "true", []):
            route, findings = self.parse_route(public=value)
            self.assertFalse(route.is_public)
            self.assertTrue(findings[0].startswith("/vhosts/0/paths/0/public: "))

    def test_download_is_unknown_or_runs_only_once(self):
        route, findings = self.parse_route(kind="download")
        self.assertEqual(route.repeatability, Repeatability.IDEMPOTENT)
        self.assertEqual(findings, ())

    def test_names_of_the_fields(self):
        self.assertEqual(NAMES.workspace, b"x-cardamomtack-tenant")
        self.assertEqual(NAMES.workspace_key, b"x-cardamomtack-key")


class VersionTest(unittest.TestCase):
    """Versions that follow one another."""

    def test_version_that_cannot_be_used_changes_the_one_in_force(self):
        """Keys stay as they were, and are right again with the next sound version."""
        lines = []
        sink = logger.add(lines.append, level="DEBUG", format="{message} {extra}")
        self.addCleanup(logger.remove, sink)
        routes = PrefixRoutes(Random(1))
        coordinator = RoutingCoordinator(PlatformCodec(), routes, SystemClock())

        def publish(number, tenants, **changes):
            record = {**CONFIGURATION, "version": f"{number:x}", "tenants": tenants}
            data = encode({**record, **changes})
            coordinator.apply_records([TopicRecord(number, KEY_CONFIGURATION, data)])
            return [
                find_name(routes.configuration, key)
                for key in ("key-1a", "key-2a", "key-3")
            ]

        three = {"name": "three", "apiKeys": ["key-3", "key-1a"]}
        self.assertEqual(publish(2, [ONE, TWO]), ["one", "two", None])
        self.assertEqual(publish(3, [ONE, three], vhosts=5), ["one", "two", None])
        self.assertEqual(publish(1, [three]), ["one", "two", None])
        self.assertEqual(publish(4, [TWO, three]), ["three", "two", "three"])
        self.assertEqual(publish(5, [ONE, TWO, three]), ["?", "two", "three"])
        self.assertEqual(publish(6, {}), ["?", "?", "?"])
        self.assertEqual(publish(7, [ONE, {**TWO, "apiKeys": []}]), ["one", None, None])
        self.assertNotIn("key-", "".join(lines))

    def test_record_whose_keys_are_cut_is_repeated_in_the_message(self):
        data = encode({"version": "1", "vhosts": [], "tenants": [ONE]})
        for end in range(10, len(data)):
            with self.assertRaises(ConfigurationRecordError) as caught:
                parse_configuration(data[:end])
            self.assertNotIn("key-", str(caught.exception))


class SizeTest(unittest.TestCase):
    """100,000 keys over 1,000 workspaces."""

    BYTES_A_KEY_MAX = 160

    def test_one_changed_key_has_all_keys_read_again(self):
        """A version costs what it changes, and memory is a small part of a VM's."""
        tenants = [
            {
                "name": f"w{number}",
                "apiKeys": [f"k{number:04d}{one:015d}" for one in range(100)],
                "priority": 1,
                "ratePerS": 68,
                "burst": 68,
            }
            for number in range(1000)
        ]
        records = []
        for version in ("1", "2"):
            record = {**CONFIGURATION, "version": version, "tenants": tenants}
            records.append(encode(record))
            tenants[7]["apiKeys"][5] = "new"
        digester = make_digester()
        reader = WorkspaceReader(digester)
        tracemalloc.start()
        before = parse_configuration(records[0], None, reader)
        first_bytes, first_peak = tracemalloc.get_traced_memory()
        self.assertEqual(digester.keys, 100_000)
        after = parse_configuration(records[1], None, reader)
        both_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(digester.keys, 100_100)
        self.assertEqual(after.findings, ())
        revoked = json.loads(records[0])["tenants"][7]["apiKeys"][5]
        self.assertEqual(find_name(before, revoked), "w7")
        self.assertIsNone(find_name(after, revoked))
        self.assertEqual(find_name(after, "new"), "w7")
        print(
            f"{first_bytes} bytes for 100,000 keys, {first_peak} while they were read, "
            f"{both_bytes} with the version after",
            file=sys.stderr,
        )
        self.assertLess(first_bytes, 100_000 * self.BYTES_A_KEY_MAX)
        self.assertLess(first_peak, 2 * 100_000 * self.BYTES_A_KEY_MAX)
        self.assertLess(both_bytes - first_bytes, 100_000 * self.BYTES_A_KEY_MAX / 10)


if __name__ == "__main__":
    unittest.main()
