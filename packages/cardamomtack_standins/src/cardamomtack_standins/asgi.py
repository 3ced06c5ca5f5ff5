"""Small HTTP services for stand-ins of the platform."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol
from urllib.parse import parse_qsl

from anyio import Event, sleep
from hypercorn.asyncio import serve
from hypercorn.config import Config

PART_BYTES = 16_384

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclass(slots=True)
class ServiceRequest:
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ServiceReply:
    """A reply of a stand-in; status 0 breaks the connection without a reply.

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth over which the body leaves.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    bytes_per_s: float = inf


class Service(Protocol):
    """Answers requests."""

    async def async_answer(self, request: ServiceRequest) -> ServiceReply:
        """Return the reply to a request."""


class ServiceApplication:
    """The ASGI application of a stand-in.

    Parameters
    ----------
    service : Service
        Answers requests.
    """

    __slots__ = ("_service",)

    def __init__(self, service: Service) -> None:
        self._service = service

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, or the events of the server's life."""
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        query = dict(parse_qsl(scope["query_string"].decode()))
        request = ServiceRequest(scope["method"], scope["path"], query, body)
        reply = await self._service.async_answer(request)
        if reply.status == 0:
            raise ConnectionAbortedError("the stand-in loses its answer")
        headers = [
            (b"content-type", reply.content_type),
            (b"content-length", str(len(reply.body)).encode()),
            *reply.headers,
        ]
        start = {"type": "http.response.start", "status": reply.status}
        await send({**start, "headers": headers})
        rest = {"type": "http.response.body"}
        for begin in range(0, len(reply.body), PART_BYTES):
            part = reply.body[begin : begin + PART_BYTES]
            await send({**rest, "body": part, "more_body": True})
            await sleep(len(part) / reply.bytes_per_s)
        await send(rest)


async def async_serve_service(
    service: Service, address: str, port: int, stopped: Event | None = None
) -> None:
    """Serve a stand-in until an event is set, or until cancelled."""
    config = Config()
    config.bind = [f"{address}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.1
    config.keep_alive_timeout = 600
    application = ServiceApplication(service)
    shutdown = (stopped or Event()).wait
    await serve(application, config, shutdown_trigger=shutdown)  # type: ignore[arg-type]
