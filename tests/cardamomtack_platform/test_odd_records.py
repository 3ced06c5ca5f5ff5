"""Odd records and fields of other writers, which must harm only themselves."""

from __future__ import annotations

import json
import unittest
import unittest.mock

from loguru import logger

from cardamomtack.discovery.coordinator import DiscoveryCoordinator
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import TopicRecord
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.routing.coordinator import ConfigurationRecordError
from cardamomtack_daemon.replicas.source import StoreError
from cardamomtack_platform.codec import ConfigurationOrder, EntryOrder, PlatformCodec
from cardamomtack_platform.configuration import parse_configuration
from cardamomtack_platform.entries import parse_entry
from cardamomtack_platform.headers import parse_load, parse_rate_limit
from cardamomtack_platform.settings import parse_settings
from cardamomtack_standins.asgi import ServiceReply
from tests.cardamomtack_platform.test_store import NAME, StoreCase
from tests.cardamomtack_platform.test_translation import (
    CONFIGURATION,
    ENTRY,
    SETTINGS,
    encode,
)

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = 10**400
LONG = "8" * 5000

ODD_ENTRIES = {
    "deep": encode(ENTRY)[:-1] + b',"more":' + DEEP + b"}",
    "deep table": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "long port": encode({**ENTRY, "addr": f"10.1.2.3:{LONG}"}),
    "port out of range": encode({**ENTRY, "addr": "10.1.2.3:65536"}),
    "long address": encode({**ENTRY, "addr": f"{LONG}.1.2.3:80"}),
    "no address": encode({**ENTRY, "addr": "0.0.0.0:80"}),
    "group address": encode({**ENTRY, "addr": "224.0.0.1:80"}),
    "huge slots": encode({**ENTRY, "slots": HUGE}),
    "many slots": encode({**ENTRY, "slots": 2**62}),
    "huge start": encode({**ENTRY, "born": HUGE}),
    "start beyond time": encode({**ENTRY, "born": 10**16}),
    "start before time": encode({**ENTRY, "born": -1}),
    "huge count": encode({**ENTRY, "seq": HUGE}),
    "negative count": encode({**ENTRY, "seq": -1}),
    "long warm-up": encode({**ENTRY, "warmupLeftS": 1e300}),
    "huge warm-up": encode(ENTRY).replace(b"1.5", str(HUGE).encode()),
    "warm-up out of range": encode(ENTRY).replace(b"1.5", b"1e400"),
    "half a letter": encode(ENTRY).replace(b'"a"', b'"\\ud800"'),
    "empty service": encode({**ENTRY, "service": ""}),
    "long service": encode({**ENTRY, "service": "x" * 100_000}),
    "nothing": b"{}",
    "other bytes": b"\xff\x00",
}


class EntryTest(unittest.TestCase):
    """Entries of servers."""

    def test_odd_entry_ends_the_process(self):
        for name, data in ODD_ENTRIES.items():
            with self.subTest(name):
                self.assertIsNone(parse_entry("i-1", data))

    def test_odd_entry_is_newer_than_any_other(self):
        for name in ("huge start", "start beyond time", "huge count", "deep table"):
            with self.subTest(name):
                record = TopicRecord(1, "i-1", ODD_ENTRIES[name])
                self.assertIsNone(EntryOrder().read_order(record))

    def test_odd_key_is_sent_to_a_server(self):
        for key in ("i-1\r\nx: y", "i 1", "i-\u0661", "", "x" * 300, "\x7f"):
            with self.subTest(key):
                self.assertIsNone(parse_entry(key, encode(ENTRY)))

    def test_odd_entries_hide_the_others(self):
        registry = ServerRegistry(SystemClock())
        coordinator = DiscoveryCoordinator(PlatformCodec(), registry)
        records = [
            TopicRecord(number, f"i-{number}", data)
            for number, data in enumerate(ODD_ENTRIES.values())
        ]
        good = TopicRecord(len(records), "i-good", encode(ENTRY))
        coordinator.apply_records([*records, good])
        self.assertEqual(list(registry.servers), ["i-good"])
        coordinator.apply_records([TopicRecord(99, "i-good", ODD_ENTRIES["deep"])])
        self.assertEqual(list(registry.servers), ["i-good"])

    def test_many_odd_entries_write_a_line_each(self):
        lines = []
        sink = logger.add(lines.append, level="WARNING")
        coordinator = DiscoveryCoordinator(
            PlatformCodec(), ServerRegistry(SystemClock())
        )
        coordinator.apply_records(
            [TopicRecord(number, f"i-{number}", b"{}") for number in range(5000)]
        )
        logger.remove(sink)
        self.assertLessEqual(len(lines), 20)


