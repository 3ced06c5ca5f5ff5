"""A VM that stops while long answers and bodies are still on their way."""

from __future__ import annotations

import time
import unittest

import anyio

from cardamomtack.routing.policy import Repeatability
from tests.cardamomtack_daemon.forwarding.callers import CallerAnswer
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.cuts import Cut, CutFleet
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.test_uploads import (
    BODY_BYTES_MAX,
    make_body,
    write_head,
)

ANSWER_S = 4.0
DEADLINE_MS = 20_000
GRACE_S = 6.0
LONG_BYTES = 4_000_000
PARTS = 40
SHORT_GRACE_S = 3.0
STOP_AFTER_S = 1.0

FRAMINGS = {
    "length": f"content-length: {LONG_BYTES}\r\n",
    "chunks": "transfer-encoding: chunked\r\n",
    "end": "connection: close\r\n",
}


def send_slowly(framing):
    """Return a script that sends a long answer in even parts."""
    part = make_body(LONG_BYTES // PARTS)

    async def script(server, request, stream):
        request_id = request.headers[b"test-id"].decode()
        head = f"HTTP/1.1 200 X\r\ntest-id: {request_id}\r\ntest-signature: s\r\n"
        await stream.send(f"{head}{FRAMINGS[framing]}\r\n".encode())
        for _ in range(PARTS):
            if framing == "chunks":
                await stream.send(b"%x\r\n%b\r\n" % (len(part), part))
            else:
                await stream.send(part)
            await anyio.sleep(ANSWER_S / PARTS)
        if framing == "chunks":
            await stream.send(b"0\r\n\r\n")
        if framing == "end":
            await stream.aclose()

    return script


class LongStopTest(ForwardingCase):
    """What is still passed on when a VM is told to stop."""

    def play_stop(self, scenario, grace_s=GRACE_S):
        """Run a scenario at a VM that can be stopped."""
        routes = (
            make_route("read", Repeatability.IDEMPOTENT, timeout_s=20.0),
            make_route("book", Repeatability.ONCE_PER_SEND, timeout_s=20.0),
        )
        configuration = make_configuration(1, routes, BODY_BYTES_MAX)
        self.play(scenario, configuration=configuration, grace_s=grace_s)

    async def async_stop(self, vm, answers):
        """Stop a VM and return after how long the last answer was there, in seconds."""
        await anyio.sleep(STOP_AFTER_S)
        began_s = time.monotonic()
        vm.stopping.set()
        while None in answers.values():
            await anyio.sleep(0.05)
        return time.monotonic() - began_s

    async def async_read(self, vm, answers, name):
        """Take an answer."""
        answers[name] = None
        answers[name] = await vm.async_call("read", name, deadline_ms=DEADLINE_MS)

    def test_long_answers_are_cut_by_a_stop(self):
        for framing in FRAMINGS:
            with self.subTest(framing):

                async def scenario(vm, servers, framing=framing):
                    for server in servers:
                        server.script = send_slowly(framing)
                    answers: dict[str, CallerAnswer | None] = {}
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self.async_read, vm, answers, "r-1")
                        tasks.start_soon(self.async_read, vm, answers, "r-2")
                        await self.async_stop(vm, answers)
                    for answer in answers.values():
                        self.assertTrue(answer.is_whole)
                        self.assertEqual(len(answer.body), LONG_BYTES)

                self.play_stop(scenario)

    def test_answers_that_outlast_the_grace_period_look_whole(self):
        for framing in ("length", "chunks"):
            with self.subTest(framing):

                async def scenario(vm, servers, framing=framing):
                    for server in servers:
                        server.script = send_slowly(framing)
                    answers: dict[str, CallerAnswer | None] = {}
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self.async_read, vm, answers, "r-1")
                        stopped_s = await self.async_stop(vm, answers)
                    self.assertFalse(answers["r-1"].is_whole)
                    self.assertLess(stopped_s, SHORT_GRACE_S)
                    self.assertGreater(stopped_s, SHORT_GRACE_S - 1.0)

                self.play_stop(scenario, SHORT_GRACE_S)

    def test_uploads_are_cut_by_a_stop(self):
        async def scenario(vm, servers):
            body = make_body(LONG_BYTES)
            parts = [body[at : at + 100_000] for at in range(0, LONG_BYTES, 100_000)]

            async def upload(answers):
                answers["b-1"] = None
                async with vm.open_caller() as caller:
                    head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                    await caller.stream.send(head.replace(b"2000", b"20000"))
                    for part in parts:
                        await caller.stream.send(part)
                        await anyio.sleep(ANSWER_S / PARTS)
                    answers["b-1"] = await caller.async_receive()

            answers: dict[str, CallerAnswer | None] = {}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(upload, answers)
                await self.async_stop(vm, answers)
            self.assertEqual(answers["b-1"].status, 200)
            bodies = [one.body for server in servers for one in server.requests]
            self.assertEqual(bodies, [body])

        self.play_stop(scenario)

    def test_a_caller_that_reads_nothing_holds_a_stop_up(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await send_at_once(request, stream)

            for server in servers:
                server.script = script
            async with vm.open_caller() as caller:
                await caller.async_send("read", "r-1", deadline_ms=DEADLINE_MS)
                await anyio.sleep(STOP_AFTER_S)
                began_s = time.monotonic()
                vm.stopping.set()
                await vm.daemon._stopped.wait()
                self.assertLess(time.monotonic() - began_s, SHORT_GRACE_S)

        self.play_stop(scenario, SHORT_GRACE_S)


async def send_at_once(request, stream):
    """Send an answer that no buffer takes."""
    request_id = request.headers[b"test-id"].decode()
    head = f"HTTP/1.1 200 X\r\ntest-id: {request_id}\r\ntest-signature: s\r\n"
    size = 50_000_000
    await stream.send(f"{head}content-length: {size}\r\n\r\n".encode())
    await stream.send(bytes(size))


class HelperStopTest(unittest.TestCase):
    """A VM that stops while long answers pass through it to another one."""

    def test_long_answers_are_cut_by_the_stop_of_a_helper(self):
        async def run():
            fleet = CutFleet(2, 2, grace_s=GRACE_S)
            routes = (make_route("read", Repeatability.IDEMPOTENT, timeout_s=20.0),)
            for server in fleet.servers:
                server.script = send_slowly("length")
            vm, helper = fleet.vms
            async with fleet.run(make_configuration(1, routes)):
                while vm.daemon._members.count < 2:
                    await anyio.sleep(0.02)
                fleet.cut(vm, Cut.RESET)
                for server in vm.daemon._registry.servers.values():
                    vm.daemon._prober._ways.record_failed_open(server)
                answers = []

                async def call():
                    answers.append(
                        await vm.async_call("read", "r-1", deadline_ms=DEADLINE_MS)
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await anyio.sleep(STOP_AFTER_S)
                    self.assertGreater(helper.daemon._tunnels.count, 0)
                    helper.stopping.set()
                self.assertTrue(answers[0].is_whole)
                self.assertEqual(len(answers[0].body), LONG_BYTES)

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
