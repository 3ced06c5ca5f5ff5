"""How much capacity each workspace has been given lately, in proportion to its weight.

This module handles workspaces that send many times as much as usual. Calls of the same
priority get capacity in the order of what their workspaces have used lately, so one
that has used much goes after those within their share. Calls without a workspace form
one common share.
"""

from __future__ import annotations

from math import ceil, inf
from typing import Final

from cardamomtack.workspaces.policy import Workspace

BEYOND_SHARE_FACTOR: Final = 1.5
"""How many times the usual level a workspace uses that is beyond its share."""

SHARES_MAX: Final = 512
"""Workspaces that are remembered at most; those with the least use are forgotten."""

USE_FORGOTTEN_S: Final = 0.005
"""Use below which a workspace is forgotten, in seconds of work."""

USE_HALF_LIFE_S: Final = 2.0
USUAL_LEVEL_AGE_S_MAX: Final = 0.1
"""For how long the usual level is not worked out again."""

WEIGHT_DEFAULT: Final = 1.0


def find_share(workspace: Workspace | None) -> str | None:
    """Return the name of the share that a call belongs to; None is the common one."""
    return workspace.name if workspace is not None else None


def find_weight(workspace: Workspace | None) -> float:
    """Return the weight of a workspace: the rate of its quota, where it has one."""
    if workspace is None or not workspace.has_quota:
        return WEIGHT_DEFAULT
    return workspace.rate_per_s


def count_earlier_turns(
    use_s: float, weight: float, work_s: float, level: float, calls: int
) -> int:
    """Return how many calls of a share get capacity before a level of use is reached.

    Parameters
    ----------
    use_s, weight : float
        What the share has used, in seconds of work, and its weight.
    work_s : float
        Work of one call, in seconds.
    level : float
        Use in proportion to the weight at which the turn is another's.
    calls : int
        Calls of the share that wait.
    """
    ahead_s = level * weight - use_s
    if ahead_s < 0:
        return 0
    # A share whose use equals the level goes first too.
    return min(calls, 1 + ceil(ahead_s / max(work_s, USE_FORGOTTEN_S) - 1e-9))


class RecentUse:
    """The capacity that one VM has given to workspaces lately, fading with time."""

    __slots__ = ("_uses", "_usual_at_s", "_usual_level", "_weights")

    def __init__(self) -> None:
        self._uses: dict[str | None, tuple[float, float]] = {}
        self._usual_at_s = -inf
        self._usual_level = 0.0
        self._weights: dict[str | None, float] = {}

    def __len__(self) -> int:
        """Return how many shares are remembered."""
        return len(self._uses)

    def record(self, workspace: Workspace | None, work_s: float, now_s: float) -> None:
        """Count a call that has been given capacity.

        Parameters
        ----------
        work_s : float
            Its work on an idle server, in seconds.
        """
        share = find_share(workspace)
        self._uses[share] = (self.read_use_s(share, now_s) + work_s, now_s)
        self._weights[share] = find_weight(workspace)
        if len(self._uses) > SHARES_MAX:
            self._forget(now_s)

    def read_use_s(self, share: str | None, now_s: float) -> float:
        """Return what a share has used lately, in seconds of work."""
        known = self._uses.get(share)
        if known is None:
            return 0.0
        use_s, at_s = known
        return use_s * float(0.5 ** (max(0.0, now_s - at_s) / USE_HALF_LIFE_S))

    def compute_level(self, workspace: Workspace | None, now_s: float) -> float:
        """Return what a workspace has used lately in proportion to its weight."""
        return self.read_use_s(find_share(workspace), now_s) / find_weight(workspace)

    def is_beyond_share(self, workspace: Workspace | None, now_s: float) -> bool:
        """Return whether a workspace has used clearly more than the usual level."""
        if len(self._uses) <= 1:
            return False
        if now_s - self._usual_at_s > USUAL_LEVEL_AGE_S_MAX:
            self._usual_at_s = now_s
            uses = {share: self.read_use_s(share, now_s) for share in self._uses}
            used = [share for share, use_s in uses.items() if use_s > USE_FORGOTTEN_S]
            weight = sum(self._weights[share] for share in used)
            total_s = sum(uses[share] for share in used)
            self._usual_level = total_s / weight if used else inf
        level = self.compute_level(workspace, now_s)
        return level > BEYOND_SHARE_FACTOR * self._usual_level

    def _forget(self, now_s: float) -> None:
        """Forget idle workspaces, and half of the others if there are too many."""
        uses = {share: self.read_use_s(share, now_s) for share in self._uses}
        kept = sorted(
            (share for share, use_s in uses.items() if use_s > USE_FORGOTTEN_S),
            key=lambda share: -uses[share],
        )
        kept_max = SHARES_MAX // 2 if len(kept) > SHARES_MAX // 2 else len(kept)
        self._uses = {share: (uses[share], now_s) for share in kept[:kept_max]}
        self._weights = {share: self._weights[share] for share in self._uses}
