"""Workspaces in the platform's configuration record."""

from __future__ import annotations

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

BYTES_A_KEY_MAX = 160
ONE = {"name": "one", "apiKeys": ["key-1a", "key-1b"], "priority": 1}
TWO = {"name": "two", "apiKeys": ["key-2a"], "ratePerS": 68, "burst": 70.5}
NO_NAME = (["/tenants/1/name"], "?")


def parse(tenants, reader=None):
    """Return the configuration of a record with workspaces."""
    data = encode({**CONFIGURATION, "tenants": tenants})
    return parse_configuration(data, None, reader)


def find_name(configuration, key):
    """Return the name of the workspace of a key, "?" for a key in doubt."""
    if configuration.workspaces.is_ambiguous(key.encode()):
        return "?"
    found = configuration.workspaces.find_workspace(key.encode())
    return found and found.name


class TenantTest(unittest.TestCase):
    """Lists of workspaces."""

    def test_list_is_not_read_whole(self):
        self.assertIsNone(parse_configuration(encode(CONFIGURATION)).workspaces)
        configuration = parse([ONE, TWO])
        self.assertEqual(configuration.findings, ())
        keys = ("key-1a", "key-1b", "key-2a", "key-3", "", "one")
        names = [find_name(configuration, key) for key in keys]
        self.assertEqual(names, ["one", "one", "two", None, None, None])
        find = configuration.workspaces.find_by_name
        self.assertEqual(find("one"), Workspace("one", 1))
        self.assertEqual(find("two"), Workspace("two", None, 68.0, 70.5))

    def test_list_that_is_empty_or_no_list_opens_all_routes(self):
        for value, named in (([], None), ({}, "?"), (None, "?"), ("key-1a", "?")):
            with self.subTest(value):
                configuration = parse(value)
                self.assertEqual(find_name(configuration, "key-1a"), named)
                findings = () if named is None else ("/tenants: is no list",)
                self.assertEqual(configuration.findings, findings)

    def test_fault_takes_out_more_than_its_part(self):
        """Each entry beside a sound one: findings, and who holds its sound key."""
        odd_keys = [5, "key-2a", "", None, " x", "a\nb", "key-2a"]
        places = [f"/tenants/1/apiKeys/{place}" for place in (0, 2, 3, 4, 5, 6)]
        shared = ["/tenants/0/apiKeys/1", "/tenants/1/apiKeys/1"]
        both = [f"/tenants/{one}/apiKeys/{key}" for one in (0, 1) for key in (0, 1)]
        doubled = ["/tenants/0/name", "/tenants/1/name"]
        cases = [
            ("tenant", ["/tenants/1"], None, "one"),
            ({**TWO, "name": 5}, *NO_NAME, "one"),
            ({**TWO, "name": ""}, *NO_NAME, "one"),
            ({**TWO, "name": "a\r\nb: c"}, *NO_NAME, "one"),
            ({"apiKeys": ["key-2a"]}, *NO_NAME, "one"),
            ({**TWO, "apiKeys": "key-2a"}, ["/tenants/1/apiKeys"], None, "one"),
            ({**TWO, "apiKeys": odd_keys}, places, "two", "one"),
            ({**TWO, "priority": -1}, ["/tenants/1/priority"], "two", "one"),
            ({**TWO, "ratePerS": "68"}, ["/tenants/1/ratePerS"], "two", "one"),
            ({**TWO, "burst": True}, ["/tenants/1/burst"], "two", "one"),
            ({**TWO, "apiKeys": ["key-2a", "key-1b"]}, shared, "two", "one"),
            ({**TWO, "name": "one"}, doubled, "?", "?"),
            (ONE, [*doubled, *both], None, "?"),
            (TWO, [], "two", "one"),
        ]
        reader = WorkspaceReader(make_digester())
        for entry, expected, second, first in cases:
            # The second time nothing has changed.
            for _ in range(2):
                with self.subTest(entry):
                    configuration = parse([ONE, entry], reader)
                    findings = configuration.findings
                    self.assertEqual([one.split(": ")[0] for one in findings], expected)
                    self.assertNotIn("key-", "".join(findings))
                    self.assertEqual(find_name(configuration, "key-2a"), second)
                    self.assertEqual(find_name(configuration, "key-1a"), first)

    def test_entry_that_cannot_be_decoded_takes_out_the_record(self):
        data = encode({**CONFIGURATION, "tenants": [ONE, 1]})
        configuration = parse_configuration(data[:-3] + b'{"name": "\xff"}]}')
        self.assertEqual(configuration.findings, ("/tenants/1: names no workspace",))
        self.assertEqual(find_name(configuration, "key-1a"), "one")


