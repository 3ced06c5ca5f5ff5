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
from cardamomtack.generated.relay import (
    Member,
    PackedRecords,
    TopicRecord,
    TopicRecords,
)
from cardamomtack.generated.services import VirtualMachine
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.replicas.replica_set import ReplicaSet
from cardamomtack.replicas.topic import START_NEWEST, TopicReplica
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_standins.plan import (
    KindPlan,
    ServicePlan,
    plan_small,
    write_document,
)

CHANGES = 40
DECISIONS = 20_000
OWN = Member("vm", "1", "zone", "10.0.0.1", 7000)
TOPIC = "configuration"
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


class RouteChange:
    """A VM, one that hears from it, and a configuration of which one route changes.

    Parameters
    ----------
    routes : int
        Routes of the configuration.
    """

    __slots__ = ("_heard", "_known", "_position", "_versions")

    def __init__(self, routes: int) -> None:
        self._versions = [describe_routes(routes, changed) for changed in (0, 1)]
        self._known = ReplicaSet([TopicReplica(TOPIC)], SystemClock())
        self._heard = ReplicaSet([TopicReplica(TOPIC)], SystemClock())
        self._position = 0
        self._publish()
        self.tell()

    def _publish(self) -> None:
        """Have the VM learn of the next version."""
        value = self._versions[self._position % 2]
        record = TopicRecord(self._position, TOPIC, value)
        self._position += 1
        page = TopicRecords(TOPIC, START_NEWEST, self._position, [record])
        self._known.apply_records(page, "store")

    def pack(self) -> PackedRecords:
        """Return what the other VM is sent of the next version."""
        subscribe = self._heard.write_subscription(OWN, False)
        self._publish()
        (feed,) = self._known.open_feeds(subscribe)
        message = feed.take()
        if message is None or message.packed is None:
            raise AssertionError("a large value is not packed")
        return message.packed

    def tell(self) -> None:
        """Have the other VM learn of the next version."""
        self._heard.apply_packed(self.pack(), "vm")


def describe_routes(routes: int, changed: int) -> bytes:
    """Return a configuration of many routes, the first of them in two forms."""
    random = Random(routes)
    paths = [
        {
            "name": f"r-{number}",
            "pathPrefix": f"/{random.getrandbits(32):08x}/",
            "kind": "idempotent",
            "timeoutS": 4.0 + (changed if number == 0 else 0),
            "sloS": 1.0,
            "priority": 2,
            "attempts": 3,
            "service": f"s-{number % 7}",
        }
        for number in range(routes)
    ]
    return json.encode({"version": f"{changed:08x}", "paths": paths})


def time_change(routes: int) -> float:
    """Return the microseconds in which a change is packed and unpacked."""
    return time_each(RouteChange(routes).tell, CHANGES)


def weigh_change(routes: int) -> float:
    """Return the bytes that a VM is sent of a change of one route."""
    change = RouteChange(routes)
    change.tell()
    return float(len(change.pack().body))


def measure_slopes() -> list[Slope]:
    """Measure all slopes."""
    routes = [100, 400, 1400, 3000, 12_000]
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
        fit_slope("change_by_routes", "us", routes, time_change),
        fit_slope("change_bytes_by_routes", "bytes", routes, weigh_change),
        fit_slope(
            "whole_bytes_by_routes",
            "bytes",
            routes,
            lambda size: float(len(describe_routes(size, 0))),
        ),
    ]


def write_slopes(slopes: list[Slope], path: str) -> None:
    """Write slopes as JSON."""
    Path(path).write_bytes(json.format(json.encode(slopes)) + b"\n")
