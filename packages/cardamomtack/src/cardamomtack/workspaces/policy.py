"""What operators say about the workspaces of callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Workspace:
    """A workspace, whose callers share a quota.

    Attributes
    ----------
    name : str
        Name under which backend servers know it.
    priority : int or None
        Rank of its requests in place of that of their route, 0 for the most urgent;
        None to keep the route's.
    rate_per_s : float
        Requests a second that all VMs together admit; 0 for no quota.
    burst : float
        Requests beyond the rate that all VMs together admit at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Return whether its requests are limited."""
        return self.rate_per_s > 0


class WorkspaceKeys(Protocol):
    """Finds the workspace of a caller by the key that it sends."""

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key, or None when none does."""

    def find_by_name(self, name: str) -> Workspace | None:
        """Return a workspace by its name, or None when it is unknown."""

    def is_ambiguous(self, key: bytes) -> bool:
        """Return whether several workspaces name a key, so that none holds it."""
