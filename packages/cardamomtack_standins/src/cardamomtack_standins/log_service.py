"""Stand-in of the log service, with faults that can be set."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from anyio import Event, move_on_after, sleep
from msgspec import Struct, json, msgpack

from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack_standins.asgi import ServiceReply, ServiceRequest

CONTENT_TYPE = b"application/msgpack"

ClockReading = Callable[[], float]


class LogFaults(Struct):
    """Faults of the log service.

    Attributes
    ----------
    is_out : bool
        Whether every request is refused with 503 and without effect.
    append_delay_ms, read_delay_ms : int
        Time before an answer, in milliseconds.
    lose_answers : int
        Appends that take effect without an answer, from now on.
    lose_appends : int
        Appends that are dropped and get no answer, from now on.
    duplicate_appends : int
        Appends that land twice, from now on.
    appends_per_second_max : int
        Appends in a second beyond which 429 is answered; 0 for no limit.
    """

    is_out: bool = False
    append_delay_ms: int = 0
    read_delay_ms: int = 0
    lose_answers: int = 0
    lose_appends: int = 0
    duplicate_appends: int = 0
    appends_per_second_max: int = 0


class Stream:
    """One stream of records.

    Attributes
    ----------
    first_offset : int
        Oldest offset that is kept.
    """

    __slots__ = ("appended", "first_offset", "records")

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: deque[bytes] = deque()
        self.appended = Event()

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append_record(self, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self.records.append(record)
        self.appended.set()
        self.appended = Event()
        return offset

    def expire_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        while self.records and self.first_offset < offset:
            self.records.popleft()
            self.first_offset += 1


class LogServiceStandIn:
    """Keeps streams in memory.

    Parameters
    ----------
    clock_s : callable
        Monotonic time, in seconds.
    """

    __slots__ = ("_clock_s", "_window", "append_times", "faults", "streams")

    def __init__(self, clock_s: ClockReading) -> None:
        self._clock_s = clock_s
        self._window: deque[float] = deque()
        self.faults = LogFaults()
        self.streams: dict[str, Stream] = {}
        self.append_times: dict[str, list[float]] = {}

    async def async_answer(self, request: ServiceRequest) -> ServiceReply:
        """Return the reply to a request."""
        parts = request.path.strip("/").split("/")
        if parts == ["faults"]:
            self.faults = json.decode(request.body, type=LogFaults)
            return ServiceReply(200, b"{}")
        if parts == ["appends"]:
            return ServiceReply(200, json.encode(self.append_times))
        if len(parts) == 3 and parts[0] == "expire":
            self._find_stream(parts[1]).expire_before(int(parts[2]))
            return ServiceReply(200, b"{}")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return ServiceReply(404)
        if self.faults.is_out:
            return ServiceReply(503)
        if request.method == "POST":
            return await self._async_append(parts[1], request.body)
        return await self._async_read(parts[1], request.query)

    def _find_stream(self, name: str) -> Stream:
        """Return a stream, which is made at its first use."""
        return self.streams.setdefault(name, Stream())

    def _is_over_limit(self) -> bool:
        """Return whether one more append is over the limit."""
        limit = self.faults.appends_per_second_max
        now_s = self._clock_s()
        while self._window and self._window[0] <= now_s - 1.0:
            self._window.popleft()
        if limit and len(self._window) >= limit:
            return True
        self._window.append(now_s)
        return False

    async def _async_append(self, name: str, record: bytes) -> ServiceReply:
        """Append a record."""
        faults = self.faults
        if self._is_over_limit():
            return ServiceReply(429)
        if faults.append_delay_ms:
            await sleep(faults.append_delay_ms / MS_PER_S)
        if faults.lose_appends:
            faults.lose_appends -= 1
            return ServiceReply(0)
        stream = self._find_stream(name)
        offset = stream.append_record(record)
        self.append_times.setdefault(name, []).append(self._clock_s())
        if faults.duplicate_appends:
            faults.duplicate_appends -= 1
            stream.append_record(record)
        if faults.lose_answers:
            faults.lose_answers -= 1
            return ServiceReply(0)
        return ServiceReply(200, msgpack.encode({"offset": offset}), CONTENT_TYPE)

    async def _async_read(self, name: str, query: dict[str, str]) -> ServiceReply:
        """Read records, waiting for the first of them."""
        stream = self._find_stream(name)
        offset = int(query.get("from", "0"))
        limit = int(query.get("limit", "100"))
        wait_ms = int(query.get("wait_ms", "0"))
        if self.faults.read_delay_ms:
            await sleep(self.faults.read_delay_ms / MS_PER_S)
        if stream.first_offset <= offset and offset >= stream.next_offset and wait_ms:
            appended = stream.appended
            with move_on_after(wait_ms / MS_PER_S):
                await appended.wait()
        if self.faults.is_out:
            return ServiceReply(503)
        if offset < stream.first_offset:
            return self._write_read(410, stream, [], stream.first_offset)
        start = offset - stream.first_offset
        end = min(start + limit, len(stream.records))
        records = [
            [stream.first_offset + index, stream.records[index]]
            for index in range(start, end)
        ]
        return self._write_read(200, stream, records, offset + len(records))

    def _write_read(
        self, status: int, stream: Stream, records: list[list[object]], following: int
    ) -> ServiceReply:
        """Return the reply to a read."""
        body = {
            "first_offset": stream.first_offset,
            "next_offset": following,
            "records": records,
        }
        return ServiceReply(status, msgpack.encode(body), CONTENT_TYPE)
