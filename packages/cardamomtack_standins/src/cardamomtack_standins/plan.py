"""What a fleet on loopback consists of, and the deployments of the first users."""

from __future__ import annotations

from msgspec import Struct, field, json

from cardamomtack_standins.backend import BackendBehaviour


class KindPlan(Struct):
    """A kind of request.

    Attributes
    ----------
    share : float
        Share of the load.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    deadline_ms: int
    share: float
    weight: float = 1.0
    priority: int = 5
    hedge: bool = False


class ServicePlan(Struct):
    """A service, its backend servers and its kinds."""

    name: str
    servers: int
    slots: int
    connections_max: int
    kinds: list[KindPlan]
    behaviour: BackendBehaviour = field(default_factory=BackendBehaviour)


class FleetPlan(Struct):
    """A fleet on loopback.

    Attributes
    ----------
    probes_per_second, reports_per_second, bytes_per_second : int
        Measuring budget of the whole fleet.
    """

    name: str
    entry_vms: int
    zones: list[str]
    services: list[ServicePlan]
    entry_vms_max: int = 17
    probes_per_second: int = 170
    reports_per_second: int = 34
    bytes_per_second: int = 200_000


def write_document(plan: FleetPlan) -> str:
    """Return the configuration document of a fleet."""
    services = {
        service.name: {
            "hosts": [f"{service.name}.test"],
            "slots": service.slots,
            "connections_max": service.connections_max,
            "refusal_statuses": [503],
        }
        for service in plan.services
    }
    kinds = {
        kind.name: {
            "service": service.name,
            "match": {"method": kind.method, "path": kind.path},
            "idempotent": kind.idempotent,
            "deadline_ms": kind.deadline_ms,
            "weight": kind.weight,
            "priority": kind.priority,
            "hedge": {"enabled": kind.hedge},
        }
        for service in plan.services
        for kind in service.kinds
    }
    budget = {
        "probes_per_second": plan.probes_per_second,
        "reports_per_second": plan.reports_per_second,
        "bytes_per_second": plan.bytes_per_second,
        "entry_vms_max": plan.entry_vms_max,
    }
    document = {"services": services, "kinds": kinds, "measuring_budget": budget}
    return json.format(json.encode(document)).decode()


def plan_plomien() -> FleetPlan:
    """Return the deployment of Płomień Serwis."""
    noisy = BackendBehaviour(service_ms=3.0, noise_ms=8.0, noise_factor=4.0)
    dispatch = [
        KindPlan(
            "history", "GET", "/burners/{id}/history", True, 1000, 0.8, hedge=True
        ),
        KindPlan("booking", "POST", "/bookings", False, 3000, 0.1, 5.0, 1),
    ]
    billing = [
        KindPlan("invoice", "GET", "/invoices/{id}", True, 5000, 0.05, priority=7),
        KindPlan("order", "POST", "/orders", False, 3000, 0.05, 5.0, 1),
    ]
    return FleetPlan(
        "plomien",
        13,
        ["pl-1", "pl-2", "pl-3", "pl-4"],
        [
            ServicePlan("dispatch", 14, 6, 220, dispatch, noisy),
            ServicePlan("billing", 10, 6, 220, billing, noisy),
        ],
    )


def plan_tishina() -> FleetPlan:
    """Return the deployment of Tishina Studio Systems."""
    noisy = BackendBehaviour(service_ms=3.0, noise_ms=8.0, noise_factor=4.0)
    booking = [
        KindPlan(
            "availability",
            "GET",
            "/booths/{id}/times",
            True,
            1000,
            0.75,
            hedge=True,
        ),
        KindPlan("reservation", "POST", "/reservations", False, 3000, 0.1, 5.0, 1),
    ]
    orders = [
        KindPlan("recording", "GET", "/recordings/{id}", True, 5000, 0.1, priority=3),
        KindPlan("pressing", "POST", "/orders", False, 3000, 0.05, 5.0, 1),
    ]
    return FleetPlan(
        "tishina",
        15,
        ["bg-1", "bg-2", "bg-3"],
        [
            ServicePlan("booking", 20, 3, 260, booking, noisy),
            ServicePlan("orders", 13, 3, 260, orders, noisy),
        ],
    )


def plan_small(entry_vms: int = 2) -> FleetPlan:
    """Return a small fleet: three backend servers in two services."""
    kinds = [
        KindPlan("history", "GET", "/burners/{id}/history", True, 1000, 0.9),
        KindPlan("booking", "POST", "/bookings", False, 3000, 0.1),
    ]
    invoices = [KindPlan("invoice", "GET", "/invoices/{id}", True, 1000, 0.0)]
    return FleetPlan(
        "small",
        entry_vms,
        ["zone-1", "zone-2"],
        [
            ServicePlan("dispatch", 2, 6, 220, kinds),
            ServicePlan("billing", 1, 6, 220, invoices),
        ],
    )
