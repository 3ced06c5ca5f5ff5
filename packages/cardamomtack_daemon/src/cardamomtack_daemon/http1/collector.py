"""Collects what the parser reports of the answers on a connection."""

from __future__ import annotations

import re
from collections.abc import Callable

from httptools import HttpResponseParser

from cardamomtack_daemon.http1.messages import FIELDS_MAX, HeaderList

CHUNK_OVERHEAD_BYTES = 64
"""What a part of a body takes in memory beside its bytes."""

FOREIGN_BYTES_MAX = 1_048_576
HEAD_BYTES_MAX = 65_536
LINE_BYTES_MAX = 65_536
"""Most bytes that may bring no field, no part of a body and no end of an answer."""

STATUSES = range(100, 600)
"""The status codes that HTTP has (RFC 9110, 15)."""

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]\b")

AnswerCheck = Callable[[int, HeaderList], bool]
"""Tells by status and head whether an answer belongs to the request sent last."""


class EndlessAnswerError(Exception):
    """A server sends bytes that do not become an answer."""


class UnknownStatusError(Exception):
    """A server answers with a status that HTTP doesn't have."""


class AnswerCollector:
    """Collects what the parser reports of one answer.

    Parameters
    ----------
    check : callable or None
        Tells which answers belong to the request; the others are passed over.
    is_head : bool
        Whether the request was a HEAD, whose answer ends with its head.

    Attributes
    ----------
    status : int
        Status of the answer; 0 before its head is complete. The parser tells that of
        whatever stands behind the answer.
    """

    __slots__ = (
        "_check",
        "_fields",
        "_foreign_bytes",
        "_has_progress",
        "_head_bytes",
        "_is_foreign",
        "_is_head",
        "_reason",
        "_stalled_bytes",
        "chunks",
        "foreign",
        "has_ended",
        "has_head",
        "headers",
        "is_framed",
        "keep_alive",
        "parser",
        "status",
        "surplus",
    )

    def __init__(self, check: AnswerCheck | None = None, is_head: bool = False) -> None:
        self._check = check
        self._is_head = is_head
        self._fields = 0
        self._foreign_bytes = 0
        self._has_progress = False
        self._head_bytes = 0
        self._stalled_bytes = 0
        self._is_foreign = False
        self._reason = b""
        self.foreign = 0
        self.parser = HttpResponseParser(self)
        self.keep_alive = False
        self.headers: HeaderList = []
        self.chunks: list[bytes] = []
        self.is_framed = False
        self.has_head = False
        self.has_ended = False
        self.status = 0
        self.surplus = False

    def feed(self, data: bytes) -> None:
        """Parse what has arrived.

        Raises
        ------
        EndlessAnswerError
            When a head, a line or what precedes the answer is over its bound.
        HttpParserError
            When it is malformed.
        """
        self._has_progress = False
        self.parser.feed_data(data)
        self._stalled_bytes += len(data)
        if self._has_progress:
            self._stalled_bytes = 0
        if self._stalled_bytes > LINE_BYTES_MAX:
            raise EndlessAnswerError("a line of the answer does not end")
        if self._foreign_bytes > FOREIGN_BYTES_MAX:
            raise EndlessAnswerError("answers to other requests do not end")

    def on_message_begin(self) -> None:
        """Note a second answer, which nobody asked for."""
        self._reason = b""
        self.surplus = self.has_ended

    def on_status(self, reason: bytes) -> None:
        """Check the reason of the status line, which may come in parts."""
        if not self.has_ended:
            self._reason += reason
            _check_line(self._reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; fields after a body are only counted.

        Raises
        ------
        EndlessAnswerError
            When there are too many, or they are too long together.
        """
        self._has_progress = True
        self._fields += 1
        self._head_bytes += len(name) + len(value)
        if self._fields > FIELDS_MAX or self._head_bytes > HEAD_BYTES_MAX:
            raise EndlessAnswerError("head of the answer is too large")
        if self.has_ended or self.has_head:
            return
        _check_line(value)
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self.is_framed = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the head is complete, and whether the answer is another's.

        Raises
        ------
        UnknownStatusError
            When HTTP doesn't have its status.
        """
        if self.has_ended:
            return
        status = self.parser.get_status_code()
        if self._check is not None and not self._check(status, self.headers):
            self._is_foreign = True
            return
        if status not in STATUSES:
            raise UnknownStatusError(f"status {status:03d}")
        self.status = status
        self.has_head = True
        # The parser waits for the body that the head names.
        self.has_ended = self._is_head

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body; an answer that has ended has no more of it."""
        self._has_progress = True
        if self._is_foreign:
            self._foreign_bytes += len(chunk)
        elif self.has_ended:
            self.surplus = True
        else:
            self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Note that the answer is complete, or pass over one of another request."""
        self._has_progress = True
        if self._is_foreign:
            self._is_foreign = False
            self._foreign_bytes += self._head_bytes
            self._fields = 0
            self._head_bytes = 0
            self.foreign += 1
            self.headers = []
            self.is_framed = False
            return
        if not self.has_ended:
            # The parser forgets this once the callback has returned.
            self.keep_alive = self.parser.should_keep_alive()
        self.has_ended = True


def _check_line(text: bytes) -> None:
    """Check that a line does not run into the status line of another answer.

    A server that breaks off a head and writes the next answer makes one head of both.

    Raises
    ------
    EndlessAnswerError
        When it does.
    """
    if STATUS_LINE.search(text):
        raise EndlessAnswerError("a line of the answer runs into another answer")
