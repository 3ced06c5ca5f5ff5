"""Requests and answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from cardamomtack_daemon.http1.body import BodySource

HeaderList = list[tuple[bytes, bytes]]

FIELDS_MAX = 1000
"""Most fields of one message, in its head and its trailer together."""

# Header fields that are meant for one connection only.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class HttpRequest:
    """A request of a caller, whole or with its body still arriving.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        Header fields, their names in lower case.
    body : bytes
        What has arrived of the body.
    length : int or None
        Length of the body, in bytes; None while it is not known.
    rest : BodySource or None
        The source of the rest of the body; None when it is whole.
    is_first : bool
        Whether it is the first request on its connection.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    keep_alive: bool = True
    length: int | None = None
    rest: BodySource | None = None
    is_first: bool = True

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, or None."""
        return find_field(self.headers, name)


@dataclass(slots=True)
class HttpAnswer:
    """An answer, whole or with its body still arriving.

    Attributes
    ----------
    body : bytes
        What has arrived of the body.
    is_whole : bool
        Whether the body is complete.
    length : int or None
        Length that the header names, in bytes.
    """

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
    is_whole: bool = True
    length: int | None = None

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field, or None."""
        return find_field(self.headers, name)


def find_field(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header field, or None."""
    for known, value in headers:
        if known == name:
            return value
    return None


def list_nominated(headers: HeaderList) -> set[bytes]:
    """Return the names of the fields that are meant for one connection only.

    They are those that a Connection field names (RFC 9110, 7.6.1).
    """
    options = b",".join(value for name, value in headers if name == b"connection")
    return {option.strip().lower() for option in options.split(b",")}


def encode_headers(headers: HeaderList) -> bytes:
    """Return header fields as they go over the wire, without those of a hop."""
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, value in headers
        if name not in HOP_HEADERS
    )


def encode_request(
    method: bytes, target: bytes, headers: HeaderList, body: bytes
) -> bytes:
    """Return a whole request as it goes over the wire."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: bytes, target: bytes, headers: HeaderList, length: int | None
) -> bytes:
    """Return the head of a request as it goes over the wire.

    Parameters
    ----------
    length : int or None
        Length of the body, in bytes; None sends it in chunks.
    """
    framing = b"transfer-encoding: chunked"
    if length is not None:
        framing = b"content-length: %d" % length
    return b"%b %b HTTP/1.1\r\n%b%b\r\n\r\n" % (
        method,
        target,
        encode_headers(headers),
        framing,
    )


def encode_chunk(part: bytes) -> bytes:
    """Return a part of a chunked body; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(part), part)


def encode_answer_head(answer: HttpAnswer, keep_alive: bool, framing: bytes) -> bytes:
    """Return the head of an answer as it goes over the wire."""
    reason = REASONS.get(answer.status, b"Unknown")
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        answer.status,
        reason,
        encode_headers(answer.headers),
        framing,
        b"" if keep_alive else b"connection: close\r\n",
    )
