"""What one VM may send to a server that has a limit."""

from __future__ import annotations

from cardamomtack.limits.const import BURST_S
from cardamomtack.util.token_bucket import TokenBucket


class SendAllowance(TokenBucket):
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

    __slots__ = ("fleet_rate_per_s",)

    def __init__(self, now_s: float) -> None:
        super().__init__(now_s)
        self.fleet_rate_per_s = 0.0

    def apply_share(
        self, share_per_s: float, fleet_rate_per_s: float, now_s: float
    ) -> None:
        """Apply the share of this VM, in requests a second; what is saved stays."""
        capacity = max(1.0, BURST_S * share_per_s) if share_per_s else 0.0
        self.apply_bounds(share_per_s, capacity, now_s)
        self.fleet_rate_per_s = fleet_rate_per_s
