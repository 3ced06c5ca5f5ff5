"""Servers that send bytes without end faster than the daemon's tasks get their turn."""

from __future__ import annotations

import socket
import time
import tracemalloc
import unittest
from threading import Thread

import anyio

from cardamomtack_daemon.http1.client import BrokenAnswerError, async_connect
from tests.cardamomtack_daemon.forwarding.test_unbounded_responses import (
    BODY_PLACES,
    LENGTH_PLACES,
    OWN,
    PLACES,
)

BLOCK_BYTES = 1_000_000
BLOCKS = 32
BUFFER_BYTES_MAX = 262_144
GROWTH_BYTES_MAX = 4_000_000
"""What is held of one server: the bound of a body, one read, and what objects add."""

HEAD = OWN.format(id="b-1").encode()
RECEIVE_S = 0.5
SETTLE_S = 0.1
SHORT_FIELDS = b"X-F: y\r\n"
WHOLE = HEAD + b"content-length: 4\r\n\r\ndone"


class BurstServer:
    """Sends a beginning, and then the same bytes as fast as they are taken."""

    def __init__(self, first: bytes, part: bytes) -> None:
        self._first = first
        self._block = part * (BLOCK_BYTES // len(part))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._thread = Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        connected, _ = self._listener.accept()
        with connected:
            connected.recv(1000)
            try:
                connected.sendall(self._first)
                for _ in range(BLOCKS):
                    connected.sendall(self._block)
            except OSError:
                return

    def close(self) -> None:
        """End the server."""
        self._listener.close()
        self._thread.join(5.0)


async def async_measure(port: int) -> int:
    """Return the bytes that are held at most while an answer is received."""
    connection = await async_connect("127.0.0.1", port, 0.0)
    tracemalloc.start()
    try:
        connection.send(b"GET / HTTP/1.1\r\n\r\n", False)
        # The buffers of the kernel fill while the event loop does something else.
        time.sleep(SETTLE_S)
        try:
            answer = await connection.async_receive(BUFFER_BYTES_MAX, RECEIVE_S)
            if answer is not None and not answer.is_whole:
                # The caller takes nothing more of it for a while.
                await anyio.sleep(SETTLE_S)
        except BrokenAnswerError:
            pass
        connection.abort()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class EndlessBurstTest(unittest.TestCase):
    """What is held of a server that sends without end."""

    def check(self, places):
        """Check the memory of one connection for each place."""
        for place, (first, part) in places.items():
            with self.subTest(place):
                server = BurstServer(first, part)
                try:
                    held = anyio.run(
                        async_measure,
                        server.port,
                        backend_options={"use_uvloop": True},
                    )
                finally:
                    server.close()
                self.assertLess(held, GROWTH_BYTES_MAX)

    def test_heads_are_kept_while_they_arrive_without_end(self):
        fields = {
            "short fields of an own head": (HEAD, SHORT_FIELDS),
            "empty fields of an own head": (HEAD, b"a:\r\n"),
            "short fields of a head": (b"HTTP/1.1 200 X\r\n", SHORT_FIELDS),
            "folded lines": (HEAD + b"x-f: y\r\n", b" y\r\n"),
            "reason of a status line": (b"HTTP/1.1 200 ", b"reason "),
        }
        self.check({**PLACES, **fields})

    def test_bodies_are_kept_while_they_arrive_without_end(self):
        places = {
            place: (HEAD + first, part) for place, (first, part) in BODY_PLACES.items()
        }
        chunked = HEAD + b"transfer-encoding: chunked\r\n\r\n"
        places["short trailer fields"] = (chunked + b"0\r\n", SHORT_FIELDS)
        places["chunks of one byte"] = (chunked, b"1\r\na\r\n")
        self.check(places)

    def test_what_follows_a_whole_answer_is_kept(self):
        places = {place: (WHOLE, part) for place, part in LENGTH_PLACES.items()}
        places["heads"] = (WHOLE + b"HTTP/1.1 200 X\r\n", SHORT_FIELDS)
        self.check(places)


if __name__ == "__main__":
    unittest.main()
