"""Stand-ins that the scripts share: store, backends, callers, and the started processes.

Everything listens on loopback addresses. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

CASE_S_MAX = 110.0
ROOT = Path(__file__).resolve().parents[1]
HEALTH_PATH = "/healthz"
HOST = "one.example"


class Record:
    """Writes what happened to a file, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def find_free_port(address: str = "127.0.0.1") -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as found:
        found.bind((address, 0))
        return found.getsockname()[1]


async def async_read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the header fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self) -> None:
        self.address = "127.0.0.1"
        self.port = find_free_port()
        self._records: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._appended = asyncio.Condition()

    async def async_start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._async_serve, self.address, self.port)

    async def async_write(self, topic: str, key: str, value: bytes) -> None:
        """Append the record of a key, as its writer would."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)
        async with self._appended:
            self._appended.notify_all()

    def _append(self, topic: str, record: bytes) -> int:
        """Append a record and return its offset."""
        records = self._records.setdefault(topic, [])
        newest = self._newest.setdefault(topic, {})
        offset = len(records)
        records.append(record)
        end = 1 + record[0]
        key = record[1:end].decode()
        if record[end:]:
            newest[key] = (offset, record[end:])
        else:
            newest.pop(key, None)
        return offset

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection."""
        try:
            while True:
                first, fields = await async_read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                target = urlsplit(first.split(" ")[1])
                query = {key: one[0] for key, one in parse_qs(target.query).items()}
                answer = await self._async_act(target.path, query, body)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _async_act(self, path: str, query: dict[str, str], body: bytes) -> bytes:
        """Do what a call asks for, and return the body of its answer."""
        topic = query["topic"]
        records = self._records.setdefault(topic, [])
        newest = self._newest.setdefault(topic, {})
        if path == "/log-append":
            position, offset = 0, len(records)
            while position < len(body):
                start = position + 4
                position = start + int.from_bytes(body[start - 4 : start], "big")
                self._append(topic, body[start:position])
            async with self._appended:
                self._appended.notify_all()
            return json.dumps({"offset": offset, "end": len(records)}).encode()
        if path == "/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in sorted(newest.items())
            ]
            answer = {"items": items, "hasMore": False, "end": len(records)}
            return json.dumps(answer).encode()
        start = int(query["from"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000):
                async with self._appended:
                    await self._appended.wait_for(lambda: len(records) > start)
        answer = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for one in records[start:]:
            answer += len(one).to_bytes(4, "big") + one
        return answer


class Backend:
    """A backend server: answers health checks, and requests through a method."""

    def __init__(
        self,
        server_id: str,
        service: str,
        record: Record,
        slots: int = 6,
        zone: str = "a",
        tells_load: bool = True,
    ) -> None:
        self.address = "127.0.0.1"
        self.port = find_free_port()
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.tells_load = tells_load
        self.zone = zone
        self.is_leaving = False
        self.running = 0
        self.record = record
        self.born = int(time.time() * 1000)
        self._seq = 0

    async def async_start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._async_serve, self.address, self.port)

    def build_entry(self, state: str = "ready") -> bytes:
        """Return the entry that the backend registers."""
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeftS": 0,
            "seq": self._seq,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    def build_head(self, status: str, fields: dict[str, str], extra: str) -> bytes:
        """Return the head of an answer to a request."""
        request_id = fields.get("x-cardamomtack-attempt-id", "")
        return (
            f"HTTP/1.1 {status}\r\nX-Cardamomtack-Attempt-Id: {request_id}\r\n"
            f"{self.build_fields().decode()}{extra}\r\n"
        ).encode()

    def build_fields(self) -> bytes:
        """Return what all answers say of the backend."""
        fields = b""
        if self.tells_load:
            load = (self.running, self.slots)
            fields += b"X-Cardamomtack-Backend-Load: %d,0,%d,100\r\n" % load
        if self.is_leaving:
            fields += b"Connection: close\r\n"
        return fields

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection."""
        try:
            while True:
                first, fields = await async_read_head(reader)
                if first.split(" ")[1] == HEALTH_PATH:
                    status = b"503 Leaving" if self.is_leaving else b"200 OK"
                    writer.write(
                        b"HTTP/1.1 %b\r\nX-Cardamomtack-Instance-Id: %b\r\n"
                        b"%bContent-Length: 0\r\n\r\n"
                        % (status, self.server_id.encode(), self.build_fields())
                    )
                    await writer.drain()
                    if self.is_leaving:
                        return
                    continue
                await self.async_handle(first, fields, reader, writer)
                if self.is_leaving:
                    return
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def async_read_body(
        self, fields: dict[str, str], reader: asyncio.StreamReader
    ) -> bytes:
        """Return the whole body of a request."""
        if "chunked" in fields.get("transfer-encoding", ""):
            body = b""
            while size := int(await reader.readline() or b"broken", 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
            return body
        return await reader.readexactly(int(fields.get("content-length", "0")))

    async def async_handle(
        self,
        first: str,
        fields: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request and answer it with a few bytes."""
        await self.async_read_body(fields, reader)
        request_id = fields.get("x-cardamomtack-attempt-id", "")
        self.record.write(f"{self.server_id} runs {request_id}")
        extra = "X-Cardamomtack-Response-Seal: sealed\r\nContent-Length: 2\r\n"
        writer.write(self.build_head("200 OK", fields, extra) + b"ok")
        await writer.drain()


