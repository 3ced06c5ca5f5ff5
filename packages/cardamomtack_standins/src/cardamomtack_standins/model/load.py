"""Loads that are played: kinds of requests, their rates and their callers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from cardamomtack.workspaces.policy import Workspace


@dataclass(slots=True, frozen=True)
class KindLoad:
    """One kind of request.

    Attributes
    ----------
    work_s : float
        Mean work on an idle server, in seconds.
    objective_s, deadline_s : float
        Latency objective, and how long callers wait, in seconds.
    credit, late_credit : float
        What an answer is worth within the objective, and later.
    spread : float
        Deviation of the work from its mean, as a share of it.
    sends_max : int
        How often a caller sends a request that is refused.
    deadline_spread : float
        Share by which the deadlines of callers may be shorter.
    route : str
        Route whose work is learnt from it; empty for one of its own.
    workspace : Workspace or None
        Whose callers send it.
    bursts : tuple of (float, float, float)
        Bursts of this kind alone, in place of those of the plan.
    """

    name: str
    requests_per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    priority: int
    credit: float = 1.0
    late_credit: float = 0.1
    spread: float = 0.3
    sends_max: int = 2
    deadline_spread: float = 0.0
    route: str = ""
    workspace: Workspace | None = None
    bursts: tuple[tuple[float, float, float], ...] = ()

    @property
    def route_name(self) -> str:
        """Return the name of its route."""
        return self.route or self.name


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """What arrives over a time.

    Attributes
    ----------
    bursts : tuple of (float, float, float)
        Start, end and factor of times with more requests, in seconds.
    """

    kinds: tuple[KindLoad, ...]
    length_s: float
    bursts: tuple[tuple[float, float, float], ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a caller; its work is known to the model alone."""

    at_s: float
    kind: KindLoad
    work_s: float
    deadline_s: float


def plan_desk(
    length_s: float = 20.0, bursts: tuple[tuple[float, float, float], ...] = ()
) -> LoadPlan:
    """Return the load of the users' first service, for 14 servers of 6 slots."""
    lookup = KindLoad("lookup", 53.0, 0.22, 0.6, 1.5, 2)
    booking = KindLoad("booking", 24.0, 0.29, 0.8, 2.0, 1, 2.0, 0.2)
    return LoadPlan((lookup, booking), length_s, bursts)


def plan_short_work(
    length_s: float = 20.0, bursts: tuple[tuple[float, float, float], ...] = ()
) -> LoadPlan:
    """Return a load of short requests and many callers, for 27 servers of 6 slots."""
    lookup = KindLoad("lookup", 266.0, 0.098, 0.3, 2.0, 2, 1.0, 0.1, 0.3, 3, 0.15)
    decision = KindLoad("decision", 80.0, 0.13, 0.4, 2.5, 1, 2.0, 0.2, 0.3, 3, 0.15)
    return LoadPlan((lookup, decision), length_s, bursts)


def list_arrivals(plan: LoadPlan, random: Random) -> Iterator[Arrival]:
    """Return the requests of a plan in the order in which they arrive."""
    arrivals: list[Arrival] = []
    for kind in plan.kinds:
        now_s = 0.0
        bursts = kind.bursts or plan.bursts
        peak = max((factor for _, _, factor in bursts), default=1.0)
        rate = kind.requests_per_s * max(1.0, peak)
        while True:
            now_s += random.expovariate(rate)
            if now_s >= plan.length_s:
                break
            factor = _find_factor(bursts, now_s)
            if random.random() < factor / max(1.0, peak):
                spread = exp(random.gauss(-(kind.spread**2) / 2, kind.spread))
                deadline_s = kind.deadline_s
                if kind.deadline_spread:
                    deadline_s *= 1.0 - random.random() * kind.deadline_spread
                arrivals.append(Arrival(now_s, kind, kind.work_s * spread, deadline_s))
    return iter(sorted(arrivals, key=lambda one: one.at_s))


def _find_factor(bursts: tuple[tuple[float, float, float], ...], now_s: float) -> float:
    """Return how many times as many requests as usual arrive."""
    for start_s, end_s, factor in bursts:
        if start_s <= now_s < end_s:
            return factor
    return 1.0
