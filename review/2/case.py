"""A server that has left gets requests for too long after another VM stood still.

Nine processes serve callers all the time, and the four servers of the service are
replaced one after the other: the new one starts first, and the old one takes its entry
out of the store, serves on for a while, and ends. Each time edge-a-0 has stood still
since two seconds before, for three seconds in all. Only requests that the other eight
processes sent on are judged; nothing ever happened to these, nor to the store.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
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
    run_case,
)

CALLERS = 2
CYCLES = 6
DAEMONS = 9
DRAIN_S = 2.0
FREEZE_S = 3.0
LEAVES_AFTER_S = 2.0
PAUSE_S = 6.0
SERVERS = 4
SERVES_ON_S = 2.5
WORK_S = 0.1


class LeavingBackend(Backend):
    """Ends a while after its entry has gone."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.left_at_s: float | None = None
        self.late = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._async_serve, self.address, self.port
        )

    async def async_leave(self, store: Store) -> None:
        """Take the entry out, serve on, and end."""
        await store.async_write("keyed.servers", self.server_id, b"")
        self.is_leaving = True
        self.left_at_s = time.monotonic()
        self.record.write(f"the store has removed the entry of {self.server_id}")
        await asyncio.sleep(SERVES_ON_S)
        self.record.write(f"{self.server_id} ends")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_handle(self, first, fields, reader, writer) -> None:
        """Run one request."""
        self._writers.add(writer)
        await self.async_read_body(fields, reader)
        request_id = fields["x-cardamomtack-attempt-id"]
        if self.left_at_s is not None:
            late_s = time.monotonic() - self.left_at_s
            is_judged = not request_id.startswith("edge-a-0_")
            if late_s > DRAIN_S:
                self.late += is_judged
                self.record.write(
                    f"{self.server_id} runs {request_id} {late_s:.2f} s after its entry"
                    f" went{'' if is_judged else ' (not judged)'}"
                )
        self.running += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.running -= 1
        extra = "X-Cardamomtack-Response-Seal: sealed\r\nContent-Length: 2\r\n"
        writer.write(self.build_head("200 OK", fields, extra) + b"ok")
        await writer.drain()


class Caller:
    """Books all the time, one request after the other, at one process."""

    def __init__(self, name: str, daemon: Daemon, record: Record) -> None:
        self._daemon = daemon
        self._name = name
        self._record = record
        self.statuses: dict[str, int] = {}

    async def async_call(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    self._daemon.address, self._daemon.ports["front"]
                )
                while True:
                    number += 1
                    request_id = f"{self._name}_{number}"
                    writer.write(
                        f"POST /book/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"X-Cardamomtack-Attempt-Id: {request_id}\r\n"
                        "X-Cardamomtack-Deadline-Ms: 2000\r\n"
                        "Content-Length: 4\r\n\r\nbook".encode()
                    )
                    first, fields = await async_read_head(reader)
                    await reader.readexactly(int(fields["content-length"]))
                    status = first.split(" ")[1]
                    self.statuses[status] = self.statuses.get(status, 0) + 1
                    if status != "200":
                        self._record.write(f"{request_id}: {first}")
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)


async def main(record: Record, daemons: list[Daemon], has_trouble: bool) -> bool:
    """Return whether a server that had left got a request too late."""
    store = Store()
    await store.async_start()
    route = build_path("book", "/book/", "desk", "non_idempotent", 2.0, 0.8)
    await store.async_write(
        "keyed.op", "config", build_configuration([route], ["desk"], 7)
    )
    servers: list[LeavingBackend] = []

    async def start_server() -> None:
        server = LeavingBackend(f"i-{len(servers)}", "desk", record, tells_load=False)
        servers.append(server)
        await server.async_start()
        await store.async_write("keyed.servers", server.server_id, server.build_entry())

    for _ in range(SERVERS):
        await start_server()
    ports = choose_ports(DAEMONS)
    for number in range(DAEMONS):
        daemon = Daemon(f"edge-a-{number}", f"127.0.0.{number + 2}", ports, store)
        daemons.append(daemon)
        daemon.start()
    for daemon in daemons:
        await daemon.async_wait_ready()
    await asyncio.sleep(5.0)
    callers = [
        Caller(f"{daemon.name}_{number}", daemon, record)
        for daemon in daemons
        for number in range(CALLERS)
    ]
    calling = [asyncio.create_task(caller.async_call()) for caller in callers]
    await asyncio.sleep(3.0)
    for cycle in range(CYCLES):
        await start_server()
        if has_trouble:
            record.write(f"SIGSTOP to {daemons[0].name}")
            daemons[0].signal(signal.SIGSTOP)
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving = asyncio.create_task(servers[cycle].async_leave(store))
        await asyncio.sleep(FREEZE_S - LEAVES_AFTER_S)
        if has_trouble:
            record.write(f"SIGCONT to {daemons[0].name}")
            daemons[0].signal(signal.SIGCONT)
        await asyncio.sleep(PAUSE_S)
        await leaving
    late = sum(server.late for server in servers)
    for caller in callers:
        record.write(f"answers by status: {caller.statuses}")
    record.write(f"{late} requests came over {DRAIN_S} s after their server had left")
    for task in calling:
        task.cancel()
    return late > 0


run_case(main, Path(__file__).resolve().parent)
