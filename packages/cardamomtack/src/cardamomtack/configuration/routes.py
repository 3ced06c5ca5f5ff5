"""The route table: which service and kind a request belongs to."""

from __future__ import annotations

from dataclasses import dataclass, field

from cardamomtack.generated.configuration import (
    ConfigurationDocument,
    ConfigurationException,
    KindDefaults,
    MeasuringBudget,
    ServiceDefaults,
)
from cardamomtack.util.names import find_nearest_name


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """How one service is treated on one VM, exceptions included."""

    name: str
    slots: int
    connections_max: int
    queue_max: int
    refusal_statuses: frozenset[int]


@dataclass(slots=True, frozen=True)
class KindPolicy:
    """How one kind of request is treated on one VM, exceptions included.

    Attributes
    ----------
    deadline_ms : int
        Time a caller waits when its request does not say.
    requests_per_second : float or None
        Limit for the whole fleet.
    """

    name: str
    service: ServicePolicy
    idempotent: bool
    deadline_ms: int
    weight: float
    priority: int
    key_time_required: bool
    attempts_max: int
    retry_budget_share: float
    hedge_enabled: bool
    hedge_delay_ms_min: int
    requests_per_second: float | None


@dataclass(slots=True, frozen=True)
class Unroutable:
    """Why a request has no route.

    Attributes
    ----------
    noun : str
        What is unknown: "service" or "kind".
    name : str
        The name that the caller gave.
    nearest : str or None
        The nearest known name.
    """

    noun: str
    name: str
    nearest: str | None


@dataclass(slots=True)
class _PathNode:
    """One segment of the path templates of a service and method."""

    literals: dict[str, _PathNode] = field(default_factory=dict)
    wildcard: _PathNode | None = None
    kind: tuple[int, KindPolicy] | None = None


def select_exceptions(
    document: ConfigurationDocument, vm_id: str, service: str, kind: str | None
) -> list[ConfigurationException]:
    """Return the exceptions that apply, in the order of the document."""
    selected = []
    for exception in document.exceptions:
        if exception.service not in (None, service):
            continue
        if exception.kind not in (None, kind):
            continue
        if exception.vm not in (None, vm_id):
            continue
        selected.append(exception)
    return selected


def _apply_service(
    name: str, defaults: ServiceDefaults, exceptions: list[ConfigurationException]
) -> ServicePolicy:
    """Return the policy of a service."""
    slots = defaults.slots
    queue_max = defaults.queue_max
    for exception in exceptions:
        values = exception.values
        slots = values.slots if values.slots is not None else slots
        queue_max = values.queue_max if values.queue_max is not None else queue_max
    return ServicePolicy(
        name=name,
        slots=slots,
        connections_max=defaults.connections_max,
        queue_max=queue_max,
        refusal_statuses=frozenset(defaults.refusal_statuses),
    )


def _apply_kind(
    name: str,
    defaults: KindDefaults,
    service: ServicePolicy,
    exceptions: list[ConfigurationException],
) -> KindPolicy:
    """Return the policy of a kind."""
    deadline_ms = defaults.deadline_ms
    weight = defaults.weight
    priority = defaults.priority
    attempts_max = defaults.retry.attempts_max
    hedge_enabled = defaults.hedge.enabled
    requests_per_second = defaults.limit.requests_per_second
    for exception in exceptions:
        values = exception.values
        if values.deadline_ms is not None:
            deadline_ms = values.deadline_ms
        if values.weight is not None:
            weight = values.weight
        if values.priority is not None:
            priority = values.priority
        if values.retry_attempts_max is not None:
            attempts_max = values.retry_attempts_max
        if values.hedge_enabled is not None:
            hedge_enabled = values.hedge_enabled
        if values.requests_per_second is not None:
            requests_per_second = values.requests_per_second
    return KindPolicy(
        name=name,
        service=service,
        idempotent=defaults.idempotent,
        deadline_ms=deadline_ms,
        weight=weight,
        priority=priority,
        key_time_required=defaults.key_time == "required",
        attempts_max=attempts_max if defaults.idempotent else 1,
        retry_budget_share=defaults.retry.budget_share,
        hedge_enabled=hedge_enabled and defaults.idempotent,
        hedge_delay_ms_min=defaults.hedge.delay_ms_min,
        requests_per_second=requests_per_second,
    )


