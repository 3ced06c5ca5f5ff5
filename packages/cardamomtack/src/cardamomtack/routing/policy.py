"""What operators say about routes, services and callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cardamomtack.workspaces.policy import WorkspaceKeys


class Repeatability(Enum):
    """How often a request of a kind may run."""

    IDEMPOTENT = "idempotent"
    ONCE_PER_SEND = "at most once per send"
    ONCE_PER_KEY = "at most once per key"


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class RoutePolicy:
    """How the requests of one route are treated.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    parts : tuple of WeightedService
        Where requests go; their shares follow the weights.
    attempts_max : int
        Most backend servers that one send of a caller may be passed on to.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    objective_s : float
        Latency objective, in seconds.
    priority : int
        0 is the most urgent.
    fault : str or None
        Why its requests can't be served, in words; None when they can.
    is_public : bool
        Whether its requests need no key of a workspace.
    full_prefix : str
        Host and path prefix, which no other route of a version has; routes of several
        hosts may have one name.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[WeightedService, ...]
    repeatability: Repeatability
    attempts_max: int
    timeout_s: float
    objective_s: float
    priority: int
    fault: str | None = None
    is_public: bool = False
    full_prefix: str = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Put host and path prefix together."""
        full_prefix = f"{self.host.lower()}{self.path_prefix}"
        object.__setattr__(self, "full_prefix", full_prefix)

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class BackendService:
    """A service of backend servers.

    Attributes
    ----------
    health_path : str
        Path of its health check.
    connections_max : int
        Connections that one server accepts from all callers together.
    warm_up_rate_per_s : float or None
        Requests a second that a server takes from all VMs together while it warms up;
        None for no such limit.
    """

    name: str
    health_path: str
    connections_max: int
    warm_up_rate_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds of what a caller may send, and of how long it may take."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One version of the configuration of the whole fleet.

    Attributes
    ----------
    version : int
        Grows with every accepted change, in uneven steps.
    limits : CallerLimits or None
        None when the version names none to use; those before stay in force.
    findings : tuple of str
        What is not known or can't be used in this version, each with its place.
    workspaces : WorkspaceKeys or None
        The workspaces of callers; None where the deployment has none.
    """

    version: int
    routes: tuple[RoutePolicy, ...]
    services: dict[str, BackendService]
    limits: CallerLimits | None
    findings: tuple[str, ...] = ()
    workspaces: WorkspaceKeys | None = None
