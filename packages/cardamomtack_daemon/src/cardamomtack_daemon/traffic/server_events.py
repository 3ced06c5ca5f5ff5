"""News about backend servers that the other VMs should hear."""

from __future__ import annotations

from typing import Protocol


class ServerEventReporter(Protocol):
    """Takes news about backend servers."""

    def report_draining(self, vm_id: str, reason: str) -> None:
        """Note that a server leaves."""

    def report_crash(self, vm_id: str, request_digests: list[bytes]) -> None:
        """Note that a server crashed while it ran requests."""

    def compute_retry_turn(self, vm_id: str) -> int:
        """Return when it is this VM's turn, from 0, to try suspects of a server."""
