"""Notices that the other end has closed a connection which is not read at the moment.

The event loop sees the end of a connection only when it reads it.
"""

from __future__ import annotations

import select
from collections.abc import Callable, Iterable

from anyio import Event, sleep

CHECK_S = 0.1
"""How often the connections are looked at."""

_CLOSED = select.POLLERR | select.POLLHUP | select.POLLNVAL | select.POLLRDHUP


def find_closed(descriptors: Iterable[int]) -> set[int]:
    """Return the sockets whose other end sends nothing more.

    Parameters
    ----------
    descriptors : iterable of int
        Descriptors of connected sockets.

    Returns
    -------
    set of int
        Those that were reset, or closed by the other end, with or without bytes that
        are not read yet.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    return {descriptor for descriptor, events in poll.poll(0) if events & _CLOSED}


class HangupWatcher:
    """Watches the connections that are not read at the moment."""

    __slots__ = ("_begun", "_callbacks")

    def __init__(self) -> None:
        self._begun = Event()
        self._callbacks: dict[int, Callable[[], None]] = {}

    def add(self, descriptor: int, end: Callable[[], None]) -> None:
        """Call a function once if the other end closes a connection.

        Parameters
        ----------
        descriptor : int
            Descriptor of its socket, which stays open until it is removed here.
        """
        self._callbacks[descriptor] = end
        self._begun.set()

    def remove(self, descriptor: int) -> None:
        """Watch a connection no longer, because it is read on or gone."""
        self._callbacks.pop(descriptor, None)

    async def async_watch(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._begun.wait()
            self._begun = Event()
            while self._callbacks:
                await sleep(CHECK_S)
                for descriptor in find_closed(self._callbacks):
                    self._callbacks.pop(descriptor)()
