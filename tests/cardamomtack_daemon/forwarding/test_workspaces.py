"""Keys of callers, and the names of workspaces that servers get."""

from __future__ import annotations

import json
import unittest
from unittest.mock import patch

import anyio
from loguru import logger

from cardamomtack.routing.policy import Repeatability
from cardamomtack.workspaces.identification import KeyFault
from cardamomtack_daemon.logs import DecisionLog
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import (
    ROUTES,
    make_configuration,
    make_route,
    make_workspaces,
)
from tests.cardamomtack_daemon.forwarding.servers import async_answer
from tests.cardamomtack_daemon.forwarding.test_late import async_hang, script_in_turn
from tests.cardamomtack_daemon.forwarding.test_uploads import (
    async_cut,
    async_refuse_whole,
    make_body,
    write_chunked,
    write_head,
)

KEY = "key-one"
OWN = f"Test-Key: {KEY}"
SHARED = "Test-Key: key-shared"
WORKSPACES = make_workspaces(one=[KEY, "key-shared"], two=["key-two", "key-shared"])


def make_keyed(version=1, workspaces=WORKSPACES):
    """Return a configuration with workspaces and a public route."""
    public = make_route("open", Repeatability.IDEMPOTENT, is_public=True)
    routes = (*ROUTES, public)
    return make_configuration(version, routes, 8_000_000, workspaces)


async def async_call(vm, route, *fields, body=b""):
    """Call on a connection of its own."""
    extra = "".join(f"{field}\r\n" for field in fields)
    async with vm.open_caller() as caller:
        await caller.async_send(route, "r-1", body, extra=extra)
        return await caller.async_receive()


class KeyedCase(ForwardingCase):
    """Runs scenarios whose configuration has workspaces."""

    def play_keyed(self, scenario):
        """Run a scenario with four servers."""
        self.play(scenario, servers=4, configuration=make_keyed())

    def check_sent(self, servers, names, sends):
        """Check the workspaces that servers got since, and that they got no key."""
        requests = [one for server in servers for one in server.requests]
        self.assertEqual(len(requests), sends)
        for request in requests:
            fields = [(name.replace(b"_", b"-"), v) for name, v in request.fields]
            found = [value for name, value in fields if name == b"test-workspace"]
            self.assertEqual(found, names)
            self.assertNotIn("key", repr(fields).lower())
        for server in servers:
            server.requests.clear()


