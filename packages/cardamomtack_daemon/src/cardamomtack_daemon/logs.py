"""Logs as JSON lines, which never make a request wait."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from loguru import logger
from msgspec import json

from cardamomtack.generated.logs import LogLine, RequestDecision
from cardamomtack.helpers.clock import Clock

if TYPE_CHECKING:
    from loguru import Message

DECISIONS_PER_S_MAX = 150
EVENT_DECIDED = "request decided"
EVENT_OMITTED = "lines omitted"
FIRST_SEND_SUCCESSES_PER_S_MAX = 100
"""Lines a second on requests that went well; the others have room beyond it."""


class LogLineWriter:
    """Writes lines to a descriptor, or drops them while nobody reads.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is set not to block.
    vm_id : str
        This VM.

    Attributes
    ----------
    dropped : int
        Lines that had no room.
    """

    __slots__ = ("_descriptor", "_vm_id", "dropped")

    def __init__(self, descriptor: int, vm_id: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._vm_id = vm_id
        self.dropped = 0

    def write_event(
        self,
        level: str,
        event: str,
        details: dict[str, str],
        request: RequestDecision | None = None,
    ) -> None:
        """Write one event."""
        time = datetime.now(UTC).isoformat(timespec="milliseconds")
        line = LogLine(time, level, event, self._vm_id, details, request)
        try:
            # A line is shorter than what a pipe takes whole or not at all.
            os.write(self._descriptor, json.encode(line) + b"\n")
        except OSError:
            self.dropped += 1

    def write_message(self, message: Message) -> None:
        """Write a record of the logging library."""
        record = message.record
        details = {name: str(value) for name, value in record["extra"].items()}
        details.pop("vm_id", None)
        if record["exception"] is not None:
            details["exception"] = repr(record["exception"].value)
        self.write_event(record["level"].name, record["message"], details)


class DecisionLog:
    """Writes how requests ended, within a bound of lines a second.

    Parameters
    ----------
    writer : LogLineWriter or None
        Takes the lines; None leaves them out.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_omitted", "_second", "_writer", "_written")

    def __init__(self, writer: LogLineWriter | None, clock: Clock) -> None:
        self._clock = clock
        self._omitted = 0
        self._second = 0
        self._writer = writer
        self._written = 0

    def record_decision(
        self, decision: RequestDecision, is_first_send_success: bool
    ) -> None:
        """Write a decision unless too many were written in this second.

        Parameters
        ----------
        is_first_send_success : bool
            Whether all went well at the first send.
        """
        if self._writer is None:
            return
        self._start_second(self._writer)
        if self._written >= (
            FIRST_SEND_SUCCESSES_PER_S_MAX
            if is_first_send_success
            else DECISIONS_PER_S_MAX
        ):
            self._omitted += 1
            return
        self._written += 1
        level = "DEBUG" if is_first_send_success else "INFO"
        self._writer.write_event(level, EVENT_DECIDED, {}, decision)

    def _start_second(self, writer: LogLineWriter) -> None:
        """Start the count of a new second and tell what the last one left out."""
        second = int(self._clock.read_monotonic_s())
        if second == self._second:
            return
        self._second = second
        self._written = 0
        if self._omitted:
            writer.write_event("INFO", EVENT_OMITTED, {"lines": str(self._omitted)})
            self._omitted = 0


def set_up_logs(vm_id: str, level: str) -> LogLineWriter:
    """Log as JSON lines to standard error, from a level on."""
    writer = LogLineWriter(sys.stderr.fileno(), vm_id)
    logger.remove()
    logger.add(writer.write_message, level=level, format="{message}")
    return writer
