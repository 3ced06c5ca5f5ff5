"""Stand-in of backend servers: slots, a queue, a noisy load, and faults."""

from __future__ import annotations

from collections import deque
from enum import Enum
from hashlib import blake2b
from random import Random
from time import perf_counter

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    Event,
    create_task_group,
    create_tcp_listener,
    current_time,
    sleep,
    sleep_forever,
)
from anyio.abc import SocketStream
from httptools import HttpParserError, HttpRequestParser
from msgspec import Struct, field, json

from cardamomtack.generated.services import Health
from cardamomtack.helpers.clock import MS_PER_S

CRASH_MARK = b"crash-server"
STREAM_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class AnswerFault(Enum):
    """How the answer to a request goes wrong after it has run."""

    NONE = "none"
    CUT_BEFORE = "cut-before"
    CUT_AFTER_HEAD = "cut-after-head"
    FOREIGN = "foreign"
    LATE = "late"
    LONG_LENGTH = "long-length"
    SHORT = "short"
    SILENT = "silent"
    TWICE = "twice"


class BackendBehaviour(Struct):
    """How a backend server behaves.

    Attributes
    ----------
    service_ms : float
        Mean time to run a request, in milliseconds.
    noise_ms : float
        How long one level of load lasts, in milliseconds; 0 for a steady load.
    noise_factor : float
        How much slower the server is at most while its neighbours are busy.
    slowdown : float
        Factor by which the server is slower; 10 for a straggler.
    fails_fast : bool
        Whether every request is answered with 500 at once, without running.
    is_frozen : bool
        Whether nothing is answered, while connections stay open.
    health_state : str
        State that the health endpoint tells.
    health_in_use : int or None
        Slots in use that the health endpoint tells; None for the truth.
    announces_load : bool
        Whether answers carry a load report.
    announces_draining : bool
        Whether answers tell that the server leaves.
    sheds_above : int
        Requests that wait, beyond which 503 is answered without running.
    fault : str
        Fault of the answers.
    fault_count : int
        Requests that the fault still concerns.
    late_ms : int
        How much later a late answer comes, in milliseconds.
    down_ms : int
        How long the server is down after a crash, in milliseconds.
    answer_bytes : int
        Padding of the answers, in bytes.
    """

    service_ms: float = 2.0
    noise_ms: float = 0.0
    noise_factor: float = 1.0
    slowdown: float = 1.0
    fails_fast: bool = False
    is_frozen: bool = False
    health_state: str = "ready"
    health_in_use: int | None = None
    announces_load: bool = True
    announces_draining: bool = False
    sheds_above: int = 1000
    fault: str = "none"
    fault_count: int = 0
    late_ms: int = 0
    down_ms: int = 300
    answer_bytes: int = 100


class RunRecord(Struct):
    """One run of a request.

    Attributes
    ----------
    at_s : float
        Monotonic time of the start, in seconds.
    """

    server: str
    key: str
    target: str
    at_s: float


class BackendRequest(Struct):
    """A request as the server got it."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""


def digest_request(method: bytes, target: bytes, body: bytes) -> str:
    """Return the digest by which a caller knows the answer to its own request."""
    return blake2b(b"\0".join((method, target, body)), digest_size=16).hexdigest()


class _Collector:
    """Collects whole requests."""

    __slots__ = ("_parser", "_request", "ready")

    def __init__(self) -> None:
        self._request = BackendRequest()
        self.ready: deque[BackendRequest] = deque()
        self._parser = HttpRequestParser(self)

    def feed_data(self, data: bytes) -> None:
        """Parse more bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = BackendRequest()

    def on_url(self, target: bytes) -> None:
        """Collect a part of the target."""
        self._request.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._request.headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._request.body += chunk

    def on_message_complete(self) -> None:
        """Complete a request."""
        self._request.method = self._parser.get_method()
        self.ready.append(self._request)


