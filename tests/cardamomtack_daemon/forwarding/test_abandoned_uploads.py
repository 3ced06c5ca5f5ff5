"""Callers that leave while their requests wait, on connections that are not read."""

from __future__ import annotations

import socket
import struct

import anyio
from anyio.abc import SocketAttribute

from tests.cardamomtack_daemon.forwarding.case import async_wait_for
from tests.cardamomtack_daemon.forwarding.test_uploads import (
    UploadCase,
    make_body,
    write_chunked,
    write_head,
)

BUSY_LOAD = "4,0,4"
FREE_LOAD = "0,0,4"
GONE_S = 0.5
LONG_BYTES = 200_000
RESET = struct.pack("ii", 1, 0)


def write_upload(size: int, missing: int = 0) -> bytes:
    """Return an upload, less so many bytes at its end."""
    head = write_head("b-1", f"Content-Length: {size}")
    return head.replace(b"2000", b"5000") + make_body(size)[: size - missing]


def write_chunked_upload(size: int) -> bytes:
    """Return an upload in chunks."""
    head = write_head("b-1", "Transfer-Encoding: chunked")
    return head.replace(b"2000", b"5000") + write_chunked(make_body(size), 20_000)


async def async_leave(vm, data, is_reset=False, waits=True):
    """Send bytes, wait until a request is there, and close or reset the connection."""

    async def read_in_flight():
        return vm.daemon.in_flight

    stream = await anyio.connect_tcp("127.0.0.1", vm.settings.port)
    await stream.send(data)
    if waits:
        await async_wait_for(read_in_flight, lambda count: count == 1)
        await anyio.sleep(0.1)
    if is_reset:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    await stream.aclose()


class AbandonedUploadTest(UploadCase):
    """A caller that has left is noticed though its connection is not read."""

    def play_waiting(self, data, is_reset=False, waits=True):
        """Have a caller leave while no server has capacity, and check what follows."""

        async def scenario(vm, servers):
            for server in servers:
                server.load = BUSY_LOAD
            await async_leave(vm, data, is_reset, waits)
            self.assertEqual(sum(one.body_bytes for one in servers), 0)
            await anyio.sleep(GONE_S)
            self.assertEqual(vm.daemon.in_flight, 0)
            for server in servers:
                server.load = FREE_LOAD
            await anyio.sleep(0.5)
            self.assertEqual(sum(one.body_bytes for one in servers), 0)
            self.assertEqual([one.requests for one in servers], [[], []])

        self.play_uploads(scenario)

    def test_uploads_that_wait_for_a_server_end_with_their_callers(self):
        for size in (30_000, 70_000, LONG_BYTES, 400_000, 1_000_000):
            with self.subTest(size):
                self.play_waiting(write_upload(size))

    def test_uploads_whose_callers_reset_their_connections_end(self):
        for size in (LONG_BYTES, 1_000_000, 5_000_000):
            with self.subTest(size):
                self.play_waiting(write_upload(size), is_reset=True)

    def test_uploads_in_chunks_end_with_their_callers(self):
        self.play_waiting(write_chunked_upload(LONG_BYTES))

    def test_uploads_that_never_came_whole_end_with_their_callers(self):
        self.play_waiting(write_upload(LONG_BYTES, missing=1000))

    def test_pipelined_requests_behind_a_whole_body_do_not_hide_the_end(self):
        behind = write_head("r-1", "Content-Length: 0", "read")
        self.play_waiting(write_upload(LONG_BYTES) + 40 * behind)
        self.play_waiting(write_upload(LONG_BYTES) + write_upload(LONG_BYTES))
        self.play_waiting(write_upload(LONG_BYTES) + write_upload(900_000, 100_000))

    def test_many_pipelined_requests_do_not_hide_the_end(self):
        head = write_head("r-1", "Content-Length: 0", "read")
        self.play_waiting(40 * head.replace(b"2000", b"5000"))

    def test_a_request_that_comes_together_with_the_end_is_not_sent(self):
        self.play_waiting(write_upload(1000), waits=False)
        self.play_waiting(write_upload(1000), is_reset=True, waits=False)


class RefusedUploadTest(UploadCase):
    """A body that is refused behind a request that waits."""

    def test_memory_of_a_refused_body_is_kept(self):
        async def scenario(vm, servers):
            for server in servers:
                server.load = BUSY_LOAD
            endless = write_chunked_upload(600_000).removesuffix(b"\r\n\r\n")
            endless += b"\r\n" + 2000 * b"x: y\r\n"
            await async_leave(vm, write_upload(1000) + endless)

        # The base checks that all memory is given back.
        self.play_uploads(scenario)


class SlowServerTest(UploadCase):
    """A server that takes a body slowly does not hide that the caller has left."""

    def test_the_send_ends_while_the_server_reads_nothing(self):
        async def scenario(vm, servers):
            servers[0].body_bytes_max = 100_000
            async with vm.open_caller() as caller, anyio.create_task_group() as tasks:
                size = 8_000_000
                tasks.start_soon(_async_send_all, caller.stream, write_upload(size))
                await anyio.sleep(0.5)
                self.assertEqual(vm.daemon.in_flight, 1)
                tasks.cancel_scope.cancel()
                raw = caller.stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

            async def read_in_flight():
                return vm.daemon.in_flight

            with anyio.fail_after(GONE_S):
                await async_wait_for(read_in_flight, lambda count: count == 0)

        self.play_uploads(scenario, servers=1)


async def _async_send_all(stream, data):
    """Send until cancelled."""
    await stream.send(data)
    await anyio.sleep_forever()
