"""Policies of placing: the product's own, baselines, and one that knows everything."""

from __future__ import annotations

from math import inf
from random import Random
from typing import Protocol

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.measuring.pacer import CheckPacer
from cardamomtack.placing.admission import (
    PlacementTimes,
    choose_retry_after_s,
    is_good_enough,
    is_worth_placing,
)
from cardamomtack.placing.chooser import (
    PlacementChooser,
    WorkEstimates,
    assume_loads,
    choose_sample_size,
)
from cardamomtack.placing.server import ServerView, ServiceView, is_past_room
from cardamomtack_standins.model.load import KindLoad
from cardamomtack_standins.model.server import ModelServer


class Policy(Protocol):
    """Places the requests of one VM."""

    def place(
        self, kind: KindLoad, arrived_s: float, deadline_s: float, now_s: float
    ) -> int | float:
        """Return the index of a server, or after how long to come back, in seconds."""

    def note_send(self, server: int) -> None:
        """Note that a request was sent."""

    def note_end(self, server: int, kind: KindLoad, duration_s: float | None) -> None:
        """Note that a request has ended; it was refused without a duration."""


class RandomPolicy:
    """Draws a server and refuses nothing."""

    def __init__(self, servers: list[ModelServer], random: Random) -> None:
        self._random = random
        self._servers = servers

    def place(
        self, kind: KindLoad, arrived_s: float, deadline_s: float, now_s: float
    ) -> int | float:
        """Return any server."""
        return self._random.randrange(len(self._servers))

    def note_send(self, server: int) -> None:
        """Note nothing."""

    def note_end(self, server: int, kind: KindLoad, duration_s: float | None) -> None:
        """Note nothing."""


class OwnInFlightPolicy(RandomPolicy):
    """Takes the server with the fewest requests of its own VM."""

    def __init__(self, servers: list[ModelServer], random: Random) -> None:
        super().__init__(servers, random)
        self._in_flight = [0] * len(servers)

    def place(
        self, kind: KindLoad, arrived_s: float, deadline_s: float, now_s: float
    ) -> int | float:
        """Return one of the servers with the fewest own requests."""
        least = min(self._in_flight)
        choices = [one for one, count in enumerate(self._in_flight) if count == least]
        return self._random.choice(choices)

    def note_send(self, server: int) -> None:
        """Count a request."""
        self._in_flight[server] += 1

    def note_end(self, server: int, kind: KindLoad, duration_s: float | None) -> None:
        """Count the end of a request."""
        self._in_flight[server] -= 1


class OmniscientPolicy(RandomPolicy):
    """Takes the server that would finish a usual request first; the limit."""

    def place(
        self, kind: KindLoad, arrived_s: float, deadline_s: float, now_s: float
    ) -> int | float:
        """Return the best server by its true state."""
        costs = []
        for index, server in enumerate(self._servers):
            server.advance(now_s)
            left_s = sum(job.left_s for job in (*server.running, *server.waiting))
            busy = len(server.running) + len(server.waiting)
            wait_s = left_s / server.traits.slots if busy >= server.traits.slots else 0
            nearly = busy + 1 > server.traits.full_share * server.traits.slots
            factor = server.traits.full_factor if nearly else 1.0
            costs.append(((wait_s + kind.work_s) * factor * server.slowness, index))
        return min(costs)[1]


class AskingPolicy(RandomPolicy):
    """The product's own decisions, with the answers of the servers that it asks.

    Parameters
    ----------
    refuses : bool
        Whether requests may be refused; False switches that part off.
    asks : bool
        Whether servers are asked; False leaves what answers tell.
    checks_per_s : float
        Health checks that this VM may send in a second.
    """

    def __init__(
        self,
        servers: list[ModelServer],
        random: Random,
        availability_zone: str,
        refuses: bool = True,
        asks: bool = True,
        checks_per_s: float = inf,
    ) -> None:
        super().__init__(servers, random)
        self._asks = asks
        self._pacer = CheckPacer()
        self._pacer.apply_bounds(checks_per_s, 1, 1)
        self._chooser = PlacementChooser(random, availability_zone)
        self._estimates = WorkEstimates()
        self._refuses = refuses
        self._service = ServiceView("model")
        self._shares: dict[int, float] = {}
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
            self._service.members.append(ServerView(entry, 0.0))

    def place(
        self, kind: KindLoad, arrived_s: float, deadline_s: float, now_s: float
    ) -> int | float:
        """Ask a few servers and place or refuse by what they tell."""
        work_s = self._estimates.find_work_s(kind.name)
        objective_left_s = arrived_s + kind.objective_s - now_s
        asked = self._ask(True, now_s)
        best = self._chooser.choose_server(asked, work_s, now_s)
        if best is None or not is_good_enough(
            self._chooser.estimate_cost_s(best, work_s, now_s), objective_left_s
        ):
            asked += self._ask(False, now_s)
            best = self._chooser.choose_server(asked, work_s, now_s)
        if best is None:
            best = self._choose_unasked(work_s, now_s)
        if best is None:
            return choose_retry_after_s(deadline_s - now_s, self._random)
        times = PlacementTimes(
            self._chooser.estimate_s(best, work_s, now_s),
            objective_left_s,
            deadline_s - now_s,
        )
        is_placed = is_worth_placing(times, kind.priority, is_past_room(best))
        if self._refuses and not is_placed:
            return choose_retry_after_s(deadline_s - now_s, self._random)
        return int(best.vm_id)

    def note_send(self, server: int) -> None:
        """Count a request."""
        self._service.members[server].record_send()

    def note_end(self, server: int, kind: KindLoad, duration_s: float | None) -> None:
        """Learn from the end of a request."""
        view = self._service.members[server]
        view.record_end()
        if duration_s is not None:
            share = self._servers[server].factor
            self._estimates.record_answer(kind.name, duration_s, share)
            if not self._asks:
                view.record_report(self._servers[server].write_report(), 0.0)

    def _ask(self, is_own_zone: bool, now_s: float) -> list[ServerView]:
        """Return a few servers with their reports of now."""
        size = choose_sample_size(self._pacer.find_room_share(now_s))
        sample = self._chooser.sample_servers(
            self._service, set(), is_own_zone, now_s, size
        )
        if not self._asks:
            return sample
        sample = sample[: self._pacer.grant_checks(len(sample), now_s)]
        for view in sample:
            report = self._servers[int(view.vm_id)].write_report()
            self._service.record_report(report)
            view.record_report(report, now_s)
        return sample

    def _choose_unasked(self, work_s: float, now_s: float) -> ServerView | None:
        """Return a server by what is known without asking."""
        sample = self._chooser.sample_servers(self._service, set(), True, now_s)
        sample += self._chooser.sample_servers(self._service, set(), False, now_s)
        assume_loads(self._service, sample, now_s)
        return self._chooser.choose_server(sample, work_s, now_s)
