"""Splits of the requests of a route between services by weight.

This module handles routes with few requests a second on each VM, whose shares must hold
over short spans. Dealing in turn keeps every part within one request of its share on a
VM, where drawing at random strays by the square root of the number of requests.
"""

from __future__ import annotations

from random import Random

from cardamomtack.routing.policy import WeightedService


class WeightedRoundRobin:
    """Deals requests so that each part is always within one of its share.

    Parameters
    ----------
    parts : tuple of WeightedService
        Services and their weights.
    random : Random
        Picks where the turn begins, so that VMs do not begin alike.
    """

    __slots__ = ("_credits", "_total", "parts")

    def __init__(self, parts: tuple[WeightedService, ...], random: Random) -> None:
        self.parts = parts
        self._total = sum(part.weight for part in parts)
        # Credits that sum up to zero keep every part within one request of its share.
        shift = (random.random() - 0.5) * self._total
        self._credits = [0.0] * len(parts)
        self._credits[0] += shift
        self._credits[-1] -= shift

    def choose_service(self) -> str:
        """Return the service of the next request."""
        best = 0
        for index, part in enumerate(self.parts):
            self._credits[index] += part.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self.parts[best].service
