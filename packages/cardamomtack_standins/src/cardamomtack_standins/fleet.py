"""Starts a fleet of separate processes on loopback, for tests, bench and demo."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import SystemRandom
from typing import Any

import httpx
from msgspec import json

from cardamomtack.generated.services import VirtualMachine
from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.generated.status import DaemonStatus
from cardamomtack_standins.backend import BackendBehaviour
from cardamomtack_standins.backends import BackendLog, BackendSpec
from cardamomtack_standins.log_service import LogFaults
from cardamomtack_standins.plan import FleetPlan, write_document

ADDRESS = "127.0.0.1"
BACKENDS_PER_PROCESS = 8
FIRST_PORT = 12_000
LAST_PORT = 32_000
READY_POLL_S = 0.05
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


_given_ports: set[int] = set()


class FleetError(Exception):
    """The fleet did not reach the state that was waited for."""


def find_free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on.

    They are below those that the system gives to outgoing connections, and none is
    returned twice, so that none is taken before its server listens.
    """
    random = SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as one:
            is_free = one.connect_ex((ADDRESS, port)) != 0
        if is_free and port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


class Fleet:
    """A fleet on loopback.

    Parameters
    ----------
    plan : FleetPlan
        What the fleet consists of.
    seed : int
        Seed of the noise and of the daemons' choices.
    settings : dict
        Settings of every daemon that differ from the defaults.
    """

    def __init__(
        self, plan: FleetPlan, seed: int = 1, settings: dict[str, Any] | None = None
    ) -> None:
        self.plan = plan
        self.seed = seed
        self.directory = Path(tempfile.mkdtemp(prefix="cardamomtack-"))
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self.vms: dict[str, VirtualMachine] = {}
        self._settings = settings or {}
        self._platform: list[subprocess.Popen[bytes]] = []
        self._controls: dict[str, int] = {}
        self._log_port, self._list_port = find_free_ports(2)
        self._client = httpx.Client(timeout=10.0)

    @property
    def log_url(self) -> str:
        """Return the URL of the log service."""
        return f"http://{ADDRESS}:{self._log_port}"

    @property
    def list_url(self) -> str:
        """Return the URL of the VM list."""
        return f"http://{ADDRESS}:{self._list_port}"

    @property
    def entry_ids(self) -> list[str]:
        """Return the names of the entry VMs."""
        return [vm.vm_id for vm in self.vms.values() if vm.role == "entry"]

    def __enter__(self) -> Fleet:
        """Start the fleet."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """End every process of the fleet."""
        self.stop()

    def start(self) -> None:
        """Start the platform, the backend servers and the daemons."""
        self._start_standin("log-service", self._log_port)
        specs = self._plan_backends()
        for index in range(0, len(specs), BACKENDS_PER_PROCESS):
            self._start_backends(specs[index : index + BACKENDS_PER_PROCESS], index)
        self._plan_entries()
        path = self._write_file("vms.json", list(self.vms.values()))
        self._start_standin("vm-list", self._list_port, "--file", str(path))
        self._wait_for_port(self._log_port)
        self._wait_for_port(self._list_port)
        for vm_id in self.entry_ids:
            self.start_daemon(vm_id)

    def stop(self) -> None:
        """End every process of the fleet."""
        processes = [*self.daemons.values(), *self._platform]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._client.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def start_daemon(self, vm_id: str) -> None:
        """Start the daemon of a VM."""
        vm = self.vms[vm_id]
        settings = DaemonSettings(
            vm_id=vm_id,
            availability_zone=vm.availability_zone,
            address=vm.address,
            port=vm.port,
            peer_port=vm.peer_port or 0,
            admin_port=vm.admin_port or 0,
            log_service_url=self.log_url,
            vm_list_url=self.list_url,
            seed=self.seed + self.entry_ids.index(vm_id),
            balancer_notice_ms=200,
        )
        for name, value in self._settings.items():
            setattr(settings, name, value)
        path = self._write_file(f"{vm_id}.json", settings)
        command = [sys.executable, "-m", "cardamomtack_daemon.main", "run"]
        self.daemons[vm_id] = self._spawn([*command, "--settings", str(path)], vm_id)

    def stop_daemon(self, vm_id: str) -> float:
        """Shut a daemon down gracefully and return the seconds it took."""
        process = self.daemons[vm_id]
        started_s = time.monotonic()
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
        return time.monotonic() - started_s

    def kill_daemon(self, vm_id: str) -> None:
        """Kill a daemon."""
        self.daemons[vm_id].kill()
        self.daemons[vm_id].wait()

    def freeze_daemon(self, vm_id: str) -> None:
        """Stop a daemon where it is."""
        self.daemons[vm_id].send_signal(signal.SIGSTOP)

    def thaw_daemon(self, vm_id: str) -> None:
        """Let a stopped daemon go on."""
        self.daemons[vm_id].send_signal(signal.SIGCONT)

    def publish(self, text: str | None = None, *flags: str) -> tuple[int, str]:
        """Publish a document and return exit code and output."""
        path = self.directory / "configuration.json"
        path.write_text(text or write_document(self.plan), encoding="utf-8")
        return self.run_operator("publish", str(path), "--message", "change", *flags)

    def run_operator(self, *arguments: str) -> tuple[int, str]:
        """Run the operator's command line and return exit code and output."""
        environment = {
            **os.environ,
            "CARDAMOMTACK_LOG_SERVICE_URL": self.log_url,
            "CARDAMOMTACK_VM_LIST_URL": self.list_url,
        }
        done = subprocess.run(
            [sys.executable, "-m", "cardamomtack_operator.main", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def wait_serving(self, vm_ids: list[str] | None = None) -> None:
        """Wait until the daemons serve."""
        for vm_id in vm_ids or self.entry_ids:
            self.wait_until(
                lambda vm_id=vm_id: self._is_serving(vm_id), f"{vm_id} serves"
            )

    def wait_linked(self) -> None:
        """Wait until every daemon has a stream to every other."""
        others = len(self.entry_ids) - 1

        def is_linked(vm_id: str) -> bool:
            status = self.read_status(vm_id)
            return status is not None and len(status.peers) == others

        for vm_id in self.entry_ids:
            self.wait_until(
                lambda vm_id=vm_id: is_linked(vm_id), f"{vm_id} is linked to its peers"
            )

    def wait_until(
        self, condition: Any, what: str, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Wait for a condition and return the seconds that took."""
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise FleetError(f"not within {timeout_s} s: {what}")
            time.sleep(READY_POLL_S)
        return time.monotonic() - started_s

    def read_status(self, vm_id: str) -> DaemonStatus | None:
        """Return the status of a daemon, or None when it does not answer."""
        url = f"http://{ADDRESS}:{self.vms[vm_id].admin_port}/status"
        try:
            return json.decode(self._client.get(url).content, type=DaemonStatus)
        except httpx.HTTPError:
            return None

    def read_state(self, vm_id: str) -> str | None:
        """Return whether a daemon boots, serves or leaves; None without answer."""
        status = self.read_status(vm_id)
        return status.state if status is not None else None

    def read_logs(self) -> list[BackendLog]:
        """Return what the backend servers saw."""
        logs: list[BackendLog] = []
        for port in sorted(set(self._controls.values())):
            content = self._client.get(f"http://{ADDRESS}:{port}/log").content
            logs += json.decode(content, type=list[BackendLog])
        return logs

    def count_runs(self) -> dict[str, int]:
        """Return the runs of each idempotency key."""
        runs: dict[str, int] = {}
        for log in self.read_logs():
            for run in log.runs:
                if run.key:
                    runs[run.key] = runs.get(run.key, 0) + 1
        return runs

    def set_behaviour(self, vm_id: str, behaviour: BackendBehaviour) -> None:
        """Change the behaviour of a backend server."""
        url = f"http://{ADDRESS}:{self._controls[vm_id]}/behaviour/{vm_id}"
        self._client.put(url, content=json.encode(behaviour)).raise_for_status()

    def crash_backend(self, vm_id: str) -> None:
        """Crash a backend server."""
        url = f"http://{ADDRESS}:{self._controls[vm_id]}/crash/{vm_id}"
        self._client.post(url).raise_for_status()

    def mute_backend(self, vm_id: str) -> None:
        """Let the open connections to a backend server go silent for good."""
        url = f"http://{ADDRESS}:{self._controls[vm_id]}/mute/{vm_id}"
        self._client.post(url).raise_for_status()

    def set_log_faults(self, faults: LogFaults) -> None:
        """Set the faults of the log service."""
        url = f"{self.log_url}/faults"
        self._client.put(url, content=json.encode(faults)).raise_for_status()

    def expire_log(self, stream: str, offset: int) -> None:
        """Drop the records of a stream before an offset."""
        self._client.post(f"{self.log_url}/expire/{stream}/{offset}").raise_for_status()

    def read_appends(self) -> dict[str, list[float]]:
        """Return the times of the appends of each stream, in seconds."""
        content = self._client.get(f"{self.log_url}/appends").content
        return json.decode(content, type=dict[str, list[float]])

    def set_vms(self, vms: list[VirtualMachine]) -> None:
        """Change what the VM list says."""
        url = f"{self.list_url}/vms"
        self._client.put(url, content=json.encode(vms)).raise_for_status()

    def _is_serving(self, vm_id: str) -> bool:
        """Return whether a daemon serves with all its keyed work."""
        status = self.read_status(vm_id)
        if status is None or not status.claims.is_covered:
            return False
        return status.state == "serving"

    def _plan_backends(self) -> list[BackendSpec]:
        """Plan the backend servers."""
        specs = []
        zones = self.plan.zones
        for service in self.plan.services:
            for index, port in enumerate(find_free_ports(service.servers)):
                vm_id = f"{service.name}-{index + 1}"
                zone = zones[index % len(zones)]
                self.vms[vm_id] = VirtualMachine(
                    vm_id, service.name, ADDRESS, port, zone, "live"
                )
                behaviour = service.behaviour
                specs.append(
                    BackendSpec(vm_id, ADDRESS, port, service.slots, behaviour)
                )
        return specs

    def _plan_entries(self) -> None:
        """Plan the entry VMs."""
        zones = self.plan.zones
        for index in range(self.plan.entry_vms):
            vm_id = f"entry-{index + 1:02d}"
            port, peer_port, admin_port = find_free_ports(3)
            zone = zones[index % len(zones)]
            self.vms[vm_id] = VirtualMachine(
                vm_id, "entry", ADDRESS, port, zone, "live", peer_port, admin_port
            )

    def _start_backends(self, specs: list[BackendSpec], index: int) -> None:
        """Start a process with some backend servers."""
        (control_port,) = find_free_ports(1)
        path = self._write_file(f"backends-{index}.json", specs)
        for spec in specs:
            self._controls[spec.vm_id] = control_port
        flags = ["--file", str(path), "--seed", str(self.seed)]
        self._start_standin("backends", control_port, *flags)
        self._wait_for_port(control_port)

    def _start_standin(self, name: str, port: int, *flags: str) -> None:
        """Start the process of a stand-in."""
        command = [sys.executable, "-m", "cardamomtack_standins", name]
        command += ["--address", ADDRESS, "--port", str(port), *flags]
        self._platform.append(self._spawn(command, f"{name}-{port}"))

    def _spawn(self, command: list[str], name: str) -> subprocess.Popen[bytes]:
        """Start a process whose output goes to a file."""
        with open(self.directory / f"{name}.log", "ab") as output:
            return subprocess.Popen(
                command, stdout=output, stderr=output, env=os.environ.copy()
            )

    def _write_file(self, name: str, value: Any) -> Path:
        """Write a value as JSON and return the path."""
        path = self.directory / name
        path.write_bytes(json.encode(value))
        return path

    def _wait_for_port(self, port: int) -> None:
        """Wait until something listens on a port."""

        def is_listening() -> bool:
            with socket.socket() as one:
                return one.connect_ex((ADDRESS, port)) == 0

        self.wait_until(is_listening, f"port {port} listens")
