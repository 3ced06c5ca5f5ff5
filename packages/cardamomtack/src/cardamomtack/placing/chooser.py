"""Choice of the backend servers to probe, and of the one that gets the request.

This module handles servers on shared machines whose speed changes fourfold several
times a second, so that a report which is 100 ms old misleads. Servers are probed one
after the other just before each send, those of the own availability zone first, until
one is expected to answer well within the latency objective.
"""

from __future__ import annotations

from random import Random

from cardamomtack.placing.const import (
    FAILURE_COST_FACTOR,
    LATE_PROBED_MAX,
    OVERLOAD_OTHER_ZONES_MAX,
    PROBE_BUDGET_SHARE_MIN,
    PROBED_LAST_FAILURE_SHARE,
    PROBED_MAX,
    PROBED_MIN,
    WARM_UP_COST_FACTOR,
    WORK_GAIN,
    WORK_INITIAL_OBJECTIVE_SHARE,
    ZONE_CROSSING_S,
)
from cardamomtack.placing.server import (
    ServerView,
    ServiceView,
    count_ahead,
    estimate_share,
    is_near_capacity,
)
from cardamomtack.placing.slowdown import (
    SLOWNESS_USUAL,
    SendConditions,
    SlowdownEstimates,
)
from cardamomtack.placing.subset import ServerSubsets

SAMPLED_FACTOR = 2
SCANNED_FACTOR = 4


class WorkEstimates:
    """How long the work of each route takes on an idle server, in seconds."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[str, float] = {}

    def estimate_work_s(self, route: str, objective_s: float) -> float:
        """Return the work of a route, in seconds.

        Before its first answer it is taken to be a share of the latency objective.

        Parameters
        ----------
        route : str
            Host and path prefix of the route.
        """
        return self._estimates.get(route, WORK_INITIAL_OBJECTIVE_SHARE * objective_s)

    def record_answer(
        self,
        route: str,
        duration_s: float,
        conditions: SendConditions,
        slowdown_estimates: SlowdownEstimates,
    ) -> None:
        """Learn from the duration of an answer.

        The work itself is learnt under usual conditions, and how servers slow down
        under the others.
        """
        known = self._estimates.get(route)
        if known is None:
            share = slowdown_estimates.estimate_slowness(conditions.slowness)
            self._estimates[route] = duration_s / max(1.0, share)
        elif conditions.is_usual:
            self._estimates[route] = known + WORK_GAIN * (duration_s - known)
        else:
            slowdown_estimates.record_answer(conditions, duration_s / known)


class PlacementChooser:
    """Chooses servers by the time in which they are expected to answer.

    Parameters
    ----------
    random : Random
        Source of the samples.
    availability_zone : str
        Zone of this VM.
    subsets : ServerSubsets or None
        The servers that this VM keeps to; None for all.
    """

    __slots__ = ("_availability_zone", "_random", "_subsets")

    def __init__(
        self,
        random: Random,
        availability_zone: str,
        subsets: ServerSubsets | None = None,
    ) -> None:
        self._availability_zone = availability_zone
        self._random = random
        self._subsets = subsets

    def draw(self, share: float) -> bool:
        """Return True for a share of the draws, from 0 to 1."""
        return share >= 1.0 or self._random.random() < share

    def is_own_zone(self, server: ServerView) -> bool:
        """Return whether a server is in the availability zone of this VM."""
        return server.entry.availability_zone == self._availability_zone

    def sample_servers(
        self,
        service: ServiceView,
        tried: set[str],
        is_own_zone: bool,
        now_s: float,
        count: int = PROBED_MAX,
    ) -> list[ServerView]:
        """Return a few servers to probe, of the own availability zone or of the others.

        Those that have failed lately come last.

        Parameters
        ----------
        tried : set of str
            Ids of servers that are left out.
        count : int
            Most servers to return.
        """
        members = self._list_members(service, is_own_zone, now_s)
        sample: list[ServerView] = []
        if len(members) > SCANNED_FACTOR * count:
            # Most servers are usable, so a few more than needed nearly always do.
            drawn = self._random.sample(members, SAMPLED_FACTOR * count)
            sample = _list_usable(service, drawn, tried, now_s)[:count]
        if len(sample) < count:
            usable = _list_usable(service, members, tried, now_s)
            sample = self._random.sample(usable, min(count, len(usable)))
        sample.sort(
            key=lambda server: (
                service.estimate_excess_failures(server, now_s)
                > PROBED_LAST_FAILURE_SHARE
            )
        )
        return sample

    def _list_members(
        self, service: ServiceView, is_own_zone: bool, now_s: float
    ) -> list[ServerView]:
        """Return the servers to draw from, of the own zone or of the others."""
        zone = self._availability_zone
        if self._subsets is None:
            return service.list_members(zone, is_own_zone)
        return self._subsets.list_members(service, zone, is_own_zone, now_s)

    def record_request(self, service: ServiceView, now_s: float) -> None:
        """Count a request, which the subset of its service grows with."""
        if self._subsets is not None:
            self._subsets.find_size(service).record_request(now_s)

    def record_shortage(self, service: ServiceView, now_s: float) -> None:
        """Widen the subset of a service in which a call found no capacity."""
        if self._subsets is not None:
            self._subsets.find_size(service).record_shortage(now_s)

    def sample_ejected(
        self, service: ServiceView, tried: set[str], now_s: float
    ) -> list[ServerView]:
        """Return a few ejected servers, when no other is left."""
        ejected = [
            server
            for server in service.members
            if server.entry.server_id not in tried
            and server.may_stay
            and server.demands.is_open(now_s)
        ]
        if len(ejected) <= PROBED_MAX:
            return ejected
        return self._random.sample(ejected, PROBED_MAX)

    def estimate_s(self, server: ServerView, work_s: float, now_s: float) -> float:
        """Return the seconds until the server's answer."""
        estimate_s = work_s * estimate_share(server)
        if server.is_warming(now_s):
            estimate_s *= 1.0 + WARM_UP_COST_FACTOR
        if not self.is_own_zone(server):
            estimate_s += ZONE_CROSSING_S
        return estimate_s

    def estimate_cost_s(
        self, service: ServiceView, server: ServerView, work_s: float, now_s: float
    ) -> float:
        """Return the seconds until the server's answer, with a penalty for failures.

        The penalty decides between servers, so it counts only failures beyond those of
        half of the service: where all servers fail alike, no other is better. It does
        not make a server too slow for a request: one that fails now and then is better
        than none.
        """
        excess = service.estimate_excess_failures(server, now_s)
        estimate_s = self.estimate_s(server, work_s, now_s)
        return estimate_s * (1.0 + FAILURE_COST_FACTOR * excess)

    def choose_server(
        self,
        service: ServiceView,
        servers: list[ServerView],
        work_s: float,
        now_s: float,
    ) -> ServerView | None:
        """Return the server that is expected to answer first, or None.

        Equal ones are drawn from, so that no server is left out for its place.
        """
        return min(
            servers,
            key=lambda server: (
                self.estimate_cost_s(service, server, work_s, now_s),
                self._random.random(),
            ),
            default=None,
        )


