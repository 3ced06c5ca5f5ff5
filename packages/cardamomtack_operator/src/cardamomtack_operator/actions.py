"""What the operator's commands do with the fleet."""

from __future__ import annotations

import difflib
import getpass
from uuid import uuid4

from cardamomtack.accounts.counter import merge_counts
from cardamomtack.configuration.coordinator import (
    ConfigurationCoordinator,
    decode_document,
)
from cardamomtack.configuration.fold import PublishDecision
from cardamomtack.configuration.routes import Unroutable
from cardamomtack.generated.records import PublishRecord
from cardamomtack.helpers.clock import SystemClock
from cardamomtack_operator.const import EXIT_FAILURE, EXIT_OK
from cardamomtack_operator.explanation import explain_request, list_values
from cardamomtack_operator.fleet import FleetReader, VmStatus
from cardamomtack_operator.output import (
    print_error,
    print_json,
    print_table,
)
from cardamomtack_operator.publication import (
    Publisher,
    PublishOutcome,
    PublishResult,
)


async def async_publish(
    fleet: FleetReader,
    text: str,
    message: str,
    base: int | None,
    wait: bool,
    as_json: bool,
) -> int:
    """Publish a text and print how that ended."""
    if base is None:
        base = (await fleet.async_read_configuration()).fold.number
    publish = PublishRecord(
        publish_id=str(uuid4()),
        base=base,
        message=message,
        published_at_ms=SystemClock().read_epoch_ms(),
        document=text,
        author=getpass.getuser(),
    )
    publisher = Publisher(fleet)
    result = await publisher.async_publish(publish)
    if wait and result.outcome is PublishOutcome.ACCEPTED:
        await publisher.async_wait_in_force(result)
    if as_json:
        print_json(
            {
                "outcome": result.outcome.value,
                "detail": result.detail,
                "revision": result.revision,
                "winner": result.winner.number if result.winner else None,
                "in_force": result.in_force,
                "vms": len(result.statuses),
            }
        )
    else:
        _print_publish(result, text, wait)
    complete = not wait or result.in_force == len(result.statuses)
    accepted = result.outcome is PublishOutcome.ACCEPTED
    return EXIT_OK if accepted and complete else EXIT_FAILURE


def _print_publish(result: PublishResult, text: str, wait: bool) -> None:
    """Print how a publish ended."""
    if result.outcome is not PublishOutcome.ACCEPTED:
        print_error(f"{result.outcome.value}: {result.detail}")
        if result.winner is not None:
            winner = result.winner
            print_error(
                f"revision {winner.number} was published by {winner.publish.author!r}: "
                f"{winner.publish.message}"
            )
            print_error(_write_diff(winner.publish.document, text, "theirs", "yours"))
        return
    print(f"revision {result.revision} accepted")
    if not wait:
        return
    print(f"in force on {result.in_force} of {len(result.statuses)} VMs")
    for vm in result.statuses:
        if vm.status is None:
            print(f"{vm.vm.vm_id}: does not answer")
        elif result.revision is not None and vm.status.revision < result.revision:
            print(f"{vm.vm.vm_id}: still at revision {vm.status.revision}")


def _write_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the difference of two texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


def _find_publish(
    coordinator: ConfigurationCoordinator, revision: int | None
) -> tuple[int, PublishRecord] | None:
    """Return a revision that the log keeps, by default the current one."""
    current = coordinator.fold.current
    if current is not None and revision in (None, current.number):
        return current.number, current.publish
    for verdict in coordinator.fold.history:
        if verdict.number == revision and verdict.verdict is PublishDecision.ACCEPTED:
            return verdict.number, verdict.publish
    wanted = "current revision" if revision is None else f"revision {revision}"
    print_error(f"the log keeps no {wanted}")
    return None


async def async_show(fleet: FleetReader, revision: int | None, as_json: bool) -> int:
    """Print a revision."""
    found = _find_publish(await fleet.async_read_configuration(), revision)
    if found is None:
        return EXIT_FAILURE
    number, publish = found
    if as_json:
        print_json({"revision": number, "publish": publish})
    else:
        print(f"// revision {number}: {publish.message}")
        print(publish.document)
    return EXIT_OK


async def async_diff(
    fleet: FleetReader, old: int, new: int | None, as_json: bool
) -> int:
    """Print the difference of two revisions."""
    coordinator = await fleet.async_read_configuration()
    first = _find_publish(coordinator, old)
    second = _find_publish(coordinator, new)
    if first is None or second is None:
        return EXIT_FAILURE
    text = _write_diff(
        first[1].document,
        second[1].document,
        f"revision {first[0]}",
        f"revision {second[0]}",
    )
    if as_json:
        print_json({"old": first[0], "new": second[0], "diff": text})
    else:
        print(text or "no difference")
    return EXIT_OK