class RouteTable:
    """Finds the service and kind of a request.

    Parameters
    ----------
    document : ConfigurationDocument
        The configuration in force.
    vm_id : str
        The VM for which exceptions are applied.
    """

    __slots__ = (
        "_hosts",
        "_paths",
        "_templates",
        "drained",
        "kinds",
        "measuring_budget",
        "services",
        "slots_by_vm",
    )

    def __init__(self, document: ConfigurationDocument, vm_id: str) -> None:
        self.measuring_budget: MeasuringBudget = document.measuring_budget
        self.services = {
            name: _apply_service(
                name, defaults, select_exceptions(document, vm_id, name, None)
            )
            for name, defaults in document.services.items()
        }
        self.drained = {
            exception.vm: exception.reason
            for exception in document.exceptions
            if exception.vm is not None and exception.values.drained
        }
        self.slots_by_vm = {
            exception.vm: exception.values.slots
            for exception in document.exceptions
            if exception.vm is not None and exception.values.slots is not None
        }
        self._hosts = {
            host.lower(): name
            for name, defaults in document.services.items()
            for host in defaults.hosts
        }
        self._paths: dict[tuple[str, str], _PathNode] = {}
        self._templates: dict[str, dict[str, str]] = {}
        self.kinds: dict[str, KindPolicy] = {}
        for order, (name, kind) in enumerate(document.kinds.items()):
            exceptions = select_exceptions(document, vm_id, kind.service, name)
            service = self.services[kind.service]
            policy = _apply_kind(name, kind, service, exceptions)
            self.kinds[name] = policy
            self._add_path(kind, order, policy)

    def find_kind(self, host: str, method: str, path: str) -> KindPolicy | Unroutable:
        """Return the policy of a request, or what is unknown about it."""
        name = self._hosts.get(host.lower().partition(":")[0])
        if name is None:
            return Unroutable("service", host, find_nearest_name(host, self._hosts))
        root = self._paths.get((name, method))
        segments = path.partition("?")[0].split("/")[1:]
        found = _search_path(root, segments) if root is not None else None
        if found is not None:
            return found[1]
        nearest = self._find_nearest_kind(name, f"{method} {path}")
        return Unroutable("kind", f"{method} {path}", nearest)

    def _find_nearest_kind(self, service: str, wanted: str) -> str | None:
        """Return the kind whose method and path are most like the wanted ones."""
        templates = self._templates.get(service, {})
        nearest = find_nearest_name(wanted, templates)
        return f"{templates[nearest]} ({nearest})" if nearest else None

    def _add_path(self, kind: KindDefaults, order: int, policy: KindPolicy) -> None:
        """Add the path template of a kind."""
        template = f"{kind.match.method} {kind.match.path}"
        self._templates.setdefault(kind.service, {})[template] = policy.name
        node = self._paths.setdefault((kind.service, kind.match.method), _PathNode())
        for segment in kind.match.path.split("/")[1:]:
            if segment.startswith("{") and segment.endswith("}"):
                node.wildcard = node.wildcard or _PathNode()
                node = node.wildcard
            else:
                node = node.literals.setdefault(segment, _PathNode())
        node.kind = node.kind or (order, policy)


def _search_path(node: _PathNode, segments: list[str]) -> tuple[int, KindPolicy] | None:
    """Return the first kind, in the order of the document, that matches."""
    for index, segment in enumerate(segments):
        literal = node.literals.get(segment)
        if literal is not None and node.wildcard is not None:
            rest = segments[index + 1 :]
            found = [_search_path(literal, rest), _search_path(node.wildcard, rest)]
            matches = [match for match in found if match is not None]
            return min(matches, default=None, key=lambda match: match[0])
        following = literal or node.wildcard
        if following is None:
            return None
        node = following
    return node.kind
