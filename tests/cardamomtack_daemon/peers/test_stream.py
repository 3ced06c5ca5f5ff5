"""Framed messages, however their bytes arrive."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from cardamomtack.generated.peer import Heartbeat, Hello, PeerMessage
from cardamomtack_daemon.peers.const import FRAME_BYTES_MAX
from cardamomtack_daemon.peers.stream import (
    MessageStream,
    PeerProtocolError,
    encode_frame,
)

FIRST = PeerMessage(hello=Hello("vm", "incarnation"))
SECOND = PeerMessage(heartbeat=Heartbeat(3, 7))
WHOLE = encode_frame(FIRST) + encode_frame(SECOND)


async def async_receive(parts: list[bytes], count: int) -> list[PeerMessage]:
    """Return messages whose bytes arrive in parts."""

    async def send(stream: SocketStream) -> None:
        async with stream:
            for part in parts:
                await stream.send(part)
                await anyio.sleep(0.002)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, send)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            messages = MessageStream(stream, PeerMessage)
            received = [await messages.async_receive(5.0) for _ in range(count)]
        tasks.cancel_scope.cancel()
    return received


async def async_receive_slowly(size: int, duration_s: float) -> PeerMessage:
    """Return a message whose bytes arrive all the time, and for long."""
    message = PeerMessage(hello=Hello("v" * size, "incarnation"))
    frame = encode_frame(message)
    parts = 20

    async def send(stream: SocketStream) -> None:
        async with stream:
            for part in range(parts):
                begin, end = (len(frame) * one // parts for one in (part, part + 1))
                await stream.send(frame[begin:end])
                await anyio.sleep(duration_s / parts)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, send)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            received = await MessageStream(stream, PeerMessage).async_receive(0.3)
        tasks.cancel_scope.cancel()
    return received


class MessageStreamTest(unittest.TestCase):
    """Frames that come together, apart, or broken."""

    def test_frames_in_any_parts(self):
        cases = [
            [WHOLE],
            [WHOLE[:2], WHOLE[2:]],
            [WHOLE[:10], WHOLE[10:40], WHOLE[40:]],
            [WHOLE[index : index + 1] for index in range(len(WHOLE))],
        ]
        for parts in cases:
            with self.subTest(len(parts)):
                received = anyio.run(async_receive, parts, 2)
                self.assertEqual(received, [FIRST, SECOND])

    def test_message_that_takes_long_is_taken_for_silence(self):
        received = anyio.run(async_receive_slowly, 200_000, 1.0)
        self.assertEqual(len(received.hello.vm_id), 200_000)

    def test_broken_frames(self):
        cases = [
            ("cut", [WHOLE[:20]], anyio.EndOfStream),
            ("too long", [(FRAME_BYTES_MAX + 1).to_bytes(4, "big")], PeerProtocolError),
            ("no message", [b"\0\0\0\1\xc1"], PeerProtocolError),
        ]
        for name, parts, error in cases:
            with self.subTest(name), self.assertRaises(ExceptionGroup) as raised:
                anyio.run(async_receive, parts, 1)
            self.assertIsInstance(raised.exception.exceptions[0], error)


if __name__ == "__main__":
    unittest.main()
