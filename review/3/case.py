"""A request that crashes each backend that runs it is let through again and again.

Six processes serve callers all the time. Five times, another request comes once a
second at one process after the other; each backend that has worked on it for half a
second crashes, and is back after six seconds as a new boot under a new id. After three
such crashes and stableS more, no process may send it on any more.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    HOST,
    Backend,
    Daemon,
    Record,
    Store,
    async_read_head,
    build_configuration,
    build_path,
    choose_ports,
    find_free_port,
    run_case,
)

ALLOWED = 3
CALLERS = 2
CRASHES_AFTER_S = 0.5
DAEMONS = 6
DOWN_S = 6.0
EPISODES = 5
REPEATS = 11
REPEAT_S = 1.0
SERVERS = 12
STABLE_S = 3.0
WORK_S = 0.05


class Episode:
    """One request that crashes backends."""

    def __init__(self, path: str) -> None:
        self.crashed_at_s: list[float] = []
        self.late: set[str] = set()
        self.path = path

    def record_arrival(self, request_id: str) -> bool:
        """Record that a backend gets the request; return whether it may not any more."""
        is_late = (
            len(self.crashed_at_s) >= ALLOWED
            and time.monotonic() > self.crashed_at_s[ALLOWED - 1] + STABLE_S
        )
        if is_late:
            self.late.add(request_id)
        return is_late


class FragileBackend(Backend):
    """Crashes from some requests, and starts again."""

    def __init__(self, number: int, record: Record, store: Store, episodes) -> None:
        super().__init__(f"i-{number}-0", "desk", record)
        self._boots = 0
        self._number = number
        self._server: asyncio.Server | None = None
        self._store = store
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.episodes: dict[str, Episode] = episodes

    async def async_start(self) -> None:
        """Listen, and register."""
        self._server = await asyncio.start_server(
            self._async_serve, self.address, self.port
        )
        await self._store.async_write(
            "keyed.servers", self.server_id, self.build_entry()
        )

    async def _async_serve(self, reader, writer) -> None:
        """Serve the requests of a connection."""
        self._writers.add(writer)
        try:
            await super()._async_serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def crash(self) -> None:
        """End at once, as a process that crashes does."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._tasks.append(asyncio.create_task(self._async_come_back()))

    async def _async_come_back(self) -> None:
        """Start again; the entry of the boot before lapses after three heartbeats."""
        gone_id = self.server_id
        await asyncio.sleep(4.5)
        await self._store.async_write("keyed.servers", gone_id, b"")
        await asyncio.sleep(DOWN_S - 4.5)
        self._boots += 1
        self.server_id = f"i-{self._number}-{self._boots}"
        self.born = int(time.time() * 1000)
        self.port = find_free_port()
        self.running = 0
        await self.async_start()

    async def async_handle(self, first, fields, reader, writer) -> None:
        """Run one request."""
        await self.async_read_body(fields, reader)
        request_id = fields["x-cardamomtack-attempt-id"]
        episode = self.episodes.get(first.split(" ")[1])
        boots = self._boots
        self.running += 1
        try:
            if episode is not None:
                note = ", too late" if episode.record_arrival(request_id) else ""
                self.record.write(f"{self.server_id} runs {request_id}{note}")
                await asyncio.sleep(CRASHES_AFTER_S)
                if boots == self._boots and self._server is not None:
                    episode.crashed_at_s.append(time.monotonic())
                    self.record.write(f"{self.server_id} crashes")
                    self.crash()
                raise ConnectionResetError
            await asyncio.sleep(WORK_S)
        finally:
            self.running -= 1
        extra = "X-Cardamomtack-Response-Seal: sealed\r\nContent-Length: 2\r\n"
        writer.write(self.build_head("200 OK", fields, extra) + b"ok")
        await writer.drain()


async def async_send(daemon: Daemon, path: str, request_id: str) -> str:
    """Send a request on a new connection; return the first line of its answer."""
    reader, writer = await asyncio.open_connection(
        daemon.address, daemon.ports["front"]
    )
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Cardamomtack-Attempt-Id: {request_id}\r\n"
        "X-Cardamomtack-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbook".encode()
    )
    first = "no answer"
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        first, fields = await async_read_head(reader)
        await reader.readexactly(int(fields["content-length"]))
    writer.close()
    return first


async def async_call_always(
    name: str, daemon: Daemon, statuses: dict[str, int]
) -> None:
    """Book all the time."""
    number = 0
    while True:
        number += 1
        first = await async_send(daemon, f"/book/{name}/{number}", f"{name}-{number}")
        statuses[first] = statuses.get(first, 0) + 1
        await asyncio.sleep(WORK_S)


async def async_play(
    episode: Episode, daemons: list[Daemon], record: Record, has_trouble: bool
) -> None:
    """Send a request once a second, at one process after the other."""

    async def send(number: int) -> None:
        daemon = daemons[number % DAEMONS]
        path = episode.path if has_trouble else f"/book{episode.path}/{number}"
        request_id = f"again{episode.path.replace('/', '-')}-{number}"
        first = await async_send(daemon, path, request_id)
        record.write(f"{request_id} at {daemon.name}: {first}")

    sending = []
    for number in range(REPEATS):
        sending.append(asyncio.create_task(send(number)))
        await asyncio.sleep(REPEAT_S)
    await asyncio.gather(*sending)


async def main(record: Record, daemons: list[Daemon], has_trouble: bool) -> bool:
    """Return whether a request that crashes backends was let through too often."""
    store = Store()
    await store.async_start()
    routes = [
        build_path("book", "/book/", "desk", "non_idempotent", 2.0, 1.0),
        build_path("order", "/order/", "desk", "non_idempotent", 2.0, 1.0),
    ]
    await store.async_write(
        "keyed.op", "config", build_configuration(routes, ["desk"], 7)
    )
    episodes = {f"/order/{one}": Episode(f"/order/{one}") for one in range(EPISODES)}
    for number in range(SERVERS):
        await FragileBackend(number, record, store, episodes).async_start()
    ports = choose_ports(DAEMONS)
    for number in range(DAEMONS):
        daemon = Daemon(f"edge-a-{number}", f"127.0.0.{number + 2}", ports, store)
        daemons.append(daemon)
        daemon.start()
    for daemon in daemons:
        await daemon.async_wait_ready()
    await asyncio.sleep(4.0)
    statuses: dict[str, int] = {}
    calling = [
        asyncio.create_task(async_call_always(f"{one.name}-{number}", one, statuses))
        for one in daemons
        for number in range(CALLERS)
    ]
    is_broken = False
    for episode in episodes.values():
        await async_play(episode, daemons, record, has_trouble)
        record.write(
            f"{episode.path}: {len(episode.crashed_at_s)} crashes, and"
            f" {len(episode.late)} retries that came too late"
        )
        is_broken = is_broken or len(episode.late) > ALLOWED
        await asyncio.sleep(DOWN_S + 1.0)
    record.write(f"answers to all other requests: {statuses}")
    for task in calling:
        task.cancel()
    return is_broken


run_case(main, Path(__file__).resolve().parent)
