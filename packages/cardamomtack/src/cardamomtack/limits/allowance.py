"""What one VM may send to a server that has a limit."""

from __future__ import annotations

from math import inf

from cardamomtack.limits.const import BURST_S


class SendAllowance:
    """A token bucket for this VM's share of the limit of one server.

    It begins empty, because requests that were sent before the limit was heard have
    not been counted.

    Parameters
    ----------
    now_s : float
        Monotonic time, in seconds.

    Attributes
    ----------
    fleet_rate_per_s : float
        What all VMs together may send, in requests a second.
    """

    __slots__ = ("_refilled_at_s", "_share_per_s", "_tokens", "fleet_rate_per_s")

    def __init__(self, now_s: float) -> None:
        self._refilled_at_s = now_s
        self._share_per_s = 0.0
        self._tokens = 0.0
        self.fleet_rate_per_s = 0.0

    def apply_share(
        self, share_per_s: float, fleet_rate_per_s: float, now_s: float
    ) -> None:
        """Apply the share of this VM, in requests a second; what is saved stays."""
        self._refill(now_s)
        self._share_per_s = share_per_s
        self.fleet_rate_per_s = fleet_rate_per_s
        self._tokens = min(self._tokens, self._compute_capacity())

    def can_spend(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def spend(self, now_s: float) -> bool:
        """Return whether a request may be sent now, and count it."""
        if not self.can_spend(now_s):
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Give back what was spent for a request that was not sent."""
        self._tokens = min(self._compute_capacity(), self._tokens + 1.0)

    def compute_wait_s(self, now_s: float) -> float:
        """Return after how many seconds a request may be sent; infinite for never."""
        if self.can_spend(now_s):
            return 0.0
        if not self._share_per_s:
            return inf
        return (1.0 - self._tokens) / self._share_per_s

    def _compute_capacity(self) -> float:
        """Return how many requests may be sent at once."""
        return max(1.0, BURST_S * self._share_per_s) if self._share_per_s else 0.0

    def _refill(self, now_s: float) -> None:
        """Add what may be sent since the last time."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        tokens = self._tokens + elapsed_s * self._share_per_s
        self._tokens = min(self._compute_capacity(), tokens)
