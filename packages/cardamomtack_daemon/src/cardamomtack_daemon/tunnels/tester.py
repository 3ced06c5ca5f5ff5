"""Tests the own way to servers: whether a refusal is the server's or the way's."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from math import inf
from random import Random

from anyio import Lock, move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.server import ServerView
from cardamomtack.reach.ways import DirectWays, Group, find_group
from cardamomtack_daemon.http1.client import ServerConnection
from cardamomtack_daemon.pool import ServerUnreachableError
from cardamomtack_daemon.tunnels.const import (
    TEST_SERVERS_MAX,
    TEST_TIMEOUT_S,
    TEST_VALID_S,
)

DirectOpen = Callable[[str, int], Awaitable[ServerConnection]]


class WayTester:
    """Connects to another server, to judge the refusal of one.

    Parameters
    ----------
    open_directly : callable
        Opens a connection of this VM's own to an address and a port.
    ways : DirectWays
        The own ways to the servers.
    clock : Clock
        Tells the time.
    random : Random
        Chooses servers.
    """

    __slots__ = ("_clock", "_lock", "_open_directly", "_random", "_tested", "_ways")

    def __init__(
        self,
        open_directly: DirectOpen,
        ways: DirectWays,
        clock: Clock,
        random: Random,
    ) -> None:
        self._clock = clock
        self._lock = Lock()
        self._open_directly = open_directly
        self._random = random
        self._tested: dict[Group, tuple[float, bool]] = {}
        self._ways = ways

    async def async_is_sound(self, server: ServerView) -> bool:
        """Return whether another server is reached directly, so that the way is sound.

        Callers that need it together share one test.
        """
        group = find_group(server)
        async with self._lock:
            tested_at_s, is_sound = self._tested.get(group, (-inf, False))
            if self._clock.read_monotonic_s() - tested_at_s > TEST_VALID_S:
                is_sound = await self._async_test(server)
                self._tested[group] = (self._clock.read_monotonic_s(), is_sound)
        return is_sound

    async def _async_test(self, server: ServerView) -> bool:
        """Connect to one other server after the other until one accepts."""
        others = self._ways.list_others(server)
        chosen = self._random.sample(others, min(TEST_SERVERS_MAX, len(others)))
        with move_on_after(TEST_TIMEOUT_S):
            for other in chosen:
                try:
                    connection = await self._open_directly(other.address, other.port)
                except ServerUnreachableError:
                    self._ways.record_failed_open(other)
                    continue
                connection.abort()
                self._ways.record_opened(other)
                return True
        return False