class RouteTest(unittest.TestCase):
    """What routes say beside, and the names of header fields."""

    def test_route_is_public_or_strict_without_its_word(self):
        def parse_route(**changes):
            hosts = [{"host": "one.example", "paths": [{**PATH, **changes}]}]
            record = parse_configuration(encode({**CONFIGURATION, "vhosts": hosts}))
            places = [one.split(": ")[0] for one in record.findings]
            return record.routes[0].is_public, places, record.routes[0].repeatability

        anyhow = Repeatability.IDEMPOTENT
        for value in (None, False, True):
            self.assertEqual(parse_route(public=value), (bool(value), [], anyhow))
        for value in (1, "true", []):
            places = ["/vhosts/0/paths/0/public"]
            self.assertEqual(parse_route(public=value), (False, places, anyhow))
        self.assertEqual(parse_route(kind="download"), (False, [], anyhow))

    def test_fields_have_other_names(self):
        names = (NAMES.workspace, NAMES.workspace_key)
        self.assertEqual(names, (b"x-cardamomtack-tenant", b"x-cardamomtack-key"))


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
            keys = ("key-1a", "key-2a", "key-3")
            return [find_name(routes.configuration, key) for key in keys]

        three = {"name": "three", "apiKeys": ["key-3", "key-1a"]}
        self.assertEqual(publish(2, [ONE, TWO]), ["one", "two", None])
        self.assertEqual(publish(3, [ONE, three], vhosts=5), ["one", "two", None])
        self.assertEqual(publish(1, [three]), ["one", "two", None])
        self.assertEqual(publish(4, [TWO, three]), ["three", "two", "three"])
        self.assertEqual(publish(5, [ONE, TWO, three]), ["?", "two", "three"])
        self.assertEqual(publish(6, {}), ["?", "?", "?"])
        self.assertEqual(publish(7, [ONE, {**TWO, "apiKeys": []}]), ["one", None, None])
        self.assertNotIn("key-", "".join(lines))

    def test_message_on_a_cut_record_repeats_a_key(self):
        data = encode({"version": "1", "vhosts": [], "tenants": [ONE]})
        for end in range(10, len(data)):
            with self.assertRaises(ConfigurationRecordError) as caught:
                parse_configuration(data[:end])
            self.assertNotIn("key-", str(caught.exception))

    def test_one_changed_key_has_all_keys_read_again(self):
        """100,000 keys: a change costs what it changes, all take few bytes each."""
        tenants = [
            {
                "name": f"w{number}",
                "apiKeys": [f"k{number:04d}{one:015d}" for one in range(100)],
                "ratePerS": 68,
            }
            for number in range(1000)
        ]
        records = [encode({**CONFIGURATION, "tenants": tenants})]
        revoked, tenants[7]["apiKeys"][5] = tenants[7]["apiKeys"][5], "new"
        records.append(encode({**CONFIGURATION, "tenants": tenants}))
        digester = make_digester()
        reader = WorkspaceReader(digester)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = parse_configuration(records[0], None, reader)
        first_bytes, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(digester.keys, 100_000)
        after = parse_configuration(records[1], None, reader)
        both_bytes, _ = tracemalloc.get_traced_memory()
        self.assertEqual(digester.keys, 100_100)
        names = [
            find_name(one, key) for one in (before, after) for key in (revoked, "new")
        ]
        self.assertEqual(names, ["w7", None, None, "w7"])
        print(
            f"{first_bytes} bytes, {peak_bytes} at most, {both_bytes} with the next",
            file=sys.stderr,
        )
        self.assertLess(first_bytes, 100_000 * BYTES_A_KEY_MAX)
        self.assertLess(peak_bytes, 2 * 100_000 * BYTES_A_KEY_MAX)
        self.assertLess(both_bytes - first_bytes, 10_000 * BYTES_A_KEY_MAX)


if __name__ == "__main__":
    unittest.main()
