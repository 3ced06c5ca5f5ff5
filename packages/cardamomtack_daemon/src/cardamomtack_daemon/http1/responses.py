"""What this VM holds of responses that their readers have not taken yet.

A long response that finds no room waits. While one waits for long, the slowest reader
is closed, and its response is cut off.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop, timeout
from collections import deque
from typing import Protocol, cast

from loguru import logger

from cardamomtack.helpers.clock import Clock
from cardamomtack.memory.budget import ResponseBudget, ResponseReader

LOG_INTERVAL_S = 1.0
"""Readers that are closed within this time share one line of the log."""

SMALL_BYTES = 65_536
"""What is held of each response without regard to the others."""

ROOM_TIMEOUT_S = 1.0
"""For how long a response waits for room before the slowest reader is closed."""

WINDOW_BYTES = 131_072
"""What a response that goes on may add."""


class ClosableReader(ResponseReader, Protocol):
    """A reader whose connection can be closed."""

    def close_slow(self) -> None:
        """Close the connection at once."""


class ResponseMemory:
    """Counts what is held of responses, and delays those without room.

    Parameters
    ----------
    budget : ResponseBudget
        Bounds what is held.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    closed_readers : int
        Slow readers that were closed.
    """

    __slots__ = (
        "_clock",
        "_logged_at_s",
        "_logged_readers",
        "_waiters",
        "budget",
        "closed_readers",
    )

    def __init__(self, budget: ResponseBudget, clock: Clock) -> None:
        self._clock = clock
        self._logged_at_s = -LOG_INTERVAL_S
        self._logged_readers = 0
        self._waiters: deque[Future[None]] = deque()
        self.budget = budget
        self.closed_readers = 0

    def change(self, size: int) -> None:
        """Count that more bytes are held, or fewer."""
        self.budget.held_bytes += size
        if size < 0:
            self._wake()
        elif size > 0 and self.budget.is_exceeded:
            self._close_slowest()

    async def async_wait_for_room(self) -> None:
        """Wait until more of a long response may be read."""
        while not self.budget.has_room:
            waiter: Future[None] = get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                async with timeout(ROOM_TIMEOUT_S):
                    await waiter
            except TimeoutError:
                # What came free may have woken another response only.
                if not self.budget.has_room:
                    self._close_slowest()
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)

    def _close_slowest(self) -> None:
        """Close the reader that takes the least."""
        reader = self.budget.choose_slowest()
        if reader is None:
            return
        self.closed_readers += 1
        held_bytes = self.budget.held_bytes
        cast("ClosableReader", reader).close_slow()
        now_s = self._clock.read_monotonic_s()
        if now_s - self._logged_at_s < LOG_INTERVAL_S:
            return
        readers = self.closed_readers - self._logged_readers
        self._logged_at_s = now_s
        self._logged_readers = self.closed_readers
        logger.bind(readers=readers, held_bytes=held_bytes).warning(
            "slow readers closed"
        )

    def _wake(self) -> None:
        """Let as many responses go on as there is room for."""
        room_bytes = self.budget.limit_bytes - self.budget.held_bytes
        while self._waiters and room_bytes > 0:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                room_bytes -= WINDOW_BYTES