class KeyTest(KeyedCase):
    """Who is served."""

    def test_request_without_a_proper_key_reaches_a_server_or_its_key_a_log(self):
        cases = [
            ("read", [], 401, KeyFault.MISSING),
            ("read", ["Test-Key: key-x"], 401, KeyFault.UNKNOWN),
            ("read", ["Test-Key: \t"], 401, KeyFault.MISSING),
            ("read", [OWN, OWN], 401, KeyFault.REPEATED),
            ("read", [f"{OWN}, {KEY}"], 401, KeyFault.UNKNOWN),
            ("read", [f"Test_Key: {KEY}"], 401, KeyFault.MISSING),
            ("book", ["Test-Workspace: one"], 401, KeyFault.MISSING),
            ("book", [SHARED], 503, KeyFault.AMBIGUOUS),
        ]
        told, lines = [], []

        def record(log, decision, is_first_send_success):
            told.append(decision)

        async def scenario(vm, servers):
            for route, fields, status, fault in cases:
                with self.subTest(fields):
                    answer = await async_call(vm, route, *fields)
                    self.assertEqual(json.loads(answer.body)["outcome"], "not-run")
                    has_challenge = "www-authenticate" in answer.headers
                    self.assertEqual(
                        (answer.status, has_challenge), (status, status == 401)
                    )
                    self.assertEqual("retry-after" in answer.headers, status == 503)
                    one = told.pop()
                    found = (one.route, one.status, one.reason, one.workspace)
                    self.assertEqual(found, (route, status, fault.value, ""))
                    lines.append(repr(one))
            self.assertEqual((await async_call(vm, "nowhere", OWN)).status, 404)
            self.check_sent(servers, [], 0)
            await async_call(vm, "read", OWN)
            self.assertEqual(told.pop().workspace, "one")
            self.assertNotIn("key-", "".join(lines))

        sink = logger.add(lines.append, level=0, format="{message} {extra}")
        self.addCleanup(logger.remove, sink)
        with patch.object(DecisionLog, "record_decision", record):
            self.play_keyed(scenario)

    def test_public_route_wants_a_key_or_believes_a_name(self):
        async def scenario(vm, servers):
            for fields in ([], ["Test-Key: x"], [SHARED], [OWN, OWN]):
                answer = await async_call(vm, "open", *fields, "Test-Workspace: two")
                self.assertEqual(answer.status, 200)
                self.check_sent(servers, [], 1)
            self.assertEqual((await async_call(vm, "open", OWN)).status, 200)
            self.check_sent(servers, [b"one"], 1)

        self.play_keyed(scenario)

    def test_revoked_key_of_an_open_connection_is_served(self):
        """A request that was accepted before ends under its name all the same."""

        async def scenario(vm, servers):
            script = script_in_turn(async_hang, async_answer)
            for server in servers:
                server.script = script

            async def call():
                self.assertEqual((await async_call(vm, "read", OWN)).status, 200)

            async with vm.open_caller() as caller, anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                while not any(server.requests for server in servers):
                    await anyio.sleep(0.01)
                vm.publish(make_keyed(2, make_workspaces(one=["key-new"])))
                while vm.daemon._routes.version < 2:
                    await anyio.sleep(0.01)
                await caller.async_send("read", "r-2", extra=f"{OWN}\r\n")
                self.assertEqual((await caller.async_receive()).status, 401)
            self.check_sent(servers, [b"one"], 2)

        self.play_keyed(scenario)

    def test_fields_change_where_there_are_no_workspaces(self):
        fields = ("test-key: k", "test-workspace: a", "test-workspace: b")

        async def scenario(vm, servers):
            self.assertEqual((await async_call(vm, "read", *fields)).status, 200)
            (request,) = [one for server in servers for one in server.requests]
            found = [(b"%b: %b" % one).decode() for one in request.fields]
            self.assertEqual([one for one in found if one in fields], list(fields))

        self.play(scenario)

    def test_key_reaches_a_server_after_a_version_without_workspaces(self):
        async def scenario(vm, servers):
            self.assertEqual((await async_call(vm, "read", OWN)).status, 200)
            self.check_sent(servers, [b"one"], 1)
            vm.publish(make_keyed(2, None))
            while vm.daemon._routes.version < 2:
                await anyio.sleep(0.01)
            self.assertEqual((await async_call(vm, "read", OWN)).status, 200)
            self.check_sent(servers, [], 1)

        self.play_keyed(scenario)


class NameTest(KeyedCase):
    """What servers get, on every path to them."""

    def test_name_of_a_caller_reaches_a_server(self):
        cases = [
            ["Test-Workspace:"],
            ["TEST-WORKSPACE: two", "test-workspace: three"],
            ["Test_Workspace: two", "Test_Key: key-two"],
            ["Connection: test-workspace, test-key", "Test-Workspace: two"],
            ["Connection: Test-Workspace", "Connection: keep-alive"],
        ]

        async def scenario(vm, servers):
            for fields in cases:
                with self.subTest(fields):
                    answer = await async_call(vm, "read", OWN, *fields)
                    self.assertEqual(answer.status, 200)
                    self.check_sent(servers, [b"one"], 1)

        self.play_keyed(scenario)

    def test_name_in_a_trailer_reaches_a_server(self):
        trailer = b"Test-Workspace: two\r\nTest-Key: key-two\r\n\r\n"

        async def scenario(vm, servers):
            for size in (10, 300_000):
                framing = f"{OWN}\r\nTrailer: Test-Key\r\nTransfer-Encoding: chunked"
                body = write_chunked(make_body(size), 9_000)[:-2] + trailer
                async with vm.open_caller() as caller:
                    await caller.stream.send(write_head("r-1", framing) + body)
                    answer = await caller.async_receive()
                self.assertEqual(answer.status, 200)
                self.check_sent(servers, [b"one"], 1)

        self.play_keyed(scenario)

    def test_second_send_loses_its_name_or_keeps_its_key(self):
        cases = [
            ("read", async_hang, b""),
            ("read", async_cut, b""),
            ("read", async_cut, make_body(200_000)),
            ("book", async_refuse_whole, make_body(200_000)),
        ]

        async def scenario(vm, servers):
            for route, first, body in cases:
                with self.subTest(f"{route} {first.__name__}"):
                    script = script_in_turn(first, async_answer)
                    for server in servers:
                        server.script = script
                    answer = await async_call(vm, route, OWN, body=body)
                    self.assertEqual(answer.status, 200)
                    self.check_sent(servers, [b"one"], 2)

        self.play_keyed(scenario)


if __name__ == "__main__":
    unittest.main()
