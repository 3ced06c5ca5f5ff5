"""What a daemon says of itself."""

from __future__ import annotations

from cardamomtack.balancing.const import SLOW_START_S
from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.balancing.server import BackendServer, ServerState
from cardamomtack.generated.status import OutcomeCount, ServerStatus, ServiceStatus
from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack_daemon.traffic.dispatcher import Dispatcher
from cardamomtack_daemon.traffic.handler import TrafficHandler
from cardamomtack_daemon.traffic.metrics import TrafficMetrics

FAILURE_SHARE_NOTABLE = 0.1
LATENCY_FACTOR_NOTABLE = 2.0


def explain_server(server: BackendServer, usual_latency_s: float, now_s: float) -> str:
    """Return why a server gets little or no work, or an empty string."""
    if server.state is ServerState.DRAINING:
        return f"leaving, learnt from {server.drain_reason}"
    if server.state is ServerState.STARTING:
        return "starting"
    if server.ejected_until_s > now_s:
        return (
            f"failed repeatedly; tried again in {server.ejected_until_s - now_s:.1f} s"
        )
    if server.failure_share > FAILURE_SHARE_NOTABLE:
        return f"{server.failure_share:.0%} of recent requests failed"
    latency_s = server.estimate_latency_s(usual_latency_s, now_s)
    if latency_s > LATENCY_FACTOR_NOTABLE * usual_latency_s:
        return f"{latency_s / usual_latency_s:.1f} times slower than its peers"
    if now_s - server.ready_since_s < SLOW_START_S:
        return "came lately, its share still grows"
    return ""


def list_servers(directory: ServerDirectory, now_s: float) -> list[ServerStatus]:
    """Return the status of every backend server."""
    statuses = []
    for server in directory.servers.values():
        usual_s = directory.find_service(server.service).usual_latency_s
        statuses.append(
            ServerStatus(
                server.vm_id,
                server.service,
                server.availability_zone,
                server.state.value,
                explain_server(server, usual_s, now_s),
                server.in_flight,
                server.slots,
                round(server.latency_s * MS_PER_S, 3),
                round(server.failure_share, 3),
            )
        )
    return statuses


def list_services(
    handler: TrafficHandler, dispatcher: Dispatcher, directory: ServerDirectory
) -> list[ServiceStatus]:
    """Return the status of every service that has had requests."""
    statuses = []
    for name, admission in handler.admissions.items():
        budget = dispatcher.find_budget(name)
        usual_s = directory.find_service(name).usual_latency_s
        statuses.append(
            ServiceStatus(
                name,
                round(admission.limit, 1),
                admission.in_flight,
                admission.waiting,
                admission.refused,
                round(usual_s * MS_PER_S, 3),
                budget.spent,
                budget.refused,
            )
        )
    return statuses


def list_counts(accounts: TrafficMetrics) -> list[OutcomeCount]:
    """Return the requests by kind and outcome."""
    return [
        OutcomeCount(count.service, count.kind, count.outcome, count.requests)
        for count in accounts.counter.list_counts({})
    ]
