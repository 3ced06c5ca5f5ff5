"""Detects that the process or its VM was suspended."""

from __future__ import annotations

from collections.abc import Callable

from anyio import sleep
from loguru import logger

from cardamomtack.helpers.clock import Clock
from cardamomtack_daemon.forwarding.const import CLOCK_CHECK_S, CLOCK_JUMP_S


async def async_watch_clock(clock: Clock, wake: Callable[[], None]) -> None:
    """Call a function each time after the process was suspended.

    The steady clock does not count the time of a suspended VM; the time since the
    start of the VM does.
    """
    known_s = clock.read_boot_s()
    while True:
        await sleep(CLOCK_CHECK_S)
        now_s = clock.read_boot_s()
        suspended_s = now_s - known_s - CLOCK_CHECK_S
        known_s = now_s
        if suspended_s > CLOCK_JUMP_S:
            logger.bind(seconds=round(suspended_s, 2)).warning(
                "the process was suspended"
            )
            wake()
