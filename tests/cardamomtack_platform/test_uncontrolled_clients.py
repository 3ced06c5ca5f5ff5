"""Clients that keep to no rule don't end, hang or blow up the process.

Each test starts the built process with low limits in its settings and a small crowd on
loopback. It checks that the process lives, that its memory and descriptors stay under
their bounds, and that one ordinary request is answered beside the crowd.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import unittest

import anyio

from tests.cardamomtack_platform.standing import (
    ADDRESS,
    build_program,
    make_head,
    open_standing_process,
)

# The process alone takes 33 MB, so that 63 MB are left for what callers cause.
MEMORY_MB = 96
MEMORY_BYTES_MAX = MEMORY_MB * 1_000_000
# The smallest VM of an operator.
SMALLEST_MEMORY_MB = 152
SMALLEST_DESCRIPTORS = 1535
# Descriptors that the platform keeps for files.
DESCRIPTORS_RESERVED = 200
# So few that a small crowd of idle connections is more than they allow.
IDLE_DESCRIPTORS = 500
# More than the descriptors of the process.
IDLE_CALLERS = 700
# Without a bound they hold about 1.1 MB each: 110 MB.
READERS = 100
RESPONSE_BYTES = 4_000_000
# Each holds about 150 kB of fields: 120 MB.
HALF_HEADS = 800
HEAD_FIELDS = 900
# Each may hold 0.33 MB of its body: 99 MB.
HALF_BODIES = 300
HALF_BODY_BYTES = 500_000
# A body of 60 kB takes 1.8 MB in parts of two bytes; 73 of them fit by their lengths.
CHUNKING_CALLERS = 150
CHUNKS = 30_000
TRAILER_CALLERS = 20
TRAILER_BYTES = 8_000_000
# Each asks for 15 MB: 300 MB.
PIPELINING_CALLERS = 20
PIPELINED = 50
PIPELINED_RESPONSE_BYTES = 300_000
# Each sends 16 heads of about 150 kB in memory behind a request that waits: 240 MB.
HEAD_PIPELINING_CALLERS = 100
PIPELINED_HEADS = 16
# Each sends 230 kB of requests behind one that waits; they held 1.2 MB: 71 MB.
REQUEST_PIPELINING_CALLERS = 60
PIPELINED_REQUESTS = 3300
SLOW_READ_BYTES = 2000
SLOW_READ_S = 0.1
SLOW_READS = 50
SEND_S = 8.0
SETTLE_S = 3.0
RECEIVE_BUFFER_BYTES = 8192
FIELDS = "".join(f"a{number}:b\r\n" for number in range(HEAD_FIELDS))


class Crowd:
    """Connections of clients that keep to no rule."""

    def __init__(self, port):
        self._port = port
        self.sockets = []

    async def async_open(self, count):
        """Open connections; those that are refused or closed count as well."""
        for _ in range(count):
            one = socket.socket()
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            one.setblocking(False)
            self.sockets.append(one)
            with anyio.move_on_after(SEND_S):
                try:
                    await asyncio.get_running_loop().sock_connect(
                        one, (ADDRESS, self._port)
                    )
                except OSError:
                    pass

    async def async_send(self, data):
        """Send the same on all connections, as far as it is taken."""
        async with anyio.create_task_group() as tasks:
            for one in self.sockets:
                tasks.start_soon(self._async_send_one, one, data)

    async def _async_send_one(self, one, data):
        with anyio.move_on_after(SEND_S):
            try:
                await asyncio.get_running_loop().sock_sendall(one, data)
            except OSError:
                pass

    def read(self, size):
        """Read a little on all connections."""
        for one in self.sockets:
            try:
                one.recv(size)
            except OSError:
                pass

    def close(self):
        """Close all connections."""
        for one in self.sockets:
            one.close()


class UncontrolledClientsTest(unittest.TestCase):
    """The process beside a crowd, within its memory and descriptors."""

    @classmethod
    def setUpClass(cls):
        build_program()

    def play(self, clients, act, descriptors=SMALLEST_DESCRIPTORS):
        """Let a crowd act on the process, and check the process."""

        async def run():
            async with open_standing_process(MEMORY_MB, descriptors) as standing:
                before, _ = standing.read_memory()
                crowd = Crowd(standing.ports["front"])
                try:
                    await crowd.async_open(clients)
                    await act(crowd)
                    await anyio.sleep(SETTLE_S)
                    after, peak = standing.read_memory()
                    sys.stderr.write(
                        f"[{before // 1000} kB before, {after // 1000} kB after, "
                        f"peak {peak // 1000} kB, "
                        f"{standing.descriptors_max} descriptors] "
                    )
                    status = await self.async_ask(standing)
                finally:
                    crowd.close()
                is_alive = standing.is_alive
                _, peak = standing.read_memory()
                return is_alive, status, peak, standing.descriptors_max

        is_alive, status, peak, descriptors_max = anyio.run(run)
        self.assertTrue(is_alive, "process has ended")
        self.assertEqual(status, 200)
        self.assertLessEqual(peak, MEMORY_BYTES_MAX)
        self.assertLessEqual(descriptors_max, descriptors - DESCRIPTORS_RESERVED)

    async def async_ask(self, standing):
        """Return the status of an ordinary request, 0 for no response."""
        try:
            return (await standing.async_call(make_head("x")))[0]
        except TimeoutError:
            return 0

    def test_readers_that_take_nothing(self):
        async def act(crowd):
            await crowd.async_send(make_head(RESPONSE_BYTES))

        self.play(READERS, act)

    def test_slow_readers(self):
        async def act(crowd):
            await crowd.async_send(make_head(RESPONSE_BYTES))
            for _ in range(SLOW_READS):
                crowd.read(SLOW_READ_BYTES)
                await anyio.sleep(SLOW_READ_S)

        self.play(READERS, act)

    def test_trailers_without_end(self):
        async def act(crowd):
            head = make_head("x", "Transfer-Encoding: chunked\r\n", "POST")
            trailer = b"a: b\r\n" * (TRAILER_BYTES // 6)
            await crowd.async_send(head + b"1\r\nx\r\n0\r\n" + trailer)

        self.play(TRAILER_CALLERS, act)

    def test_heads_that_are_never_whole(self):
        async def act(crowd):
            await crowd.async_send(make_head("x", FIELDS)[:-2])

        self.play(HALF_HEADS, act)

    def test_bodies_that_are_never_whole(self):
        async def act(crowd):
            length = f"Content-Length: {2 * HALF_BODY_BYTES}\r\n"
            head = make_head("x", length, "POST")
            await crowd.async_send(head + b"x" * HALF_BODY_BYTES)

        self.play(HALF_BODIES, act)

    def test_bodies_in_the_smallest_chunks(self):
        for chunk in (b"1\r\nx\r\n", b"2\r\nxy\r\n"):
            with self.subTest(chunk=chunk):

                async def act(crowd, chunk=chunk):
                    fields = "Transfer-Encoding: chunked\r\n"
                    head = make_head("x", fields, "POST")
                    await crowd.async_send(head + chunk * CHUNKS)

                self.play(CHUNKING_CALLERS, act)

    def test_idle_connections(self):
        async def act(crowd):
            pass

        self.play(IDLE_CALLERS, act, IDLE_DESCRIPTORS)

    def test_pipelined_requests_whose_responses_are_not_read(self):
        async def act(crowd):
            await crowd.async_send(make_head(PIPELINED_RESPONSE_BYTES) * PIPELINED)

        self.play(PIPELINING_CALLERS, act)

    def test_pipelined_heads_behind_a_request_that_waits(self):
        async def act(crowd):
            heads = make_head("x", FIELDS) * PIPELINED_HEADS
            await crowd.async_send(make_head("wait") + heads)

        self.play(HEAD_PIPELINING_CALLERS, act)

    def test_small_pipelined_requests_behind_a_request_that_waits(self):
        async def act(crowd):
            requests = make_head("x") * PIPELINED_REQUESTS
            await crowd.async_send(make_head("wait") + requests)

        self.play(REQUEST_PIPELINING_CALLERS, act)


class CalmTest(unittest.TestCase):
    """A single request within the limits is served by the smallest VM."""

    @classmethod
    def setUpClass(cls):
        build_program()

    def test_long_responses_and_uploads(self):
        async def run():
            async with open_standing_process(
                SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS
            ) as standing:
                for size in (2, 40_000, 540_000, RESPONSE_BYTES, 67_108_864):
                    status, _, length = await standing.async_call(make_head(size))
                    self.assertEqual((status, length), (200, size))
                    fields = f"Content-Length: {size}\r\n"
                    upload = make_head("x", fields, "POST") + os.urandom(size)
                    status, head, _ = await standing.async_call(upload)
                    self.assertEqual(status, 200)
                    self.assertIn(b"x-body-bytes: %d\r\n" % size, head)
                _, peak = standing.read_memory()
                self.assertLessEqual(peak, SMALLEST_MEMORY_MB * 1_000_000)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