async def async_history(fleet: FleetReader, as_json: bool) -> int:
    """Print what was published."""
    coordinator = await fleet.async_read_configuration()
    if as_json:
        print_json(
            [
                {
                    "offset": verdict.number,
                    "base": verdict.publish.base,
                    "verdict": verdict.verdict.value,
                    "author": verdict.publish.author,
                    "message": verdict.publish.message,
                    "published_at_ms": verdict.publish.published_at_ms,
                }
                for verdict in coordinator.fold.history
            ]
        )
        return EXIT_OK
    rows = [
        [
            str(verdict.number),
            str(verdict.publish.base),
            verdict.verdict.value,
            verdict.publish.author,
            verdict.publish.message,
        ]
        for verdict in coordinator.fold.history
    ]
    print_table(["revision", "base", "verdict", "author", "message"], rows)
    return EXIT_OK


async def async_status(fleet: FleetReader, as_json: bool) -> int:
    """Print the state of every VM."""
    statuses = await fleet.async_read_statuses()
    if as_json:
        print_json([{"vm": vm.vm, "status": vm.status} for vm in statuses])
        return _judge_statuses(statuses)
    rows = []
    for vm in statuses:
        status = vm.status
        if status is None:
            rows.append([vm.vm.vm_id, "does not answer", "", "", "", "", ""])
            continue
        rows.append(
            [
                vm.vm.vm_id,
                status.state
                + (
                    ""
                    if not status.not_ready
                    else " (waits for: " + ", ".join(status.not_ready) + ")"
                ),
                str(status.revision),
                str(status.in_flight),
                f"{len(status.peers)}",
                f"{status.claims.keys}" if status.claims.is_covered else "not read",
                str(len(status.quarantined)),
            ]
        )
    titles = ["VM", "state", "revision", "in flight", "peers", "keys", "quarantined"]
    print_table(titles, rows)
    return _judge_statuses(statuses)


def _judge_statuses(statuses: list[VmStatus]) -> int:
    """Return success when every VM answers with the same revision."""
    revisions = {vm.status.revision if vm.status else None for vm in statuses}
    return EXIT_OK if len(revisions) <= 1 and None not in revisions else EXIT_FAILURE


async def async_servers(fleet: FleetReader, as_json: bool) -> int:
    """Print the backend servers as every VM sees them."""
    statuses = await fleet.async_read_statuses()
    seen = [(vm.vm.vm_id, vm.status) for vm in statuses if vm.status is not None]
    if as_json:
        print_json({vm_id: status.servers for vm_id, status in seen})
        return EXIT_OK
    rows = [
        [
            server.service,
            server.vm_id,
            vm_id,
            server.state,
            str(server.in_flight),
            f"{server.latency_ms:.1f}",
            f"{server.failure_share:.2f}",
            server.why,
        ]
        for vm_id, status in seen
        for server in status.servers
    ]
    titles = ["service", "server", "seen by", "state", "in flight", "ms", "failed"]
    print_table([*titles, "why it gets little work"], sorted(rows))
    return EXIT_OK


async def async_counts(fleet: FleetReader, as_json: bool) -> int:
    """Print the merged totals."""
    counts = merge_counts(await fleet.async_read_counts())
    if as_json:
        print_json(counts)
        return EXIT_OK
    rows = [
        [
            count.service,
            count.kind,
            count.outcome,
            str(count.requests),
            f"{count.weight:g}",
        ]
        for count in counts
    ]
    print_table(["service", "kind", "outcome", "requests", "weighted"], rows)
    return EXIT_OK


async def async_explain(
    fleet: FleetReader, service: str, method: str, path: str, vm_id: str, as_json: bool
) -> int:
    """Print how a request is treated."""
    coordinator = await fleet.async_read_configuration()
    current = coordinator.fold.current
    document = decode_document(current.publish) if current is not None else None
    if document is None:
        print_error("the log keeps no current revision")
        return EXIT_FAILURE
    explanation = explain_request(document, vm_id, service, method, path)
    if isinstance(explanation, Unroutable):
        hint = f"; did you mean {explanation.nearest!r}?" if explanation.nearest else ""
        print_error(f"unknown {explanation.noun} {explanation.name!r}{hint}")
        return EXIT_FAILURE
    if as_json:
        print_json(explanation)
        return EXIT_OK
    policy = explanation.policy
    print(f"kind {policy.name} of service {policy.service.name}")
    print(f"  idempotent: {policy.idempotent}")
    print(f"  deadline: {policy.deadline_ms} ms")
    print(f"  priority: {policy.priority}, weight: {policy.weight:g}")
    print(f"  attempts: {policy.attempts_max}, hedge: {policy.hedge_enabled}")
    print(f"  limit: {policy.requests_per_second or 'none'} requests a second")
    for applied in explanation.exceptions:
        values = ", ".join(
            f"{name}={value}" for name, value in list_values(applied.values)
        )
        print(f"  exception: {values} (reason: {applied.reason})")
    return EXIT_OK
