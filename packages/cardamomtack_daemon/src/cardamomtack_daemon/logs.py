"""Logs as JSON lines."""

from __future__ import annotations

import sys
from datetime import UTC
from typing import TYPE_CHECKING

from loguru import logger
from msgspec import json

if TYPE_CHECKING:
    from loguru import Message


def _write_line(message: Message) -> None:
    """Write one log record as a JSON line to standard error."""
    record = message.record
    line = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **{name: str(value) for name, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.encode(line).decode() + "\n")


def set_up_logs(vm_id: str, level: str) -> None:
    """Log as JSON lines from a level on."""
    logger.remove()
    logger.add(_write_line, level=level, format="{message}")
    logger.configure(extra={"vm_id": vm_id})
