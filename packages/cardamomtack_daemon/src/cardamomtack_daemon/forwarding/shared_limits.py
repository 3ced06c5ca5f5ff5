"""Hears the limits that backend servers name in their answers."""

from __future__ import annotations

from loguru import logger

from cardamomtack.helpers.clock import Clock
from cardamomtack.limits.statements import LimitStatements
from cardamomtack.placing.server import ServerView
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.http1.messages import HttpAnswer

EVENT_LIMIT = "limit of a server heard"


class SharedLimits:
    """Hears the limits of servers.

    Parameters
    ----------
    names : HeaderNames
        Names of header fields.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_names", "_statements")

    def __init__(self, names: HeaderNames, clock: Clock) -> None:
        self._clock = clock
        self._names = names
        self._statements = LimitStatements()

    def record_answer(
        self, server: ServerView, answer: HttpAnswer, sent_at_s: float
    ) -> float | None:
        """Record what the answer to a request says of a limit, and return the limit.

        Parameters
        ----------
        sent_at_s : float
            Monotonic time at which the request was sent, in seconds.

        Returns
        -------
        float or None
            In requests a second; None when the answer names no limit.
        """
        value = answer.find_header(self._names.rate_limit)
        rate_per_s = self._names.parse_rate_limit(value) if value is not None else None
        if value is not None and rate_per_s is None:
            return None
        now_s = self._clock.read_monotonic_s()
        if self._statements.record_answer(server.key, rate_per_s, sent_at_s, now_s):
            self._log(server.key, rate_per_s, "answer")
        return rate_per_s

    def record_check(
        self, server: ServerView, answer: HttpAnswer, sent_at_s: float
    ) -> None:
        """Record what the answer to a health check says of a limit.

        Parameters
        ----------
        sent_at_s : float
            Monotonic time at which the check was sent, in seconds.
        """
        value = answer.find_header(self._names.rate_limit)
        rate_per_s = self._names.parse_rate_limit(value) if value is not None else None
        if value is not None and rate_per_s is None:
            return
        now_s = self._clock.read_monotonic_s()
        if self._statements.record_check(server.key, rate_per_s, sent_at_s, now_s):
            self._log(server.key, rate_per_s, "health check")

    def _log(self, server_key: str, rate_per_s: float | None, source: str) -> None:
        """Log that a server names a limit, another one, or none any more."""
        limit = "none" if rate_per_s is None else f"{rate_per_s:g}/s"
        logger.bind(server=server_key, limit=limit, source=source).info(EVENT_LIMIT)
