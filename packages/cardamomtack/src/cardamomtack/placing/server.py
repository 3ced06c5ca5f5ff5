"""What one VM knows of the load and health of one backend server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from math import inf
from statistics import median_low

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.limits.allowance import SendAllowance
from cardamomtack.limits.demands import ServerDemands
from cardamomtack.placing.const import (
    EJECTION_FAILURES,
    EJECTION_S_MAX,
    EJECTION_S_MIN,
    FAILURE_GAIN,
    FAILURE_HALF_LIFE_S,
    FAILURE_SHARE_AGE_S_MAX,
    PROBE_TIMEOUT_EJECTION_S,
    PROBED_LAST_FAILURE_SHARE,
    REPORT_AGE_S_MAX,
    REPORT_FRESH_S_MAX,
    USUAL_GAIN,
)
from cardamomtack.placing.slowdown import (
    SLOWNESS_CLEAR,
    SLOWNESS_USUAL,
    SlowdownEstimates,
)

ANSWERED_KEPT_MAX = 16


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The load that a server tells.

    Attributes
    ----------
    running : float
        Requests that run; a fraction only in a report that is worked out.
    slowness : float
        How many times as long as usual work takes at this moment.
    """

    running: float
    waiting: int
    slots: int
    slowness: float = SLOWNESS_USUAL

    def describe(self) -> str:
        """Return the load in words, for a log."""
        return (
            f"{self.running:g} running, {self.waiting} waiting, {self.slots} slots, "
            f"{self.slowness:g} times as slow as usual"
        )


