"""Long bodies: passed on as they arrive, whole or not at all, in bounded memory."""

from __future__ import annotations

import anyio

from cardamomtack_daemon.forwarding.body import REPLAY_BYTES_MAX
from cardamomtack_daemon.http1.body import BODY_WINDOW_BYTES
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import (
    STREAM_ERRORS,
    write_answer,
    write_not_run,
)

BODY_BYTES_MAX = 8_000_000
LONG_BYTES = 300_000
SOCKET_BYTES = 16_000_000
"""What the kernel's buffers of two connections on loopback may take at most."""


def make_body(size: int) -> bytes:
    """Return a body whose every part differs from the others."""
    return b"".join(b"%09d," % number for number in range(size // 10 + 1))[:size]


def write_head(request_id: str, framing: str, route: str = "book") -> bytes:
    """Return the head of a request."""
    head = f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: {request_id}\r\n"
    return f"{head}test-deadline: 2000\r\n{framing}\r\n\r\n".encode()


def write_chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunks."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in [*parts, b""])


async def async_cut(server, request, stream):
    """Close the connection."""
    await stream.aclose()


async def async_refuse(server, request, stream):
    """Say that the request did not run, and take no more of it."""
    server.early_script = None
    await stream.send(write_not_run(request))


async def async_refuse_whole(server, request, stream):
    """Say that a request that was read did not run."""
    await stream.send(write_not_run(request))


class UploadCase(ForwardingCase):
    """Runs scenarios whose configuration allows long bodies."""

    def play_uploads(self, scenario, **options):
        """Run a scenario, and check that all memory is given back."""
        configuration = make_configuration(body_bytes_max=BODY_BYTES_MAX)

        async def check(vm, servers):
            await scenario(vm, servers)

            async def read_held():
                return vm.daemon.memory.held_bytes

            await async_wait_for(read_held, lambda held: held == 0)

        self.play(check, configuration=configuration, **options)

    def list_bodies(self, servers):
        """Return the whole bodies that reached servers."""
        return [one.body for server in servers for one in server.requests]


class WholeUploadTest(UploadCase):
    """What reaches a server is what the caller sent."""

    def test_any_size_with_a_length(self):
        window = BODY_WINDOW_BYTES
        for size in (1, window - 1, window, window + 1, LONG_BYTES, 5_000_000):
            with self.subTest(size):
                body = make_body(size)

                async def scenario(vm, servers, body=body):
                    answer = await vm.async_call("book", "b-1", body)
                    self.assertEqual((answer.status, answer.body), (200, b"done"))
                    self.assertEqual(self.list_bodies(servers), [body])

                self.play_uploads(scenario)

    def test_chunks(self):
        for size, chunk in ((1000, 10), (LONG_BYTES, 1000), (LONG_BYTES, 200_000)):
            with self.subTest(size=size, chunk=chunk):
                body = make_body(size)

                async def scenario(vm, servers, body=body, chunk=chunk):
                    async with vm.open_caller() as caller:
                        head = write_head("b-1", "Transfer-Encoding: chunked")
                        await caller.stream.send(head + write_chunked(body, chunk))
                        answer = await caller.async_receive()
                    self.assertEqual((answer.status, answer.body), (200, b"done"))
                    self.assertEqual(self.list_bodies(servers), [body])

                self.play_uploads(scenario)

    def test_a_server_reads_before_the_caller_has_sent_all(self):
        body = make_body(LONG_BYTES)

        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                await caller.stream.send(head + body[: LONG_BYTES // 2])

                async def read_bytes():
                    return servers[0].body_bytes

                half = LONG_BYTES // 2
                await async_wait_for(read_bytes, lambda size: size == half)
                await caller.stream.send(body[half:])
                answer = await caller.async_receive()
                self.assertEqual(answer.status, 200)
                self.assertEqual(self.list_bodies(servers), [body])
                # The connection of the caller serves the next request.
                await caller.async_send("read", "r-1")
                answer = await caller.async_receive()
                self.assertEqual(answer.status, 200)

        self.play_uploads(scenario, servers=1)

    def test_a_request_behind_a_long_body_is_answered_in_order(self):
        body = make_body(LONG_BYTES)

        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                await caller.stream.send(head + body)
                await caller.async_send("read", "r-1")
                answers = [await caller.async_receive()]
                if len(servers[0].ran) < 2:
                    answers.append(await caller.async_receive())
            self.assertEqual(servers[0].ran, ["b-1", "r-1"])

        self.play_uploads(scenario, servers=1)

    def test_a_caller_that_waits_for_leave_gets_it(self):
        body = make_body(1000)

        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                framing = "Content-Length: 1000\r\nExpect: 100-continue"
                await caller.stream.send(write_head("b-1", framing))
                received = await caller.stream.receive()
                self.assertEqual(received, b"HTTP/1.1 100 Continue\r\n\r\n")
                await caller.stream.send(body)
                self.assertEqual((await caller.async_receive()).status, 200)

        self.play_uploads(scenario)


class BrokenUploadTest(UploadCase):
    """Servers that answer early, refuse or close, and callers that leave."""

    def test_an_early_answer_is_passed_on_and_its_connection_not_used_again(self):
        async def answer_early(server, request, stream):
            server.early_script = None
            await stream.send(write_answer(request, 500, b"too early"))
            await anyio.sleep(0.3)

        async def scenario(vm, servers):
            servers[0].early_script = answer_early
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                await caller.stream.send(head + make_body(LONG_BYTES // 2))
                answer = await caller.async_receive()
                self.assertEqual((answer.status, answer.body), (500, b"too early"))
                self.assertEqual(answer.headers["connection"], "close")
            known = servers[0].connections
            answer = await vm.async_call("read", "r-1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(servers[0].connections, known + 1)
            self.assertEqual([one.target for one in servers[0].requests], [b"/read/x"])

        self.play_uploads(scenario, servers=1)

    def test_a_server_that_closes_midway_leaves_the_outcome_unknown(self):
        async def scenario(vm, servers):
            for server in servers:
                server.early_script = async_cut
            answer = await vm.async_call("book", "b-1", make_body(LONG_BYTES))
            self.assertEqual(answer.status, 502)
            self.assertEqual(self.list_bodies(servers), [])

        self.play_uploads(scenario)

    def test_a_body_that_was_kept_goes_whole_to_another_server(self):
        body = make_body(LONG_BYTES)
        for script in ("early_script", "script"):
            with self.subTest(script):

                async def scenario(vm, servers, script=script):
                    refuse = async_refuse if script == "early_script" else None
                    setattr(servers[0], script, refuse or async_refuse_whole)
                    servers[1].load = "2,0,4"
                    answer = await vm.async_call("book", "b-1", body)
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(servers[1].requests[0].body, body)

                self.play_uploads(scenario)

    def test_a_body_that_was_not_kept_is_not_sent_again(self):
        async def scenario(vm, servers):
            for server in servers:
                server.script = async_refuse_whole
            body = make_body(REPLAY_BYTES_MAX + LONG_BYTES)
            answer = await vm.async_call("book", "b-1", body)
            self.assertEqual(answer.status, 503)
            self.assertEqual(len(self.list_bodies(servers)), 1)

        self.play_uploads(scenario)

    def test_a_caller_that_leaves_midway_ends_the_send(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                await caller.stream.send(head + make_body(LONG_BYTES // 2))
                await anyio.sleep(0.1)

            async def read_in_flight():
                return vm.daemon.in_flight

            await async_wait_for(read_in_flight, lambda count: count == 0)
            self.assertEqual(self.list_bodies(servers), [])

        self.play_uploads(scenario)

    def test_a_caller_that_stops_midway_ends_at_its_deadline(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {LONG_BYTES}")
                head = head.replace(b"2000", b"400")
                await caller.stream.send(head + make_body(LONG_BYTES // 2))
                answer = await caller.async_receive()
            self.assertEqual(answer.status, 504)
            self.assertLess(answer.duration_s, 1.5)
            self.assertEqual(self.list_bodies(servers), [])

        self.play_uploads(scenario)


class BoundTest(UploadCase):
    """Bounds of bodies, and of the memory that they take."""

    def test_a_body_announced_over_the_bound_is_refused_before_it_is_sent_on(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                framing = f"Content-Length: {BODY_BYTES_MAX + 1}"
                await caller.stream.send(write_head("b-1", framing))
                self.assertEqual((await caller.async_receive()).status, 413)
            self.assertEqual(sum(one.body_bytes for one in servers), 0)

        self.play_uploads(scenario)

    def test_chunks_beyond_the_bound_never_reach_a_server_whole(self):
        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                await caller.stream.send(
                    write_head("b-1", "Transfer-Encoding: chunked")
                )
                body = write_chunked(make_body(BODY_BYTES_MAX + LONG_BYTES), 50_000)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_async_send, caller.stream, body)
                    answer = await caller.async_receive()
                    tasks.cancel_scope.cancel()
            self.assertEqual(answer.status, 413)
            self.assertEqual(self.list_bodies(servers), [])

        self.play_uploads(scenario)

    def test_a_server_that_reads_no_further_holds_its_caller_up(self):
        size = BODY_BYTES_MAX

        async def scenario(vm, servers):
            servers[0].body_bytes_max = LONG_BYTES
            async with vm.open_caller() as caller:
                head = write_head("b-1", f"Content-Length: {size}")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_async_send, caller.stream, head + make_body(size))
                    await anyio.sleep(0.5)
                    held = vm.daemon.memory.held_bytes
                    self.assertLess(held, REPLAY_BYTES_MAX + LONG_BYTES)
                    self.assertEqual((await caller.async_receive()).status, 504)
                    tasks.cancel_scope.cancel()

        self.play_uploads(scenario, servers=1)

    def test_bodies_beyond_the_memory_are_refused_at_once(self):
        limit = 1_000_000

        async def scenario(vm, servers):
            statuses = []

            async def call(number):
                async with vm.open_caller() as caller:
                    head = write_head(f"b-{number}", f"Content-Length: {LONG_BYTES}")
                    await caller.stream.send(head + make_body(LONG_BYTES // 2))
                    await anyio.sleep(0.3)
                    self.assertLessEqual(vm.daemon.memory.held_bytes, limit)
                    try:
                        await caller.stream.send(make_body(LONG_BYTES)[150_000:])
                    except STREAM_ERRORS:
                        pass
                    statuses.append((await caller.async_receive()).status)

            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(call, number)
            self.assertEqual(set(statuses), {200, 503})
            self.assertEqual(len(self.list_bodies(servers)), statuses.count(200))
            # Short requests go on beside them, and afterwards.
            self.assertEqual((await vm.async_call("read", "r-1")).status, 200)

        self.play_uploads(scenario, body_memory_bytes=limit)


async def _async_send(stream, data):
    """Send as much as is taken."""
    try:
        await stream.send(data)
    except STREAM_ERRORS:
        pass
