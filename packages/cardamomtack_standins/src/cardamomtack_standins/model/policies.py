"""Policies of placing: the product's own, baselines, and one that knows everything."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.measuring.pacer import ProbeLimiter
from cardamomtack.placing.admission import (
    CallerTimes,
    PlacementTimes,
    ServerCapacity,
    choose_prompt_retry_after_s,
    choose_retry_after_s,
    is_good_enough,
    is_worth_placing,
)
from cardamomtack.placing.caller_wait import CallerWaitEstimator
from cardamomtack.placing.chooser import (
    PlacementChooser,
    WorkEstimates,
    assume_loads,
    build_send_conditions,
    choose_sample_size,
)
from cardamomtack.placing.server import (
    ServerView,
    ServiceView,
    compute_busy_share,
    is_near_capacity,
    is_slow_with_capacity,
)
from cardamomtack.placing.slowdown import SendConditions
from cardamomtack.placing.subset import ServerSubsets
from cardamomtack.placing.wait_queue import QueuedCall, WaitQueue
from cardamomtack.placing.zone_finds import ZoneFinds
from cardamomtack_standins.model.load import KindLoad
from cardamomtack_standins.model.server import ModelServer

UNBOUNDED_PROBES_PER_S = 1e6


@dataclass(slots=True, frozen=True)
class ModelCall:
    """One send of a caller, as a VM sees it.

    Attributes
    ----------
    number : int
        Number of the request.
    objective_at_s, deadline_at_s : float
        Monotonic times by which it should be answered, and until which its caller
        waits, in seconds.
    is_known_first : bool
        Whether the connection tells that it is a first send.
    """

    number: int
    kind: KindLoad
    objective_at_s: float
    deadline_at_s: float
    is_known_first: bool = False


@dataclass(slots=True, frozen=True)
class EndedCall:
    """A request that a server has answered or refused."""

    number: int
    kind: KindLoad
    server: int


Decision = int | float | None
"""Index of a server, after how long to come back in seconds, or None to wait."""

Decisions = list[tuple[int, int | float]]
"""What becomes of calls that have waited, by the number of the request."""


class Policy(Protocol):
    """Places the requests of one VM."""

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Return what becomes of a call."""

    def poll(self, now_s: float) -> Decisions:
        """Return what becomes of calls that wait."""

    def choose_pause_s(self, call: ModelCall, server: int, now_s: float) -> float:
        """Return when a caller comes back that a server has rejected, in seconds."""

    def note_send(self, number: int, server: int) -> None:
        """Note that a request was sent."""

    def note_end(
        self, call: EndedCall, duration_s: float | None, now_s: float
    ) -> Decisions:
        """Note that a request has ended, and return which call gets its slot.

        A request that was refused has no duration.
        """


class RandomPolicy:
    """Draws a server and refuses nothing."""

    def __init__(self, servers: list[ModelServer], random: Random) -> None:
        self._random = random
        self._servers = servers

    @property
    def waiting(self) -> int:
        """Return how many calls wait: none."""
        return 0

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Return any server."""
        return self._random.randrange(len(self._servers))

    def poll(self, now_s: float) -> Decisions:
        """Return nothing: no call waits."""
        return []

    def choose_pause_s(self, call: ModelCall, server: int, now_s: float) -> float:
        """Return that the caller comes back at once."""
        return 0.0

    def note_send(self, number: int, server: int) -> None:
        """Note nothing."""

    def note_end(
        self, call: EndedCall, duration_s: float | None, now_s: float
    ) -> Decisions:
        """Note nothing."""
        return []


class OwnInFlightPolicy(RandomPolicy):
    """Takes the server with the fewest requests of its own VM."""

    def __init__(self, servers: list[ModelServer], random: Random) -> None:
        super().__init__(servers, random)
        self._in_flight = [0] * len(servers)

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Return one of the servers with the fewest own requests."""
        least = min(self._in_flight)
        choices = [one for one, count in enumerate(self._in_flight) if count == least]
        return self._random.choice(choices)

    def note_send(self, number: int, server: int) -> None:
        """Count a request."""
        self._in_flight[server] += 1

    def note_end(
        self, call: EndedCall, duration_s: float | None, now_s: float
    ) -> Decisions:
        """Count the end of a request."""
        self._in_flight[call.server] -= 1
        return []


