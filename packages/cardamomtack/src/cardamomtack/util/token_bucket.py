"""A token bucket whose rate and size may change."""

from __future__ import annotations

from math import inf


class TokenBucket:
    """Counts tokens that are added at a rate, up to a capacity.

    Parameters
    ----------
    now_s : float
        Monotonic time, in seconds.
    tokens : float
        Tokens that it begins with.

    Attributes
    ----------
    rate_per_s : float
        Tokens that are added a second.
    """

    __slots__ = ("_capacity", "_refilled_at_s", "_tokens", "rate_per_s")

    def __init__(self, now_s: float, tokens: float = 0.0) -> None:
        self._capacity = tokens
        self.rate_per_s = 0.0
        self._refilled_at_s = now_s
        self._tokens = tokens

    def apply_bounds(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Apply a rate and a capacity; tokens beyond the capacity are dropped."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def limit_tokens(self, tokens: float, now_s: float) -> None:
        """Drop the tokens beyond a number."""
        self._tokens = min(self.count_tokens(now_s), tokens)

    def count_tokens(self, now_s: float) -> float:
        """Return how many tokens there are now."""
        self._refill(now_s)
        return self._tokens

    def can_spend(self, now_s: float) -> bool:
        """Return whether there is a token now."""
        return self.count_tokens(now_s) >= 1.0

    def spend(self, now_s: float) -> bool:
        """Return whether there is a token now, and take it."""
        if not self.can_spend(now_s):
            return False
        self._tokens -= 1.0
        return True

    def refund(self, count: int = 1) -> None:
        """Give back tokens that were not used."""
        self._tokens = min(self._capacity, self._tokens + count)

    def compute_wait_s(self, now_s: float, count: float = 1.0) -> float:
        """Return after how many seconds there are some tokens; infinite for never."""
        missing = count - self.count_tokens(now_s)
        if missing <= 0.0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s else inf

    def is_full(self, now_s: float) -> bool:
        """Return whether there are as many tokens as it holds."""
        return self.count_tokens(now_s) >= self._capacity

    def _refill(self, now_s: float) -> None:
        """Add what has come since the last time."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        tokens = self._tokens + elapsed_s * self.rate_per_s
        self._tokens = min(self._capacity, tokens)
