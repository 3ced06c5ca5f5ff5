"""The share of the measuring budget that one VM may spend."""

from __future__ import annotations

from collections import deque
from math import inf

from cardamomtack.generated.configuration import MeasuringBudget
from cardamomtack.measuring.const import WINDOW_S

BUCKET_S = 0.25
REFILL_S_MAX = 60.0


class SlidingWindowLimit:
    """Bounds what is spent in any window of time.

    Parameters
    ----------
    limit : float
        Most that may be spent in a window.
    """

    __slots__ = ("_spent", "_total", "limit")

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self._spent: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def can_spend(self, now_s: float, amount: float = 1.0) -> bool:
        """Return whether an amount may be spent now."""
        while self._spent and self._spent[0][0] <= now_s - WINDOW_S:
            self._total -= self._spent.popleft()[1]
        return self._total + amount <= self.limit

    def compute_remaining_share(self, now_s: float) -> float:
        """Return the part of the limit that is left, from 0 to 1."""
        if not self.can_spend(now_s):
            return 0.0
        return 1.0 - self._total / self.limit

    def spend(self, amount: float, now_s: float) -> bool:
        """Return whether an amount may be spent now, and spend it."""
        if not self.can_spend(now_s, amount):
            return False
        self._spent.append((now_s, amount))
        self._total += amount
        return True


class ProbeLimiter:
    """Spends at most an equal share of the probes that the fleet may send.

    A token bucket that holds a quarter of a second: no second takes more than that
    beyond the share, and after a burst probes come steadily. A VM that may probe nobody
    for a while finds no slot, however many come free.
    """

    __slots__ = ("_rate_per_s", "_refilled_at_s", "_tokens", "skipped")

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._refilled_at_s = -inf
        self._tokens = 0.0
        self.skipped = 0

    def apply_bounds(
        self, checks_per_server_per_s: float, servers: int, vms: int
    ) -> None:
        """Take the bounds.

        Parameters
        ----------
        checks_per_server_per_s : float
            Probes that one server may get from all VMs in a second.
        servers, vms : int
            How many servers and VMs there are.
        """
        self._rate_per_s = checks_per_server_per_s * servers / max(1, vms)

    def can_probe(self, now_s: float) -> bool:
        """Return whether one more probe may be sent now."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def compute_remaining_share(self, now_s: float) -> float:
        """Return the part of the bucket that is left, from 0 to 1."""
        self._refill(now_s)
        capacity = self._compute_capacity()
        return self._tokens / capacity if capacity else 0.0

    def grant_probes(self, wanted: int, now_s: float) -> int:
        """Return how many of the wanted probes may be sent now, and spend them."""
        self._refill(now_s)
        granted = int(min(wanted, self._tokens))
        self._tokens -= granted
        self.skipped += wanted - granted
        return granted

    def _compute_capacity(self) -> float:
        """Return how many probes the bucket holds, one at least."""
        return max(1.0, BUCKET_S * self._rate_per_s) if self._rate_per_s else 0.0

    def _refill(self, now_s: float) -> None:
        """Add what may be spent since the last time."""
        elapsed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        tokens = self._tokens + self._rate_per_s * min(elapsed_s, REFILL_S_MAX)
        self._tokens = min(self._compute_capacity(), tokens)


class MeasuringLimiter:
    """Spends at most an equal share of the fleet's budget.

    The share depends only on the most VMs that may run, not on the VM list, so the
    budget also holds while the list lags.
    """

    __slots__ = ("_bytes", "_probes", "_reports", "skipped")

    def __init__(self) -> None:
        self._probes = SlidingWindowLimit(0.0)
        self._reports = SlidingWindowLimit(0.0)
        self._bytes = SlidingWindowLimit(0.0)
        self.skipped = 0

    def apply_budget(self, budget: MeasuringBudget) -> None:
        """Take the budget of a new configuration; what was spent still counts."""
        vms = budget.entry_vms_max
        self._probes.limit = budget.probes_per_second // vms
        self._reports.limit = budget.reports_per_second // vms
        self._bytes.limit = budget.bytes_per_second / vms

    @property
    def probes_per_window(self) -> float:
        """Return how many probes this VM may send in a window."""
        return self._probes.limit

    @property
    def reports_per_window(self) -> float:
        """Return how many reports this VM may send in a window."""
        return self._reports.limit

    def spend_probe(self, now_s: float) -> bool:
        """Return whether one probe may be sent now, and pay for it."""
        return self._note(self._probes.spend(1.0, now_s))

    def spend_report(self, size_bytes: int, now_s: float) -> bool:
        """Return whether a report of some bytes may be sent now, and pay for it."""
        if not self._bytes.spend(float(size_bytes), now_s):
            return self._note(False)
        return self._note(self._reports.spend(1.0, now_s))

    def _note(self, allowed: bool) -> bool:
        """Count what was not allowed."""
        self.skipped += not allowed
        return allowed
