"""Framed messages over one stream."""

from __future__ import annotations

from typing import Generic, TypeVar

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    fail_after,
)
from anyio.abc import SocketStream
from msgspec import Struct, msgpack

from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack_daemon.peers.const import FRAME_BYTES_MAX, FRAME_LENGTH_BYTES

MessageT = TypeVar("MessageT", bound=Struct)


class PeerProtocolError(Exception):
    """A peer sent something that is not a message."""


STREAM_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    OSError,
    PeerProtocolError,
    TimeoutError,
)
"""What a stream raises when it ends or its peer breaks the protocol."""


def encode_frame(message: Struct) -> bytes:
    """Return a message with its length in front."""
    data = msgpack.encode(message)
    return len(data).to_bytes(FRAME_LENGTH_BYTES, "big") + data


class MessageStream(Generic[MessageT]):
    """Sends and receives messages.

    Parameters
    ----------
    stream : SocketStream
        The connection, owned by this object.
    message_type : type
        What is received.
    frame_bytes_max : int
        Longest frame that is received.
    """

    __slots__ = ("_decoder", "_frame_bytes_max", "_received", "_stream")

    def __init__(
        self,
        stream: SocketStream,
        message_type: type[MessageT],
        frame_bytes_max: int = FRAME_BYTES_MAX,
    ) -> None:
        self._decoder = msgpack.Decoder(message_type)
        self._frame_bytes_max = frame_bytes_max
        self._stream = stream
        self._received = bytearray()

    @property
    def arrived_bytes(self) -> int:
        """Return how many bytes of a message that is not whole have arrived."""
        return len(self._received)

    @property
    def expected_bytes(self) -> int:
        """Return the bytes of the message that arrives, 0 while that is not known."""
        if len(self._received) < FRAME_LENGTH_BYTES:
            return 0
        length = int.from_bytes(self._received[:FRAME_LENGTH_BYTES], "big")
        return FRAME_LENGTH_BYTES + length

    async def async_send_frame(self, frame: bytes) -> None:
        """Send a frame."""
        await self._stream.send(frame)

    async def async_receive(self, timeout_s: float | None) -> MessageT:
        """Receive a message.

        Parameters
        ----------
        timeout_s : float or None
            Longest time without a byte, in seconds; None waits for ever. A message may
            take longer than that while it arrives.

        Raises
        ------
        TimeoutError
            When nothing arrives for so long.
        PeerProtocolError
            When the frame is too long or not a message.
        """
        frame = self._take_frame()
        while frame is None:
            with fail_after(timeout_s):
                self._received += await self._stream.receive()
            frame = self._take_frame()
        try:
            return self._decoder.decode(frame)
        except DECODE_ERRORS as error:
            raise PeerProtocolError(str(error)) from error

    def _take_frame(self) -> bytes | None:
        """Return the next frame without its length, or None while it isn't whole."""
        if len(self._received) < FRAME_LENGTH_BYTES:
            return None
        length = int.from_bytes(self._received[:FRAME_LENGTH_BYTES], "big")
        if length > self._frame_bytes_max:
            raise PeerProtocolError(f"frame of {length} bytes")
        end = FRAME_LENGTH_BYTES + length
        if len(self._received) < end:
            return None
        frame = bytes(self._received[FRAME_LENGTH_BYTES:end])
        del self._received[:end]
        return frame
