"""Keys of callers, and the names of workspaces that servers get."""

from __future__ import annotations

import json
import tempfile
import unittest

import anyio

from cardamomtack.routing.policy import Repeatability
from cardamomtack.workspaces.directory import (
    KeyDigester,
    WorkspaceDirectory,
    WorkspaceEntry,
)
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.logs import LogLineWriter
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import EntryVm, ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import (
    ROUTES,
    make_configuration,
    make_route,
)
from tests.cardamomtack_daemon.forwarding.servers import (
    ScriptedServer,
    async_answer,
    write_not_run,
)
from tests.cardamomtack_daemon.forwarding.test_late import async_hang, script_in_turn
from tests.cardamomtack_daemon.forwarding.test_uploads import make_body, write_chunked

DIGESTER = KeyDigester(b"0123456789abcdef")
KEY = "key-one"
SHARED = "key-shared"


def make_workspaces(**keys):
    """Return workspaces with their keys."""
    entries = []
    for name, held in keys.items():
        digests = tuple(DIGESTER.digest_key(key.encode()) for key in held)
        entries.append(WorkspaceEntry(Workspace(name), digests))
    return WorkspaceDirectory(DIGESTER, entries)


WORKSPACES = make_workspaces(one=[KEY, SHARED], two=["key-two", SHARED])
PUBLIC = make_route("open", Repeatability.IDEMPOTENT, is_public=True)


def make_keyed(version=1, workspaces=WORKSPACES):
    """Return a configuration with workspaces and a public route."""
    return make_configuration(
        version, (*ROUTES, PUBLIC), body_bytes_max=8_000_000, workspaces=workspaces
    )


async def async_call(vm, route, *fields, request_id="r-1", body=b"", framing=None):
    """Call on a connection of its own."""
    lines = [
        f"{'POST' if body else 'GET'} /{route}/x HTTP/1.1",
        f"Host: {HOST}",
        f"test-id: {request_id}",
        "test-deadline: 2000",
        framing or f"Content-Length: {len(body)}",
        *fields,
    ]
    head = "".join(f"{line}\r\n" for line in lines)
    async with vm.open_caller() as caller:
        await caller.stream.send(f"{head}\r\n".encode() + body)
        return await caller.async_receive()


class KeyedCase(ForwardingCase):
    """Runs scenarios whose configuration has workspaces."""

    def play_keyed(self, scenario, configuration=None, **options):
        """Run a scenario."""
        self.play(scenario, configuration=configuration or make_keyed(), **options)

    def check_sent(self, servers, names, sends):
        """Check the workspaces that servers got, and that they got no key."""
        requests = [one for server in servers for one in server.requests]
        self.assertEqual(len(requests), sends)
        for request in requests:
            found = [
                value
                for name, value in request.fields
                if name.replace(b"_", b"-") == b"test-workspace"
            ]
            self.assertEqual(found, names)
            self.assertNotIn(b"key", repr(request.fields).encode().lower())


class KeyTest(KeyedCase):
    """Who is served."""

    def test_request_without_a_proper_key_reaches_a_server(self):
        cases = [
            ("read", [], 401),
            ("read", ["Test-Key: key-unknown"], 401),
            ("read", ["Test-Key:"], 401),
            ("read", [f"Test-Key: {KEY}", f"test-key: {KEY}"], 401),
            ("read", [f"Test-Key: {KEY}, {KEY}"], 401),
            ("read", [f"Test_Key: {KEY}"], 401),
            ("book", ["Test-Workspace: one"], 401),
            ("read", [f"Test-Key: {SHARED}"], 503),
            ("nowhere", [], 404),
        ]

        async def scenario(vm, servers):
            for route, fields, status in cases:
                with self.subTest(fields):
                    answer = await async_call(vm, route, *fields)
                    self.assertEqual(answer.status, status)
                    outcome = json.loads(answer.body)["outcome"]
                    self.assertEqual(outcome, "not-run")
                    self.assertEqual(
                        "www-authenticate" in answer.headers, status == 401
                    )
                    self.assertEqual("retry-after" in answer.headers, status == 503)
            self.check_sent(servers, [], 0)

        self.play_keyed(scenario)

    def test_public_route_wants_a_key_or_believes_a_name(self):
        keyless = (
            [],
            ["Test-Key: x"],
            [f"Test-Key: {SHARED}"],
            [f"Test-Key: {KEY}"] * 2,
        )

        async def scenario(vm, servers):
            for fields in keyless:
                answer = await async_call(vm, "open", *fields, "Test-Workspace: two")
                self.assertEqual(answer.status, 200)
            self.check_sent(servers, [], len(keyless))
            for server in servers:
                server.requests.clear()
            answer = await async_call(vm, "open", f"Test-Key: {KEY}")
            self.assertEqual(answer.status, 200)
            self.check_sent(servers, [b"one"], 1)

        self.play_keyed(scenario)

    def test_revoked_key_of_an_open_connection_is_served(self):
        """A request that was accepted before ends under its name all the same."""

        async def scenario(vm, servers):
            script = script_in_turn(async_hang, async_answer)
            for server in servers:
                server.script = script
            answers = []

            async def call():
                answers.append(await async_call(vm, "read", f"test-key: {KEY}"))

            async with vm.open_caller() as caller, anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                while not sum(len(server.requests) for server in servers):
                    await anyio.sleep(0.01)
                vm.publish(make_keyed(2, make_workspaces(one=["key-new"])))
                while vm.daemon._routes.version < 2:
                    await anyio.sleep(0.01)
                extra = f"Test-Key: {KEY}\r\n"
                await caller.async_send("read", "r-2", extra=extra)
                self.assertEqual((await caller.async_receive()).status, 401)
            self.assertEqual([one.status for one in answers], [200])
            self.check_sent(servers, [b"one"], 2)

        self.play_keyed(scenario)

    def test_fields_change_where_there_are_no_workspaces(self):
        async def scenario(vm, servers):
            fields = ("Test-Key: k", "Test-Workspace: a", "TEST-WORKSPACE: b")
            answer = await async_call(vm, "read", *fields)
            self.assertEqual(answer.status, 200)
            (request,) = [one for server in servers for one in server.requests]
            found = [
                one for one in request.fields if one[0].endswith((b"key", b"space"))
            ]
            expected = [("test-key", "k"), ("test-workspace", "a")]
            expected.append(("test-workspace", "b"))
            self.assertEqual(
                found, [(name.encode(), value.encode()) for name, value in expected]
            )

        self.play(scenario)


