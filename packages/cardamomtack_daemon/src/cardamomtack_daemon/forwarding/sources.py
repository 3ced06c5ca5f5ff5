"""Where the configuration and the entries of servers come from."""

from __future__ import annotations

from typing import Protocol


class FleetSource(Protocol):
    """Follows what the fleet must know and pushes it to its readers."""

    async def async_follow(self) -> None:
        """Follow until cancelled; trouble of the source never ends it."""

    def refresh(self) -> None:
        """Read anew at once, because the process has stood still."""
