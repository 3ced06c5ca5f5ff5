"""The budget of attempts beyond the first."""

from __future__ import annotations

from cardamomtack.admission.const import (
    EXTRA_ATTEMPTS_BURST,
    EXTRA_ATTEMPTS_PER_S_MIN,
)


class ExtraAttemptBudget:
    """Lets retries and hedges be a share of the requests.

    Each request earns a share of an extra attempt, so a service that fails as a
    whole is never sent a multiple of its load. A few are earned by time alone, for
    services with little traffic.
    """

    __slots__ = ("_earned", "_earned_at_s", "refused", "spent")

    def __init__(self) -> None:
        self._earned_at_s = 0.0
        self._earned = EXTRA_ATTEMPTS_BURST
        self.spent = 0
        self.refused = 0

    def earn_share(self, share: float, now_s: float) -> None:
        """Add what one request earns, and the time since the one before it."""
        elapsed_s = max(0.0, now_s - self._earned_at_s)
        self._earned_at_s = now_s
        earned = share + elapsed_s * EXTRA_ATTEMPTS_PER_S_MIN
        self._earned = min(EXTRA_ATTEMPTS_BURST, self._earned + earned)

    def spend_attempt(self) -> bool:
        """Return whether one extra attempt may be made, and pay for it."""
        if self._earned < 1.0:
            self.refused += 1
            return False
        self._earned -= 1.0
        self.spent += 1
        return True
