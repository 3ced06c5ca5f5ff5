"""Runs one stand-in as a process of its own."""

from __future__ import annotations

import time
import warnings
from functools import partial
from pathlib import Path

import anyio
from fire import Fire
from msgspec import json

from cardamomtack.generated.services import VirtualMachine
from cardamomtack_standins.asgi import async_serve_service
from cardamomtack_standins.backends import BackendSpec, async_serve_backends
from cardamomtack_standins.log_service import LogServiceStandIn
from cardamomtack_standins.vm_list import VmListStandIn

UVLOOP = {"use_uvloop": True}


class StandInCommands:
    """Stand-ins of the platform and of backend servers."""

    def log_service(self, address: str, port: int) -> None:
        """Serve the log service."""
        service = LogServiceStandIn(time.monotonic)
        serve = partial(async_serve_service, service, address, port)
        anyio.run(serve, backend_options=UVLOOP)

    def vm_list(self, address: str, port: int, file: str) -> None:
        """Serve the VM list of a file."""
        vms = json.decode(Path(file).read_bytes(), type=list[VirtualMachine])
        serve = partial(async_serve_service, VmListStandIn(vms), address, port)
        anyio.run(serve, backend_options=UVLOOP)

    def backends(self, address: str, port: int, file: str, seed: int = 0) -> None:
        """Serve the backend servers of a file, and their control on a port."""
        specs = json.decode(Path(file).read_bytes(), type=list[BackendSpec])
        serve = partial(async_serve_backends, specs, address, port, seed)
        anyio.run(serve, backend_options=UVLOOP)


if __name__ == "__main__":
    # Fire tries every argument as a Python literal, which warns about addresses.
    warnings.simplefilter("ignore", SyntaxWarning)
    Fire(StandInCommands)