class ConfigurationTest(unittest.TestCase):
    """Configuration records."""

    def replace(self, old, new):
        """Return a record with one text in the place of another."""
        text = encode(CONFIGURATION)
        self.assertIn(old, text)
        return text.replace(old, new, 1)

    def test_odd_record_ends_the_process(self):
        cases = [
            DEEP,
            self.replace(b'"limits": {', b'"limits": {"more":' + DEEP + b","),
            self.replace(b"0000000c", b"f" * 6000),
            self.replace(b"0000000c", b"0_c"),
            self.replace(b"0000000c", b"-1"),
            self.replace(b"1.5", b"1e400"),
        ]
        for data in cases:
            with self.subTest(data[:60]):
                with self.assertRaises(ConfigurationRecordError):
                    parse_configuration(data)
                record = TopicRecord(1, "config", data)
                order = ConfigurationOrder().read_order(record)
                self.assertIn(order, (None, (12,)))

    def test_huge_number_takes_the_whole_version_out(self):
        huge = str(HUGE).encode()
        for name in (b'"timeoutS": 1.5', b'"sloS": 0.6', b'"priority": 2'):
            with self.subTest(name):
                old = name.rpartition(b" ")[2]
                data = self.replace(name, name.removesuffix(old) + huge)
                configuration = parse_configuration(data)
                self.assertEqual(configuration.version, 12)
                self.assertLess(configuration.routes[0].timeout_s, 100.0)
                self.assertLess(configuration.routes[0].priority, 100)
                self.assertEqual(len(configuration.findings), 1)
        for name in (b'"attempts": 2', b'"weight": 90', b'"maxConns": 220'):
            with self.subTest(name):
                old = name.rpartition(b" ")[2]
                data = self.replace(name, name.removesuffix(old) + huge)
                configuration = parse_configuration(data)
                self.assertLessEqual(configuration.routes[0].attempts_max, 2)
                self.assertEqual(len(configuration.findings), 1)
        data = self.replace(b'"maxBodyBytes": 1000', b'"maxBodyBytes": ' + huge)
        self.assertIsNone(parse_configuration(data).limits)

    def test_odd_health_path_is_sent_to_a_server(self):
        for path in ("/a b", "/a\r\nx: y", "/\u00e4", "/\x00"):
            with self.subTest(path):
                new = json.dumps(path).encode()
                configuration = parse_configuration(self.replace(b'"/healthz"', new))
                self.assertEqual(configuration.services["desk"].health_path, "/")


class FieldTest(unittest.TestCase):
    """Header fields of servers, and settings."""

    def test_odd_fields(self):
        for value in (b"1,2," + LONG.encode(), b"%d,1,4" % HUGE, b"1,2,3,%d" % HUGE):
            self.assertIsNone(parse_load(value))
        for value in (b"1e400", b"nan", LONG.encode(), b"1e300", b"-1", b"", b"x"):
            self.assertIsNone(parse_rate_limit(value))

    def test_odd_settings_are_findings(self):
        for line in (
            "bounds.graceS=nan",
            "bounds.graceS=inf",
            "limits.ramMb=1e400",
            f"provider.addr=10.200.1.7:{LONG}",
            "provider.addr=10.200.1.7:\u00b2",
            f"internalPorts={LONG},7675",
            "internalPorts=\u00b2,7675",
        ):
            with self.subTest(line[:40]):
                findings = parse_settings(f"{SETTINGS}{line}\n", "boot.conf")
                self.assertIsInstance(findings, list)


class StorePageTest(StoreCase):
    """Pages of the store."""

    def test_odd_page_ends_the_process(self):
        async def scenario(store, topic, members):
            for odd in (DEEP, b'{"end":1,"items":' + DEEP + b"}", b'{"end":1e400}'):

                async def answer(request, odd=odd):
                    return ServiceReply(200, odd)

                with unittest.mock.patch.object(
                    type(store), "_async_act", staticmethod(answer)
                ):
                    with self.assertRaises(StoreError):
                        await topic.async_read_newest(1.0)
                    with self.assertRaises(StoreError):
                        await members.async_read_members(1.0)
            await topic.async_read_newest(1.0)

        self.play(scenario)

    def test_odd_keys_hide_the_others(self):
        async def scenario(store, topic, members):
            store.write(NAME, "i-1", encode(ENTRY))
            for record in (b"", b"\xff", b"\x02\xff\xfe{}", b"\x00{}", b"\x01"):
                store.write_raw(NAME, record)
            page = await topic.async_read_from(0, 0.0, 1.0)
            self.assertIn("i-1", [one.key for one in page.records])
            self.assertEqual(page.end, 6)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
