"""Counts from the logs of all VMs what became of requests, and for which cause.

Each request that a VM decided counts once, under the first cause that fits. A caller
that comes back counts again, because its request has another id.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from math import inf

from cardamomtack.generated.logs import LogLine, RequestDecision, SendRecord
from cardamomtack_daemon.forwarding.outcome import SendOutcome

MS_PER_S = 1000.0
SLOW_FACTOR = 1.5
"""From how many times as slow as usual on a server counts as slow."""

SPARE_SLOT_SHARE = 0.8
"""Share of the slots that are used before a server has none to spare."""

STATUS_REFUSED = 503
STATUS_SUCCESS_MAX = 299
STATUS_SUCCESS_MIN = 200
STATUS_UNAUTHORIZED = 401
TOLD_S_MAX = 0.1
"""For how long what a server told of its speed is believed, in seconds."""

WAITED_SHARE = 0.3
"""Share of the objective from which on the wait for a server makes an answer late."""

_LOAD = re.compile(r"([\d.]+) running, (\d+) waiting, (\d+) slots, ([\d.]+) times")


class Cause(Enum):
    """What became of a request, and why."""

    IN_TIME = "in time"
    LATE_RESENT = "late, sent more than once"
    LATE_RETURNED = "late, objective had passed before it came"
    LATE_WAITED = "late, waited at the VM"
    LATE_SLOW = "late, server told that it was slow"
    LATE_BUSY = "late, server was nearly full or full"
    LATE_SERVER = "late, server took longer than it told"
    REFUSED_RETURNED = "refused, objective had passed before it came"
    REFUSED_BUDGET = "refused, retry budget was spent"
    REFUSED_BY_SERVERS = "refused by servers"
    REFUSED_UNPLACED = "refused, no server with a slot was found"
    REFUSED_KEY = "refused, no key of a workspace"
    REFUSED_OTHER = "refused for another reason"
    LOST = "lost with a server or its answer"
    FAILED = "failed at a server"
    GONE = "caller had gone"


@dataclass(slots=True, frozen=True)
class ToldLoad:
    """The load that a server had told before a send."""

    busy: float
    slots: int
    slowness: float


@dataclass(slots=True)
class ServerUse:
    """When requests ran at one server, as all logs tell.

    Attributes
    ----------
    begins_s, ends_s : list of float
        When sends to it began and ended, in order.
    told : list of (float, float)
        When it told its slowness, and what it told, in order.
    slots : int
        Its slots.
    """

    service: str
    begins_s: list[float] = field(default_factory=list)
    ends_s: list[float] = field(default_factory=list)
    told: list[tuple[float, float]] = field(default_factory=list)
    slots: int = 0

    def count_spare_slots(self, at_s: float) -> int:
        """Return how many slots it had to spare; none unless it told to be quick."""
        last = bisect_right(self.told, (at_s, inf)) - 1
        if last < 0 or at_s - self.told[last][0] > TOLD_S_MAX:
            return 0
        if self.told[last][1] >= SLOW_FACTOR:
            return 0
        running = bisect_right(self.begins_s, at_s) - bisect_right(self.ends_s, at_s)
        return max(0, int(SPARE_SLOT_SHARE * self.slots) - running)


@dataclass(slots=True)
class Ledger:
    """Counts of causes by window of time.

    Attributes
    ----------
    windows : dict of float to Counter
        Counts by the start of the window, in seconds since the first line.
    probes : Counter
        Probes that a choice was made from, by the start of the window.
    spare_slots : Counter
        Slots that servers had to spare, summed over the refusals for want of a slot,
        by the start of the window.
    """

    windows: dict[float, Counter[Cause]]
    probes: Counter[float]
    spare_slots: Counter[float]

    def count_all(self) -> Counter[Cause]:
        """Return the counts of all windows together."""
        return sum(self.windows.values(), Counter())

    def compute_spare_slots(self, window: float) -> float:
        """Return the mean of the slots to spare at refusals for want of a slot."""
        refusals = self.windows[window][Cause.REFUSED_UNPLACED]
        return self.spare_slots[window] / max(1, refusals)


def parse_told_load(text: str) -> ToldLoad | None:
    """Return the load of a log line, or None when the server had told none."""
    match = _LOAD.match(text)
    if match is None:
        return None
    running, waiting, slots, slowness = match.groups()
    return ToldLoad(float(running) + int(waiting), int(slots), float(slowness))


def build_ledger(lines: Iterable[LogLine], window_s: float) -> Ledger:
    """Return what became of the requests of some log lines."""
    decisions = [
        (datetime.fromisoformat(line.time).timestamp(), line.request)
        for line in lines
        if line.request is not None
    ]
    decisions.sort(key=lambda decision: decision[0])
    start_s = decisions[0][0] if decisions else 0.0
    servers = _collect_use(decisions)
    ledger = Ledger(defaultdict(Counter), Counter(), Counter())
    for at_s, request in decisions:
        window = (at_s - start_s) // window_s * window_s
        cause = find_cause(request)
        ledger.windows[window][cause] += 1
        ledger.probes[window] += request.asked
        if cause is Cause.REFUSED_UNPLACED:
            ledger.spare_slots[window] += sum(
                use.count_spare_slots(at_s)
                for use in servers.values()
                if use.service == request.service
            )
    return ledger


def find_cause(request: RequestDecision) -> Cause:
    """Return what became of a request, and why."""
    if request.status == 0:
        return Cause.GONE
    if STATUS_SUCCESS_MIN <= request.status <= STATUS_SUCCESS_MAX:
        return _find_success_cause(request)
    if request.status == STATUS_REFUSED:
        return _find_refusal_cause(request)
    if request.status == STATUS_UNAUTHORIZED and not request.sends:
        return Cause.REFUSED_KEY
    has_lost = any(
        send.outcome in (SendOutcome.BROKEN.value, SendOutcome.OVERDUE.value)
        for send in request.sends
    )
    return Cause.LOST if has_lost else Cause.FAILED


def format_ledger(ledger: Ledger) -> list[str]:
    """Return a table: a row for each cause that occurs, a column for each window."""
    total = ledger.count_all()
    windows = sorted(ledger.windows)
    width = max((len(cause.value) for cause in total), default=0)
    columns = "".join(f"{window:6g}" for window in windows)
    rows = [f"{'from second':{width}}{columns}   all"]
    for cause in Cause:
        if not total[cause]:
            continue
        counts = "".join(f"{ledger.windows[window][cause]:6}" for window in windows)
        rows.append(f"{cause.value:{width}}{counts}{total[cause]:6}")
    probes = "".join(f"{ledger.probes[window]:6}" for window in windows)
    rows.append(f"{'probes of choices':{width}}{probes}{ledger.probes.total():6}")
    if total[Cause.REFUSED_UNPLACED]:
        spare = "".join(
            f"{ledger.compute_spare_slots(window):6.1f}" for window in windows
        )
        rows.append(f"{'slots to spare at such refusals':{width}}{spare}")
    return rows


def _collect_use(
    decisions: list[tuple[float, RequestDecision]],
) -> dict[str, ServerUse]:
    """Return when requests ran at each server."""
    servers: dict[str, ServerUse] = {}
    for at_s, request in decisions:
        end_s = at_s
        for send in reversed(request.sends):
            begin_s = end_s - send.duration_ms / MS_PER_S
            use = servers.setdefault(send.server_id, ServerUse(request.service))
            _add_send(use, begin_s, end_s, send)
            end_s = begin_s
    for use in servers.values():
        use.begins_s.sort()
        use.ends_s.sort()
        use.told.sort()
    return servers


def _add_send(use: ServerUse, begin_s: float, end_s: float, send: SendRecord) -> None:
    """Add one send to the use of its server."""
    use.begins_s.append(begin_s)
    use.ends_s.append(end_s)
    told = parse_told_load(send.load)
    if told is not None:
        use.told.append((begin_s, told.slowness))
        use.slots = told.slots


def _find_success_cause(request: RequestDecision) -> Cause:
    """Return why an answer was late, or that it was in time."""
    if request.duration_ms <= request.objective_left_ms:
        return Cause.IN_TIME
    if request.objective_left_ms <= 0:
        return Cause.LATE_RETURNED
    if len(request.sends) > 1:
        return Cause.LATE_RESENT
    told = parse_told_load(request.sends[0].load) if request.sends else None
    if told is not None and told.slowness >= SLOW_FACTOR:
        return Cause.LATE_SLOW
    if request.waited_ms >= WAITED_SHARE * request.objective_left_ms:
        return Cause.LATE_WAITED
    if told is not None and told.busy + 1 > SPARE_SLOT_SHARE * told.slots:
        return Cause.LATE_BUSY
    return Cause.LATE_SERVER


def _find_refusal_cause(request: RequestDecision) -> Cause:
    """Return why a request was refused."""
    if request.reason == "retry budget is spent":
        return Cause.REFUSED_BUDGET
    if request.sends:
        return Cause.REFUSED_BY_SERVERS
    if request.reason != "no server can answer in time":
        return Cause.REFUSED_OTHER
    if request.objective_left_ms <= 0:
        return Cause.REFUSED_RETURNED
    return Cause.REFUSED_UNPLACED
