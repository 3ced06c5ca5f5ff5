"""Keeps the limits of servers over all VMs together.

This module handles servers that name a limit while VMs join, leave, freeze, restart and
are cut off from one another. What one VM hears, all are told; each then works out its
own share from what all know.
"""

from __future__ import annotations

from collections import OrderedDict

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import Clock
from cardamomtack.limits.allowance import SendAllowance
from cardamomtack.limits.const import (
    IDLE_AFTER_S,
    LEAVING_KEPT,
    LEAVING_TOLD,
    TRIAL_RATE_PER_S,
)
from cardamomtack.limits.presence import PresenceTable, compute_heartbeat_s
from cardamomtack.limits.shares import deal_shares
from cardamomtack.limits.statements import LimitStatements
from cardamomtack.placing.server import ServerView
from cardamomtack.replicas.members import MemberTable


class LimitCoordinator:
    """Gives each server that has a limit this VM's share of it.

    Parameters
    ----------
    members : MemberTable
        The VMs.
    registry : ServerRegistry
        The servers.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    has_joined : bool
        Whether the other VMs are known; nothing is sent to servers with a limit before.
    is_leaving : bool
        Whether this VM leaves its shares to the others.
    presence : PresenceTable
        Which VMs are heard.
    statements : LimitStatements
        What servers have said.
    """

    __slots__ = (
        "_beat_at_s",
        "_candidates",
        "_clock",
        "_dealt",
        "_leaving",
        "_limited",
        "_members",
        "_registry",
        "_requested_at_s",
        "has_joined",
        "is_leaving",
        "presence",
        "statements",
    )

    def __init__(
        self, members: MemberTable, registry: ServerRegistry, clock: Clock
    ) -> None:
        self._beat_at_s: float | None = None
        self._candidates: list[Member] = []
        self._dealt: dict[str, tuple[float, float]] = {}
        self._clock = clock
        self._leaving: OrderedDict[str, bool] = OrderedDict()
        self._limited: list[ServerView] = []
        self._members = members
        self._registry = registry
        self._requested_at_s = clock.read_monotonic_s()
        self.has_joined = False
        self.is_leaving = False
        self.presence = PresenceTable()
        self.statements = LimitStatements()

    def record_request(self, now_s: float) -> bool:
        """Record a request of a caller; return whether this VM is no longer idle."""
        self._requested_at_s = now_s
        return self.presence.is_idle

    def record_due_heartbeat(self, now_s: float) -> bool:
        """Return whether a heartbeat is to be sent now, and record it as sent.

        Heartbeats are only sent while a server has a limit.
        """
        if not self.statements.has_limits and not self._limited:
            self._beat_at_s = None
            self.presence.is_idle = False
            return False
        is_idle = now_s - self._requested_at_s > IDLE_AFTER_S
        is_due = is_idle != self.presence.is_idle or self._beat_at_s is None
        self.presence.is_idle = is_idle
        interval_s = compute_heartbeat_s(self._members.count)
        if self._beat_at_s is not None and now_s - self._beat_at_s >= interval_s:
            is_due = True
        if is_due:
            self._beat_at_s = now_s
        return is_due

    def record_leaving(self, server_key: str, is_own: bool) -> bool:
        """Record that a server says that it leaves, and return whether it is news.

        It does so until it has started anew, whatever its entry says.

        Parameters
        ----------
        is_own : bool
            Whether this VM has heard it from the server, and not from another VM.
        """
        known = self._leaving.get(server_key)
        if known is not None and known >= is_own:
            return False
        self._leaving[server_key] = is_own
        if len(self._leaving) > LEAVING_KEPT:
            self._leaving.popitem(last=False)
        self._mark_leaving()
        return known is None

    def find_server(self, server_key: str) -> ServerView | None:
        """Return an incarnation of a server by its key, or None when it is unknown."""
        server = self._registry.servers.get(server_key.rpartition("/")[0])
        return server if server is not None and server.key == server_key else None

    def list_leaving(self) -> list[str]:
        """Return the keys of the servers that have said last that they leave."""
        return list(self._leaving)[-LEAVING_TOLD:]

    def _mark_leaving(self) -> None:
        """Mark the servers that leave, also one whose entry has come back."""
        for key, is_own in self._leaving.items():
            server = self.find_server(key)
            if server is not None:
                server.demands.is_leaving = is_own
                server.demands.is_said_to_leave = not is_own

    def share_limits(self) -> None:
        """Work out this VM's shares from what is known now."""
        now_s = self._clock.read_monotonic_s()
        self._mark_leaving()
        self._drop_old(now_s)
        limits = self._list_limits(now_s)
        for server in self._limited:
            if server not in limits:
                server.demands.allowance = None
        self._limited = list(limits)
        if not limits:
            self.presence.clear()
            self._dealt.clear()
            return
        own, *others = self._members.list_members()
        presence = self.presence.survey(own, others, now_s)
        may_use = self.has_joined and not self.is_leaving
        for server, limit_per_s in limits.items():
            rate_per_s = max(limit_per_s, TRIAL_RATE_PER_S) * presence.heard_share
            share_per_s = 0.0
            if may_use:
                share_per_s = self._find_share(server, rate_per_s, presence.candidates)
            allowance = server.demands.allowance or SendAllowance(now_s)
            allowance.apply_share(share_per_s, rate_per_s, now_s)
            server.demands.allowance = allowance

    def _find_share(
        self, server: ServerView, rate_per_s: float, candidates: list[Member]
    ) -> float:
        """Return this VM's share of the limit of a server, in requests a second.

        It is dealt anew only when the limit or the VMs have changed.
        """
        if candidates != self._candidates:
            self._candidates = candidates
            self._dealt.clear()
        dealt = self._dealt.get(server.key)
        if dealt is None or dealt[0] != rate_per_s:
            zone = server.entry.availability_zone
            shares = deal_shares(server.key, zone, rate_per_s, candidates)
            dealt = rate_per_s, shares.get(self._members.own.vm_id, 0.0)
            self._dealt[server.key] = dealt
        return dealt[1]

    def _list_limits(self, now_s: float) -> dict[ServerView, float]:
        """Return the servers that have a limit, and the limit, in requests a second.

        One that warms up has that of its service, which all VMs know.
        """
        limits: dict[ServerView, float] = {}
        for service in self._registry.services.values():
            if service.warm_up_rate_per_s is None:
                continue
            for server in service.members:
                if server.is_warming(now_s):
                    limits[server] = service.warm_up_rate_per_s
        for statement in self.statements.list_statements():
            server_id = statement.server_key.rpartition("/")[0]
            named = self._registry.servers.get(server_id)
            if named is None or named.key != statement.server_key:
                continue
            if statement.rate_per_s is not None:
                rate_per_s = limits.get(named, statement.rate_per_s)
                limits[named] = min(rate_per_s, statement.rate_per_s)
        return limits

    def _drop_old(self, now_s: float) -> None:
        """Forget what was said by servers that are gone."""
        if self.statements.list_statements():
            known = {server.key for server in self._registry.servers.values()}
            self.statements.drop_old(known, now_s)
