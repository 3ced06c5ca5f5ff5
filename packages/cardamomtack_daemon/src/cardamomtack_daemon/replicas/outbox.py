"""What waits to be sent to another VM."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from anyio import EndOfStream, Event

from cardamomtack.generated.relay import RelayMessage
from cardamomtack.replicas.feed import TopicFeed
from cardamomtack_daemon.peers.stream import MessageStream, encode_frame
from cardamomtack_daemon.replicas.const import OUTBOX_MAX


class Outbox:
    """The messages to one VM, and the topics and the heartbeat that it is due.

    Topics and heartbeats are written when the link takes them, so that a slow one is
    told the newest and nothing that is overtaken.

    Parameters
    ----------
    write_heartbeat : callable
        Returns the frame of a heartbeat of now.
    """

    __slots__ = (
        "_feeds",
        "_frames",
        "_has_news",
        "_is_closed",
        "_is_heartbeat_due",
        "_wake",
        "_write_heartbeat",
    )

    def __init__(self, write_heartbeat: Callable[[], bytes]) -> None:
        self._feeds: list[TopicFeed] = []
        self._frames: deque[bytes] = deque()
        self._has_news = False
        self._is_closed = False
        self._is_heartbeat_due = False
        self._wake = Event()
        self._write_heartbeat = write_heartbeat

    def open_feeds(self, feeds: list[TopicFeed]) -> None:
        """Tell the VM of topics from now on."""
        self._feeds = feeds
        self.mark_news()

    def add(self, message: RelayMessage) -> None:
        """Add a message; a VM that takes nothing is given up."""
        self.add_frame(encode_frame(message))

    def add_frame(self, frame: bytes) -> None:
        """Add an encoded message; a VM that takes nothing is given up."""
        if len(self._frames) >= OUTBOX_MAX:
            self._is_closed = True
            self._frames.clear()
        if not self._is_closed:
            self._frames.append(frame)
        self._wake.set()

    def mark_news(self) -> None:
        """Note that there is something new in a topic."""
        self._has_news = True
        self._wake.set()

    def mark_heartbeat(self) -> None:
        """Note that a heartbeat is due."""
        self._is_heartbeat_due = True
        self._wake.set()

    async def async_write(self, messages: MessageStream[RelayMessage]) -> None:
        """Write what there is to a stream until cancelled.

        Raises
        ------
        EndOfStream
            When the VM took nothing for too long.
        """
        while True:
            await self._wake.wait()
            self._wake = Event()
            while (frame := self._take()) is not None:
                await messages.async_send_frame(frame)

    def _take(self) -> bytes | None:
        """Return the next frame to write, or None when there is none.

        Raises
        ------
        EndOfStream
            When the VM took nothing for too long.
        """
        if self._is_closed:
            raise EndOfStream
        if self._frames:
            return self._frames.popleft()
        if self._has_news:
            for feed in self._feeds:
                message = feed.take()
                if message is not None:
                    return encode_frame(message)
            self._has_news = False
        if self._is_heartbeat_due:
            self._is_heartbeat_due = False
            return self._write_heartbeat()
        return None
