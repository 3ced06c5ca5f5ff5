"""Printing for people and for programs."""

from __future__ import annotations

import sys
from typing import Any

from msgspec import json

from cardamomtack.helpers.findings import Finding


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    sys.stdout.write(json.format(json.encode(value)).decode() + "\n")


def print_error(text: str) -> None:
    """Print an error for a person."""
    print(text, file=sys.stderr)


def print_findings(findings: list[Finding], as_json: bool) -> None:
    """Print every fault of a file."""
    if as_json:
        print_json(findings)
        return
    for finding in findings:
        print_error(str(finding))
    print_error(f"{len(findings)} faults found")


def print_table(titles: list[str], rows: list[list[str]]) -> None:
    """Print rows in columns."""
    table = [titles, *rows]
    widths = [max(len(row[index]) for row in table) for index in range(len(titles))]
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())