class OmniscientPolicy(RandomPolicy):
    """Takes the server that would finish a usual request first; the limit."""

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Return the best server by its true state."""
        costs = []
        for index, server in enumerate(self._servers):
            server.advance(now_s)
            left_s = sum(job.left_s for job in (*server.running, *server.waiting))
            busy = len(server.running) + len(server.waiting)
            wait_s = left_s / server.traits.slots if busy >= server.traits.slots else 0
            nearly = busy + 1 > server.traits.full_share * server.traits.slots
            factor = server.traits.full_factor if nearly else 1.0
            costs.append(
                ((wait_s + call.kind.work_s) * factor * server.slowness, index)
            )
        return min(costs)[1]


class _ModelQueuedCall(QueuedCall):
    """A call that waits for room."""

    __slots__ = ("call",)

    def __init__(self, call: ModelCall, work_s: float) -> None:
        kind = call.kind
        super().__init__(kind.priority, call.objective_at_s, work_s, kind.workspace)
        self.call = call


class AskingPolicy(RandomPolicy):
    """The product's own decisions, with the answers of the servers that it asks.

    Parameters
    ----------
    refuses : bool
        Whether requests may be refused; False switches that part off.
    asks : bool
        Whether servers are asked; False leaves what answers tell.
    waits : bool
        Whether calls may wait for room; False switches that part off.
    checks_per_s : float
        Health checks that this VM may send in a second.
    learns_waits : bool
        Whether it has to learn how long callers have waited; otherwise it knows.
    yields : bool
        Whether less urgent calls are turned away for urgent ones; False switches that
        part off.
    has_subset : bool
        Whether it keeps to a subset of the servers where there are many; False
        switches that part off.
    """

    def __init__(
        self,
        servers: list[ModelServer],
        random: Random,
        availability_zone: str,
        refuses: bool = True,
        asks: bool = True,
        waits: bool = True,
        checks_per_s: float = UNBOUNDED_PROBES_PER_S,
        learns_waits: bool = False,
        yields: bool = True,
        has_subset: bool = True,
    ) -> None:
        super().__init__(servers, random)
        self._asks = asks
        self._caller_waits = CallerWaitEstimator()
        self._conditions: dict[int, SendConditions] = {}
        # Read from the generator's state, so that it draws nothing.
        vm_id = str(random.getstate()[1][1])
        subsets = ServerSubsets(vm_id) if has_subset else None
        self._chooser = PlacementChooser(random, availability_zone, subsets)
        self._estimates = WorkEstimates()
        self._learns_waits = learns_waits
        self._line = WaitQueue()
        self._pacer = ProbeLimiter()
        self._pacer.apply_bounds(checks_per_s, 1, 1)
        self._refuses = refuses
        self.service = ServiceView("model")
        self._waits = waits
        self._yields = yields
        self.asked = 0
        self.finds = ZoneFinds()
        for index, server in enumerate(servers):
            entry = ServerEntry(
                str(index),
                "model",
                "",
                0,
                server.availability_zone,
                server.traits.slots,
                False,
                0.0,
                0,
            )
            view = ServerView(entry, 0.0, self.service.slowdown_estimates)
            self.service.add_member(view)

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self._line)

    def place(self, call: ModelCall, now_s: float) -> Decision:
        """Ask servers in turn and place, refuse or keep by what they tell."""
        if self._learns_waits:
            call = self._estimate_objective(call, now_s)
        self._chooser.record_request(self.service, now_s)
        if not self._admits(call, now_s):
            return self._refuse(call, now_s)
        if len(self._line):
            return self._keep(call, now_s)
        best = self._find_best(call, now_s)
        if best is None:
            return self._keep(call, now_s)
        if not self._refuses or self._is_worth_it(best, call, now_s):
            self._line.record_placed(self._rank(call), now_s)
            return int(best.vm_id)
        return self._keep(call, now_s)

    def poll(self, now_s: float) -> Decisions:
        """Ask a few servers for the calls that wait, and give up those too late."""
        decisions: Decisions = []
        for queued in self._line.list_calls():
            if (
                isinstance(queued, _ModelQueuedCall)
                and queued.latest_start_at_s <= now_s
            ):
                self._line.remove(queued)
                decisions.append((queued.call.number, self._refuse(queued.call, now_s)))
        if len(self._line):
            for is_own_zone, size in self.finds.list_polls():
                for view in self._chooser.sample_servers(
                    self.service, set(), is_own_zone, now_s, size
                ):
                    if self._ask(view, now_s):
                        decisions += self._offer(view, now_s)
        return decisions

    def choose_pause_s(self, call: ModelCall, server: int, now_s: float) -> float:
        """Return when a caller comes back that a server has rejected, in seconds."""
        if is_near_capacity(self.service.members[server]):
            return self._refuse(call, now_s)
        return choose_prompt_retry_after_s(self._random)

    def note_send(self, number: int, server: int) -> None:
        """Count a request, and note what its server had told."""
        view = self.service.members[server]
        self._conditions[number] = build_send_conditions(view)
        view.record_send()

    def note_end(
        self, call: EndedCall, duration_s: float | None, now_s: float
    ) -> Decisions:
        """Learn from the end of a request, and hand its slot on."""
        view = self.service.members[call.server]
        view.record_end()
        conditions = self._conditions.pop(call.number)
        if duration_s is None:
            view.record_rejection()
            if not is_near_capacity(view):
                view.record_soft_failure(now_s)
            return []
        self._estimates.record_answer(
            call.kind.route_name, duration_s, conditions, view.slowdown_estimates
        )
        report = self._servers[call.server].write_answer_report()
        view.record_answer_report(report, now_s)
        self._line.record_freed_slot(now_s)
        decisions = self._offer(view, now_s)
        if not decisions:
            self.service.add_answered(view)
        return decisions

    def _admits(self, call: ModelCall, now_s: float) -> bool:
        """Return whether a call is placed beside more urgent ones, and count it."""
        share = self._line.record_call(self._rank(call), now_s)
        return not self._yields or self._chooser.draw(share)

    def _rank(self, call: ModelCall) -> _ModelQueuedCall:
        """Return what decides about the order of a call."""
        return _ModelQueuedCall(call, self._estimate_work_s(call))

    def _find_best(self, call: ModelCall, now_s: float) -> ServerView | None:
        """Return a server that has just answered, or the best of the probed ones."""
        for view in self.service.list_fresh(now_s):
            if self._is_enough(view, call, now_s):
                return view
        probed: list[ServerView] = []
        for is_own_zone in (True, False):
            for view in self._sample(call, is_own_zone, now_s):
                if not self._ask(view, now_s):
                    return self._choose_unasked(call, now_s)
                probed.append(view)
                if self._is_enough(view, call, now_s):
                    return view
        with_capacity = [view for view in probed if not is_near_capacity(view)]
        work_s = self._estimate_work_s(call)
        return self._chooser.choose_server(
            self.service, with_capacity or probed, work_s, now_s
        )

    def _sample(
        self, call: ModelCall, is_own_zone: bool, now_s: float
    ) -> list[ServerView]:
        """Return servers to ask."""
        size = choose_sample_size(
            self._pacer.compute_remaining_share(now_s),
            is_own_zone,
            self._line.is_overloaded(now_s),
            call.objective_at_s <= now_s,
        )
        return self._chooser.sample_servers(
            self.service, set(), is_own_zone, now_s, size
        )

    def _ask(self, view: ServerView, now_s: float) -> bool:
        """Ask a server for its load, and return whether that was allowed."""
        if not self._asks:
            return True
        if not self._pacer.grant_probes(1, now_s):
            return False
        self.asked += 1
        report = self._servers[int(view.vm_id)].write_report()
        self.service.record_report(report)
        view.record_report(report, now_s)
        is_own_zone = self._chooser.is_own_zone(view)
        self.finds.record_probe(is_own_zone, not is_near_capacity(view))
        return True

    def _is_enough(self, view: ServerView, call: ModelCall, now_s: float) -> bool:
        """Return whether no other server needs to be asked."""
        if not self._is_worth_it(view, call, now_s):
            return False
        left_s = call.objective_at_s - now_s
        work_s = self._estimate_work_s(call)
        cost_s = self._chooser.estimate_cost_s(self.service, view, work_s, now_s)
        return left_s <= 0 or is_good_enough(cost_s, left_s)

    def _is_worth_it(self, view: ServerView, call: ModelCall, now_s: float) -> bool:
        """Return whether a call is sent to a server."""
        room = ServerCapacity(compute_busy_share(view), not is_near_capacity(view))
        times = self._find_times(view, call, now_s)
        if is_worth_placing(times, room, self._line.is_overloaded(now_s)):
            return True
        return is_slow_with_capacity(view) and view.slowdown_estimates.is_trial_due()

    def _estimate_work_s(self, call: ModelCall) -> float:
        """Return the work of a call, in seconds."""
        kind = call.kind
        return self._estimates.estimate_work_s(kind.route_name, kind.objective_s)

    def _find_times(
        self, view: ServerView, call: ModelCall, now_s: float
    ) -> PlacementTimes:
        """Return the times that decide whether a call goes to a server."""
        work_s = self._estimate_work_s(call)
        return PlacementTimes(
            self._chooser.estimate_s(view, work_s, now_s),
            work_s,
            call.objective_at_s - now_s,
            call.deadline_at_s - now_s,
        )

    def _estimate_objective(self, call: ModelCall, now_s: float) -> ModelCall:
        """Return a call with the objective that its deadline lets suppose."""
        kind = call.kind
        left_s = call.deadline_at_s - now_s
        waited_s = 0.0
        if call.is_known_first:
            self._caller_waits.record_first_send(kind.route_name, left_s)
        else:
            waited_s = self._caller_waits.estimate_waited_s(
                kind.route_name, left_s, False
            )
        return replace(call, objective_at_s=now_s + kind.objective_s - waited_s)

    def _keep(self, call: ModelCall, now_s: float) -> Decision:
        """Let a call wait, or send it back."""
        self._chooser.record_shortage(self.service, now_s)
        queued = self._rank(call)
        if self._waits and self._line.enqueue(queued, now_s):
            return None
        return self._refuse(call, now_s)

    def _refuse(self, call: ModelCall, now_s: float) -> float:
        """Return after how long a call that found no capacity is to come back."""
        times = CallerTimes(
            call.kind.objective_s,
            call.objective_at_s - now_s,
            call.deadline_at_s - now_s,
        )
        return choose_retry_after_s(times, self._random)

    def _offer(self, view: ServerView, now_s: float) -> Decisions:
        """Give room that has come free to the call that goes first."""
        if is_near_capacity(view):
            return []

        def is_fit(waiting: QueuedCall) -> bool:
            assert isinstance(waiting, _ModelQueuedCall)
            is_in_time = self._find_times(view, waiting.call, now_s).is_in_time
            return is_in_time and not is_near_capacity(view)

        chosen = self._line.choose_call(is_fit, now_s)
        if not isinstance(chosen, _ModelQueuedCall):
            return []
        self._line.remove(chosen)
        return [(chosen.call.number, int(view.vm_id))]

    def _choose_unasked(self, call: ModelCall, now_s: float) -> ServerView | None:
        """Return a server by what is known without asking."""
        sample = self._chooser.sample_servers(self.service, set(), True, now_s)
        sample += self._chooser.sample_servers(self.service, set(), False, now_s)
        assume_loads(self.service, sample, now_s)
        work_s = self._estimate_work_s(call)
        return self._chooser.choose_server(self.service, sample, work_s, now_s)
