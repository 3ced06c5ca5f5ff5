"""Hears what backend servers demand, and tells the other VMs what concerns them."""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import Member, ServerLimit, VmHeartbeat
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.limits.const import PAUSE_S_MAX
from cardamomtack.limits.coordinator import LimitCoordinator
from cardamomtack.limits.demands import parse_pause_s
from cardamomtack.placing.server import ServerView
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.http1.messages import HttpAnswer

EVENT_LIMIT = "limit of a server heard"
HEADER_RETRY_AFTER = b"retry-after"
LEAVING_VALUE = b"1"
PAUSE_NEWS_S = 0.1
"""By how much a pause must be longer than the known one to be passed on."""

STATUS_UNAVAILABLE = 503


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

    Attributes
    ----------
    odd_pauses : int
        Pauses that servers asked for and that can't be read.
    """

    __slots__ = (
        "_beats",
        "_broadcaster",
        "_clock",
        "_coordinator",
        "_names",
        "_own",
        "odd_pauses",
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
        self.odd_pauses = 0

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
        is_helped: bool = False,
    ) -> float | None:
        """Record what the answer to a request says of a limit, and return the limit.

        Parameters
        ----------
        sent_at_s : float
            Monotonic time at which the request was sent, in seconds.
        can_end : bool
            Whether an answer without a limit ends it; a refusal or a failure may come
            from a part of the server that names none.
        is_helped : bool
            Whether the server was reached through another VM.

        Returns
        -------
        float or None
            In requests a second; None when the answer names no limit.
        """
        self._hear_leaving(server, answer)
        self._hear_pause(server, answer, is_helped)
        if can_end:
            server.demands.record_success(sent_at_s)
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
        self,
        server: ServerView,
        answer: HttpAnswer,
        sent_at_s: float,
        is_helped: bool = False,
    ) -> None:
        """Record what the answer to a health check says of a limit.

        Parameters
        ----------
        sent_at_s : float
            Monotonic time at which the check was sent, in seconds.
        """
        self._hear_leaving(server, answer)
        self._hear_pause(server, answer, is_helped)
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
            if limit.is_leaving:
                if self._coordinator.record_leaving(limit.server_key, False):
                    news.append(limit)
                continue
            if limit.pause_ms > 0:
                if self._apply_pause(limit, now_s):
                    news.append(limit)
                continue
            heard_at_s = now_s - limit.age_ms / MS_PER_S
            if self._coordinator.statements.apply_notice(
                limit.server_key, limit.rate_per_s, heard_at_s
            ):
                news.append(limit)
                _log_limit(limit.server_key, limit.rate_per_s, "another VM")
        if news:
            self.share()
        return news

    def _apply_pause(self, limit: ServerLimit, now_s: float) -> bool:
        """Apply a pause that another VM has heard, and return whether it is news."""
        server = self._coordinator.find_server(limit.server_key)
        pause_s = (limit.pause_ms - limit.age_ms) / MS_PER_S
        if server is None or pause_s <= PAUSE_NEWS_S:
            return False
        if now_s + pause_s <= server.demands.paused_until_s + PAUSE_NEWS_S:
            return False
        server.demands.record_pause(pause_s, now_s)
        return True

    def list_limits(self) -> list[ServerLimit]:
        """Return what servers have said, for a VM that may not know it."""
        now_s = self._clock.read_monotonic_s()
        limits = [
            ServerLimit(
                one.server_key, int((now_s - one.heard_at_s) * MS_PER_S), one.rate_per_s
            )
            for one in self._coordinator.statements.list_statements()
        ]
        leaving = self._coordinator.list_leaving()
        return limits + [ServerLimit(key, 0, is_leaving=True) for key in leaving]

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

    def _hear_leaving(self, server: ServerView, answer: HttpAnswer) -> None:
        """Hear whether a server says that it leaves, and tell all VMs."""
        value = answer.find_header(self._names.leaving)
        if value is None or value.strip() != LEAVING_VALUE:
            return
        if self._coordinator.record_leaving(server.key, True):
            logger.bind(server=server.key).info("server says that it leaves")
            limit = ServerLimit(server.key, 0, is_leaving=True)
            self._broadcaster.broadcast_limits([limit])

    def _hear_pause(
        self, server: ServerView, answer: HttpAnswer, is_helped: bool
    ) -> None:
        """Hear for how long a server that turns requests away wants none.

        A server that was reached through another VM means that one, too.
        """
        value = answer.find_header(HEADER_RETRY_AFTER)
        if value is None or answer.status != STATUS_UNAVAILABLE:
            return
        pause_s = parse_pause_s(value)
        if pause_s is None:
            self.odd_pauses += 1
            logger.bind(server=server.key, count=self.odd_pauses).debug(
                "a pause can't be read"
            )
            return
        now_s = self._clock.read_monotonic_s()
        if pause_s > 0 and server.demands.is_open(now_s):
            logger.bind(server=server.key, seconds=pause_s).info(
                "server asks for a pause"
            )
        server.demands.record_pause(pause_s, now_s)
        if is_helped and pause_s > 0:
            pause_ms = int(min(pause_s, PAUSE_S_MAX) * MS_PER_S)
            limit = ServerLimit(server.key, 0, pause_ms=pause_ms)
            self._broadcaster.broadcast_limits([limit])

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
