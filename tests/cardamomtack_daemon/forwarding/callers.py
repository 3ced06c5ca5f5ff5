"""Callers, and what they get."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from httptools import HttpResponseParser

from tests.cardamomtack_daemon.forwarding.servers import STREAM_ERRORS

BODY_BYTES_KEPT = 100_000_000
HOST = "clinic.test"
WAIT_S = 5.0


class _AnswerCollector:
    def __init__(self, body_bytes_kept: int) -> None:
        self._body_bytes_kept = body_bytes_kept
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.parser = HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, chunk: bytes) -> None:
        if len(self.body) < self._body_bytes_kept:
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
    """One connection of a caller, which keeps so much of the bodies that come."""

    def __init__(
        self, stream: SocketStream, body_bytes_kept: int = BODY_BYTES_KEPT
    ) -> None:
        self._body_bytes_kept = body_bytes_kept
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
        collector = _AnswerCollector(self._body_bytes_kept)
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
