"""The budget of sends beyond the first, which the VMs of a fleet share.

This module handles servers that fail or refuse requests under overload. Each VM spends
a share of its own requests and a fixed small slack, so the sum of the fleet stays
within the bound, whatever part of the requests a VM gets. When all servers refuse a
share of the requests, the budget does not reach for all; then the last of it goes to
the more urgent kinds.
"""

from __future__ import annotations

from collections import deque

from cardamomtack.placing.const import NEW_RUN_SLACK_SHARE, RETRY_BUDGET_SHARE

PART_BY_PRIORITY = (1.0, 0.9, 0.8)
"""Part of the budget on which further sends of a kind may draw."""


class RetryBudget:
    """Bounds the further sends to one service in any window of time.

    Attributes
    ----------
    refused : int
        Further sends that were not allowed.
    """

    __slots__ = ("_further", "_requests", "_share", "_slack", "_window_s", "refused")

    def __init__(self) -> None:
        self._share = 0.0
        self._slack = 0.0
        self._window_s = 1.0
        self.refused = 0
        self._further: deque[float] = deque()
        self._requests: deque[float] = deque()

    def apply_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Apply the bounds.

        Parameters
        ----------
        share : float
            Further sends that the fleet may make for each request.
        slack : float
            This VM's part of the further sends that the fleet may make beside them.
        window_s : float
            Length of the window, in seconds.
        """
        self._share = share
        self._slack = slack
        self._window_s = window_s

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        _drop_old(self._requests, now_s - self._window_s)
        self._requests.append(now_s)

    def spend_send(self, now_s: float, part: float = 1.0) -> bool:
        """Return whether one further send may be made, and pay for it.

        Parameters
        ----------
        part : float
            Part of the budget, from 0 to 1, on which this send may draw; what is
            beyond is kept for sends that matter more.
        """
        _drop_old(self._further, now_s - self._window_s)
        _drop_old(self._requests, now_s - self._window_s)
        allowed = len(self._requests) * self._share + self._slack
        if len(self._further) + 1 > allowed * RETRY_BUDGET_SHARE * part:
            self.refused += 1
            return False
        self._further.append(now_s)
        return True


def compute_slack(
    slack: float, vms: int | None, uptime_s: float, window_s: float
) -> float:
    """Return this VM's part of the further sends that the fleet may make.

    A VM does not know what it spent before it was started again, so its part is small
    until that is out of the window.

    Parameters
    ----------
    slack : float
        What the whole fleet may make in a window, beside those for its requests.
    vms : int or None
        How many VMs there are; None before that is known.
    uptime_s : float
        Time since this VM was started, in seconds.
    """
    if vms is None:
        return 0.0
    if uptime_s < window_s:
        slack *= NEW_RUN_SLACK_SHARE
    return slack / vms


def choose_budget_share(priority: int) -> float:
    """Return the part of the budget on which a further send may draw.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    """
    return PART_BY_PRIORITY[min(max(priority, 0), len(PART_BY_PRIORITY) - 1)]


def _drop_old(times: deque[float], until_s: float) -> None:
    """Drop the times before the window."""
    while times and times[0] <= until_s:
        times.popleft()
