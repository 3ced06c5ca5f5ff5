"""The connection to a backend server, against answers that go wrong."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from cardamomtack.helpers.clock import ManualClock
from cardamomtack.memory.budget import ResponseBudget
from cardamomtack_daemon.http1.client import BrokenAnswerError, async_connect
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.responses import ResponseMemory

BUFFER_BYTES_MAX = 1000
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
CLOSING = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc"


async def async_exchange(
    data: bytes, is_head: bool = False, keeps_open: bool = False
) -> tuple[HttpAnswer | None, bool]:
    """Return what a connection makes of the bytes that a server sends."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(data)
            await closing.wait()

    closing = anyio.Event()
    if not keeps_open:
        closing.set()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        connection = await async_connect("127.0.0.1", port, 0.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n", is_head)
        try:
            answer = await connection.async_receive(BUFFER_BYTES_MAX)
        except BrokenAnswerError:
            answer = None
        is_reusable = connection.is_reusable
        connection.abort()
        tasks.cancel_scope.cancel()
    return answer, is_reusable


class AnswerTest(unittest.TestCase):
    """Which answers are whole, and which connections are used again."""

    def test_answers(self):
        cases = [
            ("whole", WHOLE, b"abc", True),
            ("chunked", CHUNKED, b"abc", True),
            ("server closes afterwards", CLOSING, b"abc", False),
            ("sent twice", WHOLE + WHOLE, b"abc", False),
            ("bytes after the end", WHOLE + b"xyz", b"abc", False),
            ("short", WHOLE[:-1], None, False),
            ("cut after the head", WHOLE[:-3], None, False),
            ("cut in the head", WHOLE[:20], None, False),
            ("cut chunk", CHUNKED[:-4], None, False),
            ("no length", b"HTTP/1.1 200 OK\r\n\r\nabc", None, False),
            ("not HTTP", b"hello\r\n\r\n", None, False),
            ("nothing", b"", None, False),
        ]
        for name, data, body, reusable in cases:
            with self.subTest(name):
                keeps_open = body is not None
                answer, is_reusable = anyio.run(async_exchange, data, False, keeps_open)
                self.assertEqual(answer.body if answer else None, body)
                self.assertEqual(is_reusable, reusable)

    def test_head_has_no_body_and_its_connection_is_not_used_again(self):
        answer, is_reusable = anyio.run(async_exchange, WHOLE[:-3], True)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.body, answer.length), (b"", 3))
        self.assertFalse(is_reusable)

    def test_long_answer_is_handed_on_unfinished(self):
        body = b"x" * (2 * BUFFER_BYTES_MAX)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (len(body) + 9)
        answer, is_reusable = anyio.run(async_exchange, head + body)
        self.assertIsNotNone(answer)
        self.assertFalse(answer.is_whole)
        self.assertFalse(is_reusable)

    def test_connection_of_a_long_answer_reads_the_next_while_memory_is_short(self):
        # It stayed paused, and its next answer was taken before it had arrived.
        body = b"x" * (2 * BUFFER_BYTES_MAX)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)

        async def serve(stream: SocketStream) -> None:
            async with stream:
                for data in (head + body, WHOLE):
                    await stream.receive()
                    await stream.send(data)
                await anyio.sleep_forever()

        async def run() -> None:
            clock = ManualClock()
            memory = ResponseMemory(ResponseBudget(BUFFER_BYTES_MAX, clock), clock)
            memory.budget.held_bytes = BUFFER_BYTES_MAX
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                connection = await async_connect("127.0.0.1", port, 0.0)
                connection.memory = memory
                statuses = []
                for _ in range(2):
                    connection.send(b"GET / HTTP/1.1\r\n\r\n", False)
                    answer = await connection.async_receive(BUFFER_BYTES_MAX)
                    statuses.append((answer.status, answer.is_whole))
                connection.abort()
                tasks.cancel_scope.cancel()
            self.assertEqual(statuses, [(200, True), (200, True)])
            self.assertEqual(memory.budget.held_bytes, BUFFER_BYTES_MAX)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
