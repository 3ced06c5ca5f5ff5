"""Slopes: what one more server, key, peer, service or revision costs a daemon."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random

import numpy
from msgspec import Struct, json, msgpack

from cardamomtack.accounts.counter import KindCounter
from cardamomtack.balancing.chooser import CostChooser
from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.claims.table import ClaimTable
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.generated.peer import (
    Heartbeat,
    LoadReport,
    PeerMessage,
    ServerLoad,
)
from cardamomtack.generated.records import (
    Claim,
    ClaimsRecord,
    LogRecord,
    PublishRecord,
)
from cardamomtack.generated.services import VirtualMachine
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_standins.plan import (
    KindPlan,
    ServicePlan,
    plan_small,
    write_document,
)

DECISIONS = 20_000
US_PER_S = 1e6
WARM_UP = 200


class Slope(Struct):
    """How a cost grows with a size.

    Attributes
    ----------
    sizes, values : list of float
        What was measured.
    per_unit : float
        Cost of one more, by least squares.
    fixed : float
        Cost at size 0.
    error : float
        Largest distance of a value from the fit, as a share of the largest value.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]
    per_unit: float
    fixed: float
    error: float

    def format(self) -> str:
        """Return the slope as a line for a person."""
        return (
            f"{self.name}: {self.per_unit:.4g} {self.unit} each, {self.fixed:.4g} "
            f"fixed, error {self.error:.1%}, at {self.sizes} = "
            f"{[round(value, 3) for value in self.values]}"
        )


def fit_slope(
    name: str, unit: str, sizes: list[int], measure: Callable[[int], float]
) -> Slope:
    """Measure a cost at some sizes and fit a line."""
    values = [measure(size) for size in sizes]
    per_unit, fixed = numpy.polyfit(sizes, values, 1)
    fitted = [per_unit * size + fixed for size in sizes]
    distance = max(abs(value - fit) for value, fit in zip(values, fitted, strict=True))
    return Slope(
        name,
        unit,
        [float(size) for size in sizes],
        values,
        float(per_unit),
        float(fixed),
        float(distance / max(abs(value) for value in values)),
    )


def time_each(action: Callable[[], object], count: int) -> float:
    """Return the microseconds of one action."""
    for _ in range(min(WARM_UP, count)):
        action()
    started_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - started_s) / count * US_PER_S


