"""The binary ``cardamomtackd``."""

from __future__ import annotations

import warnings

import anyio
from fire import Fire
from returns.result import Failure

from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.helpers.settings import parse_settings
from cardamomtack_daemon.daemon import async_run_daemon
from cardamomtack_daemon.logs import set_up_logs
from cardamomtack_daemon.startup import exit_with_findings, read_text_or_exit


def read_settings(path: str) -> DaemonSettings:
    """Return the settings of a file; end the process when they are invalid."""
    result = parse_settings(read_text_or_exit(path), path)
    if isinstance(result, Failure):
        raise exit_with_findings(result.failure())
    return result.unwrap()


class DaemonCommands:
    """The daemon of an entry VM."""

    def run(self, settings: str) -> None:
        """Run the daemon with the settings of a file until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the settings file, in JSON with comments.
        """
        checked = read_settings(settings)
        set_up_logs(checked.vm_id, checked.log_level)
        anyio.run(async_run_daemon, checked, backend_options={"use_uvloop": True})

    def check_settings(self, settings: str) -> None:
        """Check a settings file and print every fault.

        Parameters
        ----------
        settings : str
            Path of the settings file, in JSON with comments.
        """
        read_settings(settings)
        print(f"{settings}: no faults")


def run_cli() -> None:
    """Run the command line."""
    # Fire tries every argument as a Python literal, which warns about addresses.
    warnings.simplefilter("ignore", SyntaxWarning)
    commands = DaemonCommands()
    Fire({"run": commands.run, "check-settings": commands.check_settings})


if __name__ == "__main__":
    run_cli()
