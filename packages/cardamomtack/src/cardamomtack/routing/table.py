"""The routes in force: finds the route of a request and deals it to a service."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cardamomtack.routing.policy import CallerLimits, FleetConfiguration, RoutePolicy
from cardamomtack.routing.weighted_round_robin import WeightedRoundRobin


class PrefixRoutes:
    """Finds routes by host and longest path prefix, and follows the versions.

    Parameters
    ----------
    random : Random
        Starts the splits of the VMs at different places.

    Attributes
    ----------
    configuration : FleetConfiguration or None
        The version in force; None before the first.
    limits : CallerLimits or None
        The bounds of callers in force; None before the first.
    """

    __slots__ = (
        "_hosts",
        "_listeners",
        "_random",
        "_round_robins",
        "configuration",
        "limits",
    )

    def __init__(self, random: Random) -> None:
        self._hosts: dict[bytes, dict[bytes, RoutePolicy]] = {}
        self._listeners: list[Callable[[FleetConfiguration], None]] = []
        self._random = random
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self.configuration: FleetConfiguration | None = None
        self.limits: CallerLimits | None = None

    @property
    def version(self) -> int:
        """Return the version in force, or -1 before the first."""
        return self.configuration.version if self.configuration is not None else -1

    def add_listener(self, listener: Callable[[FleetConfiguration], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def apply_configuration(self, configuration: FleetConfiguration) -> bool:
        """Put a version in force unless one as new is, and return whether it was."""
        if configuration.version <= self.version:
            return False
        hosts: dict[bytes, dict[bytes, RoutePolicy]] = {}
        splits: dict[str, WeightedRoundRobin] = {}
        for route in configuration.routes:
            routes = hosts.setdefault(route.host.lower().encode(), {})
            routes[route.path_prefix.encode()] = route
            if len(route.parts) < 2:
                continue
            known = self._round_robins.get(route.full_prefix)
            if known is None or known.parts != route.parts:
                known = WeightedRoundRobin(route.parts, self._random)
            splits[route.full_prefix] = known
        self._hosts = hosts
        self._round_robins = splits
        self.configuration = configuration
        if configuration.limits is not None:
            self.limits = configuration.limits
        for listener in self._listeners:
            listener(configuration)
        return True

    def find_route(self, host: bytes, target: bytes) -> RoutePolicy | None:
        """Return the route of a request, or None when no route matches.

        Parameters
        ----------
        host : bytes
            Value of the Host header, with or without a port.
        target : bytes
            Request target: a path, with or without a query.
        """
        routes = self._hosts.get(host.partition(b":")[0].lower())
        if routes is None:
            return None
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def has_service(self, name: str) -> bool:
        """Return whether the version in force names a service."""
        return self.configuration is not None and name in self.configuration.services

    def choose_service(self, route: RoutePolicy) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        return self._round_robins[route.full_prefix].choose_service()
