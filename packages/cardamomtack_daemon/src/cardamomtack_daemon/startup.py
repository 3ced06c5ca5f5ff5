"""What a process does about input that it can't start with."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path

from cardamomtack.helpers.findings import Finding

EXIT_INVALID = 2


def read_text_or_exit(path: str) -> str:
    """Return the text of a file; end the process when it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: can't be read: {error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error


def exit_with_findings(findings: Iterable[Finding]) -> SystemExit:
    """Print every fault and return what ends the process."""
    for finding in findings:
        print(finding, file=sys.stderr)
    return SystemExit(EXIT_INVALID)
