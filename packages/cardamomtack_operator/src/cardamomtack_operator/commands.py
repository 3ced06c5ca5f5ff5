"""The commands of the operator's command line."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import anyio
from httpx import AsyncClient
from returns.result import Failure

from cardamomtack.configuration.document import parse_configuration
from cardamomtack.services.log_service import LogUnavailableError
from cardamomtack.services.vm_list import VmListUnavailableError
from cardamomtack_operator.actions import (
    async_counts,
    async_diff,
    async_explain,
    async_history,
    async_publish,
    async_servers,
    async_show,
    async_status,
)
from cardamomtack_operator.const import (
    CONF_LOG_SERVICE_URL,
    CONF_STREAM_PREFIX,
    CONF_VM_LIST_URL,
    DEFAULT_LOG_SERVICE_URL,
    DEFAULT_STREAM_PREFIX,
    DEFAULT_VM_LIST_URL,
    EXIT_FAILURE,
    EXIT_OK,
    EXIT_USAGE,
)
from cardamomtack_operator.fleet import FleetAddresses, FleetReader
from cardamomtack_operator.ledger import build_ledger, format_ledger
from cardamomtack_operator.output import print_error, print_findings, print_json
from cardamomtack_operator.story import find_decisions, read_lines, tell_story

Action = Callable[[FleetReader], Awaitable[int]]


class OperatorCommands:
    """Publishes configuration and shows what the fleet does.

    Parameters
    ----------
    log_service_url, vm_list_url, stream_prefix : str or None
        Where the platform is; by default as the environment says.
    """

    def __init__(
        self,
        log_service_url: str | None = None,
        vm_list_url: str | None = None,
        stream_prefix: str | None = None,
    ) -> None:
        environment = os.environ.get
        self._addresses = FleetAddresses(
            log_service_url
            or environment(CONF_LOG_SERVICE_URL, DEFAULT_LOG_SERVICE_URL),
            vm_list_url or environment(CONF_VM_LIST_URL, DEFAULT_VM_LIST_URL),
            stream_prefix or environment(CONF_STREAM_PREFIX, DEFAULT_STREAM_PREFIX),
        )

    def check(self, file: str, json: bool = False) -> None:
        """Check a configuration file and print every fault.

        Parameters
        ----------
        file : str
            Path of the file, in JSON with comments.
        json : bool
            Whether to print JSON.
        """
        _read_file(file, json)
        if json:
            print_json([])
        else:
            print(f"{file}: no faults")

    def publish(
        self,
        file: str,
        message: str,
        base: int | str | None = None,
        wait: bool = True,
        json: bool = False,
    ) -> None:
        """Publish a configuration file and wait until it is in force.

        Parameters
        ----------
        file : str
            Path of the file, in JSON with comments.
        message : str
            What changes, and why.
        base : int or "none"
            Revision that was changed; by default the current one.
        wait : bool
            Whether to wait until the revision is in force on every VM.
        json : bool
            Whether to print JSON.
        """
        text = _read_file(file, json)
        if base is not None and base != "none" and not isinstance(base, int):
            print_error(f"--base wants a revision or 'none', not {base!r}")
            raise SystemExit(EXIT_USAGE)
        number = -1 if base == "none" else base
        action = partial(
            async_publish,
            text=text,
            message=str(message),
            base=number if isinstance(number, int) else None,
            wait=wait,
            as_json=json,
        )
        self._run(action)

    def show(self, revision: int | None = None, json: bool = False) -> None:
        """Print the configuration of a revision, by default the current one."""
        self._run(partial(async_show, revision=revision, as_json=json))

    def diff(self, old: int, new: int | None = None, json: bool = False) -> None:
        """Print what changed between two revisions, by default up to the current."""
        self._run(partial(async_diff, old=old, new=new, as_json=json))

    def history(self, json: bool = False) -> None:
        """Print what was published, and what became of it."""
        self._run(partial(async_history, as_json=json))

    def status(self, json: bool = False) -> None:
        """Print which revision is in force on which VM, and what VMs wait for."""
        self._run(partial(async_status, as_json=json))

    def servers(self, json: bool = False) -> None:
        """Print the backend servers, and why one gets little work."""
        self._run(partial(async_servers, as_json=json))

    def counts(self, json: bool = False) -> None:
        """Print the requests of the fleet by kind and outcome, each counted once."""
        self._run(partial(async_counts, as_json=json))

    def explain(
        self, service: str, method: str, path: str, vm: str = "", json: bool = False
    ) -> None:
        """Print which default and which exceptions apply to a request.

        Parameters
        ----------
        service : str
            Name of the service.
        method, path : str
            The request.
        vm : str
            The VM on which it arrives.
        json : bool
            Whether to print JSON.
        """
        self._run(
            partial(
                async_explain,
                service=service,
                method=method,
                path=path,
                vm_id=vm,
                as_json=json,
            )
        )

    def explain_request(self, request_id: str, *logs: str) -> None:
        """Tell from logs what became of a request.

        Example: cardamomtack explain-request 9c41d07be2a35f68 vm-1.log vm-2.log

        Parameters
        ----------
        request_id : str
            Id of one send of a caller.
        logs : str
            Log files of the VMs; standard input without any.
        """
        decisions = find_decisions(_read_logs(logs), str(request_id))
        print("\n".join(tell_story(decisions, str(request_id))))
        raise SystemExit(EXIT_OK if decisions else EXIT_FAILURE)

    def ledger(self, *logs: str, window_s: float = 2.0) -> None:
        """Count from logs what became of requests, by cause and time.

        Example: cardamomtack ledger vm-*.log --window-s 2

        Parameters
        ----------
        logs : str
            Log files of the VMs; standard input without any.
        window_s : float
            Length of a column of the table, in seconds.
        """
        if window_s <= 0:
            print_error(f"--window-s: {window_s:g} is not more than 0")
            raise SystemExit(EXIT_USAGE)
        ledger = build_ledger(read_lines(_read_logs(logs)), window_s)
        print("\n".join(format_ledger(ledger)))
        raise SystemExit(EXIT_OK if ledger.windows else EXIT_FAILURE)

    def _run(self, action: Action) -> None:
        """Run an action and end the process with its exit code."""
        code = anyio.run(self._async_run, action)
        if code != EXIT_OK:
            raise SystemExit(code)

    async def _async_run(self, action: Action) -> int:
        """Run an action with a client; say what could not be reached."""
        async with AsyncClient() as client:
            try:
                return await action(FleetReader(client, self._addresses))
            except LogUnavailableError as error:
                print_error(f"log service: {error}")
            except VmListUnavailableError as error:
                print_error(f"VM list: {error}")
        return EXIT_FAILURE


def _read_file(file: str, as_json: bool) -> str:
    """Return the text of a configuration file without faults."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"{file}: can't be read: {error}")
        raise SystemExit(EXIT_USAGE) from error
    result = parse_configuration(text, file)
    if isinstance(result, Failure):
        print_findings(result.failure(), as_json)
        raise SystemExit(EXIT_FAILURE)
    return text


def _read_logs(paths: tuple[str, ...]) -> list[str]:
    """Return the lines of log files, or of standard input without any."""
    if not paths:
        return sys.stdin.read().splitlines()
    lines: list[str] = []
    try:
        for path in paths:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
            lines += text.splitlines()
    except OSError as error:
        print_error(str(error))
        raise SystemExit(EXIT_USAGE) from error
    return lines
