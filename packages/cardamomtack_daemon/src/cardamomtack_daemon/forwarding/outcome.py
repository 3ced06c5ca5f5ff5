"""What became of a send, and the rest of a long answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from anyio import move_on_after

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.server import ServerView
from cardamomtack_daemon.http1.client import BrokenAnswerError, ServerConnection
from cardamomtack_daemon.http1.messages import HttpAnswer


class SendOutcome(Enum):
    """What became of a send."""

    ANSWERED = "answered"
    FAILED = "server answered with a failure"
    NOT_RUN = "server proved that it did not run the request"
    BROKEN = "no whole answer of the server; it may have run the request"
    OVERDUE = "no answer before the deadline"


@dataclass(slots=True)
class SendResult:
    """What a send brought.

    Attributes
    ----------
    answer : HttpAnswer or None
        The server's answer, for all outcomes that have one.
    rest : AnswerRest or None
        The source of the rest of a long answer.
    """

    outcome: SendOutcome
    answer: HttpAnswer | None = None
    rest: AnswerRest | None = None


class AnswerRest:
    """The rest of a long answer that is still arriving.

    Parameters
    ----------
    release_connection : callable
        Takes the connection back.
    server : ServerView
        Where the answer comes from.
    connection : ServerConnection
        On which it arrives.
    ends_at_s : float
        Monotonic time until which it may arrive, in seconds.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_ends_at_s",
        "_release_connection",
        "_server",
    )

    def __init__(
        self,
        release_connection: Callable[[ServerView, ServerConnection], None],
        server: ServerView,
        connection: ServerConnection,
        ends_at_s: float,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._connection = connection
        self._ends_at_s = ends_at_s
        self._server = server
        self._release_connection = release_connection

    async def async_receive_more(self) -> bytes | None:
        """Return the next part of the body, or None after its end.

        Raises
        ------
        BrokenAnswerError
            When the answer is cut or malformed, or takes longer than its caller waits.
        """
        left_s = self._ends_at_s - self._clock.read_monotonic_s()
        with move_on_after(left_s):
            return await self._connection.async_receive_more()
        raise BrokenAnswerError("answer takes longer than its caller waits", False)

    async def async_release(self) -> None:
        """Give the connection back after the answer, whole or cut."""
        self._server.record_end()
        self._release_connection(self._server, self._connection)
