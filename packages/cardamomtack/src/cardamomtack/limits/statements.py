"""What backend servers have said of the requests that they take from all VMs together.

This module handles a server that names a limit in some of its answers, changes it and
ends it, while several VMs hear it at different moments, and while answers that it gave
before are still on their way.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from cardamomtack.limits.const import ENDED_KEPT_S, NOTICE_DELAY_S_MAX


@dataclass(slots=True)
class LimitStatement:
    """What a server said last.

    Attributes
    ----------
    server_key : str
        Names one incarnation of the server.
    rate_per_s : float or None
        Requests a second that it takes from all VMs together; None for no limit.
    heard_at_s : float
        Monotonic time at which a VM heard it, in seconds.
    comes_with_checks : bool
        Whether this VM has also heard a limit of the server in a health check, so that
        a check without one tells that it has ended.
    """

    server_key: str
    rate_per_s: float | None
    heard_at_s: float
    comes_with_checks: bool = False


class LimitStatements:
    """Keeps the newest statement of each server that has ever named a limit."""

    __slots__ = ("_statements",)

    def __init__(self) -> None:
        self._statements: dict[str, LimitStatement] = {}

    @property
    def has_limits(self) -> bool:
        """Return whether any server has a limit."""
        return any(one.rate_per_s is not None for one in self._statements.values())

    def list_statements(self) -> list[LimitStatement]:
        """Return all statements, also that a limit has ended."""
        return list(self._statements.values())

    def find_rate_per_s(self, server_key: str) -> float | None:
        """Return the limit of a server, or None when it has none."""
        statement = self._statements.get(server_key)
        return statement.rate_per_s if statement is not None else None

    def record_answer(
        self,
        server_key: str,
        rate_per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> bool:
        """Record what the answer to a request says, and return whether it is news.

        An answer without a limit ends the limit only if its request was sent after the
        limit was heard: the server may have given it before.

        Parameters
        ----------
        rate_per_s : float or None
            The limit in the answer, in requests a second; None when it names none.
        sent_at_s : float
            Monotonic time at which the request was sent, in seconds.
        """
        known = self._statements.get(server_key)
        heard_at_s = known.heard_at_s if known is not None else inf
        if rate_per_s is None and sent_at_s <= heard_at_s:
            return False
        return self.apply_statement(server_key, rate_per_s, now_s)

    def record_check(
        self,
        server_key: str,
        rate_per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> bool:
        """Record what the answer to a health check says; return whether it is news.

        A server may name its limit only in the answers to requests, so a check without
        one ends the limit only where another check has named it.
        """
        known = self._statements.get(server_key)
        if rate_per_s is None and (known is None or not known.comes_with_checks):
            return False
        is_news = self.record_answer(server_key, rate_per_s, sent_at_s, now_s)
        self._statements[server_key].comes_with_checks = True
        return is_news

    def apply_notice(
        self, server_key: str, rate_per_s: float | None, heard_at_s: float
    ) -> bool:
        """Apply what another VM has heard; return whether it changes what is known.

        How long it was on its way is not known. So what allows more passes over what
        was heard at about the same time, and all VMs come to the stricter of two
        statements until the server's next answer.
        """
        known = self._statements.get(server_key)
        if known is not None and known.rate_per_s is not None:
            is_looser = rate_per_s is None or rate_per_s > known.rate_per_s
            if is_looser and heard_at_s < known.heard_at_s + NOTICE_DELAY_S_MAX:
                return False
        return self.apply_statement(server_key, rate_per_s, heard_at_s)

    def apply_statement(
        self, server_key: str, rate_per_s: float | None, heard_at_s: float
    ) -> bool:
        """Apply a statement, and return whether it changes what is known.

        One that was heard before the known one is passed over.
        """
        known = self._statements.get(server_key)
        if known is None:
            statement = LimitStatement(server_key, rate_per_s, heard_at_s)
            self._statements[server_key] = statement
            return True
        if heard_at_s < known.heard_at_s:
            return False
        known.heard_at_s = heard_at_s
        if rate_per_s == known.rate_per_s:
            return False
        known.rate_per_s = rate_per_s
        return True

    def drop_old(self, known_keys: set[str], now_s: float) -> None:
        """Forget limits that ended long ago, and those of servers that are gone.

        Parameters
        ----------
        known_keys : set of str
            The servers that are there.
        """
        self._statements = {
            key: one
            for key, one in self._statements.items()
            if now_s - one.heard_at_s < ENDED_KEPT_S
            or (one.rate_per_s is not None and key in known_keys)
        }
