"""Hears the limits that backend servers name, and shares them with the other VMs."""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import Member, ServerLimit, VmHeartbeat
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.limits.coordinator import LimitCoordinator
from cardamomtack.placing.server import ServerView
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.http1.messages import HttpAnswer

EVENT_LIMIT = "limit of a server heard"


class LimitBroadcaster(Protocol):
    """Tells all VMs."""

    def broadcast_limits(self, limits: list[ServerLimit]) -> None:
        """Tell all VMs of limits of servers."""

    def broadcast_heartbeat(self, heartbeat: VmHeartbeat) -> None:
        """Tell all VMs that this one is there."""


class SharedLimits:
    """Hears the limits of servers and shares them among the VMs.

    Parameters
    ----------
    own : Member
        This VM.
    coordinator : LimitCoordinator
        Works out the shares.
    names : HeaderNames
        Names of header fields.
    broadcaster : LimitBroadcaster
        Tells the other VMs.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_beats",
        "_broadcaster",
        "_clock",
        "_coordinator",
        "_names",
        "_own",
    )

    def __init__(
        self,
        own: Member,
        coordinator: LimitCoordinator,
        names: HeaderNames,
        broadcaster: LimitBroadcaster,
        clock: Clock,
    ) -> None:
        self._beats = 0
        self._broadcaster = broadcaster
        self._clock = clock
        self._coordinator = coordinator
        self._names = names
        self._own = own

    def record_request(self) -> None:
        """Record that this VM has a caller."""
        now_s = self._clock.read_monotonic_s()
        if self._coordinator.record_request(now_s):
            self.share()

    def record_answer(
        self,
        server: ServerView,
        answer: HttpAnswer,
        sent_at_s: float,
        can_end: bool,
    ) -> float | None:
        """Record what the answer to a request says of a limit, and return the limit.

        Parameters
        ----------
        sent_at_s : float
            Monotonic time at which the request was sent, in seconds.
        can_end : bool
            Whether an answer without a limit ends it; a refusal or a failure may come
            from a part of the server that names none.

        Returns
        -------
        float or None
            In requests a second; None when the answer names no limit.
        """
        is_readable, rate_per_s = self._read_limit(answer)
        if rate_per_s is None and not can_end:
            return None
        now_s = self._clock.read_monotonic_s()
        if is_readable and self._coordinator.statements.record_answer(
            server.key, rate_per_s, sent_at_s, now_s
        ):
            self._tell(server.key, rate_per_s, "answer")
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
        is_readable, rate_per_s = self._read_limit(answer)
        now_s = self._clock.read_monotonic_s()
        if is_readable and self._coordinator.statements.record_check(
            server.key, rate_per_s, sent_at_s, now_s
        ):
            self._tell(server.key, rate_per_s, "health check")

    def apply_limits(self, limits: list[ServerLimit]) -> list[ServerLimit]:
        """Apply what other VMs have heard, and return what is news."""
        now_s = self._clock.read_monotonic_s()
        news = []
        for limit in limits:
            heard_at_s = now_s - limit.age_ms / MS_PER_S
            if self._coordinator.statements.apply_notice(
                limit.server_key, limit.rate_per_s, heard_at_s
            ):
                news.append(limit)
                _log_limit(limit.server_key, limit.rate_per_s, "another VM")
        if news:
            self.share()
        return news

    def list_limits(self) -> list[ServerLimit]:
        """Return what servers have said, for a VM that may not know it."""
        now_s = self._clock.read_monotonic_s()
        return [
            ServerLimit(
                one.server_key, int((now_s - one.heard_at_s) * MS_PER_S), one.rate_per_s
            )
            for one in self._coordinator.statements.list_statements()
        ]

    def apply_heartbeat(self, heartbeat: VmHeartbeat) -> bool:
        """Apply the heartbeat of another VM, and return whether it is news."""
        if heartbeat.vm_id == self._own.vm_id:
            return False
        return self._coordinator.presence.record_heartbeat(
            heartbeat.vm_id,
            heartbeat.incarnation,
            heartbeat.number,
            heartbeat.is_idle,
            self._clock.read_monotonic_s(),
        )

    def share(self, has_joined: bool | None = None) -> None:
        """Work out the shares anew, and tell the other VMs that this one is there.

        Parameters
        ----------
        has_joined : bool or None
            Whether the other VMs are known; None leaves that as it is.
        """
        if has_joined is not None:
            self._coordinator.has_joined = has_joined
        if self._coordinator.record_due_heartbeat(self._clock.read_monotonic_s()):
            self._beats += 1
            own = self._own
            is_idle = self._coordinator.presence.is_idle
            self._broadcaster.broadcast_heartbeat(
                VmHeartbeat(own.vm_id, own.incarnation, self._beats, is_idle)
            )
        self._coordinator.share_limits()

    def leave(self) -> None:
        """Leave the shares of this VM to the others."""
        self._coordinator.is_leaving = True
        self._coordinator.share_limits()

    def _read_limit(self, answer: HttpAnswer) -> tuple[bool, float | None]:
        """Return whether an answer can be read, and the limit that it names."""
        value = answer.find_header(self._names.rate_limit)
        if value is None:
            return True, None
        rate_per_s = self._names.parse_rate_limit(value)
        return rate_per_s is not None, rate_per_s

    def _tell(self, server_key: str, rate_per_s: float | None, source: str) -> None:
        """Tell all VMs what a server has said."""
        _log_limit(server_key, rate_per_s, source)
        self._broadcaster.broadcast_limits([ServerLimit(server_key, 0, rate_per_s)])
        self.share()


def _log_limit(server_key: str, rate_per_s: float | None, source: str) -> None:
    """Log that a server names a limit, another one, or none any more."""
    limit = "none" if rate_per_s is None else f"{rate_per_s:g}/s"
    logger.bind(server=server_key, limit=limit, source=source).info(EVENT_LIMIT)
