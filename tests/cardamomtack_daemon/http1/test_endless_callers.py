"""Callers that send without end: what is held of them is bounded."""

from __future__ import annotations

import tracemalloc
import unittest
from contextlib import suppress

import anyio
from anyio import BrokenResourceError, EndOfStream

from cardamomtack.helpers.clock import SystemClock
from cardamomtack_daemon.http1.body import BodyMemory
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.server import CallerServer
from cardamomtack_standins.fleet import find_free_ports

BODY_BYTES_MAX = 100_000
CALLERS = 10
HELD_BYTES_MAX = 1_000_000
"""What one caller may have held of it: a head, a window and one read."""

LARGE_BYTES = 1_000_000
SMALL_BYTES = 1000
SENT_BYTES = 2_000_000
WAIT_S = 0.25

HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LONG_CHUNKED = CHUNKED + b"%x\r\n%b\r\n" % (80_000, b"b" * 80_000)

PLACES = {
    "short header fields": (HEAD, b"X-F: y\r\n", 431),
    "empty header fields": (HEAD, b"a:\r\n", 431),
    "value of a header field": (HEAD + b"x-long: ", b"x" * 100, 431),
    "name of a header field": (HEAD, b"x" * 100, 431),
    "target": (b"GET /", b"x" * 100, 431),
    "short trailer fields": (CHUNKED + b"5\r\nabcde\r\n0\r\n", b"X-F: y\r\n", 431),
    "empty trailer fields": (CHUNKED + b"5\r\nabcde\r\n0\r\n", b"a:\r\n", 431),
    "trailer fields of a long body": (LONG_CHUNKED + b"0\r\n", b"X-F: y\r\n", None),
    "value of a trailer field": (CHUNKED + b"0\r\nx-long: ", b"x" * 100, 431),
    "chunks": (CHUNKED, b"5\r\nabcde\r\n", None),
    "extension of a chunk": (CHUNKED + b"5;", b"x" * 100, 431),
    "requests": (b"", b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n", None),
}


class HoldingHandler:
    """Answers after a while."""

    async def async_handle(self, request):
        """Return the answer."""
        await anyio.sleep(0.2)
        return HttpAnswer(200, [], b"done"), None


class EndlessCallerTest(unittest.TestCase):
    """Several callers at once, who send small and large pieces."""

    async def async_play(self, first: bytes, part: bytes, size: int):
        """Return the answers, and what is held at most for one caller, in bytes."""
        limits = ConnectionLimits(
            BODY_BYTES_MAX, 50, 5.0, True, BodyMemory(CALLERS * 400_000)
        )
        server = CallerServer(HoldingHandler(), limits, SystemClock())
        (port,) = find_free_ports(1)
        piece = part * max(1, size // len(part))
        answers: list[bytes] = []

        async def call() -> None:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                with suppress(BrokenResourceError, EndOfStream):
                    await stream.send(first)
                    with anyio.move_on_after(WAIT_S):
                        for _ in range(SENT_BYTES // len(piece)):
                            await stream.send(piece)
                with suppress(BrokenResourceError, EndOfStream):
                    with anyio.move_on_after(WAIT_S):
                        answers.append(await stream.receive())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.async_serve, "127.0.0.1", port)
            await anyio.sleep(0.1)
            tracemalloc.start()
            try:
                async with anyio.create_task_group() as callers:
                    for _ in range(CALLERS):
                        callers.start_soon(call)
                held = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            tasks.cancel_scope.cancel()
        return answers, held / CALLERS

    def test_what_callers_send_without_end_is_kept(self):
        for place, (first, part, status) in PLACES.items():
            for size in (SMALL_BYTES, LARGE_BYTES):
                with self.subTest(place, size=size):
                    answers, held = anyio.run(
                        self.async_play,
                        first,
                        part,
                        size,
                        backend_options={"use_uvloop": True},
                    )
                    # The callers hold a piece of what they send, too.
                    self.assertLess(held, HELD_BYTES_MAX + 2 * size)
                    for answer in answers if status is not None else []:
                        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status))


if __name__ == "__main__":
    unittest.main()
