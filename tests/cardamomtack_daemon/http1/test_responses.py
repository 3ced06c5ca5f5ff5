"""Which readers are closed while the memory for responses is short."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

import anyio

from cardamomtack.helpers.clock import ManualClock
from cardamomtack.memory.budget import ResponseBudget
from cardamomtack_daemon.http1.connection import CallerConnection
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.responses import ResponseMemory

LIMIT_BYTES = 1000


class Reader:
    """A reader that holds nothing, and can be closed."""

    def __init__(self):
        self.is_closed = False
        self.taken_bytes = 0

    def close_slow(self):
        """Close it."""
        self.is_closed = True


class StuckTransport:
    """A transport that nobody reads from; it keeps its bytes when it is aborted."""

    def __init__(self, protocol):
        self._is_closing = False
        self._protocol = protocol
        self._size = 0

    def set_write_buffer_limits(self, high):
        """Take bounds."""

    def get_extra_info(self, name):
        """Return the socket."""
        return Mock()

    def get_write_buffer_size(self):
        """Return what is unsent."""
        return self._size

    def is_closing(self):
        """Return whether it was closed."""
        return self._is_closing

    def write(self, data):
        """Take bytes that are not sent."""
        self._size += len(data)
        self._protocol.pause_writing()

    def abort(self):
        """Close."""
        self._is_closing = True

    close = abort


class ClosedReaderTest(unittest.TestCase):
    """Readers are closed only when that makes room which is needed."""

    def setUp(self):
        self.clock = ManualClock()
        budget = ResponseBudget(LIMIT_BYTES, self.clock)
        self.memory = ResponseMemory(budget, self.clock)
        self.reader = Reader()
        self.memory.budget.add_reader(self.reader)

    def test_a_change_of_no_bytes_closes_no_reader(self):
        self.memory.budget.held_bytes = 2 * LIMIT_BYTES
        self.memory.change(0)
        self.assertFalse(self.reader.is_closed)
        self.memory.change(1)
        self.assertTrue(self.reader.is_closed)

    def test_a_response_that_finds_room_after_its_wait_closes_no_reader(self):
        async def run():
            self.memory.budget.held_bytes = LIMIT_BYTES
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.memory.async_wait_for_room)
                tasks.start_soon(self.memory.async_wait_for_room)
                await anyio.sleep(0.01)
                # Little room wakes the first only, which may not use it.
                self.memory.change(-1)

        anyio.run(run)
        self.assertFalse(self.reader.is_closed)

    def test_a_reader_that_is_closed_while_it_is_sent_to_is_not_counted_again(self):
        limits = ConnectionLimits(0, 1, 1.0, responses=self.memory)
        connection = CallerConnection(Mock(), limits, self.clock)
        connection.connection_made(StuckTransport(connection))
        self.reader.taken_bytes = 3 * LIMIT_BYTES

        async def run():
            connection.send(b"x" * 2 * LIMIT_BYTES)

        anyio.run(run)
        self.assertEqual(self.memory.closed_readers, 1)
        self.assertFalse(self.reader.is_closed)
        self.assertEqual(self.memory.budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