class Daemon:
    """One entry VM: the process of the deploy file, with settings of its own."""

    def __init__(
        self, name: str, address: str, ports: dict[str, int], store: Store, zone="a"
    ) -> None:
        self.name = name
        self.address = address
        self.ports = ports
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "boot.conf"
        self._path.write_text(
            f"node={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip={address}\n"
            f"zone={zone}\nregion=r\nlisten.front={address}:{ports['front']}\n"
            f"listen.ready={address}:{ports['ready']}\n"
            f"internalPorts={ports['internal']},{ports['internal'] + 15}\n"
            "bootstrap=true\nlimits.ramMb=300\nlimits.linkMbps=1000.0\nheartbeatS=1.5\n"
            "bounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2\n"
            "bounds.configApplyS=2\nbounds.retryBudget=0.2\nbounds.retryWindowS=10\n"
            "bounds.retrySlack=56\nbounds.probesPerS=60\n"
            f"provider.addr={store.address}:{store.port}\nprovider.form=log\n"
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process as the platform does."""
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CARDAMOMTACK_SETTINGS": str(self._path),
        }
        log = (Path(self._folder.name) / "log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "target/app/entry.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_log(self) -> str:
        """Return what the process has written."""
        return (Path(self._folder.name) / "log").read_text(errors="replace")

    def end(self) -> int | None:
        """End the process; return its exit code if it had ended before."""
        code = self.process.poll() if self.process is not None else None
        if self.process is not None and code is None:
            self.process.kill()
            self.process.wait()
        self._folder.cleanup()
        return code

    async def async_wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the process says that it is ready."""
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports["ready"]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await async_read_head(reader)
                writer.close()
                if " 200 " in first:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")


class CannotRunError(Exception):
    """The case can't run."""


def build_configuration(paths: list[dict], services: list[str], version: int) -> bytes:
    """Return a desired state of one host."""
    return json.dumps(
        {
            "version": f"{version:08x}",
            "services": [
                {
                    "name": name,
                    "healthPath": HEALTH_PATH,
                    "maxConns": 220,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "vhosts": [{"host": HOST, "paths": paths}],
        }
    ).encode()


def build_path(
    name: str, prefix: str, service: str, kind: str, timeout_s: float, slo_s: float
) -> dict:
    """Return a route of a desired state."""
    return {
        "name": name,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutS": timeout_s,
        "sloS": slo_s,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def choose_ports(count: int = 1) -> dict[str, int]:
    """Return ports that are free for each of the first loopback addresses."""
    for _ in range(50):
        ports = {"front": find_free_port(), "ready": find_free_port()}
        ports["internal"] = find_free_port()
        if ports["internal"] > 65000:
            continue
        try:
            for index in range(count):
                for port in (*ports.values(), ports["internal"] + 1):
                    with socket.socket() as tried:
                        tried.bind((f"127.0.0.{index + 2}", port))
        except OSError:
            continue
        return ports
    raise CannotRunError("no free ports")


async def _async_bound(case) -> bool:
    """Return the result of a case that ends in time."""
    async with asyncio.timeout(CASE_S_MAX):
        return await case


def run_case(main, folder: Path) -> None:
    """Run a case and end with its exit code: 1 broken, 0 held, 2 can't run."""
    record = Record(folder)
    daemons: list[Daemon] = []
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(code))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begin, {'with' if has_trouble else 'without'} the disruption")
    try:
        is_broken = asyncio.run(_async_bound(main(record, daemons, has_trouble)))
        code = 1 if is_broken else 0
    except Exception as error:
        record.write(f"the case can't run: {error!r}")
        code = 2
    finally:
        for one in daemons:
            record.write(f"{one.name} had ended with {one.end()}")
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "not run"}[code]
    record.write(f"end: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(code)
