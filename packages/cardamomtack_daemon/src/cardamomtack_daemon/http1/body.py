"""Bodies of requests that arrive while their requests are already being handled.

A long body is handed on as it arrives. What a VM holds of all bodies together is
bounded: each request reserves what it may hold, and a caller that sends faster than
its body is taken has to wait.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Protocol

from cardamomtack.memory.budget import MemoryBudget

BODY_WINDOW_BYTES = 65_536
"""What is held of a long body that a server takes before its caller has to wait."""

READ_BYTES_MAX = 65_536
"""Most that is read of a connection at once."""

SMALL_PART_BYTES = 4096
"""Smaller parts of a body are joined, because each has an overhead in memory."""

WAITING_BYTES_MAX = 1_048_576
"""What may arrive of a long body that no server takes yet.

The end of a connection is only seen behind all that its caller has sent.
"""


class BodyAbortedError(Exception):
    """The rest of a body will not arrive."""


class BodySource(Protocol):
    """The rest of a body that is still arriving."""

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end.

        Raises
        ------
        BodyAbortedError
            When the rest will not arrive.
        """


class BodyMemory(MemoryBudget):
    """Bounds the bytes of bodies that this VM holds."""

    __slots__ = ()


class BodyStream:
    """The rest of a long body of one caller.

    Until its first part is taken it arrives as far as there is memory for it.

    Parameters
    ----------
    memory : BodyMemory
        Bounds what is held.
    reserved_bytes : int
        What is reserved for the request already.
    length : int or None
        Length of the body, in bytes; None while it is not known.
    update_reading : callable
        Has the connection of the caller read on or wait, by `is_full`.

    Attributes
    ----------
    has_ended : bool
        Whether the whole body has arrived.
    """

    __slots__ = (
        "_chunks",
        "_extra_bytes",
        "_is_aborted",
        "_is_discarding",
        "_is_taken",
        "_length",
        "_memory",
        "_reserved_bytes",
        "_size",
        "_tail",
        "_update_reading",
        "_waiter",
        "has_ended",
    )

    def __init__(
        self,
        memory: BodyMemory,
        reserved_bytes: int,
        length: int | None,
        update_reading: Callable[[], None],
    ) -> None:
        self._chunks: deque[bytes] = deque()
        self._extra_bytes = 0
        self._is_aborted = False
        self._is_discarding = False
        self._is_taken = False
        self._length = length
        self._memory = memory
        self._reserved_bytes = reserved_bytes
        self._size = 0
        self._tail = bytearray()
        self._update_reading = update_reading
        self._waiter: Future[None] | None = None
        self.has_ended = False

    def is_full(self) -> bool:
        """Return whether the caller has to wait before it sends more."""
        if self._size <= BODY_WINDOW_BYTES or self._is_discarding:
            return False
        if self._is_taken or self._size >= WAITING_BYTES_MAX:
            return True
        wanted_bytes = self._size + READ_BYTES_MAX
        if self._length is not None:
            wanted_bytes = min(wanted_bytes, self._length)
        return not self._reserve(wanted_bytes)

    def feed(self, chunk: bytes) -> None:
        """Take a part that has arrived."""
        if self._is_discarding:
            return
        self._size += len(chunk)
        self._tail += chunk
        if len(self._tail) >= SMALL_PART_BYTES:
            self._end_part()
        self._wake()

    def finish(self) -> None:
        """Note that the body is complete."""
        self.has_ended = True
        self._wake()

    def abort(self) -> None:
        """Note that the rest of the body will not arrive."""
        self._is_aborted = True
        self._wake()

    def discard(self) -> None:
        """Drop the rest, whose request has already been answered."""
        self._is_discarding = True
        self._chunks.clear()
        self._tail.clear()
        self._size = 0
        self._release()
        self._update_reading()

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end.

        Raises
        ------
        BodyAbortedError
            When the rest will not arrive.
        """
        self._is_taken = True
        while not self._chunks and not self._tail:
            await self._async_wait()
            if self.has_ended and not self._chunks and not self._tail:
                return None
        if not self._chunks:
            self._end_part()
        chunk = self._chunks.popleft()
        self._size -= len(chunk)
        self._release()
        self._update_reading()
        return chunk

    async def async_wait_for_end(self) -> None:
        """Wait until the body has ended.

        Raises
        ------
        BodyAbortedError
            When it will not end.
        """
        while not self.has_ended:
            await self._async_wait()

    async def _async_wait(self) -> None:
        """Wait until something has changed.

        Raises
        ------
        BodyAbortedError
            When the rest will not arrive.
        """
        if self._is_aborted:
            raise BodyAbortedError
        if self.has_ended:
            return
        self._waiter = get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _end_part(self) -> None:
        """Make a part of the bytes that have arrived since the last one."""
        self._chunks.append(bytes(self._tail))
        self._tail.clear()

    def _reserve(self, size: int) -> bool:
        """Return whether so many bytes may be held, and reserve what is missing."""
        missing = size - self._reserved_bytes - self._extra_bytes
        if missing <= 0:
            return True
        if not self._memory.reserve(missing):
            return False
        self._extra_bytes += missing
        return True

    def _release(self) -> None:
        """Give back what is not needed for what is held."""
        surplus = self._reserved_bytes + self._extra_bytes - self._size
        surplus = min(self._extra_bytes, surplus)
        if surplus > 0:
            self._extra_bytes -= surplus
            self._memory.release(surplus)

    def _wake(self) -> None:
        """Wake the task that waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
