"""The quota of a workspace, and by how much all VMs together may exceed it."""

from __future__ import annotations

from dataclasses import dataclass

from cardamomtack.helpers.decoding import is_number
from cardamomtack.quotas.const import (
    START_SLACK_SHARE,
    VERSION_MAX,
    WAITING_SLACK_SHARE,
)
from cardamomtack.workspaces.policy import Workspace


@dataclass(slots=True, frozen=True)
class Quota:
    """The quota of a workspace in one version of the configuration.

    Attributes
    ----------
    rate_per_s : float
        Requests a second that all VMs together admit; 0 for no quota.
    burst : float
        Requests beyond the rate that all VMs together admit at once.
    version : int
        Version of the configuration that names it.
    """

    rate_per_s: float
    burst: float
    version: int

    @property
    def is_sound(self) -> bool:
        """Return whether it can be computed with."""
        numbers = (self.rate_per_s, self.burst)
        is_version = 0 <= self.version <= VERSION_MAX
        return is_version and all(is_number(one) and one >= 0 for one in numbers)

    @property
    def capacity(self) -> float:
        """Return how many tokens its bucket holds; one at least, to admit anything."""
        return max(1.0, self.burst)


def make_quota(workspace: Workspace, version: int) -> Quota:
    """Return the quota of a workspace."""
    return Quota(workspace.rate_per_s, workspace.burst, version)


@dataclass(slots=True, frozen=True)
class QuotaRule:
    """Bounds what is sent in any window beyond a quota.

    In no window are more than ``(rate x window + burst) x (1 + over) + slack`` requests
    of a workspace sent.

    Attributes
    ----------
    window_s : float
        Length of the window, in seconds; 0 when nothing may exceed a quota.
    over_share : float
        Part of what the quota admits in a window.
    slack : float
        Requests beyond that.
    """

    window_s: float = 0.0
    over_share: float = 0.0
    slack: float = 0.0

    @property
    def start_tokens(self) -> float:
        """Return what a bucket may hold whose holder does not know what was sent."""
        return self.slack * START_SLACK_SHARE

    @property
    def waiting_free(self) -> float:
        """Return how many admitted requests may wait without using up the burst."""
        return self.slack * WAITING_SLACK_SHARE

    def compute_excess(self, quota: Quota) -> float:
        """Return how many requests of a window may exceed a quota."""
        if not self.window_s:
            return 0.0
        admitted = quota.rate_per_s * self.window_s + quota.burst
        return self.over_share * admitted + self.slack
