"""Stand-ins of the platform for the scripts of this review: store, servers, callers.

They speak what the pages SYSTEM, PROTOCOL and DEPLOY say, on loopback addresses, and
behave like a sound store, sound servers and sound callers where a page is silent. The
daemons are started as separate processes with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEAD_END = b"\r\n\r\n"


def find_port(address: str, taken: set[int]) -> int:
    """Return a port that is free on an address and was not given out before."""
    while True:
        port = random.randrange(20000, 30000)
        if port in taken:
            continue
        with contextlib.closing(socket.socket()) as one:
            try:
                one.bind((address, port))
            except OSError:
                continue
        taken.add(port)
        return port


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields of a message, None at its end."""
    try:
        data = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.calls = 0
        self.answer_s = 0.004
        self.loses: Callable[[str, bytes], bool] = lambda target, body: False
        self.late_s = 5.0
        self.late: set[asyncio.Task[None]] = set()

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, address, port)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record as the operator, a server or the system does."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                self.calls += 1
                if method == "POST" and self.loses(target, body):
                    task = asyncio.create_task(self.do_late(method, target, body))
                    self.late.add(task)
                    task.add_done_callback(self.late.discard)
                    # Nothing further comes on this connection.
                    while await reader.read(65536):
                        pass
                    return
                status, data = await self.answer(method, target, body)
                await asyncio.sleep(self.answer_s)
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, len(data))
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def do_late(self, method: str, target: str, body: bytes) -> None:
        """Do a write seconds later whose answer is lost."""
        self.record.add(f"store: answer lost of {method} {target}")
        await asyncio.sleep(self.late_s)
        await self.answer(method, target, body)
        self.record.add(f"store: done late {method} {target}")

    async def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a call."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if parts.path == "/log-newest":
            return 200, self.list_newest(records, query.get("after", ""))
        if parts.path == "/log-read":
            offset = int(query["from"])
            left_s = int(query.get("waitMs", "0")) / 1000
            ends_s = time.monotonic() + left_s
            while offset >= len(records):
                left_s = ends_s - time.monotonic()
                if left_s <= 0:
                    break
                changed = self.changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left_s)
            return 200, self.list_from(records, offset)
        if parts.path == "/log-append" and method == "POST":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            first = len(records)
            while body:
                length = int.from_bytes(body[:4], "big")
                content, body = body[4 : 4 + length], body[4 + length :]
                end = 1 + content[0]
                self.put(topic, content[1:end].decode(), content[end:])
            return 200, json.dumps({"offset": first, "end": len(records)}).encode()
        return 404, b"{}"

    @staticmethod
    def list_newest(records: list[tuple[str, bytes]], after: str) -> bytes:
        """Return the newest record of each key."""
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        keys = sorted(key for key in newest if newest[key][1] and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        page = {"items": items, "hasMore": len(keys) > 500, "end": len(records)}
        return json.dumps(page).encode()

    @staticmethod
    def list_from(records: list[tuple[str, bytes]], offset: int) -> bytes:
        """Return the records from an offset on."""
        data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[offset:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            data += len(content).to_bytes(4, "big") + content
        return data


class Backend:
    """One backend server."""

    def __init__(
        self,
        record: Record,
        server_id: str,
        service: str,
        address: str,
        port: int,
        zone: str,
        slots: int = 6,
        work_s: float = 0.02,
    ) -> None:
        self.record = record
        self.server_id = server_id
        self.service = service
        self.address = address
        self.port = port
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.queue_max = 2 * slots
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs: list[tuple[float, str, str, str, str]] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def write_entry(self) -> bytes:
        """Return the entry of discovery."""
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftS": 0,
            "seq": self.seq,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    def fields(self, attempt: str = "") -> str:
        """Return the header fields that every answer has."""
        lines = (
            f"X-Cardamomtack-Instance-Id: {self.server_id}\r\n"
            f"X-Cardamomtack-Backend-Load: {self.running},{self.waiting},{self.slots}\r\n"
        )
        if attempt:
            lines += f"X-Cardamomtack-Attempt-Id: {attempt}\r\n"
        return lines

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                if target == "/healthz":
                    data = self.answer(200 if self.state == "ready" else 503, "")
                else:
                    body = await read_body(reader, head[1])
                    data = await self.run(method, target, head[1], body)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(
        self, status: int, attempt: str, extra: str = "", body: bytes = b""
    ) -> bytes:
        """Return an answer."""
        head = f"HTTP/1.1 {status} X\r\n{self.fields(attempt)}{extra}"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    async def run(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> bytes:
        """Run a request, or reject it."""
        attempt = fields.get("x-cardamomtack-attempt-id", "")
        wanted = fields.get("x-cardamomtack-target-instance", self.server_id)
        if wanted != self.server_id:
            return self.answer(421, attempt)
        not_run = "X-Cardamomtack-Not-Executed: 1\r\n"
        if self.free.locked() and self.waiting >= self.queue_max:
            return self.answer(503, attempt, not_run)
        left_s = int(fields.get("x-cardamomtack-deadline-ms", "10000")) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), left_s)
        except TimeoutError:
            return self.answer(503, attempt, not_run)
        finally:
            self.waiting -= 1
        self.running += 1
        tenant = fields.get("x-cardamomtack-tenant", "")
        self.runs.append((self.record.now_s(), attempt, method, target, tenant))
        self.record.add(
            f"run attempt={attempt} at={self.server_id} {method} {target} "
            f"tenant={tenant} body={len(body)}"
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        seal = f"X-Cardamomtack-Response-Seal: {attempt}.{self.server_id}\r\n"
        return self.answer(200, attempt, seal, f"done {attempt}".encode())


class Daemon:
    """One process of the system, started as the platform starts it."""

    def __init__(
        self, record: Record, folder: Path, fields: dict[str, str], name: str
    ) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.fields = fields
        self.settings = folder / f"{name}.conf"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    @property
    def address(self) -> str:
        """Return where callers connect."""
        return self.fields["listen.front"].rpartition(":")[0]

    @property
    def port(self) -> int:
        """Return the port of callers."""
        return int(self.fields["listen.front"].rpartition(":")[2])

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        text = "".join(f"{key}={value}\n" for key, value in self.fields.items())
        self.settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(next(iter(deploy["roles"].values()))["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CARDAMOMTACK_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"started {self.name}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running and self.process is not None:
            self.process.send_signal(number)
            self.record.add(f"{number.name} to {self.name}")

    async def wait_for_end(self, timeout_s: float) -> None:
        """Wait until the process has ended; kill it after a time."""
        ends_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < ends_s:
            await asyncio.sleep(0.02)
        if self.is_running and self.process is not None:
            self.process.kill()
        if self.process is not None:
            code = await asyncio.to_thread(self.process.wait)
            self.record.add(f"{self.name} ended with {code}")

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until the process says that it is ready."""
        address, _, port = self.fields["listen.ready"].rpartition(":")
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            try:
                answer = await call(address, int(port), "GET", "/readyz", {}, timeout_s=1)
            except OSError:
                answer = None
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False


async def call(
    address: str,
    port: int,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Return the answer to a request on a new connection, None without a whole one."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
            head = f"{method} {target} HTTP/1.1\r\n{lines}"
            if body or method != "GET":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(f"{head}\r\n".encode() + body)
            await writer.drain()
            answered = await read_head(reader)
            if answered is None:
                return None
            data = await read_body(reader, answered[1])
            return int(answered[0].split(" ")[1]), answered[1], data
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """A small deployment: store, servers and daemons, each daemon at its address."""

    def __init__(self, vms: int, zones: list[str]) -> None:
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.taken: set[int] = set()
        self.store = Store(self.record)
        self.store_port = find_port("127.0.0.1", self.taken)
        self.front_port = find_port("127.0.0.1", self.taken)
        self.ready_port = find_port("127.0.0.1", self.taken)
        self.control_port = find_port("127.0.0.1", self.taken)
        self.internal_port = random.randrange(30100, 32000)
        self.backends: list[Backend] = []
        self.daemons: list[Daemon] = []
        self.version = 0
        for number in range(vms):
            zone = zones[number % len(zones)]
            self.add_daemon(f"edge-{zone}-{number // len(zones) + 1}", zone, number)

    def add_daemon(self, name: str, zone: str, number: int) -> Daemon:
        """Add a daemon that is not started yet."""
        address = f"127.0.1.{number + 1}"
        fields = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": "edge",
            "ip": address,
            "zone": zone,
            "region": "region-1",
            "listen.front": f"{address}:{self.front_port}",
            "listen.ready": f"{address}:{self.ready_port}",
            "listen.control": f"{address}:{self.control_port}",
            "internalPorts": f"{self.internal_port},{self.internal_port + 15}",
            "bootstrap": "true",
            "limits.cpuShare": "0.86",
            "limits.cpus": "1",
            "limits.ramMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeatS": "1.5",
            "bounds.stableS": "3",
            "bounds.drainS": "2",
            "bounds.graceS": "6",
            "bounds.lossSlackS": "0.2",
            "bounds.configApplyS": "2",
            "bounds.rollbackSlackS": "0.25",
            "bounds.maxStretchS": "5",
            "bounds.retryBudget": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56",
            "bounds.probesPerS": "60",
            "provider.addr": f"127.0.0.1:{self.store_port}",
            "provider.form": "log",
        }
        daemon = Daemon(self.record, self.folder, fields, name)
        self.daemons.append(daemon)
        return daemon

    def add_backends(
        self, service: str, count: int, zones: list[str], **options: float
    ) -> None:
        """Add servers of a service."""
        for number in range(count):
            port = find_port("127.0.0.1", self.taken)
            server_id = f"i-{service}{number:04x}"
            zone = zones[number % len(zones)]
            self.backends.append(
                Backend(
                    self.record, server_id, service, "127.0.0.1", port, zone, **options
                )
            )

    def write_config(self, **parts: object) -> None:
        """Write a desired state as the operator does."""
        self.version += 1
        state = {"version": f"{self.version:08x}", **parts}
        state.setdefault(
            "limits",
            {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
        )
        self.store.put("keyed.op", "config", json.dumps(state).encode())
        self.record.add(f"desired state {state['version']} confirmed")

    async def start(self) -> None:
        """Start everything, and wait until the daemons are ready."""
        await self.store.start("127.0.0.1", self.store_port)
        for backend in self.backends:
            await backend.start()
            self.store.put("keyed.servers", backend.server_id, backend.write_entry())
        for daemon in self.daemons:
            daemon.start()
        ready = await asyncio.gather(
            *(daemon.wait_until_ready(30) for daemon in self.daemons)
        )
        if not all(ready):
            raise RuntimeError("daemons did not become ready")

    async def stop(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            if daemon.is_running and daemon.process is not None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await asyncio.to_thread(daemon.process.wait)
        shutil.rmtree(self.folder, ignore_errors=True)


EXIT_BROKEN = 3
"""Exit code of a script whose rule was broken; Python itself ends with 1 on errors."""


def run_case(main: Callable[[], Awaitable[bool]]) -> None:
    """Run a case and exit: `EXIT_BROKEN`, 0 when it held, 2 when it couldn't run."""

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await main()

    try:
        is_broken = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(EXIT_BROKEN if is_broken else 0)
