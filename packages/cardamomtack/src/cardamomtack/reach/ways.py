"""Whether servers are reached over own connections.

A VM may be cut off from all servers, or from those of a service or of an availability
zone, while other VMs reach them. What it concludes from that concerns its own way only:
servers that others don't reach either are down.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import Protocol

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.server import ServerView
from cardamomtack.reach.const import (
    EVIDENCE_S,
    FAILED_OPENS_MIN,
    RECHECK_S,
    RETURN_OPENS_MAX,
    RETURN_STEP_S,
    SILENT_S_MIN,
    SILENT_SERVERS_MIN,
    TRIAL_PAUSE_S,
)

Group = tuple[str, str]
"""Service and availability zone of servers."""


class WayState(Enum):
    """How the servers of a group are reached."""

    DIRECT = "directly"
    HELPED = "through other VMs"
    RETURNING = "directly again, for more and more connections"


class WayListener(Protocol):
    """Is told when the servers of a group are reached in another way."""

    def begin_help(self, group: Group, is_silent: bool) -> None:
        """Take note that this VM is cut off from the servers of a group.

        Parameters
        ----------
        is_silent : bool
            Whether its old connections to them are silent.
        """

    def end_help(self, group: Group) -> None:
        """Take note that this VM reaches the servers of a group again."""


class _GroupWay:
    """What is known of the way to the servers of one group."""

    __slots__ = (
        "changed_at_s",
        "failed_opens",
        "opens",
        "returning_since_s",
        "silent",
        "state",
        "trial_at_s",
        "trusted_until_s",
    )

    def __init__(self) -> None:
        self.changed_at_s = -inf
        self.failed_opens: dict[str, float] = {}
        self.opens = 0
        self.returning_since_s = 0.0
        self.silent: dict[str, float] = {}
        self.state = WayState.DIRECT
        self.trial_at_s = inf
        self.trusted_until_s = -inf

    def forget_evidence(self) -> None:
        """Forget all failures."""
        self.failed_opens.clear()
        self.silent.clear()


class DirectWays:
    """The own ways to the servers, by service and availability zone.

    Parameters
    ----------
    registry : ServerRegistry
        The servers.
    listener : WayListener
        Is told of changes.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_groups", "_listener", "_registry")

    def __init__(
        self, registry: ServerRegistry, listener: WayListener, clock: Clock
    ) -> None:
        self._clock = clock
        self._groups: dict[Group, _GroupWay] = {}
        self._listener = listener
        self._registry = registry

    def is_helped(self, server: ServerView) -> bool:
        """Return whether the next connection to a server goes through another VM."""
        way = self._groups.get(find_group(server))
        if way is None or way.state is WayState.DIRECT:
            return False
        if way.state is WayState.HELPED:
            return True
        elapsed_s = self._clock.read_monotonic_s() - way.returning_since_s
        opens_max = 2.0 ** (elapsed_s / RETURN_STEP_S)
        if opens_max > RETURN_OPENS_MAX:
            way.state = WayState.DIRECT
            return False
        if way.opens + 1 > opens_max:
            return True
        way.opens += 1
        return False

    def is_cut(self, server: ServerView) -> bool:
        """Return whether this VM is cut off from a server, as far as it knows."""
        way = self._groups.get(find_group(server))
        return way is not None and way.state is WayState.HELPED

    def is_in_doubt(self, server: ServerView) -> bool:
        """Return whether connections to other servers of its group fail, too."""
        way = self._groups.get(find_group(server))
        if way is None:
            return False
        failing = way.failed_opens.keys() | way.silent.keys()
        return way.state is WayState.HELPED or bool(failing - {server.vm_id})

    def list_others(self, server: ServerView) -> list[ServerView]:
        """Return the servers that tell whether the way to a server is sound.

        They are those of its group to which connections did not fail; where none is
        left, those of other groups.
        """
        group = find_group(server)
        way = self._groups.get(group)
        failing = {server.vm_id}
        if way is not None:
            failing |= way.failed_opens.keys() | way.silent.keys()
        known = self._registry.servers.values()
        others = [one for one in known if one.vm_id not in failing]
        members = [one for one in others if find_group(one) == group]
        return members or others

    def find_changed_at_s(self, server: ServerView) -> float:
        """Return since when a server is reached as it is, in monotonic seconds.

        What began before says nothing of it.
        """
        way = self._groups.get(find_group(server))
        return way.changed_at_s if way is not None else -inf

    def record_opened(self, server: ServerView) -> None:
        """Record that a connection to a server was opened directly."""
        way = self._groups.get(find_group(server))
        if way is not None and way.state is not WayState.HELPED:
            way.forget_evidence()

    def record_answer(self, server: ServerView) -> None:
        """Record that a server has answered on a connection of this VM's own."""
        way = self._groups.get(find_group(server))
        if way is not None and way.silent and way.state is not WayState.HELPED:
            way.silent.clear()

    def record_failed_open(self, server: ServerView) -> None:
        """Record that no connection to a server could be opened directly."""
        group = find_group(server)
        way = self._groups.setdefault(group, _GroupWay())
        now_s = self._clock.read_monotonic_s()
        if way.state is WayState.RETURNING:
            self._begin_help(group, way, now_s, False)
            return
        way.failed_opens[server.vm_id] = now_s
        self._judge(group, way, now_s)

    def record_silence(self, server: ServerView) -> None:
        """Record that a server did not answer a probe in time."""
        group = find_group(server)
        way = self._groups.setdefault(group, _GroupWay())
        if way.state is WayState.DIRECT:
            now_s = self._clock.read_monotonic_s()
            way.silent.setdefault(server.vm_id, now_s)
            self._judge(group, way, now_s)

    def record_down(self, server: ServerView) -> None:
        """Record that other VMs don't reach a server either, so that it is down."""
        way = self._groups.get(find_group(server))
        if way is None:
            return
        way.failed_opens.pop(server.vm_id, None)
        way.silent.pop(server.vm_id, None)
        if way.state is WayState.HELPED and not way.failed_opens and not way.silent:
            way.state = WayState.DIRECT
            way.trusted_until_s = self._clock.read_monotonic_s() + RECHECK_S

    def list_trials(self) -> list[Group]:
        """Return the groups of which a server is now tried directly."""
        now_s = self._clock.read_monotonic_s()
        due = [
            group
            for group, way in self._groups.items()
            if way.state is WayState.HELPED and way.trial_at_s <= now_s
        ]
        for group in due:
            self._groups[group].trial_at_s = now_s + TRIAL_PAUSE_S
        return due

    def record_trial(self, group: Group) -> None:
        """Record that a server of a group was reached directly again."""
        way = self._groups.get(group)
        if way is None or way.state is not WayState.HELPED:
            return
        way.state = WayState.RETURNING
        way.returning_since_s = self._clock.read_monotonic_s()
        way.changed_at_s = way.returning_since_s
        way.opens = 0
        way.forget_evidence()
        self._listener.end_help(group)

    def _judge(self, group: Group, way: _GroupWay, now_s: float) -> None:
        """Decide whether failures of several servers speak against the own way."""
        if way.state is not WayState.DIRECT or now_s < way.trusted_until_s:
            return
        for failures in (way.failed_opens, way.silent):
            for server_id, at_s in list(failures.items()):
                if now_s - at_s > EVIDENCE_S:
                    del failures[server_id]
        members = self._registry.find_service(group[0]).members
        servers = max(1, sum(find_group(one) == group for one in members))
        if len(way.failed_opens) >= min(FAILED_OPENS_MIN, servers):
            self._begin_help(group, way, now_s, False)
            return
        is_silent = len(way.silent) >= min(SILENT_SERVERS_MIN, servers)
        if is_silent and now_s - min(way.silent.values()) >= SILENT_S_MIN:
            self._begin_help(group, way, now_s, True)

    def _begin_help(
        self, group: Group, way: _GroupWay, now_s: float, is_silent: bool
    ) -> None:
        """Reach the servers of a group through other VMs."""
        way.state = WayState.HELPED
        way.changed_at_s = now_s
        way.trial_at_s = now_s
        self._listener.begin_help(group, is_silent)


def find_group(server: ServerView) -> Group:
    """Return the group of a server."""
    return (server.entry.service, server.entry.availability_zone)