def weigh(build: Callable[[], object]) -> float:
    """Return the bytes that something keeps allocated."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def list_vms(count: int, services: int) -> list[VirtualMachine]:
    """Return backend servers spread over services."""
    return [
        VirtualMachine(
            f"server-{index}",
            f"service-{index % services}",
            "127.0.0.1",
            1024 + index % 60_000,
            f"zone-{index % 24}",
            "live",
        )
        for index in range(count)
    ]


def build_directory(count: int, services: int) -> ServerDirectory:
    """Return a directory of backend servers."""
    directory = ServerDirectory(SystemClock())
    directory.apply_vm_list(list_vms(count, services))
    return directory


def time_decision(count: int) -> float:
    """Return the microseconds of a choice among some servers."""
    service = build_directory(count, 1).find_service("service-0")
    chooser = CostChooser(Random(1), "zone-1")
    tried: frozenset[str] = frozenset()
    now_s = time.monotonic()
    return time_each(lambda: chooser.choose_server(service, tried, now_s), DECISIONS)


def time_vm_list(count: int) -> float:
    """Return the microseconds of taking an unchanged VM list."""
    directory = build_directory(count, max(1, count // 8))
    vms = list_vms(count, max(1, count // 8))
    return time_each(lambda: directory.apply_vm_list(vms), 3)


def time_vm_list_decoding(count: int) -> float:
    """Return the microseconds of decoding the VM list."""
    data = json.encode(list_vms(count, max(1, count // 8)))
    return time_each(lambda: json.decode(data, type=list[VirtualMachine]), 5)


def build_claims(count: int) -> ClaimTable:
    """Return a table of claims."""
    table = ClaimTable()
    for offset in range(count):
        digest = offset.to_bytes(16, "big")
        claim = Claim(bytes(digest), bytes(digest), b"r" * 16, 0)
        table.apply_record(offset, ClaimsRecord("vm", "incarnation", [claim]))
    return table


def time_claim_record(count: int) -> float:
    """Return the microseconds of folding a record with some claims."""
    claims = [
        Claim(index.to_bytes(16, "big"), index.to_bytes(16, "little"), b"r" * 16, 0)
        for index in range(count)
    ]
    data = msgpack.encode(LogRecord(claims=ClaimsRecord("vm", "incarnation", claims)))
    table = ClaimTable()
    offsets = iter(range(10**9))

    def fold() -> None:
        record = msgpack.decode(data, type=LogRecord).claims
        if record is not None:
            table.apply_record(next(offsets), record)

    return time_each(fold, 300)


def write_large_document(services: int) -> str:
    """Return a configuration document of some services with two kinds each."""
    plan = plan_small()
    plan.services = [
        ServicePlan(
            f"service-{index}",
            8,
            6,
            200,
            [
                KindPlan(f"get-{index}", "GET", "/items/{id}", True, 1000, 0.0),
                KindPlan(f"post-{index}", "POST", "/items", False, 3000, 0.0),
            ],
        )
        for index in range(services)
    ]
    return write_document(plan)


def time_revision(services: int) -> float:
    """Return the microseconds from a publish record to its route table."""
    text = write_large_document(services)
    coordinator = ConfigurationCoordinator("vm")

    def publish() -> None:
        fold = coordinator.fold
        # Every revision differs, as those of operators do.
        document = f"{text}// {fold.number}"
        record = PublishRecord("id", fold.number, "change", 0, document)
        data = msgpack.encode(LogRecord(publish=record))
        coordinator.apply_record(fold.folded_to, data)

    return time_each(publish, 2)


def weigh_revision(services: int) -> float:
    """Return the bytes of a publish record."""
    return float(len(write_large_document(services)))


def weigh_routes(services: int) -> float:
    """Return the bytes that a revision in force keeps."""
    text = write_large_document(services)

    def build() -> ConfigurationCoordinator:
        coordinator = ConfigurationCoordinator("vm")
        record = PublishRecord("id", -1, "change", 0, text)
        coordinator.apply_record(0, msgpack.encode(LogRecord(publish=record)))
        return coordinator

    return weigh(build)


def time_load_report(count: int) -> float:
    """Return the microseconds of decoding a report about some servers."""
    loads = [ServerLoad(f"server-{index}", "ready", 3, 12) for index in range(count)]
    data = msgpack.encode(PeerMessage(load=LoadReport(loads)))
    return time_each(lambda: msgpack.decode(data, type=PeerMessage), 2000)


def weigh_load_report(count: int) -> float:
    """Return the bytes of a report about some servers."""
    loads = [ServerLoad(f"server-{index}", "ready", 3, 12) for index in range(count)]
    return float(len(msgpack.encode(PeerMessage(load=LoadReport(loads)))))


def time_heartbeats(peers: int) -> float:
    """Return the microseconds of one round of heartbeats with some peers."""
    message = PeerMessage(heartbeat=Heartbeat(1, 2))
    data = msgpack.encode(message)

    def exchange() -> None:
        for _ in range(peers):
            msgpack.encode(message)
            msgpack.decode(data, type=PeerMessage)

    return time_each(exchange, 200)


def time_ranking(members: int) -> float:
    """Return the microseconds of ranking the VMs for one server."""
    names = [f"entry-{index}" for index in range(members)]
    return time_each(lambda: rank_by_rendezvous_hash("server", names), 500)


def time_count(kinds: int) -> float:
    """Return the microseconds of counting one request among some kinds."""
    counter = KindCounter()
    names = [f"kind-{index}" for index in range(kinds)]
    for name in names:
        counter.count_request("service", name, "ok")
    return time_each(lambda: counter.count_request("service", names[-1], "ok"), 100_000)


def measure_slopes() -> list[Slope]:
    """Measure all slopes."""
    servers = [1000, 8000, 23_000]
    services = [50, 200, 800]
    return [
        fit_slope("decision_by_servers", "us", [14, 100, 1000], time_decision),
        fit_slope("count_by_kinds", "us", [4, 100, 6200], time_count),
        fit_slope(
            "directory_bytes_by_servers",
            "bytes",
            servers,
            lambda size: weigh(lambda: build_directory(size, max(1, size // 8))),
        ),
        fit_slope("vm_list_by_servers", "us", servers, time_vm_list),
        fit_slope("vm_list_decoding_by_servers", "us", servers, time_vm_list_decoding),
        fit_slope(
            "vm_list_bytes_by_servers",
            "bytes",
            servers,
            lambda size: float(len(json.encode(list_vms(size, max(1, size // 8))))),
        ),
        fit_slope(
            "claims_bytes_by_keys",
            "bytes",
            [10_000, 50_000, 200_000],
            lambda size: weigh(lambda: build_claims(size)),
        ),
        fit_slope("claim_record_by_claims", "us", [1, 10, 100], time_claim_record),
        fit_slope("revision_by_services", "us", services, time_revision),
        fit_slope("revision_bytes_by_services", "bytes", services, weigh_revision),
        fit_slope("routes_bytes_by_services", "bytes", services, weigh_routes),
        fit_slope("load_report_by_servers", "us", [1, 10, 100], time_load_report),
        fit_slope(
            "load_report_bytes_by_servers", "bytes", [1, 10, 100], weigh_load_report
        ),
        fit_slope("heartbeats_by_peers", "us", [16, 100, 300], time_heartbeats),
        fit_slope("ranking_by_members", "us", [17, 100, 300], time_ranking),
    ]


def write_slopes(slopes: list[Slope], path: str) -> None:
    """Write slopes as JSON."""
    Path(path).write_bytes(json.format(json.encode(slopes)) + b"\n")
