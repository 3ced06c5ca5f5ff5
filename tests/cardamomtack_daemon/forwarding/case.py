"""Base of the tests of forwarding: one daemon, scripted servers, and callers.

Everything runs in one event loop on loopback. The servers do what the script of a
test says, byte by byte, so that each fault of a table is exactly the one it names.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import SocketAttribute, SocketStream
from httptools import HttpRequestParser, HttpResponseParser

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.generated.relay import TopicRecord, TopicRecords
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.placing.server import LoadReport
from cardamomtack.replicas.topic import START_NEWEST
from cardamomtack.routing.policy import (
    BackendService,
    CallerLimits,
    FleetConfiguration,
    Repeatability,
    RoutePolicy,
    ServicePart,
)
from cardamomtack_daemon.forwarding.daemon import EntryDaemon, StoreSources
from cardamomtack_daemon.forwarding.names import HeaderNames
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.logs import LineWriter
from cardamomtack_daemon.replicas.source import SourceError
from cardamomtack_standins.fleet import find_free_ports

HOST = "clinic.test"
SERVICE = "desk"
ZONE = "zone-a"
STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
WAIT_S = 5.0


def parse_load(value: bytes) -> LoadReport | None:
    """Return the load of a test server."""
    running, waiting, slots = (int(figure) for figure in value.split(b","))
    return LoadReport(running, waiting, slots)


NAMES = HeaderNames(
    request_id=b"test-id",
    deadline_ms=b"test-deadline",
    target_server=b"test-target",
    signature=b"test-signature",
    not_run=b"test-not-run",
    load=b"test-load",
    server_id=b"test-server",
    parse_load=parse_load,
)


@dataclass(slots=True)
class ServerRequest:
    """A request as a scripted server got it."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class _RequestCollector:
    """Collects whole requests of a connection."""

    def __init__(self) -> None:
        self.ready: list[ServerRequest] = []
        self.parser = HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = {}
        self._body = b""

    def on_url(self, target: bytes) -> None:
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        self._body += chunk

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        self.ready.append(
            ServerRequest(method, self._target, self._headers, self._body)
        )


Script = Callable[["ScriptedServer", ServerRequest, SocketStream], Awaitable[None]]


