"""The log service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from httpx import AsyncClient, ConnectError, ConnectTimeout, HTTPError
from msgspec import msgpack

from cardamomtack.generated.services import AppendReply, ReadReply
from cardamomtack.helpers.decoding import DECODE_ERRORS

APPEND_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
CONTENT_TYPE = "application/msgpack"
READ_TIMEOUT_MARGIN_S = 3.0
STATUS_GONE = 410
STATUS_OK = 200
STATUS_TOO_MANY = 429


class LogUnavailableError(Exception):
    """The log service did not answer, or refused; nothing took effect."""


class AppendOutcomeUnknownError(Exception):
    """An append may or may not have taken effect."""


@dataclass(slots=True, frozen=True)
class LogRead:
    """Records of a stream.

    Attributes
    ----------
    first_offset : int
        Oldest offset that is still kept.
    next_offset : int
        Offset from which to read on.
    records : list of tuple
        Offset and record.
    has_gap : bool
        Whether records from the asked offset on have expired.
    """

    first_offset: int
    next_offset: int
    records: list[tuple[int, bytes]]
    has_gap: bool = False


class LogService(Protocol):
    """Appends to streams and reads them."""

    async def async_append(self, stream: str, record: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            When the record was surely not appended.
        AppendOutcomeUnknownError
            When it may have been.
        """

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogRead:
        """Read records from an offset on, waiting for the first of them.

        Raises
        ------
        LogUnavailableError
            When nothing could be read.
        """


class HttpLogService:
    """The log service over HTTP with MessagePack bodies.

    Parameters
    ----------
    client : AsyncClient
        HTTP client, owned by the caller.
    url : str
        Base URL.
    prefix : str
        Prefix of the names of streams.
    """

    __slots__ = ("_client", "_prefix", "_url")

    def __init__(self, client: AsyncClient, url: str, prefix: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._prefix = prefix

    async def async_append(self, stream: str, record: bytes) -> int:
        """Append a record and return its offset."""
        try:
            response = await self._client.post(
                self._write_url(stream),
                content=record,
                headers={"content-type": CONTENT_TYPE},
                timeout=APPEND_TIMEOUT_S,
            )
        except (ConnectError, ConnectTimeout) as error:
            raise LogUnavailableError("log service can't be reached") from error
        except HTTPError as error:
            raise AppendOutcomeUnknownError(
                f"append got no answer: {error!r}"
            ) from error
        if response.status_code == STATUS_TOO_MANY:
            raise LogUnavailableError("log service refused the append: 429")
        if not response.is_success:
            raise AppendOutcomeUnknownError(f"append got status {response.status_code}")
        try:
            return msgpack.decode(response.content, type=AppendReply).offset
        except DECODE_ERRORS as error:
            raise AppendOutcomeUnknownError(
                f"append got a malformed answer: {error}"
            ) from error

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> LogRead:
        """Read records from an offset on, waiting for the first of them."""
        try:
            response = await self._client.get(
                self._write_url(stream),
                params={"from": offset, "limit": limit, "wait_ms": wait_ms},
                timeout=READ_TIMEOUT_MARGIN_S + wait_ms / 1000.0,
            )
        except HTTPError as error:
            raise LogUnavailableError(f"read got no answer: {error!r}") from error
        if response.status_code not in (STATUS_GONE, STATUS_OK):
            raise LogUnavailableError(f"read got status {response.status_code}")
        try:
            reply = msgpack.decode(response.content, type=ReadReply)
            records = [(int(pair[0]), bytes(pair[1])) for pair in reply.records]
        except (IndexError, TypeError, *DECODE_ERRORS) as error:
            raise LogUnavailableError(
                f"read got a malformed answer: {error}"
            ) from error
        if response.status_code == STATUS_GONE:
            return LogRead(reply.first_offset, reply.first_offset, [], has_gap=True)
        return LogRead(reply.first_offset, reply.next_offset, records)

    def _write_url(self, stream: str) -> str:
        """Return the URL of the records of a stream."""
        return f"{self._url}/streams/{self._prefix}{stream}/records"
