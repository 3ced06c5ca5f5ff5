"""Uploads whose callers have left still go to a backend, and run there.

All slots of the service are busy for a while. Meanwhile callers send uploads of 200 kB,
whole, and leave 0.4 seconds later. When slots come free, no upload may be sent on any
more. Uploads of 30 kB run beside them for comparison.
"""

from __future__ import annotations

import asyncio
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

A_FEW = 3
BACKENDS = 2
BUSY_S = 1.6
GONE_S = 0.5
LARGE_BYTES = 200_000
LEAVES_AFTER_S = 0.4
ROUNDS = 4
SLOTS = 6
SMALL_BYTES = 30_000
LARGE_UPLOADS = 4
SMALL_UPLOADS = 1
STAYING_UPLOADS = 2
WARM_UP_UPLOADS = 20

left_at_s: dict[str, float] = {}


class IntakeBackend(Backend):
    """Runs bookings that take a while, and uploads that are soon done."""

    late = 0

    async def async_handle(self, first, fields, reader, writer) -> None:
        """Run one request."""
        request_id = fields["x-cardamomtack-attempt-id"]
        left_s = left_at_s.get(request_id)
        if left_s is not None:
            gone_s = time.monotonic() - left_s
            self.late += gone_s > GONE_S
            self.record.write(
                f"{self.server_id} is sent {request_id}, whose caller left"
                f" {gone_s:.2f} s before"
            )
        is_upload = first.split(" ")[1].startswith("/upload/")
        body = await self.async_read_body(fields, reader)
        self.record.write(f"{self.server_id} runs {request_id}, {len(body)} bytes")
        self.running += 1
        try:
            await asyncio.sleep(0.02 if is_upload else BUSY_S)
        finally:
            self.running -= 1
        extra = "X-Cardamomtack-Response-Seal: sealed\r\nContent-Length: 2\r\n"
        writer.write(self.build_head("200 OK", fields, extra) + b"ok")
        await writer.drain()


async def async_call(
    daemon: Daemon, record: Record, path: str, request_id: str, size: int, leaves: bool
) -> None:
    """Send a request whole, and leave or take the answer."""
    reader, writer = await asyncio.open_connection(
        daemon.address, daemon.ports["front"]
    )
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Cardamomtack-Attempt-Id: {request_id}\r\n"
        "X-Cardamomtack-Deadline-Ms: 4000\r\n"
        f"Content-Length: {size}\r\n\r\n".encode()
        + b"u" * size
    )
    await writer.drain()
    if leaves:
        await asyncio.sleep(LEAVES_AFTER_S)
        writer.close()
        await writer.wait_closed()
        left_at_s[request_id] = time.monotonic()
        record.write(f"the caller of {request_id} has left")
        return
    first, _ = await async_read_head(reader)
    record.write(f"{request_id}: {first}")
    writer.close()


async def main(record: Record, daemons: list[Daemon], has_trouble: bool) -> bool:
    """Return whether more than a few requests were sent on after their callers left."""
    store = Store()
    await store.async_start()
    routes = [
        build_path("book", "/book/", "intake", "non_idempotent", 4.0, 2.0),
        build_path("upload", "/upload/", "intake", "upload", 4.0, 2.0),
    ]
    configuration = build_configuration(routes, ["intake"], 7)
    await store.async_write("keyed.op", "config", configuration)
    backends = []
    for number in range(BACKENDS):
        backend = IntakeBackend(f"i-{number}", "intake", record, SLOTS)
        backends.append(backend)
        await backend.async_start()
        await store.async_write(
            "keyed.servers", backend.server_id, backend.build_entry()
        )
    daemon = Daemon("edge-a-0", "127.0.0.2", choose_ports(1), store)
    daemons.append(daemon)
    daemon.start()
    await daemon.async_wait_ready()
    await asyncio.sleep(3.0)
    for number in range(WARM_UP_UPLOADS):
        path = f"/upload/first/{number}"
        await async_call(daemon, record, path, f"first-{number}", LARGE_BYTES, False)
    for turn in range(ROUNDS):
        calls = [
            async_call(
                daemon, record, f"/book/{turn}/{number}", f"b{turn}-{number}", 10, False
            )
            for number in range(BACKENDS * SLOTS)
        ]
        busy = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0.3)
        # Five of nineteen callers leave; two more uploads wait for their answers.
        uploads = [("large", LARGE_BYTES, has_trouble)] * LARGE_UPLOADS
        uploads += [("small", SMALL_BYTES, has_trouble)] * SMALL_UPLOADS
        uploads += [("staying", SMALL_BYTES, False)] * STAYING_UPLOADS
        calls = [
            async_call(
                daemon,
                record,
                f"/upload/{turn}/{kind}/{number}",
                f"{kind}{turn}-{number}",
                size,
                leaves,
            )
            for number, (kind, size, leaves) in enumerate(uploads)
        ]
        await asyncio.gather(*calls)
        await asyncio.gather(*busy)
        await asyncio.sleep(1.5)
    late = sum(backend.late for backend in backends)
    record.write(
        f"{late} requests were sent on over {GONE_S} s after their callers left"
    )
    return late > A_FEW


run_case(main, Path(__file__).resolve().parent)