def choose_sample_size(
    remaining_budget_share: float, is_own_zone: bool, is_overloaded: bool, is_late: bool
) -> int:
    """Return how many servers of the own zone, or of the others, are probed at most.

    Parameters
    ----------
    remaining_budget_share : float
        Part of the budget of probes that is left, from 0 to 1.
    is_overloaded : bool
        Whether requests that could be in time have found no capacity lately.
    is_late : bool
        Whether the latency objective has passed.
    """
    size = PROBED_MAX if remaining_budget_share > PROBE_BUDGET_SHARE_MIN else PROBED_MIN
    if is_overloaded and is_late:
        size = min(size, LATE_PROBED_MAX)
    if is_overloaded and not is_own_zone:
        size = min(size, OVERLOAD_OTHER_ZONES_MAX)
    return size


def assume_loads(service: ServiceView, servers: list[ServerView], now_s: float) -> None:
    """Assume that servers which have not reported lately are as busy as is usual."""
    for server in servers:
        report = service.expect_report(server.entry.slots)
        if report is not None:
            server.assume_report(report, now_s)


def build_send_conditions(server: ServerView) -> SendConditions:
    """Return what a server has told before a send to it."""
    report = server.report
    if report is None:
        return SendConditions(SLOWNESS_USUAL, False, False)
    is_queued = count_ahead(server, report) >= report.slots
    return SendConditions(report.slowness, is_near_capacity(server), is_queued)


def _list_usable(
    service: ServiceView, servers: list[ServerView], tried: set[str], now_s: float
) -> list[ServerView]:
    """Return the servers that may get work and were not tried."""
    return [
        server
        for server in servers
        if server.is_usable(now_s)
        and server.entry.server_id not in tried
        and not service.is_spared(server, now_s)
    ]
