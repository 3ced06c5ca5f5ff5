"""The built process: its start, signals and end, and what it must not import."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

import anyio

from cardamomtack_standins.asgi import async_serve_service
from cardamomtack_standins.fleet import find_free_ports
from cardamomtack_standins.keyed_store import KeyedStoreStandIn
from tests.cardamomtack_daemon.forwarding.callers import WAIT_S, Caller
from tests.cardamomtack_daemon.forwarding.case import async_wait_for
from tests.cardamomtack_daemon.forwarding.servers import STREAM_ERRORS
from tests.cardamomtack_platform.test_translation import CONFIGURATION, ENTRY

ROOT = Path(__file__).resolve().parents[2]
APP = ROOT / "target/app"
HEAVY = ("aioprometheus", "fire", "httpx", "hypercorn", "jsonschema", "opentelemetry")
SETTINGS = """node=edge-a-1
zone=a
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
internalPorts={relay},{relay}
bounds.graceS=6
provider.addr=127.0.0.1:{store}
"""


async def async_serve_backend(stream):
    """Answer health checks and requests as a backend server of the platform."""
    async with stream:
        while True:
            try:
                head = await stream.receive()
            except STREAM_ERRORS:
                return
            fields = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n") if b": " in line
            )
            answer = b"HTTP/1.1 200 OK\r\nX-Cardamomtack-Instance-Id: i-1\r\n"
            answer += b"X-Cardamomtack-Backend-Load: 0,0,6,100\r\n"
            request_id = fields.get(b"x-cardamomtack-attempt-id")
            if request_id is not None:
                answer += b"X-Cardamomtack-Attempt-Id: " + request_id + b"\r\n"
                answer += b"X-Cardamomtack-Response-Seal: sealed\r\n"
            await stream.send(answer + b"Content-Length: 2\r\n\r\nok")


class BuildTest(unittest.TestCase):
    """What the deploy file builds and starts."""

    def test_pins_are_those_of_the_project(self):
        known = set((ROOT / "requirements.txt").read_text().split())
        wanted = set((ROOT / "platform/requirements.txt").read_text().split())
        self.assertLessEqual(wanted, known)

    def test_deploy_file_starts_what_the_build_makes(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.assertEqual(role["run"].split()[-1], "target/app/entry.py")
        self.assertIn("platform/build.py", deploy["build"])

    def test_nothing_outside_the_folder_knows_the_names_of_the_platform(self):
        for path in (ROOT / "packages").rglob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            for name in ("x-cardamomtack-", "keyed.op", "keyed.servers", "vhosts"):
                self.assertNotIn(name, text, path)


class ProcessTest(unittest.TestCase):
    """The process against the stand-in of the store."""

    @classmethod
    def setUpClass(cls):
        build = [sys.executable, str(ROOT / "platform/build.py")]
        subprocess.run(build, check=True, cwd=ROOT)

    def start(self, folder, ports):
        """Start the process as the platform does."""
        path = Path(folder) / "boot.conf"
        path.write_text(SETTINGS.format(**ports))
        environment = {**os.environ, "CARDAMOMTACK_SETTINGS": str(path)}
        return subprocess.Popen(
            [sys.executable, str(APP / "entry.py")],
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )

    def test_life(self):
        names = ("front", "ready", "relay", "store", "backend")
        ports = dict(zip(names, find_free_ports(5), strict=True))
        store = KeyedStoreStandIn()
        entry = {**ENTRY, "addr": f"127.0.0.1:{ports['backend']}"}
        store.write("keyed.op", "config", json.dumps(CONFIGURATION).encode())
        store.write("keyed.servers", "i-1", json.dumps(entry).encode())

        async def ask_ready():
            return (await self.async_get(ports["ready"], b"GET /readyz", b"")).status

        async def run(folder):
            scope = anyio.CancelScope()

            async def serve_backend(listener):
                with scope:
                    await listener.serve(async_serve_backend)

            stopped = anyio.Event()
            backend = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=ports["backend"]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    async_serve_service, store, "127.0.0.1", ports["store"], stopped
                )
                tasks.start_soon(serve_backend, backend)
                process = self.start(folder, ports)
                try:
                    await async_wait_for(ask_ready, lambda status: status == 200)
                    process.send_signal(signal.SIGHUP)
                    answer = await self.async_call(ports["front"])
                    self.assertEqual((answer.status, answer.body), (200, b"ok"))
                    self.assertIn("x-cardamomtack-response-seal", answer.headers)
                    process.send_signal(signal.SIGTERM)
                    await async_wait_for(ask_ready, lambda status: status == 503)
                    # A second signal does not cut the shutdown short.
                    process.send_signal(signal.SIGTERM)
                    with anyio.fail_after(6.0):
                        while process.poll() is None:
                            await anyio.sleep(0.05)
                    self.assertEqual(process.returncode, 0)
                    self.assertIsNone(
                        store.find_value("keyed.cardamomtack-vms", "edge-a-1")
                    )
                finally:
                    process.kill()
                    log = process.communicate()[1].decode()
                    # The server of the stand-in can't be cancelled.
                    scope.cancel()
                    stopped.set()
            lines = [json.loads(line) for line in log.splitlines()]
            self.assertTrue(all("message" in line for line in lines))
            decided = [one for one in lines if one["message"] == "request decided"][-1]
            self.assertEqual(decided["request"]["request_id"], "a1")
            self.assertEqual(decided["request"]["status"], 200)

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(run, folder)

    async def async_call(self, port):
        """Call as callers do: a send that was not run comes back in its time."""
        fields = b"X-Cardamomtack-Attempt-Id: a1\r\n"
        with anyio.fail_after(WAIT_S):
            while True:
                answer = await self.async_get(port, b"GET /a/x", fields)
                if answer.status != 503:
                    return answer
                await anyio.sleep(float(answer.headers["retry-after"]))

    async def async_get(self, port, line, fields):
        """Return the answer to a request on a connection of its own."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            return type("NoAnswer", (), {"status": 0})
        async with stream:
            head = line + b" HTTP/1.1\r\nHost: one.example\r\n" + fields
            await stream.send(head + b"\r\n")
            return await Caller(stream).async_receive()

    def test_a_hangup_during_the_start_ends_the_process(self):
        names = ("front", "ready", "relay", "store")
        ports = dict(zip(names, find_free_ports(4), strict=True))
        with tempfile.TemporaryDirectory() as folder:
            # The process reads its settings from a pipe, where it waits for the test.
            path = Path(folder) / "boot.conf"
            os.mkfifo(path)
            environment = {**os.environ, "CARDAMOMTACK_SETTINGS": str(path)}
            process = subprocess.Popen(
                [sys.executable, str(APP / "entry.py")],
                env=environment,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            try:
                with path.open("w") as settings:
                    process.send_signal(signal.SIGHUP)
                    with self.assertRaises(subprocess.TimeoutExpired):
                        process.wait(0.5)
                    settings.write(SETTINGS.format(**ports))
                with self.assertRaises(subprocess.TimeoutExpired):
                    process.wait(0.5)
            finally:
                process.kill()
                process.wait()

    def test_faulty_settings_end_the_process_with_all_findings(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.conf"
            path.write_text("zone=a\nlisten.front=nowhere\n")
            process = subprocess.run(
                [sys.executable, str(APP / "entry.py")],
                env={**os.environ, "CARDAMOMTACK_SETTINGS": str(path)},
                capture_output=True,
                text=True,
                timeout=30,
            )
        self.assertEqual(process.returncode, 2)
        self.assertIn("listen.front", process.stderr)
        self.assertIn("node", process.stderr)

    def test_nothing_heavy_is_imported(self):
        code = "import cardamomtack_platform.main, sys; print(' '.join(sys.modules))"
        process = subprocess.run(
            [sys.executable, "-c", code],
            cwd=APP,
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        loaded = set(process.stdout.split())
        self.assertEqual(loaded.intersection(HEAVY), set())


if __name__ == "__main__":
    unittest.main()