class ServerView:
    """One incarnation of a backend server, as this VM sees it.

    Parameters
    ----------
    entry : ServerEntry
        What the server says of itself.
    now_s : float
        Monotonic time, in seconds.
    slowdown_estimates : SlowdownEstimates or None
        What has been learnt of the servers of its service.

    Attributes
    ----------
    demands : ServerDemands
        What the server has said of the requests that it wants.
    in_flight : int
        Requests of this VM that the server has not answered.
    is_evacuated : bool
        Whether its availability zone is evacuated.
    sent_since_report : int
        Requests of this VM that the last report can't hold yet.
    is_removed : bool
        Whether the entry has vanished.
    """

    __slots__ = (
        "_failed_in_row",
        "_failure_at_s",
        "_failure_share",
        "_probe_timeouts",
        "_reported_at_s",
        "demands",
        "ejected_until_s",
        "entry",
        "in_flight",
        "is_evacuated",
        "is_removed",
        "report",
        "sent_since_report",
        "slowdown_estimates",
    )

    def __init__(
        self,
        entry: ServerEntry,
        now_s: float,
        slowdown_estimates: SlowdownEstimates | None = None,
    ) -> None:
        self._failed_in_row = 0
        self._failure_at_s = now_s
        self._failure_share = 0.0
        self._reported_at_s = -inf
        self._probe_timeouts = 0
        self.demands = ServerDemands(now_s + entry.warm_up_left_s)
        self.ejected_until_s = 0.0
        self.entry = entry
        self.in_flight = 0
        self.is_evacuated = False
        self.is_removed = False
        self.report: LoadReport | None = None
        self.sent_since_report = 0
        self.slowdown_estimates = (
            slowdown_estimates
            if slowdown_estimates is not None
            else SlowdownEstimates()
        )

    @property
    def vm_id(self) -> str:
        """Return the id of the server."""
        return self.entry.server_id

    @property
    def key(self) -> str:
        """Return what names this incarnation of the server among all VMs."""
        return f"{self.entry.server_id}/{self.entry.incarnation}"

    @property
    def address(self) -> str:
        """Return the IP address."""
        return self.entry.address

    @property
    def port(self) -> int:
        """Return the port."""
        return self.entry.port

    def matches_entry(self, entry: ServerEntry) -> bool:
        """Return whether an entry still means this server."""
        known = self.entry
        return (
            entry.service == known.service
            and entry.availability_zone == known.availability_zone
            and entry.address == known.address
            and entry.port == known.port
            and entry.incarnation == known.incarnation
        )

    def apply_entry(self, entry: ServerEntry, now_s: float) -> None:
        """Apply a newer entry of the same server."""
        self.entry = entry
        self.demands.warm_at_s = now_s + entry.warm_up_left_s

    @property
    def allowance(self) -> SendAllowance | None:
        """Return what this VM may send while the server has a limit."""
        return self.demands.allowance

    def is_usable(self, now_s: float) -> bool:
        """Return whether the server may get new work."""
        if not self.may_stay or self.ejected_until_s > now_s:
            return False
        return self.demands.is_open(now_s)

    @property
    def may_stay(self) -> bool:
        """Return whether the server neither leaves nor has left nor is evacuated."""
        return self.is_staying and not self.is_evacuated

    @property
    def is_staying(self) -> bool:
        """Return whether the server itself neither leaves nor has left."""
        if self.is_removed or self.entry.is_draining:
            return False
        return not self.demands.is_leaving

    def reserve_send(self, now_s: float) -> bool:
        """Return whether a request may be sent, and count it against the limit.

        Since it was chosen, the server may have said that it leaves, or its zone may
        be evacuated.
        """
        return self.may_stay and self.demands.reserve_send(now_s)

    def release_send(self) -> None:
        """Give back what was counted for a request that was not sent."""
        if self.demands.allowance is not None:
            self.demands.allowance.refund()

    def record_warm_up(self, left_s: float, now_s: float) -> None:
        """Record that the server warms up for some seconds more."""
        self.demands.warm_at_s = max(self.demands.warm_at_s, now_s + left_s)

    def is_warming(self, now_s: float) -> bool:
        """Return whether the server is still slow after its start."""
        return now_s < self.demands.warm_at_s

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Record a load report that has just arrived."""
        self.report = report
        self.sent_since_report = 0
        self._reported_at_s = now_s
        self._probe_timeouts = 0

    def record_answer_report(self, report: LoadReport, now_s: float) -> None:
        """Record the load report of the answer to a request that has run."""
        running = self.slowdown_estimates.exclude_answered(report.running)
        self.record_report(replace(report, running=running), now_s)

    def assume_report(self, report: LoadReport, now_s: float) -> None:
        """Assume a report worked out from others' in place of none or an old one.

        Requests of this VM that have ended meanwhile no longer count beside it.
        """
        if self.has_current_report(now_s):
            return
        self.report = report
        self.sent_since_report = min(self.sent_since_report, self.in_flight)

    def record_send(self) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_rejection(self) -> None:
        """Stop counting a request that the server has rejected."""
        self.sent_since_report = max(0, self.sent_since_report - 1)

    def record_end(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1

    def has_current_report(self, now_s: float) -> bool:
        """Return whether the last report still tells the load of now."""
        return self.has_report_within(REPORT_AGE_S_MAX, now_s)

    def has_report_within(self, age_s_max: float, now_s: float) -> bool:
        """Return whether the last report is at most so old."""
        return now_s - self._reported_at_s <= age_s_max

    def record_success(self, now_s: float) -> None:
        """Record an answer that is no failure of the server."""
        self._failed_in_row = 0
        self._move_failure_share(0.0, now_s)
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Record a failure; several in a row eject the server for a while."""
        self._failed_in_row += 1
        self._move_failure_share(1.0, now_s)
        if self._failed_in_row >= EJECTION_FAILURES:
            self._eject(now_s)

    def record_soft_failure(self, now_s: float) -> None:
        """Record that a request takes far too long or was rejected despite capacity.

        The server is only passed over beside better ones: in overload such things
        happen at many, and the servers are needed.
        """
        self._move_failure_share(1.0, now_s)

    def record_probe_timeout(self, now_s: float) -> None:
        """Record that a probe got no answer in time; the server is ejected briefly.

        The ejection grows with each timeout and ends with the next report.
        """
        pause_s = min(
            EJECTION_S_MAX, PROBE_TIMEOUT_EJECTION_S * 2.0**self._probe_timeouts
        )
        self._probe_timeouts += 1
        self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def record_unreachable(self, now_s: float) -> None:
        """Record that no connection could be opened; the server is ejected at once."""
        self._failed_in_row = max(self._failed_in_row + 1, EJECTION_FAILURES)
        self._eject(now_s)

    def forget_failures(self) -> None:
        """Forget failures that say nothing of the server; an ejection ends."""
        self._failed_in_row = 0
        self._failure_share = 0.0
        self._probe_timeouts = 0
        self.ejected_until_s = 0.0

    def estimate_failure_share(self, now_s: float) -> float:
        """Return the recent share of failures, fading with time."""
        age_s = max(0.0, now_s - self._failure_at_s)
        return self._failure_share * float(0.5 ** (age_s / FAILURE_HALF_LIFE_S))

    def _eject(self, now_s: float) -> None:
        """Eject the server, for longer with each failure in the row."""
        beyond = self._failed_in_row - EJECTION_FAILURES
        pause_s = min(EJECTION_S_MAX, EJECTION_S_MIN * 2.0**beyond)
        self.ejected_until_s = now_s + pause_s

    def _move_failure_share(self, outcome: float, now_s: float) -> None:
        """Move the share of failures towards an outcome."""
        share = self.estimate_failure_share(now_s)
        self._failure_share = share + FAILURE_GAIN * (outcome - share)
        self._failure_at_s = now_s


