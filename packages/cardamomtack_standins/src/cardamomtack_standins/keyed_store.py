"""Stand-in of the users' store: keyed topics on a log, with faults that can be set.

It speaks as much of the published protocol as the product uses: ``/log-append``,
``/log-read`` and ``/log-newest``.
"""

from __future__ import annotations

from base64 import b64encode
from dataclasses import dataclass, field, replace
from math import inf

from anyio import Event, move_on_after, sleep, sleep_forever
from msgspec import json

from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack_standins.asgi import ServiceReply, ServiceRequest

HEADER_HISTORY = b"store-era"
LENGTH_BYTES = 4
OFFSET_BYTES = 8
PAGE_ITEMS_MAX = 500
RAW = b"application/octet-stream"


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes
    ----------
    status : int
        Status with which every call is refused without effect; 0 for none.
    is_silent : bool
        Whether calls have no effect and get no answer.
    loses_answers : bool
        Whether calls take effect, and the connection ends without an answer.
    late_s : float
        Time after which a write whose answer is lost takes effect, in seconds.
    delay_s : float
        Time before each answer, in seconds.
    bytes_per_s : float
        Bandwidth over which answers leave.
    """

    status: int = 0
    is_silent: bool = False
    loses_answers: bool = False
    late_s: float = 0.0
    delay_s: float = 0.0
    bytes_per_s: float = inf


@dataclass(slots=True)
class _Topic:
    """One topic with one partition."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: Event = field(default_factory=Event)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)


class KeyedStoreStandIn:
    """Keeps keyed topics in memory.

    Attributes
    ----------
    calls : list of str
        Paths of the calls that came in.
    faults : StoreFaults
        What goes wrong from now on.
    history : int
        Grows each time that the store comes back from a copy; 0 tells no caller.
    page_items_max : int
        Records on a page of the newest ones.
    read_items_max : int
        Records in the answer to a read.
    """

    __slots__ = (
        "_topics",
        "calls",
        "faults",
        "history",
        "page_items_max",
        "read_items_max",
    )

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self.calls: list[str] = []
        self.faults = StoreFaults()
        self.history = 0
        self.page_items_max = PAGE_ITEMS_MAX
        self.read_items_max = PAGE_ITEMS_MAX

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Append the record of a key, as another writer, and return its offset."""
        name = key.encode()
        return self.write_raw(topic, bytes([len(name)]) + name + value)

    def write_raw(self, topic: str, record: bytes) -> int:
        """Append any bytes as a record and return its offset."""
        found = self._find(topic)
        offset = found.end
        found.records.append(record)
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode("utf-8", "replace")
        if record[key_end:]:
            found.newest[key] = (offset, record[key_end:])
        else:
            found.newest.pop(key, None)
        found.appended.set()
        found.appended = Event()
        return offset

    def drop_history(self, topic: str) -> None:
        """Delete the records of a topic; the newest of each key is kept."""
        found = self._find(topic)
        found.first = found.end
        found.records = []

    def take_copy(self) -> dict[str, _Topic]:
        """Return a copy of all topics."""
        return {
            name: replace(
                topic,
                records=list(topic.records),
                newest=dict(topic.newest),
                appended=Event(),
            )
            for name, topic in self._topics.items()
        }

    def restore(self, copy: dict[str, _Topic]) -> None:
        """Come back from a copy; what was written since is gone."""
        self._topics = copy
        self.history += 1

    def find_value(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key, or None."""
        found = self._find(topic).newest.get(key)
        return found[1] if found else None

    async def async_answer(self, request: ServiceRequest) -> ServiceReply:
        """Return the reply to a request."""
        self.calls.append(request.path)
        faults = self.faults
        await sleep(faults.delay_s)
        if faults.is_silent:
            await sleep_forever()
        if faults.status:
            return ServiceReply(faults.status)
        if faults.loses_answers and faults.late_s:
            await sleep(faults.late_s)
        reply = await self._async_act(request)
        if faults.loses_answers:
            return ServiceReply(0)
        reply.bytes_per_s = faults.bytes_per_s
        if self.history:
            reply.headers.append((HEADER_HISTORY, str(self.history).encode()))
        return reply

    async def _async_act(self, request: ServiceRequest) -> ServiceReply:
        """Do what a request asks for."""
        topic = request.query.get("topic", "")
        if request.path == "/log-append":
            return self._append(topic, request.body)
        if request.path == "/log-newest":
            return self._read_newest(topic, request.query.get("after", ""))
        if request.path == "/log-read":
            return await self._async_read(topic, request.query)
        return ServiceReply(404)

    def _append(self, topic: str, body: bytes) -> ServiceReply:
        """Append the records of a body."""
        offset = self._find(topic).end
        position = 0
        while position < len(body):
            start = position + LENGTH_BYTES
            position = start + int.from_bytes(body[start - LENGTH_BYTES : start], "big")
            self.write_raw(topic, body[start:position])
        end = self._find(topic).end
        return ServiceReply(200, json.encode({"offset": offset, "end": end}))

    def _read_newest(self, topic: str, after: str) -> ServiceReply:
        """Return a page of the newest records."""
        found = self._find(topic)
        keys = sorted(key for key in found.newest if key > after)
        page = keys[: self.page_items_max]
        items = [
            {
                "key": key,
                "value": b64encode(found.newest[key][1]).decode(),
                "offset": found.newest[key][0],
            }
            for key in page
        ]
        has_more = len(keys) > len(page)
        answer = {"items": items, "hasMore": has_more, "end": found.end}
        return ServiceReply(200, json.encode(answer))

    async def _async_read(self, topic: str, query: dict[str, str]) -> ServiceReply:
        """Return records, waiting a while for the first one."""
        found = self._find(topic)
        start = int(query["from"])
        if start >= found.end:
            with move_on_after(int(query.get("waitMs", "0")) / MS_PER_S):
                await found.appended.wait()
        if not found.first <= start <= found.end:
            return ServiceReply(410, json.encode({"first": found.first}))
        body = found.end.to_bytes(OFFSET_BYTES, "big")
        body += found.first.to_bytes(OFFSET_BYTES, "big")
        position = start - found.first
        for record in found.records[position : position + self.read_items_max]:
            body += len(record).to_bytes(LENGTH_BYTES, "big") + record
        return ServiceReply(200, body, RAW)

    def _find(self, topic: str) -> _Topic:
        """Return a topic, which is made at its first use."""
        return self._topics.setdefault(topic, _Topic())
