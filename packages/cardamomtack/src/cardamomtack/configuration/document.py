"""Checks of configuration documents."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import convert
from returns.result import Failure, Result, Success

from cardamomtack.generated.configuration import ConfigurationDocument
from cardamomtack.helpers.findings import Finding, describe_unknown_name
from cardamomtack.helpers.schema import join_pointer, parse_document
from cardamomtack.util.jsonc import ParsedJson

Problem = tuple[list[str | int], str, str | None]


def _check_kinds(document: ConfigurationDocument) -> Iterator[Problem]:
    """Yield the faults between kinds and services."""
    services = list(document.services)
    matches: dict[tuple[str, str, str], str] = {}
    for name, kind in document.kinds.items():
        if kind.service not in document.services:
            message, nearest = describe_unknown_name(kind.service, "service", services)
            yield ["kinds", name, "service"], message, nearest
        match = (kind.service, kind.match.method, kind.match.path)
        if match in matches:
            message = f"kind {matches[match]!r} already matches the same requests"
            yield ["kinds", name, "match"], message, None
        matches.setdefault(match, name)


def _check_hosts(document: ConfigurationDocument) -> Iterator[Problem]:
    """Yield the hosts that two services name."""
    owners: dict[str, str] = {}
    for name, service in document.services.items():
        for index, host in enumerate(service.hosts):
            owner = owners.setdefault(host.lower(), name)
            if owner != name:
                place: list[str | int] = ["services", name, "hosts", index]
                yield place, f"host {host!r} already names service {owner!r}", None


def _check_budget(document: ConfigurationDocument) -> Iterator[Problem]:
    """Yield the budgets that can't be shared among the VMs."""
    budget = document.measuring_budget
    for name in ("probes_per_second", "reports_per_second"):
        value = getattr(budget, name)
        if 0 < value < budget.entry_vms_max:
            message = (
                f"{value:g} a second can't be shared by {budget.entry_vms_max} VMs; "
                f"give 0 or at least {budget.entry_vms_max}"
            )
            yield ["measuring_budget", name], message, None


def _check_exceptions(document: ConfigurationDocument) -> Iterator[Problem]:
    """Yield the exceptions that name nothing or something unknown."""
    for index, exception in enumerate(document.exceptions):
        place: list[str | int] = ["exceptions", index]
        subjects = (exception.service, exception.kind, exception.vm)
        if all(subject is None for subject in subjects):
            yield place, "exception names no service, kind or VM", None
        service = exception.service
        if service is not None and service not in document.services:
            known = list(document.services)
            yield [*place, "service"], *describe_unknown_name(service, "service", known)
        kind = exception.kind
        if kind is not None and kind not in document.kinds:
            known = list(document.kinds)
            yield [*place, "kind"], *describe_unknown_name(kind, "kind", known)
        if exception.values.drained is not None and exception.vm is None:
            yield [*place, "values", "drained"], "only a VM can be drained", None


def check_references(
    document: ConfigurationDocument, parsed: ParsedJson, source: str
) -> list[Finding]:
    """Return the faults that a schema can't express."""
    findings = []
    for check in (_check_kinds, _check_hosts, _check_budget, _check_exceptions):
        for path, message, nearest in check(document):
            pointer = join_pointer(path)
            line = parsed.find_line(pointer)
            findings.append(Finding(source, line, pointer, message, nearest))
    return sorted(findings, key=lambda finding: finding.line)


def parse_configuration(
    text: str, source: str
) -> Result[ConfigurationDocument, list[Finding]]:
    """Return the document of a text in JSON with comments, or all its faults."""
    value, parsed, findings = parse_document(text, "configuration", source)
    if findings or parsed is None:
        return Failure(findings)
    document = convert(value, ConfigurationDocument)
    findings = check_references(document, parsed, source)
    return Failure(findings) if findings else Success(document)
