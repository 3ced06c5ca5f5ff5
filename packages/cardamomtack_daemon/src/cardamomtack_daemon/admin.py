"""The admin port: health for the balancer, metrics, and status for operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from aioprometheus.collectors import Registry
from aioprometheus.renderer import render
from hypercorn.asyncio import serve
from hypercorn.config import Config
from msgspec import Struct, json

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class AdminSource(Protocol):
    """What the admin port shows."""

    def is_serving(self) -> bool:
        """Return whether the balancer should send callers here."""

    def build_status(self) -> Struct:
        """Return the status for operators."""

    def collect_metrics(self) -> Registry:
        """Return the metrics, up to date."""


class AdminApplication:
    """The ASGI application of the admin port.

    Parameters
    ----------
    source : AdminSource
        What is shown.
    """

    __slots__ = ("_source",)

    def __init__(self, source: AdminSource) -> None:
        self._source = source

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, or the events of the server's life."""
        if scope["type"] == "lifespan":
            await _async_answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, content_type, body = self._answer_path(scope["path"])
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", content_type)],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _answer_path(self, path: str) -> tuple[int, bytes, bytes]:
        """Return status, content type and body for a path."""
        if path == "/healthz":
            serving = self._source.is_serving()
            body = b"ok\n" if serving else b"not serving\n"
            return (200 if serving else 503), b"text/plain", body
        if path == "/status":
            body = json.encode(self._source.build_status())
            return 200, b"application/json", body
        if path == "/metrics":
            content, headers = render(self._source.collect_metrics(), ["text/plain"])
            return 200, headers["Content-Type"].encode(), content
        return 404, b"text/plain", b"try /healthz, /metrics or /status\n"


async def _async_answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge start and end of the server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def async_serve_admin(
    source: AdminSource,
    address: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
) -> None:
    """Serve the admin port until the shutdown trigger returns."""
    config = Config()
    config.bind = [f"{address}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    await serve(AdminApplication(source), config, shutdown_trigger=shutdown)  # type: ignore[arg-type]
