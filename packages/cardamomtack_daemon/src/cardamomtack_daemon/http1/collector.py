"""Collects what the parser reports of the answers on a connection."""

from __future__ import annotations

from collections.abc import Callable

from httptools import HttpResponseParser

from cardamomtack_daemon.http1.messages import HeaderList

AnswerCheck = Callable[[int, HeaderList], bool]
"""Tells by status and head whether an answer belongs to the request sent last."""


class AnswerCollector:
    """Collects what the parser reports of one answer.

    Parameters
    ----------
    check : callable or None
        Tells which answers belong to the request; the others are passed over.
    """

    __slots__ = (
        "_check",
        "_is_foreign",
        "chunks",
        "foreign",
        "has_ended",
        "has_head",
        "headers",
        "is_framed",
        "keep_alive",
        "parser",
        "surplus",
    )

    def __init__(self, check: AnswerCheck | None = None) -> None:
        self._check = check
        self._is_foreign = False
        self.foreign = 0
        self.parser = HttpResponseParser(self)
        self.keep_alive = False
        self.headers: HeaderList = []
        self.chunks: list[bytes] = []
        self.is_framed = False
        self.has_head = False
        self.has_ended = False
        self.surplus = False

    def on_message_begin(self) -> None:
        """Note a second answer, which nobody asked for."""
        self.surplus = self.has_ended

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        if self.has_ended:
            return
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self.is_framed = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the head is complete, and whether the answer is another's."""
        if self.has_ended:
            return
        status = self.parser.get_status_code()
        if self._check is not None and not self._check(status, self.headers):
            self._is_foreign = True
            return
        self.has_head = True

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        if not self.has_ended and not self._is_foreign:
            self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Note that the answer is complete, or pass over one of another request."""
        if self._is_foreign:
            self._is_foreign = False
            self.foreign += 1
            self.headers = []
            self.is_framed = False
            return
        if not self.has_ended:
            # The parser forgets this once the callback has returned.
            self.keep_alive = self.parser.should_keep_alive()
        self.has_ended = True