class NameTest(KeyedCase):
    """What servers get, on every path to them."""

    def test_name_of_a_caller_reaches_a_server(self):
        cases = [
            [],
            ["Test-Workspace: two"],
            ["TEST-WORKSPACE: two", "test-workspace: three"],
            ["Test_Workspace: two", "Test_Key: key-two"],
            ["Connection: test-workspace, test-key", "Test-Workspace: two"],
            ["Connection: Test-Workspace", "Connection: keep-alive"],
        ]

        async def scenario(vm, servers):
            for fields in cases:
                with self.subTest(fields):
                    answer = await async_call(vm, "read", f"Test-Key: {KEY}", *fields)
                    self.assertEqual(answer.status, 200)
                    self.check_sent(servers, [b"one"], 1)
                    for server in servers:
                        server.requests.clear()

        self.play_keyed(scenario)

    def test_name_in_a_trailer_reaches_a_server(self):
        async def scenario(vm, servers):
            for size in (10, 300_000):
                body = write_chunked(make_body(size), 9_000)[:-2]
                trailer = b"Test-Workspace: two\r\nTest-Key: key-two\r\n\r\n"
                answer = await async_call(
                    vm,
                    "book",
                    f"Test-Key: {KEY}",
                    "Trailer: Test-Workspace, Test-Key",
                    request_id=f"b-{size}",
                    body=body + trailer,
                    framing="Transfer-Encoding: chunked",
                )
                self.assertEqual(answer.status, 200)
            self.check_sent(servers, [b"one"], 2)
            sizes = {len(one.body) for server in servers for one in server.requests}
            self.assertEqual(sizes, {10, 300_000})

        self.play_keyed(scenario)

    def test_resent_request_loses_its_name_or_keeps_its_key(self):
        async def refuse(server, request, stream):
            await stream.send(write_not_run(request))

        async def cut(server, request, stream):
            await stream.aclose()

        async def scenario(vm, servers):
            for route, first in (("read", cut), ("read", refuse), ("book", refuse)):
                with self.subTest(f"{route} {first.__name__}"):
                    script = script_in_turn(first, async_answer)
                    for server in servers:
                        server.requests.clear()
                        server.script = script
                    answer = await async_call(
                        vm,
                        route,
                        f"Test-Key: {KEY}",
                        request_id=f"{route}-{first.__name__}",
                        body=make_body(200_000),
                    )
                    self.assertEqual(answer.status, 200)
                    self.check_sent(servers, [b"one"], 2)

        self.play_keyed(scenario, servers=4)

    def test_second_send_beside_a_late_one_loses_its_name(self):
        async def scenario(vm, servers):
            script = script_in_turn(async_hang, async_answer)
            for server in servers:
                server.script = script
            answer = await async_call(vm, "read", f"Test-Key: {KEY}")
            self.assertEqual(answer.status, 200)
            self.check_sent(servers, [b"one"], 2)

        self.play_keyed(scenario, servers=4)


class LogTest(unittest.TestCase):
    """What the log tells."""

    def test_log_names_no_workspace_or_a_key(self):
        async def run(descriptor):
            vm = EntryVm(writer=LogLineWriter(descriptor, "vm-1"))
            server = ScriptedServer("server-0")
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.async_serve)
                vm.register(server.make_entry())
                vm.publish(make_keyed())
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                for number, key in enumerate((KEY, "key-unknown", SHARED)):
                    await async_call(
                        vm, "read", f"Test-Key: {key}", request_id=f"r-{number}"
                    )
                await async_call(vm, "read", request_id="r-3")
                tasks.cancel_scope.cancel()

        with tempfile.TemporaryFile("w+b") as file:
            anyio.run(run, file.fileno())
            file.seek(0)
            text = file.read().decode()
        self.assertNotIn("key-", text)
        decisions = [json.loads(line)["request"] for line in text.splitlines()]
        told = [
            (
                one["request_id"],
                one["route"],
                one.get("workspace"),
                one["status"],
                one["reason"],
            )
            for one in decisions
        ]
        doubt = "the configuration does not tell whose key this is"
        self.assertEqual(
            told,
            [
                ("r-0", "read", "one", 200, "answered"),
                ("r-1", "read", None, 401, "key of the request is unknown"),
                ("r-2", "read", None, 503, doubt),
                ("r-3", "read", None, 401, "request has no key"),
            ],
        )


if __name__ == "__main__":
    unittest.main()
