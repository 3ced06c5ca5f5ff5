"""The binary ``cardamomtackd``."""

from __future__ import annotations

import sys
import warnings
from pathlib import Path

import anyio
from fire import Fire
from returns.result import Failure

from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.helpers.settings import parse_settings
from cardamomtack_daemon.daemon import async_run_daemon
from cardamomtack_daemon.logs import set_up_logs

EXIT_INVALID = 2


def read_settings(path: str) -> DaemonSettings:
    """Return the settings of a file; end the process when they are invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: can't be read: {error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error
    result = parse_settings(text, path)
    if isinstance(result, Failure):
        for finding in result.failure():
            print(finding, file=sys.stderr)
        raise SystemExit(EXIT_INVALID)
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
