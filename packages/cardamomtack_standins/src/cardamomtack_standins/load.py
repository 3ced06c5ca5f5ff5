"""A small load tool: callers that check each answer against their own request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from time import perf_counter
from uuid import UUID

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    current_time,
    move_on_after,
    sleep_until,
)
from anyio.abc import SocketStream
from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct, json

from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack_standins.backend import digest_request
from cardamomtack_standins.plan import FleetPlan, KindPlan

GRACE_S = 1.0


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller."""

    host: str
    method: str
    target: str
    body: bytes = b""
    key: str = ""
    deadline_ms: int = 1000
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the request as it goes over the wire."""
        fields = {
            "host": self.host,
            "deadline-ms": str(self.deadline_ms),
            "content-length": str(len(self.body)),
            **self.headers,
        }
        if self.key:
            fields["idempotency-key"] = self.key
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return (
            f"{self.method} {self.target} HTTP/1.1\r\n{head}\r\n".encode() + self.body
        )


@dataclass(slots=True)
class CallerResult:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 when there was no whole answer.
    outcome : str
        What the system says of the run, empty on an answer of a server.
    is_own : bool
        Whether the answer is the one to the own request.
    """

    kind: str = ""
    key: str = ""
    status: int = 0
    outcome: str = ""
    is_own: bool = False
    started_s: float = 0.0
    duration_s: float = 0.0
    body: bytes = b""

    @property
    def is_good(self) -> bool:
        """Return whether the caller got its own whole answer."""
        return self.status == 200 and self.is_own


class _AnswerBody(Struct):
    """The part of an answer that names its request."""

    digest: str = ""


class _Collector:
    """Collects one answer."""

    __slots__ = ("body", "has_ended", "headers", "keep_alive", "parser")

    def __init__(self) -> None:
        self.parser = HttpResponseParser(self)
        self.keep_alive = False
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.has_ended = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        """Note the end."""
        self.keep_alive = self.parser.should_keep_alive()
        self.has_ended = True


class Caller:
    """Sends requests to entry VMs over connections that it keeps.

    Parameters
    ----------
    ports : list of tuple
        Address and port of each entry VM.
    """

    __slots__ = ("_idle", "ports")

    def __init__(self, ports: list[tuple[str, int]]) -> None:
        self.ports = ports
        self._idle: dict[int, deque[SocketStream]] = {}

    async def async_call(
        self, request: CallerRequest, port: tuple[str, int], kind: str = ""
    ) -> CallerResult:
        """Send a request and return what came back."""
        result = CallerResult(kind, request.key, started_s=perf_counter())
        idle = self._idle.setdefault(port[1], deque())
        with move_on_after(request.deadline_ms / MS_PER_S + GRACE_S):
            try:
                stream = idle.pop() if idle else await connect_tcp(*port)
                if await _async_exchange(stream, request, result):
                    idle.append(stream)
                else:
                    await stream.aclose()
            except (
                BrokenResourceError,
                ClosedResourceError,
                EndOfStream,
                HttpParserError,
                OSError,
            ):
                result.status = 0
        result.duration_s = perf_counter() - result.started_s
        return result


async def _async_exchange(
    stream: SocketStream, request: CallerRequest, result: CallerResult
) -> bool:
    """Send a request, read the answer, and return whether the stream is good."""
    collector = _Collector()
    await stream.send(request.encode())
    while not collector.has_ended:
        collector.parser.feed_data(await stream.receive())
    result.status = collector.parser.get_status_code()
    result.outcome = collector.headers.get(b"cardamomtack-outcome", b"").decode()
    result.body = b"".join(collector.body)
    result.is_own = _is_own_answer(request, result.body)
    return collector.keep_alive


def _is_own_answer(request: CallerRequest, body: bytes) -> bool:
    """Return whether an answer names the request."""
    wanted = digest_request(
        request.method.encode(), request.target.encode(), request.body
    )
    try:
        return json.decode(body, type=_AnswerBody).digest == wanted
    except DECODE_ERRORS:
        return False


def make_key(random: Random, epoch_ms: int) -> str:
    """Return an idempotency key with its creation time (UUIDv7)."""
    value = (epoch_ms << 80) | (0x7 << 76) | (random.getrandbits(12) << 64)
    value |= (0b10 << 62) | random.getrandbits(62)
    return str(UUID(int=value))


class LoadGenerator:
    """Sends the kinds of a plan at a rate that does not wait for answers.

    Parameters
    ----------
    plan : FleetPlan
        Kinds and their shares.
    caller : Caller
        Sends the requests.
    random : Random
        Source of kinds, arrival times and ids.
    epoch_ms : int
        Creation time of the keys, in milliseconds since the epoch.
    """

    __slots__ = ("_caller", "_epoch_ms", "_plan", "_random", "results")

    def __init__(
        self, plan: FleetPlan, caller: Caller, random: Random, epoch_ms: int
    ) -> None:
        self._plan = plan
        self._caller = caller
        self._random = random
        self._epoch_ms = epoch_ms
        self.results: list[CallerResult] = []

    async def async_run(self, requests_per_second: float, duration_s: float) -> None:
        """Send requests for some seconds and wait for their answers."""
        start_s = current_time()
        due_s = start_s
        async with create_task_group() as tasks:
            while due_s < start_s + duration_s:
                await sleep_until(due_s)
                tasks.start_soon(self._async_call_once)
                due_s += self._random.expovariate(requests_per_second)

    async def _async_call_once(self) -> None:
        """Send one request."""
        host, kind = self._draw_kind()
        request = self.make_request(host, kind)
        port = self._random.choice(self._caller.ports)
        self.results.append(await self._caller.async_call(request, port, kind.name))

    def make_request(self, host: str, kind: KindPlan) -> CallerRequest:
        """Return a request of a kind."""
        number = self._random.getrandbits(32)
        target = kind.path.replace("{id}", str(number))
        body = b"" if kind.idempotent else b'{"number": %d}' % number
        key = "" if kind.idempotent else make_key(self._random, self._epoch_ms)
        return CallerRequest(host, kind.method, target, body, key, kind.deadline_ms)

    def _draw_kind(self) -> tuple[str, KindPlan]:
        """Return the host and kind of the next request."""
        kinds = [
            (f"{service.name}.test", kind)
            for service in self._plan.services
            for kind in service.kinds
        ]
        weights = [kind.share for _, kind in kinds]
        return self._random.choices(kinds, weights)[0]
