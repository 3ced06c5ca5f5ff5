"""Long bodies that are sent once more end at the next server as at the first."""

from __future__ import annotations

import anyio

from cardamomtack.routing.policy import Repeatability
from cardamomtack_daemon.http1.body import BODY_WINDOW_BYTES, READ_BYTES_MAX
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import (
    async_answer,
    async_reset,
    write_not_run,
)
from tests.cardamomtack_daemon.forwarding.test_late import async_hang, script_in_turn

BODY_BYTES_MAX = 8_000_000
CHUNK_BYTES = 8192
CHUNKED = "Transfer-Encoding: chunked"
CONFIGURATION = make_configuration(
    routes=(
        make_route("read", Repeatability.IDEMPOTENT, attempts_max=3),
        make_route("book", Repeatability.ONCE_PER_SEND),
    ),
    body_bytes_max=BODY_BYTES_MAX,
)
LATER_MAX = 20
PIECE_GAP_S = 0.02
SIZES = (
    BODY_WINDOW_BYTES,
    BODY_WINDOW_BYTES + 1,
    70_000,
    BODY_WINDOW_BYTES + READ_BYTES_MAX,
    300_000,
)


def make_body(size):
    """Return a body whose every part differs from the others."""
    return b"".join(b"%09d," % number for number in range(size // 10 + 1))[:size]


def make_head(framing, route="book"):
    """Return the head of a request."""
    head = f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: u-1\r\n"
    return f"{head}test-deadline: 2000\r\n{framing}\r\n\r\n".encode()


def list_chunks(body, size=CHUNK_BYTES, trailer=b""):
    """Return the chunks of a body and its end."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return [*chunks, b"0\r\n" + trailer + b"\r\n"]


async def async_refuse(server, request, stream):
    """Say that a request that was read did not run."""
    await stream.send(write_not_run(request))


async def async_refuse_early(server, request, stream):
    """Say that a request did not run of which only a part has arrived, and read on."""

    async def async_read_on(server, request, stream):
        server.script = async_answer

    server.early_script = None
    server.script = async_read_on
    await stream.send(write_not_run(request))


async def async_break(server, request, stream):
    """Reset the connection in the middle of a body."""
    server.early_script = None
    await async_reset(stream)


def refuse_once(servers):
    """Have the first server that gets the whole body refuse it."""
    script = script_in_turn(async_refuse, *[async_answer] * LATER_MAX)
    for server in servers:
        server.script = script


def refuse_early_once(servers):
    """Have the first server refuse the body before it is in."""
    servers[0].early_script = async_refuse_early
    for server in servers[1:]:
        server.load = "2,0,4"


def break_once(servers):
    """Have the first server break off in the middle of the body."""
    servers[0].early_script = async_break
    for server in servers[1:]:
        server.load = "2,0,4"


def refuse_early_all(servers):
    """Have each server refuse the body before it is in."""
    for server in servers:
        server.early_script = async_refuse_early


def refuse_and_hang_once(servers):
    """Have the first server refuse the body, and the second one never answer it."""
    script = script_in_turn(async_refuse, async_hang, *[async_answer] * LATER_MAX)
    for server in servers:
        server.script = script


class ResentUploadTest(ForwardingCase):
    """Guards against bodies in chunks that had no end at the second server."""

    def play_upload(self, pieces, body, prepare, status=200, servers=2):
        """Send a request in pieces, and check each body that a server has read."""

        async def scenario(vm, scripted):
            async with vm.open_caller() as caller:
                for piece in pieces:
                    await caller.stream.send(piece)
                    await anyio.sleep(PIECE_GAP_S)
                answer = await caller.async_receive()
            self.assertEqual(answer.status, status)
            for number in range(2 * servers):
                # What follows on the connections isn't taken for a part of the body.
                later = await vm.async_call("read", f"r-{number}")
                self.assertEqual(later.status, 200)
            read = [one.body for server in scripted for one in server.requests]
            self.assertLessEqual(set(read), {body, b""})
            if status == 200:
                self.assertIn(body, read)

        self.play(
            scenario, servers=servers, configuration=CONFIGURATION, prepare=prepare
        )

    def play_sizes(self, make_pieces, prepares):
        """Send bodies of all sizes, in the pieces that a callable returns."""
        for size in SIZES:
            for prepare in prepares:
                with self.subTest(size=size, prepare=prepare.__name__):
                    body = make_body(size)
                    self.play_upload(make_pieces(body), body, prepare)

    def test_body_in_chunks_ends_at_the_second_server(self):
        def make_pieces(body):
            return [make_head(CHUNKED, "read") + b"".join(list_chunks(body))]

        prepares = (refuse_once, refuse_early_once, break_once)
        self.play_sizes(make_pieces, prepares)

    def test_body_whose_end_comes_late_ends_at_the_second_server(self):
        def make_pieces(body):
            *chunks, end = list_chunks(body, len(body))
            return [make_head(CHUNKED) + b"".join(chunks), end]

        self.play_sizes(make_pieces, (refuse_once, refuse_early_once))

    def test_body_with_a_length_ends_at_the_second_server(self):
        def make_pieces(body):
            return [make_head(f"Content-Length: {len(body)}") + body]

        self.play_sizes(make_pieces, (refuse_once, refuse_early_once))

    def test_body_with_a_trailer_ends_at_the_second_server(self):
        def make_pieces(body):
            return [make_head(CHUNKED), *list_chunks(body, len(body), b"x-sum: 1\r\n")]

        self.play_sizes(make_pieces, (refuse_once,))

    def test_body_that_two_servers_refuse_early_reaches_both_to_its_end(self):
        for size in SIZES[1:]:
            body = make_body(size)
            with self.subTest(size):
                data = make_head(CHUNKED) + b"".join(list_chunks(body))
                self.play_upload([data], body, refuse_early_all, status=503)

    def test_body_that_is_hedged_after_a_refusal_ends_at_both_servers(self):
        body = make_body(70_000)
        data = make_head(CHUNKED, "read") + b"".join(list_chunks(body))
        self.play_upload([data], body, refuse_and_hang_once, servers=4)

    def test_body_after_a_leave_to_go_on_ends_at_the_second_server(self):
        body = make_body(70_000)

        async def scenario(vm, servers):
            async with vm.open_caller() as caller:
                head = make_head(f"{CHUNKED}\r\nExpect: 100-continue")
                await caller.stream.send(head)
                await caller.stream.receive()
                await caller.stream.send(b"".join(list_chunks(body)))
                self.assertEqual((await caller.async_receive()).status, 200)

        self.play(scenario, configuration=CONFIGURATION, prepare=refuse_once)
