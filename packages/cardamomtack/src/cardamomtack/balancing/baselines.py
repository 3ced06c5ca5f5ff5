"""Plain ways to choose a backend server, against which the cost chooser is measured."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random

from cardamomtack.balancing.chooser import CostChooser, ServerChooser
from cardamomtack.balancing.directory import ServiceServers
from cardamomtack.balancing.server import BackendServer

CHOOSER_COST = "cost"
TWO = 2


def list_untried(service: ServiceServers, tried: frozenset[str]) -> list[BackendServer]:
    """Return the servers that were not tried, or all when all were."""
    untried = [server for server in service.eligible if server.vm_id not in tried]
    return untried or service.eligible


class RandomChooser:
    """Takes any server."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose_server(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> BackendServer | None:
        """Return any server, or None when there is none."""
        servers = list_untried(service, tried)
        return self._random.choice(servers) if servers else None


class RoundRobinChooser:
    """Takes one server after another."""

    __slots__ = ("_turns",)

    def __init__(self, random: Random) -> None:
        self._turns = count(random.getrandbits(16))

    def choose_server(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> BackendServer | None:
        """Return the next server, or None when there is none."""
        servers = list_untried(service, tried)
        return servers[next(self._turns) % len(servers)] if servers else None


class ScoreChooser:
    """Takes the server with the lowest score among some.

    Parameters
    ----------
    random : Random
        Breaks ties, and draws the sample.
    score : callable
        Score of a server at a time.
    sample_size : int or None
        Servers that are drawn; None for all.
    """

    __slots__ = ("_random", "_sample_size", "_score")

    def __init__(
        self,
        random: Random,
        score: Callable[[BackendServer, float], float],
        sample_size: int | None,
    ) -> None:
        self._random = random
        self._score = score
        self._sample_size = sample_size

    def choose_server(
        self, service: ServiceServers, tried: frozenset[str], now_s: float
    ) -> BackendServer | None:
        """Return the server with the lowest score, or None when there is none."""
        servers = list_untried(service, tried)
        if not servers:
            return None
        size = min(self._sample_size or len(servers), len(servers))
        sample = self._random.sample(servers, size)
        return min(sample, key=lambda server: self._score(server, now_s))


def score_in_flight(server: BackendServer, now_s: float) -> float:
    """Return the requests of this VM that a server has not answered."""
    return float(server.in_flight)


def score_reported(server: BackendServer, now_s: float) -> float:
    """Return the load that a server reported last, without discount."""
    return server.external_in_use + server.in_flight


def make_chooser(name: str, random: Random, availability_zone: str) -> ServerChooser:
    """Return the chooser of a name.

    Raises
    ------
    KeyError
        When there is no such chooser.
    """
    makers: dict[str, Callable[[], ServerChooser]] = {
        CHOOSER_COST: lambda: CostChooser(random, availability_zone),
        "random": lambda: RandomChooser(random),
        "round-robin": lambda: RoundRobinChooser(random),
        "least-in-flight": lambda: ScoreChooser(random, score_in_flight, None),
        "best-reported": lambda: ScoreChooser(random, score_reported, None),
        "two-choices": lambda: ScoreChooser(random, score_in_flight, TWO),
    }
    return makers[name]()