class BackendStandIn:
    """One backend server.

    Parameters
    ----------
    vm_id : str
        Its name.
    slots : int
        Requests that it runs at a time.
    behaviour : BackendBehaviour
        How it behaves.
    random : Random
        Source of its noise.

    Attributes
    ----------
    runs : list of RunRecord
        Every run so far.
    arrivals : list of float
        Monotonic times at which requests for work came, in seconds.
    probes : list of float
        Monotonic times at which health was asked, in seconds.
    """

    __slots__ = (
        "_factor",
        "_factor_until_s",
        "_previous_id",
        "_random",
        "_waiting",
        "arrivals",
        "behaviour",
        "crashes",
        "in_use",
        "muted_before_s",
        "probes",
        "runs",
        "slots",
        "vm_id",
    )

    def __init__(
        self, vm_id: str, slots: int, behaviour: BackendBehaviour, random: Random
    ) -> None:
        self.vm_id = vm_id
        self.slots = slots
        self.behaviour = behaviour
        self.in_use = 0
        self.crashes = 0
        self.muted_before_s = 0.0
        self.runs: list[RunRecord] = []
        self.arrivals: list[float] = []
        self.probes: list[float] = []
        self._random = random
        self._factor = 1.0
        self._factor_until_s = 0.0
        self._previous_id = b"0"
        self._waiting: deque[Event] = deque()

    async def async_serve(self, address: str, port: int) -> None:
        """Serve until cancelled; a crash closes everything for a while."""
        while True:
            listener = await create_tcp_listener(
                local_host=address, local_port=port, backlog=512
            )
            crashes = self.crashes
            async with listener, create_task_group() as tasks:
                tasks.start_soon(listener.serve, self._async_serve_connection)
                while self.crashes == crashes:
                    await sleep(0.001)
                tasks.cancel_scope.cancel()
            self.in_use = 0
            self._waiting.clear()
            await sleep(self.behaviour.down_ms / MS_PER_S)

    def crash(self) -> None:
        """Break all connections and stop listening for a while."""
        self.crashes += 1

    def mute_connections(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        self.muted_before_s = perf_counter()

    async def _async_serve_connection(self, stream: SocketStream) -> None:
        """Serve one connection."""
        collector = _Collector()
        opened_at_s = perf_counter()
        try:
            while True:
                while not collector.ready:
                    collector.feed_data(await stream.receive())
                if opened_at_s < self.muted_before_s:
                    await sleep_forever()
                request = collector.ready.popleft()
                if not await self._async_answer(stream, request):
                    break
        except (*STREAM_ERRORS, HttpParserError):
            pass
        finally:
            await stream.aclose()

    async def _async_answer(
        self, stream: SocketStream, request: BackendRequest
    ) -> bool:
        """Answer a request and return whether the connection stays open."""
        behaviour = self.behaviour
        if request.target == b"/health":
            self.probes.append(current_time())
            if behaviour.is_frozen:
                await sleep_forever()
            await stream.send(self._write_health())
            return True
        self.arrivals.append(current_time())
        if behaviour.is_frozen:
            await sleep_forever()
        if behaviour.fails_fast:
            await stream.send(_write_answer(500, b"x" * behaviour.answer_bytes, []))
            return True
        if len(self._waiting) >= behaviour.sheds_above:
            await stream.send(_write_answer(503, b"{}", []))
            return True
        await self._async_run(request)
        return await self._async_send_answer(stream, request)

    async def _async_run(self, request: BackendRequest) -> None:
        """Run a request in a slot."""
        if self.in_use >= self.slots:
            turn = Event()
            self._waiting.append(turn)
            await turn.wait()
        else:
            self.in_use += 1
        key = request.headers.get(b"idempotency-key", b"").decode("latin-1")
        target = request.target.decode("latin-1")
        self.runs.append(RunRecord(self.vm_id, key, target, current_time()))
        if CRASH_MARK in request.target or CRASH_MARK in request.body:
            self.crash()
            await sleep_forever()
        await sleep(self._draw_service_s())
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self.in_use -= 1

    def _draw_service_s(self) -> float:
        """Return how long the next request takes, in seconds."""
        behaviour = self.behaviour
        now_s = current_time()
        if behaviour.noise_ms and now_s >= self._factor_until_s:
            self._factor = self._random.uniform(1.0, behaviour.noise_factor)
            length_ms = self._random.expovariate(1.0 / behaviour.noise_ms)
            self._factor_until_s = now_s + length_ms / MS_PER_S
        mean_ms = behaviour.service_ms * behaviour.slowdown
        if behaviour.noise_ms:
            mean_ms *= self._factor
        return mean_ms * self._random.uniform(0.7, 1.3) / MS_PER_S

    def _take_fault(self) -> AnswerFault:
        """Return the fault of the next answer."""
        behaviour = self.behaviour
        if behaviour.fault_count <= 0:
            return AnswerFault.NONE
        behaviour.fault_count -= 1
        return AnswerFault(behaviour.fault)

    async def _async_send_answer(
        self, stream: SocketStream, request: BackendRequest
    ) -> bool:
        """Send the answer to a request that has run."""
        fault = self._take_fault()
        request_id = request.headers.get(b"cardamomtack-request-id", b"")
        previous_id, self._previous_id = self._previous_id, request_id
        body = json.encode(
            {
                "digest": digest_request(request.method, request.target, request.body),
                "server": self.vm_id,
                "padding": "x" * self.behaviour.answer_bytes,
            }
        )
        headers = [(b"cardamomtack-request-id", request_id), *self._report_load()]
        whole = _write_answer(200, body, headers)
        if fault is AnswerFault.CUT_BEFORE:
            return False
        if fault is AnswerFault.CUT_AFTER_HEAD:
            await stream.send(whole[: whole.index(b"\r\n\r\n") + 4])
            return False
        if fault is AnswerFault.SILENT:
            await sleep_forever()
        if fault is AnswerFault.SHORT:
            await stream.send(whole[:-10])
            return False
        if fault is AnswerFault.LONG_LENGTH:
            await stream.send(_write_answer(200, body, headers, len(body) + 10))
            return False
        if fault is AnswerFault.FOREIGN:
            headers[0] = (b"cardamomtack-request-id", previous_id + b"f")
            await stream.send(_write_answer(200, b'{"digest": "foreign"}', headers))
            return True
        if fault is AnswerFault.LATE:
            await sleep(self.behaviour.late_ms / MS_PER_S)
        await stream.send(whole)
        if fault is AnswerFault.TWICE:
            await stream.send(whole)
        return True

    def _report_load(self) -> list[tuple[bytes, bytes]]:
        """Return the load report of an answer."""
        behaviour = self.behaviour
        if not behaviour.announces_load:
            return []
        report: dict[str, object] = {
            "named_metrics": {"in_use": self.in_use + len(self._waiting)}
        }
        if behaviour.announces_draining:
            report["state"] = "draining"
        return [(b"endpoint-load-metrics", b"JSON " + json.encode(report))]

    def _write_health(self) -> bytes:
        """Return the answer of the health endpoint."""
        in_use = self.behaviour.health_in_use
        if in_use is None:
            in_use = self.in_use + len(self._waiting)
        health = Health(self.behaviour.health_state, self.slots, in_use)  # type: ignore[arg-type]
        return _write_answer(200, json.encode(health), [])


def _write_answer(
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
    length: int | None = None,
) -> bytes:
    """Return an answer as it goes over the wire."""
    fields = b"".join(b"%b: %b\r\n" % pair for pair in headers)
    return b"HTTP/1.1 %d Status\r\n%bcontent-length: %d\r\n\r\n%b" % (
        status,
        fields,
        len(body) if length is None else length,
        body,
    )