def write_answer(
    request: ServerRequest, status: int = 200, body: bytes = b"done", **fields: str
) -> bytes:
    """Return a whole signed answer to a request."""
    headers = {"test-id": request.headers.get(b"test-id", b"").decode()}
    headers["test-signature"] = "signed"
    headers["content-length"] = str(len(body))
    headers.update({name.replace("_", "-"): value for name, value in fields.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
    return f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body


def write_not_run(status: int = 503) -> bytes:
    """Return the answer of a server that did not run a request."""
    return (
        f"HTTP/1.1 {status} X\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n".encode()
    )


async def async_answer(
    server: ScriptedServer, request: ServerRequest, stream: SocketStream
) -> None:
    """Run a request and answer it whole."""
    server.ran.append(request.headers[b"test-id"].decode())
    await stream.send(write_answer(request))


class ScriptedServer:
    """A backend server that does what a test says.

    Attributes
    ----------
    script : callable
        Answers requests other than health checks.
    load : str or None
        The load that health checks tell; None for a service that tells none.
    requests : list of ServerRequest
        What came in, health checks left out.
    ran : list of str
        Ids of the requests that ran.
    left : int
        Connections that the daemon closed while a request was under way.
    """

    def __init__(self, server_id: str, zone: str = ZONE) -> None:
        self.server_id = server_id
        self.zone = zone
        self.script: Script = async_answer
        self.load: str | None = "0,0,4"
        self.health_status = 200
        self.answers_checks = True
        self.port = 0
        self.requests: list[ServerRequest] = []
        self.ran: list[str] = []
        self.checks = 0
        self.connections = 0
        self.left = 0
        self._scope = anyio.CancelScope()

    def make_entry(self, **changes: object) -> ServerEntry:
        """Return what the server registers."""
        values: dict[str, object] = {
            "server_id": self.server_id,
            "service": SERVICE,
            "address": "127.0.0.1",
            "port": self.port,
            "availability_zone": self.zone,
            "slots": 4,
            "is_draining": False,
            "warm_up_left_s": 0.0,
            "incarnation": 1,
        }
        return ServerEntry(**{**values, **changes})  # type: ignore[arg-type]

    async def async_serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Listen until stopped."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        self.port = listener.extra(SocketAttribute.local_port)
        self._scope = anyio.CancelScope()
        with self._scope:
            async with listener:
                task_status.started()
                await listener.serve(self._async_serve_connection)

    def stop(self) -> None:
        """End the process: its listener and its connections."""
        self._scope.cancel()

    async def _async_serve_connection(self, stream: SocketStream) -> None:
        self.connections += 1
        collector = _RequestCollector()
        try:
            async with stream:
                while True:
                    while not collector.ready:
                        collector.parser.feed_data(await stream.receive())
                    await self._async_handle(collector.ready.pop(0), stream)
        except STREAM_ERRORS:
            pass

    async def _async_handle(self, request: ServerRequest, stream: SocketStream) -> None:
        if request.target != b"/health":
            self.requests.append(request)
            await self.script(self, request, stream)
            return
        self.checks += 1
        if not self.answers_checks:
            await anyio.sleep_forever()
        load = f"test-load: {self.load}\r\n" if self.load is not None else ""
        head = f"HTTP/1.1 {self.health_status} X\r\ntest-server: {self.server_id}\r\n"
        await stream.send(f"{head}{load}content-length: 0\r\n\r\n".encode())


class MemoryTopic:
    """A topic that a test writes.

    Attributes
    ----------
    is_out : bool
        Whether reads fail at once.
    is_silent : bool
        Whether reads get no answer.
    """

    def __init__(self, topic: str) -> None:
        self.topic = topic
        self.records: list[TopicRecord] = []
        self.is_out = False
        self.is_silent = False
        self.reads = 0
        self.changed = anyio.Event()

    def write(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append(TopicRecord(len(self.records), key, value))
        self.changed.set()
        self.changed = anyio.Event()

    async def async_read_newest(self, timeout_s: float) -> TopicRecords:
        await self._async_begin(timeout_s)
        newest = {record.key: record for record in self.records}
        records = [record for record in newest.values() if record.value]
        return TopicRecords(self.topic, START_NEWEST, len(self.records), records)

    async def async_read_on(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> TopicRecords:
        await self._async_begin(wait_s + timeout_s)
        if offset >= len(self.records) and wait_s > 0:
            with anyio.move_on_after(wait_s):
                await self.changed.wait()
        return TopicRecords(
            self.topic, offset, len(self.records), self.records[offset:]
        )

    def close(self) -> None:
        """Keep nothing."""

    async def _async_begin(self, timeout_s: float) -> None:
        self.reads += 1
        if self.is_out:
            raise SourceError("out")
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise SourceError("silent")


class MemoryMembers:
    """The records of the VMs."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}

    async def async_read_members(self, timeout_s: float) -> list[bytes]:
        return [record for record in self.records.values() if record]

    async def async_write_member(
        self, vm_id: str, record: bytes, timeout_s: float
    ) -> None:
        self.records[vm_id] = record


class MemoryCodec:
    """Finds the objects that stand behind the records of a test."""

    def __init__(self) -> None:
        self.objects: dict[bytes, object] = {}

    def encode(self, value: object) -> bytes:
        """Return the record of an object."""
        name = str(len(self.objects)).encode()
        self.objects[name] = value
        return name

    def decode_configuration(self, record: TopicRecord) -> FleetConfiguration | None:
        return self.objects.get(record.value)  # type: ignore[return-value]

    def decode_entry(self, record: TopicRecord) -> ServerEntry | None:
        return self.objects.get(record.value)  # type: ignore[return-value]


def make_route(name: str, kind: Repeatability, **changes: object) -> RoutePolicy:
    """Return a route whose prefix is its name."""
    values: dict[str, object] = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "parts": (ServicePart(SERVICE, 1.0),),
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
    version: int = 1, routes: tuple[RoutePolicy, ...] = ROUTES
) -> FleetConfiguration:
    """Return a configuration."""
    return FleetConfiguration(
        version,
        routes,
        {SERVICE: BackendService(SERVICE, "/health", 100)},
        CallerLimits(2000, 100_000, 1.0, 5.0),
    )


class _AnswerCollector:
    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.parser = HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk

    def on_message_complete(self) -> None:
        self.is_whole = True


@dataclass(slots=True)
class CallerAnswer:
    """What a caller got; status 0 when the connection ended before an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    duration_s: float = 0.0


class Caller:
    """One connection of a caller."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._sent = 0

    async def async_send(
        self,
        route: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
        extra: str = "",
    ) -> None:
        """Send a request."""
        method = "POST" if body else "GET"
        head = (
            f"{method} /{route}/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: {request_id}\r\n"
        )
        head += (
            f"test-deadline: {deadline_ms}\r\nContent-Length: {len(body)}\r\n{extra}"
        )
        await self.stream.send(f"{head}\r\n".encode() + body)

    async def async_receive(self) -> CallerAnswer:
        """Receive an answer, or what there is of it when the connection ends."""
        collector = _AnswerCollector()
        started_s = anyio.current_time()
        try:
            with anyio.fail_after(WAIT_S):
                while not collector.is_whole:
                    collector.parser.feed_data(await self.stream.receive())
        except STREAM_ERRORS:
            pass
        status = collector.parser.get_status_code() if collector.headers else 0
        return CallerAnswer(
            status,
            collector.headers,
            collector.body,
            collector.is_whole,
            anyio.current_time() - started_s,
        )

    async def async_call(
        self, route: str, request_id: str, body: bytes = b"", deadline_ms: int = 2000
    ) -> CallerAnswer:
        """Send a request and receive its answer."""
        await self.async_send(route, request_id, body, deadline_ms)
        return await self.async_receive()


class EntryVm:
    """One daemon with its servers, inside a test.

    Attributes
    ----------
    codec, configuration, entries : MemoryCodec and MemoryTopic
        What the daemon reads at the store.
    """

    def __init__(
        self,
        vm_id: str = "vm-1",
        store: EntryVm | None = None,
        zone: str = ZONE,
        grace_s: float = 6.0,
        writer: LineWriter | None = None,
    ) -> None:
        self.codec = store.codec if store else MemoryCodec()
        self.configuration = MemoryTopic("configuration")
        self.entries = MemoryTopic("servers")
        if store:
            self.configuration.records = store.configuration.records
            self.entries.records = store.entries.records
        self.members = store.members if store else MemoryMembers()
        port, ready_port, relay_port = find_free_ports(3)
        self.settings = EntrySettings(
            vm_id=vm_id,
            availability_zone=zone,
            address="127.0.0.1",
            port=port,
            ready_port=ready_port,
            relay_port=relay_port,
            retry_share=0.2,
            retry_slack=50.0,
            retry_window_s=10.0,
            checks_per_server_s=1000.0,
            grace_s=grace_s,
        )
        self.stopping = anyio.Event()
        sources = StoreSources(self.configuration, self.entries, self.members)
        self.daemon = EntryDaemon(
            self.settings,
            NAMES,
            self.codec,
            sources,
            SystemClock(),
            Random(1),
            writer=writer,
        )

    def publish(self, configuration: FleetConfiguration) -> None:
        """Write a configuration to the store."""
        self.configuration.write("config", self.codec.encode(configuration))

    def register(self, entry: ServerEntry) -> None:
        """Write the entry of a server to the store."""
        self.entries.write(entry.server_id, self.codec.encode(entry))

    def unregister(self, server_id: str) -> None:
        """Drop the entry of a server."""
        self.entries.write(server_id, b"")

    @asynccontextmanager
    async def open_caller(self):
        """Open a connection of a caller."""
        stream = await anyio.connect_tcp("127.0.0.1", self.settings.port)
        async with stream:
            yield Caller(stream)

    async def async_call(
        self, route: str, request_id: str, body: bytes = b"", deadline_ms: int = 2000
    ) -> CallerAnswer:
        """Call on a connection of its own."""
        async with self.open_caller() as caller:
            return await caller.async_call(route, request_id, body, deadline_ms)

    async def async_ask_ready(self) -> int:
        """Return the status that the balancer gets; 0 when nobody listens."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self.settings.ready_port)
        except OSError:
            return 0
        async with stream:
            await stream.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return (await Caller(stream).async_receive()).status

    async def async_wait_ready(self) -> None:
        """Wait until the balancer would send callers."""
        await async_wait_for(self.async_ask_ready, lambda status: status == 200)


async def async_wait_for(
    read: Callable[[], Awaitable[object]], is_right: Callable[[object], bool]
) -> None:
    """Wait until a reading is right."""
    with anyio.fail_after(WAIT_S):
        while not is_right(await read()):
            await anyio.sleep(0.02)


class ForwardingCase(unittest.TestCase):
    """Runs scenarios with one daemon and a few servers."""

    def play(
        self,
        scenario: Callable[[EntryVm, list[ScriptedServer]], Awaitable[None]],
        servers: int = 2,
        configuration: FleetConfiguration | None = None,
        prepare: Callable[[list[ScriptedServer]], None] = lambda servers: None,
        grace_s: float = 6.0,
    ) -> None:
        """Run a scenario with a daemon that is ready."""

        async def run() -> None:
            vm = EntryVm(grace_s=grace_s)
            scripted = [ScriptedServer(f"server-{number}") for number in range(servers)]
            prepare(scripted)
            async with anyio.create_task_group() as tasks:
                for server in scripted:
                    await tasks.start(server.async_serve)
                    vm.register(server.make_entry())
                vm.publish(configuration or make_configuration())
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                await scenario(vm, scripted)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})
