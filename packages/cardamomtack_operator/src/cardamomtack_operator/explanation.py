"""Explains which default and which exceptions apply to a request."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct, structs

from cardamomtack.configuration.routes import (
    KindPolicy,
    RouteTable,
    Unroutable,
    select_exceptions,
)
from cardamomtack.generated.configuration import ConfigurationDocument


@dataclass(slots=True, frozen=True)
class AppliedException:
    """An exception that applies, and the values that differ by it."""

    reason: str
    values: Struct


@dataclass(slots=True, frozen=True)
class Explanation:
    """How a request is treated.

    Attributes
    ----------
    policy : KindPolicy
        All values in force, exceptions included.
    exceptions : list of AppliedException
        The exceptions that apply, later ones last.
    """

    policy: KindPolicy
    exceptions: list[AppliedException]


def explain_request(
    document: ConfigurationDocument, vm_id: str, service: str, method: str, path: str
) -> Explanation | Unroutable:
    """Return how a request is treated on a VM, or what is unknown about it."""
    routes = RouteTable(document, vm_id)
    hosts = document.services[service].hosts if service in document.services else []
    host = hosts[0] if hosts else service
    policy = routes.find_kind(host, method, path)
    if isinstance(policy, Unroutable):
        return policy
    exceptions = select_exceptions(document, vm_id, policy.service.name, policy.name)
    applied = [
        AppliedException(exception.reason, exception.values) for exception in exceptions
    ]
    return Explanation(policy, applied)


def list_values(values: Struct) -> list[tuple[str, object]]:
    """Return the values that an exception gives."""
    return [
        (name, value)
        for name, value in structs.asdict(values).items()
        if value is not None
    ]
