"""Reading of the daemon's settings."""

from __future__ import annotations

from msgspec import convert
from returns.result import Failure, Result, Success

from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.helpers.findings import Finding
from cardamomtack.helpers.schema import parse_document


def parse_settings(text: str, source: str) -> Result[DaemonSettings, list[Finding]]:
    """Return the settings of a text in JSON with comments, or all its faults."""
    document, _, findings = parse_document(text, "settings", source)
    if findings:
        return Failure(findings)
    return Success(convert(document, DaemonSettings))