class ServiceView:
    """The servers of one service.

    Attributes
    ----------
    answered_at_s : float
        Monotonic time at which any of its servers last answered this VM, in seconds.
    reports_load : bool or None
        Whether its servers report their load; None before any has answered.
    slowdown_estimates : SlowdownEstimates
        What has been learnt of its servers.
    warm_up_rate_per_s : float or None
        Requests a second that a server takes from all VMs together while it warms up.
    """

    __slots__ = (
        "_answered",
        "_busy_share",
        "_failure_share",
        "_failure_share_at_s",
        "_slowness",
        "_split",
        "answered_at_s",
        "members",
        "name",
        "reports_load",
        "slowdown_estimates",
        "warm_up_rate_per_s",
    )

    def __init__(self, name: str) -> None:
        self._answered: deque[ServerView] = deque(maxlen=ANSWERED_KEPT_MAX)
        self._busy_share: float | None = None
        self._failure_share = 0.0
        self._failure_share_at_s = -inf
        self._slowness = SLOWNESS_USUAL
        self._split: tuple[str, list[ServerView], list[ServerView]] | None = None
        self.answered_at_s = -inf
        self.name = name
        self.members: list[ServerView] = []
        self.reports_load: bool | None = None
        self.slowdown_estimates = SlowdownEstimates()
        self.warm_up_rate_per_s: float | None = None

    @property
    def is_evacuated(self) -> bool:
        """Return whether its servers would get work, were their zones not evacuated."""
        is_any = False
        for server in self.members:
            if server.may_stay:
                return False
            is_any = is_any or server.is_staying
        return is_any

    def add_member(self, server: ServerView) -> None:
        """Add a server that has come."""
        self.members.append(server)
        self._split = None

    def remove_member(self, server: ServerView) -> None:
        """Drop a server that has gone."""
        self.members.remove(server)
        self._split = None

    def estimate_usual_failure_share(self, now_s: float) -> float:
        """Return the median of its servers' shares of failures."""
        if now_s - self._failure_share_at_s > FAILURE_SHARE_AGE_S_MAX:
            self._failure_share_at_s = now_s
            shares = [server.estimate_failure_share(now_s) for server in self.members]
            self._failure_share = median_low(shares) if shares else 0.0
        return self._failure_share

    def estimate_excess_failures(self, server: ServerView, now_s: float) -> float:
        """Return by how much a server's share of failures exceeds what is usual.

        Where failures are usual, one more than at the others tells nothing.
        """
        usual = self.estimate_usual_failure_share(now_s)
        expected = usual + min(usual, FAILURE_GAIN)
        return max(0.0, server.estimate_failure_share(now_s) - expected)

    def list_members(self, zone: str, is_own_zone: bool) -> list[ServerView]:
        """Return the servers of an availability zone, or those of all others."""
        if self._split is None or self._split[0] != zone:
            own = [one for one in self.members if one.entry.availability_zone == zone]
            others = [
                one for one in self.members if one.entry.availability_zone != zone
            ]
            self._split = (zone, own, others)
        return self._split[1] if is_own_zone else self._split[2]

    def is_spared(self, server: ServerView, now_s: float) -> bool:
        """Return whether a server that is said to leave is passed over for others."""
        if not server.demands.is_said_to_leave:
            return False
        return any(
            one.is_usable(now_s) and not one.demands.is_said_to_leave
            for one in self.members
        )

    def add_answered(self, server: ServerView) -> None:
        """Record a server at which a request has just ended."""
        self._answered.append(server)

    def list_fresh(self, now_s: float) -> list[ServerView]:
        """Return the servers that need no probe, those that told last first.

        One that has failed or rejected requests lately is not among them.
        """
        fresh: list[ServerView] = []
        for server in reversed(self._answered):
            if not server.has_report_within(REPORT_FRESH_S_MAX, now_s):
                break
            failures = self.estimate_excess_failures(server, now_s)
            if not server.is_usable(now_s) or self.is_spared(server, now_s):
                continue
            if failures <= PROBED_LAST_FAILURE_SHARE:
                fresh.append(server)
        return fresh

    def record_report(self, report: LoadReport) -> None:
        """Add the report of one server to the usual load of all."""
        busy_share = (report.running + report.waiting) / report.slots
        if self._busy_share is None:
            self._busy_share = busy_share
            self._slowness = report.slowness
        self._busy_share += USUAL_GAIN * (busy_share - self._busy_share)
        self._slowness += USUAL_GAIN * (report.slowness - self._slowness)

    def expect_report(self, slots: int) -> LoadReport | None:
        """Return the report to expect of a server that has not been probed.

        Parameters
        ----------
        slots : int
            Slots of the server.

        Returns
        -------
        LoadReport or None
            None before any server has reported.
        """
        if self._busy_share is None:
            return None
        slots = max(1, slots)
        return LoadReport(self._busy_share * slots, 0, slots, self._slowness)


