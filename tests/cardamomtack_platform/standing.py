"""The built process between stand-ins of its store and of one backend server."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from cardamomtack_standins.asgi import async_serve_service
from cardamomtack_standins.fleet import find_free_ports
from cardamomtack_standins.keyed_store import KeyedStoreStandIn
from tests.cardamomtack_platform.test_translation import CONFIGURATION, ENTRY, PATH

ADDRESS = "127.0.0.1"
ANSWER_WAIT_S = 30.0
KIB = 1024
# So long that the process sends a whole crowd to the one server.
OBJECTIVE_S = 30.0
PART_BYTES = 65_536
ROOT = Path(__file__).resolve().parents[2]
ENTRY_PROGRAM = ROOT / "target/app/entry.py"
SETTINGS = """node=edge-a-1
zone=a
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
internalPorts={relay},{relay}
bounds.graceS=6
bounds.retryBudget=0.2
bounds.retrySlack=56
limits.ramMb={memory_mb}
limits.maxFds={descriptors}
provider.addr=127.0.0.1:{store}
"""
# The bounds of an operator's configuration that are usual, and no other obstacle.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}
SLOTS = 2000
TIMEOUT_S = 60.0


def build_program():
    """Build what the platform starts."""
    build = [sys.executable, str(ROOT / "platform/build.py")]
    subprocess.run(build, check=True, cwd=ROOT)


def make_head(target, fields="", method="GET"):
    """Return the head of a request that the process forwards."""
    head = f"{method} /a/{target} HTTP/1.1\r\nHost: one.example\r\n"
    return f"{head}X-Cardamomtack-Attempt-Id: a1\r\n{fields}\r\n".encode()


async def async_serve_backend(reader, writer):
    """Answer ``/a/N`` with N bytes, ``/a/wait`` never, and an upload by its length."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            fields = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n") if b": " in line
            )
            body = await _async_read_body(reader, fields)
            path = head.split(b" ")[1].rpartition(b"/")[2]
            if path == b"wait":
                await asyncio.sleep(TIMEOUT_S)
            length = int(path) if path.isdigit() else 2
            answer = b"HTTP/1.1 200 OK\r\nX-Cardamomtack-Instance-Id: i-1\r\n"
            answer += b"X-Cardamomtack-Backend-Load: 0,0,%d,100\r\n" % SLOTS
            request_id = fields.get(b"x-cardamomtack-attempt-id")
            if request_id is not None:
                answer += b"X-Cardamomtack-Attempt-Id: " + request_id + b"\r\n"
                answer += b"X-Cardamomtack-Response-Seal: sealed\r\n"
                answer += b"X-Body-Bytes: %d\r\n" % body
            writer.write(answer + b"Content-Length: %d\r\n\r\n" % length)
            for start in range(0, length, PART_BYTES):
                writer.write(b"x" * min(PART_BYTES, length - start))
                await writer.drain()
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def _async_read_body(reader, fields):
    """Drop a body and return its length."""
    size = 0
    if b"transfer-encoding" in fields:
        while length := int(await reader.readline(), 16):
            await reader.readexactly(length + 2)
            size += length
        await reader.readline()
    else:
        size = int(fields.get(b"content-length", b"0"))
        left = size
        while left:
            part = await reader.read(min(left, PART_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
    return size


class StandingProcess:
    """One process that serves, and what it holds."""

    def __init__(self, process, ports):
        self._process = process
        self.descriptors_max = 0
        self.ports = ports

    @property
    def is_alive(self):
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def read_memory(self):
        """Return the resident memory and its peak, in bytes."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines())
        return tuple(int(lines[name].split()[0]) * KIB for name in ("VmRSS", "VmHWM"))

    def count_descriptors(self):
        """Return how many descriptors are open now."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def async_watch_descriptors(self):
        """Keep the largest number of open descriptors."""
        while self.is_alive:
            self.descriptors_max = max(self.descriptors_max, self.count_descriptors())
            await anyio.sleep(0.02)

    async def async_call(self, request, port="front"):
        """Return the status, the head and the length of the body of one response.

        It is sent again after a refusal or a closed connection, as callers do.
        """
        with anyio.fail_after(ANSWER_WAIT_S):
            while True:
                try:
                    answer = await self._async_call_once(request, self.ports[port])
                except (OSError, asyncio.IncompleteReadError):
                    answer = (0, b"", 0)
                if answer[0] not in (0, 503):
                    return answer
                await anyio.sleep(0.2)

    async def _async_call_once(self, request, port):
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        try:
            sending = asyncio.ensure_future(_async_send(writer, request))
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            size = 0
            while size < length:
                part = await reader.read(PART_BYTES)
                if not part:
                    raise asyncio.IncompleteReadError(b"", length)
                size += len(part)
            await sending
            return int(head.split(b" ")[1]), head, size
        finally:
            sending.cancel()
            writer.close()


async def _async_send(writer, request):
    """Send a request in parts, as the other end takes them."""
    for start in range(0, len(request), PART_BYTES):
        writer.write(request[start : start + PART_BYTES])
        await writer.drain()


@asynccontextmanager
async def open_standing_process(memory_mb, descriptors):
    """Start the process with its stand-ins, and end it."""
    names = ("front", "ready", "relay", "store", "backend")
    ports = dict(zip(names, find_free_ports(5), strict=True))
    configuration = {
        **CONFIGURATION,
        "services": [{**one, "maxConns": SLOTS} for one in CONFIGURATION["services"]],
        "limits": LIMITS,
        "vhosts": [
            {
                "host": "one.example",
                "paths": [
                    {
                        **PATH,
                        "timeoutS": TIMEOUT_S,
                        "sloS": OBJECTIVE_S,
                        "split": [{"service": "desk", "weight": 100}],
                    }
                ],
            }
        ],
    }
    entry = {**ENTRY, "addr": f"{ADDRESS}:{ports['backend']}", "slots": SLOTS}
    entry["warmupLeftS"] = 0
    store = KeyedStoreStandIn()
    store.write("keyed.op", "config", json.dumps(configuration).encode())
    store.write("keyed.servers", "i-1", json.dumps(entry).encode())
    stopped = anyio.Event()
    backend = await asyncio.start_server(
        async_serve_backend, ADDRESS, ports["backend"], backlog=1024
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.conf"
        path.write_text(
            SETTINGS.format(memory_mb=memory_mb, descriptors=descriptors, **ports)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                async_serve_service, store, ADDRESS, ports["store"], stopped
            )
            process = subprocess.Popen(
                [sys.executable, str(ENTRY_PROGRAM)],
                env={**os.environ, "CARDAMOMTACK_SETTINGS": str(path)},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            resource.prlimit(
                process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors)
            )
            standing = StandingProcess(process, ports)
            try:
                ready = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                await standing.async_call(ready, "ready")
                watch = asyncio.ensure_future(standing.async_watch_descriptors())
                yield standing
            finally:
                watch.cancel()
                process.kill()
                process.wait()
                stopped.set()
                backend.close()
