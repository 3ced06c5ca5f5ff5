"""Choice of the backend servers to ask, and of the one that gets the request.

The load that this answers: servers on shared machines whose speed changes fourfold
several times a second, so that a report which is 100 ms old misleads. A few servers
are asked just before each send, those of the own availability zone first; other
zones only when none there is expected to answer within the latency objective.
"""

from __future__ import annotations

from random import Random

from cardamomtack.placing.const import (
    ASKED_MAX,
    ASKED_MIN,
    ASKING_ROOM_SHARE,
    FAILURE_COST_FACTOR,
    FULL_SLOWDOWN,
    SPEED_HOLD_S,
    WARM_UP_COST_FACTOR,
    WORK_GAIN,
    WORK_INITIAL_S,
    ZONE_CROSSING_S,
)
from cardamomtack.placing.server import (
    SLOWNESS_USUAL,
    ServerView,
    ServiceView,
    count_ahead,
    is_past_room,
)


class WorkEstimates:
    """How long the work of each route takes on an idle server, in seconds."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[str, float] = {}

    def find_work_s(self, route: str) -> float:
        """Return the work of a route, in seconds."""
        return self._estimates.get(route, WORK_INITIAL_S)

    def record_answer(
        self, route: str, duration_s: float, expected_share: float
    ) -> None:
        """Take the duration of an answer.

        Parameters
        ----------
        expected_share : float
            How many times as long as on an idle server it was expected to take.
        """
        work_s = duration_s / max(1.0, expected_share)
        known = self._estimates.get(route)
        if known is None:
            self._estimates[route] = work_s
        else:
            self._estimates[route] = known + WORK_GAIN * (work_s - known)


class PlacementChooser:
    """Chooses servers by the time in which they are expected to answer.

    Parameters
    ----------
    random : Random
        Source of the samples.
    availability_zone : str
        Zone of this VM.
    """

    __slots__ = ("_availability_zone", "_random")

    def __init__(self, random: Random, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._random = random

    def sample_servers(
        self,
        service: ServiceView,
        tried: set[str],
        is_own_zone: bool,
        now_s: float,
        count: int = ASKED_MAX,
    ) -> list[ServerView]:
        """Return a few servers to ask, of the own zone or of the others.

        Parameters
        ----------
        tried : set of str
            Ids of servers that are left out.
        count : int
            Most servers to return.
        """
        usable = [
            server
            for server in service.members
            if (server.entry.availability_zone == self._availability_zone)
            is is_own_zone
            and server.entry.server_id not in tried
            and server.is_usable(now_s)
        ]
        if len(usable) <= count:
            return usable
        return self._random.sample(usable, count)

    def sample_resting(self, service: ServiceView, tried: set[str]) -> list[ServerView]:
        """Return a few servers that rest after failures, when no other is left."""
        resting = [
            server
            for server in service.members
            if server.entry.server_id not in tried
            and not server.entry.is_draining
            and not server.is_gone
        ]
        if len(resting) <= ASKED_MAX:
            return resting
        return self._random.sample(resting, ASKED_MAX)

    def estimate_s(self, server: ServerView, work_s: float, now_s: float) -> float:
        """Return the seconds until the server's answer."""
        estimate_s = work_s * estimate_share(server, work_s)
        if server.is_warming(now_s):
            estimate_s *= 1.0 + WARM_UP_COST_FACTOR
        if server.entry.availability_zone != self._availability_zone:
            estimate_s += ZONE_CROSSING_S
        return estimate_s

    def estimate_cost_s(self, server: ServerView, work_s: float, now_s: float) -> float:
        """Return the seconds until the server's answer, with a penalty for failures.

        The penalty decides between servers. It does not make a server too slow for a
        request: one that fails now and then is better than none.
        """
        doubt = FAILURE_COST_FACTOR * server.estimate_failure_share(now_s)
        return self.estimate_s(server, work_s, now_s) * (1.0 + doubt)

    def choose_server(
        self, servers: list[ServerView], work_s: float, now_s: float
    ) -> ServerView | None:
        """Return the server that is expected to answer first, or None.

        Equal ones are drawn from, so that no server is left out for its place.
        """
        return min(
            servers,
            key=lambda server: (
                self.estimate_cost_s(server, work_s, now_s),
                self._random.random(),
            ),
            default=None,
        )


def choose_sample_size(room_share: float) -> int:
    """Return how many servers of a zone are asked.

    Parameters
    ----------
    room_share : float
        Part of the budget of health checks that is left, from 0 to 1.
    """
    return ASKED_MAX if room_share > ASKING_ROOM_SHARE else ASKED_MIN


def assume_loads(service: ServiceView, servers: list[ServerView], now_s: float) -> None:
    """Take servers that have not reported lately to be as busy as is usual."""
    for server in servers:
        report = service.expect_report(server.entry.slots)
        if report is not None:
            server.assume_report(report, now_s)


def estimate_share(server: ServerView, work_s: float) -> float:
    """Return how many times as long as on an idle server the work will take."""
    report = server.report
    if report is None:
        return 1.0 + server.in_flight / max(1, server.entry.slots)
    slots = max(1, report.slots)
    ahead = count_ahead(server, report)
    # The speed of now holds for a while only; longer work meets the usual one.
    held = SPEED_HOLD_S / (SPEED_HOLD_S + work_s)
    share = SLOWNESS_USUAL + (report.slowness - SLOWNESS_USUAL) * held
    if is_past_room(server):
        share *= FULL_SLOWDOWN
    if ahead >= slots:
        share *= 1.0 + (ahead - slots + 1) / slots
    return share
