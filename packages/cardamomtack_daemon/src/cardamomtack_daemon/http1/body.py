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

BODY_WINDOW_BYTES = 65_536
"""What has arrived of a long body before its caller has to wait."""

READ_BYTES_MAX = 262_144
"""Most that the event loop reads of a connection at once."""


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


class BodyMemory:
    """Bounds the bytes of bodies that this VM holds.

    Parameters
    ----------
    limit_bytes : int
        Most that all bodies may hold together.

    Attributes
    ----------
    held_bytes : int
        What is reserved now.
    """

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self.limit_bytes = limit_bytes

    def reserve(self, size: int) -> bool:
        """Return whether so many more bytes may be held, and reserve them."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back what was reserved."""
        self.held_bytes -= size


class BodyStream:
    """The rest of a long body of one caller.

    Parameters
    ----------
    pause, resume : callable
        Have the connection of the caller wait, and go on.

    Attributes
    ----------
    has_ended : bool
        Whether the whole body has arrived.
    """

    __slots__ = (
        "_chunks",
        "_is_aborted",
        "_is_discarding",
        "_is_paused",
        "_pause",
        "_resume",
        "_size",
        "_waiter",
        "has_ended",
    )

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self._chunks: deque[bytes] = deque()
        self._is_aborted = False
        self._is_discarding = False
        self._is_paused = False
        self._pause = pause
        self._resume = resume
        self._size = 0
        self._waiter: Future[None] | None = None
        self.has_ended = False

    def feed(self, chunk: bytes) -> None:
        """Take a part that has arrived."""
        if self._is_discarding:
            return
        self._chunks.append(chunk)
        self._size += len(chunk)
        if self._size > BODY_WINDOW_BYTES and not self._is_paused:
            self._is_paused = True
            self._pause()
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
        self._size = 0
        self._go_on()

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end.

        Raises
        ------
        BodyAbortedError
            When the rest will not arrive.
        """
        while not self._chunks:
            await self._async_wait()
            if self.has_ended and not self._chunks:
                return None
        chunk = self._chunks.popleft()
        self._size -= len(chunk)
        if self._size <= BODY_WINDOW_BYTES:
            self._go_on()
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

    def _go_on(self) -> None:
        """Let the caller send on."""
        if self._is_paused:
            self._is_paused = False
            self._resume()

    def _wake(self) -> None:
        """Wake the task that waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
