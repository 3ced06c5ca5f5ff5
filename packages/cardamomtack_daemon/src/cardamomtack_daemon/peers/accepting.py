"""Accepts the connections of other VMs, also after some could not be accepted."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from anyio import create_task_group, sleep
from anyio.abc import Listener, SocketStream
from loguru import logger

ACCEPT_PAUSE_S: Final = 0.1


async def async_accept(
    listener: Listener[SocketStream], handle: Callable[[SocketStream], Awaitable[None]]
) -> None:
    """Serve each connection until cancelled.

    A connection that can't be accepted, as without free descriptors, ends neither the
    listener nor the streams that are open.

    Parameters
    ----------
    handle : callable
        Coroutine function that serves a connection.
    """
    async with listener, create_task_group() as tasks:
        while True:
            try:
                await listener.serve(handle, tasks)
            except* OSError as group:
                logger.bind(error=repr(group.exceptions[0])).warning(
                    "connections of other VMs can't be accepted"
                )
            await sleep(ACCEPT_PAUSE_S)
