"""Backend servers that do what the script of a test says, byte by byte."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream
from httptools import HttpRequestParser

from cardamomtack.discovery.entry import ServerEntry

SERVICE = "desk"
STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
ZONE = "zone-a"


@dataclass(slots=True)
class ServerRequest:
    """A request as a scripted server got it.

    Attributes
    ----------
    fields : list of (bytes, bytes)
        All header fields and those of a trailer, also those that come twice.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)


class _RequestCollector:
    """Collects whole requests of a connection."""

    def __init__(self) -> None:
        self.ready: list[ServerRequest] = []
        self.begun: ServerRequest | None = None
        self.body_bytes = 0
        self.parser = HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = b""

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = {}
        self._fields = []
        self._body = b""

    def on_url(self, target: bytes) -> None:
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.begun = self._make_request()

    def on_body(self, chunk: bytes) -> None:
        self._body += chunk
        self.body_bytes += len(chunk)

    def on_message_complete(self) -> None:
        self.begun = None
        self.ready.append(self._make_request())

    def _make_request(self) -> ServerRequest:
        method = self.parser.get_method()
        return ServerRequest(
            method, self._target, self._headers, self._body, self._fields
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


def write_not_run(request: ServerRequest, status: int = 503, **fields: str) -> bytes:
    """Return the answer of a server that did not run a request."""
    named = request.headers.get(b"test-id", b"").decode()
    head = f"HTTP/1.1 {status} X\r\ntest-id: {named}\r\ntest-not-run: 1\r\n"
    for name, value in fields.items():
        head += f"{name.replace('_', '-')}: {value}\r\n"
    return f"{head}content-length: 0\r\n\r\n".encode()


async def async_reset(stream: SocketStream) -> None:
    """Reset a connection."""
    # With a linger time of 0, closing sends RST in place of FIN.
    linger = struct.pack("ii", 1, 0)
    sock = stream.extra(SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await anyio.aclose_forcefully(stream)


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
    is_stopped : bool
        Whether its process was ended and not started again.
    left : int
        Connections that the daemon closed while a request was under way.
    check_script : callable or None
        Answers health checks in place of a usual answer.
    early_script : callable or None
        Handles a request of which only the head and a part of the body have arrived.
    body_bytes_max : int or None
        After how many bytes of a body it reads no further.
    body_bytes : int
        Bytes of bodies that it has read.
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
        self.is_stopped = False
        self.check_script: Script | None = None
        self.early_script: Script | None = None
        self.body_bytes_max: int | None = None
        self.body_bytes = 0
        self._listener: anyio.abc.Listener[SocketStream] | None = None
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
        self._listener = listener
        self.port = listener.extra(SocketAttribute.local_port)
        self._scope = anyio.CancelScope()
        with self._scope:
            async with listener:
                task_status.started()
                try:
                    await listener.serve(self._async_serve_connection)
                except* anyio.ClosedResourceError:
                    # It has crashed; its connections end after its listener.
                    pass

    def stop(self) -> None:
        """End the process: its listener and its connections."""
        self.is_stopped = True
        self._scope.cancel()

    async def async_crash(self) -> None:
        """End the process; nothing listens when its connections close."""
        self.is_stopped = True
        if self._listener is not None:
            await self._listener.aclose()

    async def _async_serve_connection(self, stream: SocketStream) -> None:
        self.connections += 1
        collector = _RequestCollector()
        try:
            async with stream:
                while True:
                    while not collector.ready:
                        await self._async_read(collector, stream)
                    await self._async_handle(collector.ready.pop(0), stream)
        except STREAM_ERRORS:
            pass

    async def _async_read(
        self, collector: _RequestCollector, stream: SocketStream
    ) -> None:
        known_bytes = collector.body_bytes
        collector.parser.feed_data(await stream.receive())
        self.body_bytes += collector.body_bytes - known_bytes
        if self.body_bytes_max is not None and self.body_bytes > self.body_bytes_max:
            await anyio.sleep_forever()
        if collector.begun is not None and self.early_script is not None:
            await self.early_script(self, collector.begun, stream)

    async def _async_handle(self, request: ServerRequest, stream: SocketStream) -> None:
        if request.target != b"/health":
            self.requests.append(request)
            await self.script(self, request, stream)
            return
        self.checks += 1
        if self.check_script is not None:
            await self.check_script(self, request, stream)
            return
        if not self.answers_checks:
            await anyio.sleep_forever()
        load = f"test-load: {self.load}\r\n" if self.load is not None else ""
        head = f"HTTP/1.1 {self.health_status} X\r\ntest-server: {self.server_id}\r\n"
        await stream.send(f"{head}{load}content-length: 0\r\n\r\n".encode())
