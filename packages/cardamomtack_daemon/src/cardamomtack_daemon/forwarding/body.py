"""The body of a request on its way to servers, whole or still arriving."""

from __future__ import annotations

from cardamomtack_daemon.http1.body import BodyMemory
from cardamomtack_daemon.http1.messages import HttpRequest, encode_chunk

PART_OVERHEAD_BYTES = 64
"""What a part of a body takes in memory beside its bytes."""

REPLAY_BYTES_MAX = 1_048_576
"""Longest body that is kept for a second server."""


class BodyFramer:
    """Frames the parts of a body for one send, and knows when its end has been framed.

    Parameters
    ----------
    length : int or None
        Length that the head of the request names, in bytes; None for chunks.

    Attributes
    ----------
    has_ended : bool
        Whether nothing of the body follows what has been framed.
    """

    __slots__ = ("_left_bytes", "has_ended")

    def __init__(self, length: int | None) -> None:
        self._left_bytes = length
        self.has_ended = length == 0

    def frame_part(self, part: bytes) -> bytes:
        """Return a part as it goes to the server."""
        if self._left_bytes is None:
            return encode_chunk(part) if part else b""
        self._left_bytes -= len(part)
        self.has_ended = self._left_bytes <= 0
        return part

    def frame_end(self) -> bytes:
        """Return what ends the body."""
        if self._left_bytes is not None:
            return b""
        self.has_ended = True
        return encode_chunk(b"")


class ForwardedBody:
    """The parts of a body, which are kept for another server while there is memory.

    Parameters
    ----------
    request : HttpRequest
        The request of the caller.
    memory : BodyMemory
        Bounds what is kept.

    Attributes
    ----------
    is_kept : bool
        Whether all parts that have arrived can be sent again.
    """

    __slots__ = ("_kept_bytes", "_memory", "_parts", "_rest", "is_kept")

    def __init__(self, request: HttpRequest, memory: BodyMemory) -> None:
        self._kept_bytes = 0
        self._memory = memory
        self._parts = [request.body]
        self._rest = request.rest
        self.is_kept = True

    @property
    def has_one_part(self) -> bool:
        """Return whether the whole body is here, in one part."""
        return self._rest is None and len(self._parts) == 1

    @property
    def first_part(self) -> bytes:
        """Return the part that came with the head."""
        return self._parts[0]

    async def async_read(self, index: int) -> bytes | None:
        """Return a part by its number, or None after the last one.

        One reader at a time may wait for a part that has not arrived.

        Raises
        ------
        BodyAbortedError
            When the rest of the body will not arrive.
        """
        if self.is_kept and index < len(self._parts):
            return self._parts[index]
        if self._rest is None:
            return None
        part = await self._rest.async_receive_more()
        if part is None:
            self._rest = None
            return None
        self._keep(part)
        return part

    def release(self) -> None:
        """Give back what was kept."""
        self._memory.release(self._kept_bytes)
        self._kept_bytes = 0
        self._parts = []
        self.is_kept = False

    def _keep(self, part: bytes) -> None:
        """Keep a part for another server, or nothing of the body from now on."""
        if not self.is_kept:
            return
        size = len(part) + PART_OVERHEAD_BYTES
        has_room = self._kept_bytes + size <= REPLAY_BYTES_MAX
        if has_room and self._memory.reserve(size):
            self._kept_bytes += size
            self._parts.append(part)
        else:
            self.release()