def is_near_capacity(server: ServerView) -> bool:
    """Return whether a request would wait for a slot, or be slow in the last ones.

    An idle server has capacity whatever its size.
    """
    report = server.report
    if report is None:
        return False
    usable = max(1.0, server.slowdown_estimates.usable_share * report.slots)
    return count_ahead(server, report) + 1 > usable


def is_slow_with_capacity(server: ServerView) -> bool:
    """Return whether a server has capacity and works more slowly than usual."""
    report = server.report
    if report is None or is_near_capacity(server):
        return False
    return report.slowness >= SLOWNESS_CLEAR


def compute_busy_share(server: ServerView) -> float:
    """Return the share of the slots that would be busy with one more request."""
    report = server.report
    if report is None:
        return 0.0
    return (count_ahead(server, report) + 1) / max(1, report.slots)


def count_ahead(server: ServerView, report: LoadReport) -> float:
    """Return how many requests a server runs and holds, with those sent since."""
    return report.running + report.waiting + server.sent_since_report


def estimate_share(server: ServerView) -> float:
    """Return how many times as long as on an idle server a request will take."""
    report = server.report
    if report is None:
        return 1.0 + server.in_flight / max(1, server.entry.slots)
    slots = max(1, report.slots)
    ahead = count_ahead(server, report)
    share = server.slowdown_estimates.estimate_slowness(report.slowness)
    if is_near_capacity(server):
        share *= server.slowdown_estimates.near_capacity_slowdown
    if ahead >= slots:
        share *= 1.0 + (ahead - slots + 1) / slots
    return share
