"""The store of a test, in memory, and the configuration in it."""

from __future__ import annotations

from math import inf

import anyio

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.replicas.topic import START_NEWEST
from cardamomtack.routing.policy import (
    BackendService,
    CallerLimits,
    FleetConfiguration,
    Repeatability,
    RoutePolicy,
    WeightedService,
)
from cardamomtack.workspaces.directory import (
    KeyDigester,
    WorkspaceDirectory,
    WorkspaceEntry,
)
from cardamomtack.workspaces.policy import Workspace, WorkspaceKeys
from cardamomtack_daemon.replicas.source import RecordsDeletedError, StoreError
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.servers import SERVICE


class MemoryLog:
    """The records of a topic, as all VMs of a test find them.

    Attributes
    ----------
    history : int
        Grows each time that the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.history = 1
        self.records: list[TopicRecord] = []

    def restore(self, records: list[TopicRecord]) -> None:
        """Go back to a copy."""
        self.records = list(records)
        self.history += 1


class MemoryTopic:
    """A topic that a test writes.

    Attributes
    ----------
    log : MemoryLog
        Its records; several VMs may share them.
    is_out : bool
        Whether reads fail at once.
    is_silent : bool
        Whether reads get no answer.
    latency_s : float
        How long a read takes beside its transfer, in seconds.
    link_bytes_per_s : float
        Bandwidth over which this VM reads.
    """

    def __init__(self, topic: str) -> None:
        self.topic = topic
        self.log = MemoryLog()
        self.is_out = False
        self.is_silent = False
        self.latency_s = 0.0
        self.link_bytes_per_s = inf
        self.reads = 0
        self.changed = anyio.Event()

    def write(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append(TopicRecord(len(self.records), key, value))
        self.changed.set()
        self.changed = anyio.Event()

    @property
    def records(self) -> list[TopicRecord]:
        """Return the records of now."""
        return self.log.records

    async def async_read_newest(self, timeout_s: float) -> TopicRecords:
        await self._async_begin(timeout_s)
        newest = {record.key: record for record in self.records}
        records = [record for record in newest.values() if record.value]
        await self._async_transfer(records)
        return TopicRecords(
            self.topic, START_NEWEST, len(self.records), records, self.log.history
        )

    async def async_read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> TopicRecords:
        await self._async_begin(wait_s + timeout_s)
        if offset > len(self.records):
            raise RecordsDeletedError("gone")
        if offset >= len(self.records) and wait_s > 0:
            with anyio.move_on_after(wait_s):
                await self.changed.wait()
        page = TopicRecords(
            self.topic,
            offset,
            len(self.records),
            self.records[offset:],
            self.log.history,
        )
        await self._async_transfer(page.records)
        return page

    def close(self) -> None:
        """Keep nothing."""

    async def _async_transfer(self, records: list[TopicRecord]) -> None:
        size = sum(len(record.value) for record in records)
        await anyio.sleep(size / self.link_bytes_per_s)

    async def _async_begin(self, timeout_s: float) -> None:
        self.reads += 1
        await anyio.sleep(self.latency_s)
        if self.is_out:
            raise StoreError("out")
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise StoreError("silent")


class MemoryMembers:
    """The records of the VMs.

    Attributes
    ----------
    calls : int
        Reads and writes of this VM.
    is_out : bool
        Whether calls fail at once.
    is_silent : bool
        Whether writes get no answer.
    latency_s : float
        How long a call takes, in seconds.
    """

    def __init__(self, shared: MemoryMembers | None = None) -> None:
        self.calls = 0
        self.records: dict[str, bytes] = shared.records if shared else {}
        self.is_out = False
        self.is_silent = False
        self.latency_s = 0.0

    async def _async_begin(self) -> None:
        self.calls += 1
        await anyio.sleep(self.latency_s)
        if self.is_out:
            raise StoreError("out")

    async def async_read_members(self, timeout_s: float) -> list[bytes]:
        await self._async_begin()
        return [record for record in self.records.values() if record]

    async def async_write_member(
        self, vm_id: str, record: bytes, timeout_s: float
    ) -> None:
        await self._async_begin()
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise StoreError("silent")
        self.records[vm_id] = record


class VersionOrder:
    """The order of configurations of a test."""

    def __init__(self, codec: MemoryCodec) -> None:
        self.keeps_absent = True
        self._codec = codec

    def read_order(self, record: TopicRecord) -> tuple[int, ...] | None:
        configuration = self._codec.decode_configuration(record)
        return None if configuration is None else (configuration.version,)


class EntryOrder:
    """The order of entries of a test: the incarnation, and when they were written."""

    def __init__(self, codec: MemoryCodec) -> None:
        self.keeps_absent = False
        self._codec = codec

    def read_order(self, record: TopicRecord) -> tuple[int, ...] | None:
        entry = self._codec.decode_entry(record)
        return None if entry is None else (entry.incarnation, int(record.value))


class MemoryCodec:
    """Finds the objects that stand behind the records of a test.

    Attributes
    ----------
    padding : bytes
        Makes the records of configurations as long as real ones.
    """

    def __init__(self) -> None:
        self.objects: dict[bytes, object] = {}
        self.padding = b""

    def encode(self, value: object) -> bytes:
        """Return the record of an object."""
        name = str(len(self.objects)).encode()
        if isinstance(value, FleetConfiguration) and self.padding:
            name += b"," + self.padding
        self.objects[name] = value
        return name

    def decode_configuration(self, record: TopicRecord) -> FleetConfiguration | None:
        return self.objects.get(record.value)  # type: ignore[return-value]

    def decode_entry(self, record: TopicRecord) -> ServerEntry | None:
        return self.objects.get(record.value)  # type: ignore[return-value]

    def decode_evacuation(self, record: TopicRecord) -> str | None:
        prefix, _, zone = record.key.partition("/")
        return zone if prefix == "evacuate" else None


def make_route(name: str, kind: Repeatability, **changes: object) -> RoutePolicy:
    """Return a route whose prefix is its name."""
    values: dict[str, object] = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "parts": (WeightedService(SERVICE, 1.0),),
        "repeatability": kind,
        "attempts_max": 2,
        "timeout_s": 2.0,
        "objective_s": 1.0,
        "priority": 1,
    }
    return RoutePolicy(**{**values, **changes})  # type: ignore[arg-type]


ROUTES = (
    make_route("read", Repeatability.IDEMPOTENT),
    make_route("book", Repeatability.ONCE_PER_SEND),
)


def make_configuration(
    version: int = 1,
    routes: tuple[RoutePolicy, ...] = ROUTES,
    body_bytes_max: int = 100_000,
    workspaces: WorkspaceKeys | None = None,
) -> FleetConfiguration:
    """Return a configuration."""
    return FleetConfiguration(
        version,
        routes,
        {SERVICE: BackendService(SERVICE, "/health", 100)},
        CallerLimits(2000, body_bytes_max, 1.0, 5.0),
        workspaces=workspaces,
    )


def make_workspaces(**keys: list[str]) -> WorkspaceDirectory:
    """Return workspaces with their keys."""
    digester = KeyDigester(b"0123456789abcdef")
    entries = []
    for name, held in keys.items():
        digests = tuple(digester.digest_key(key.encode()) for key in held)
        entries.append(WorkspaceEntry(Workspace(name), digests))
    return WorkspaceDirectory(digester, entries)
