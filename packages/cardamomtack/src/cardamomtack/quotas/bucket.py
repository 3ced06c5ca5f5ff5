"""The tokens of one workspace, and the callers that were told to come back for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from cardamomtack.limits.returns import ReturnSchedule
from cardamomtack.quotas.const import (
    PREFETCH_LEVEL_MIN,
    PROMISE_EARLY_S,
    PROMISE_KEPT_S,
    PROMISES_MAX,
    RETRY_MARGIN_S,
    RETURNED_SHARE_MIN,
    RETURNS_WEIGHT,
)
from cardamomtack.quotas.rule import Quota
from cardamomtack.util.token_bucket import TokenBucket


@dataclass(slots=True, frozen=True)
class TokenDemand:
    """What a VM asks of a bucket.

    Attributes
    ----------
    fresh : int
        Requests that wait for a token.
    returning : int
        Requests beyond these whose callers were sent back before.
    spare : int
        Tokens that requests are expected to need soon.
    left_s : float
        For how long the callers may be sent back, in seconds.
    """

    fresh: int = 0
    returning: int = 0
    spare: int = 0
    left_s: float = 0.0


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """What a bucket gives.

    Attributes
    ----------
    fresh, returning, spare : int
        Tokens for each part of the demand.
    retries_s : list of float
        When each caller that gets none should come back, in seconds; first those of
        returning requests.
    """

    fresh: int
    returning: int
    spare: int
    retries_s: list[float]


class QuotaBucket:
    """The token bucket of one workspace.

    A caller that finds no token is told when its turn comes. Its token is kept for a
    moment then, since others that come first would otherwise take it each time.

    Parameters
    ----------
    quota : Quota
        What it admits.
    tokens : float
        Tokens that it begins with.
    began_at_s, now_s : float
        Monotonic times of its beginning, from which on tokens are added, and of now,
        in seconds.
    """

    __slots__ = (
        "_bucket",
        "_held",
        "_promised_at_s",
        "_returned_share",
        "_schedule",
        "quota",
    )

    def __init__(
        self, quota: Quota, tokens: float, began_at_s: float, now_s: float
    ) -> None:
        self._bucket = TokenBucket(began_at_s, min(quota.capacity, tokens))
        self._bucket.apply_bounds(quota.rate_per_s, quota.capacity, began_at_s)
        self._held: dict[object, int] = {}
        self._promised_at_s: deque[float] = deque()
        self._returned_share = 1.0
        self._schedule = ReturnSchedule()
        self.quota = quota

    def apply_quota(self, quota: Quota, held_free: float, now_s: float) -> None:
        """Apply the quota of a newer version."""
        self.quota = quota
        self._apply_capacity(held_free, now_s)

    def take(self, demand: TokenDemand, now_s: float) -> TokenGrant:
        """Give the tokens that there are, and times for who gets none."""
        kept_from_s = now_s - self._choose_kept_s()
        while self._promised_at_s and self._promised_at_s[0] < kept_from_s:
            self._promised_at_s.popleft()
            self._record_return(False)
        returning = 0
        while returning < demand.returning and self._claim(now_s):
            returning += 1
        due = self._count_due(now_s)
        fresh = 0
        unclaimed = demand.returning - returning
        # A returning request without a turn is one like others.
        while fresh < unclaimed + demand.fresh and self._spend_beyond(due, now_s):
            fresh += 1
        spare = self._take_spare(demand.spare, due, now_s)
        refused = unclaimed + demand.fresh - fresh
        retries_s = [
            self._choose_retry_s(due, demand.left_s, now_s) for _ in range(refused)
        ]
        as_returning = min(fresh, unclaimed)
        return TokenGrant(
            fresh - as_returning, returning + as_returning, spare, retries_s
        )

    def refund(self, count: int) -> None:
        """Take back tokens that were not used."""
        self._bucket.refund(count)

    def hold(self, holder: object, count: int, held_free: float, now_s: float) -> None:
        """Record how many admitted requests of a VM still wait for a server.

        They will be sent later than their tokens were taken, so no new tokens take
        their place beyond the burst meanwhile.

        Parameters
        ----------
        holder : object
            Names the VM; what it has told before is replaced.
        """
        if count:
            self._held[holder] = count
        elif self._held.pop(holder, None) is None:
            return
        self._apply_capacity(held_free, now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether it is as one that nobody has asked yet."""
        if self._held or not self._bucket.is_full(now_s):
            return False
        kept_from_s = now_s - self._choose_kept_s()
        return not self._promised_at_s or self._promised_at_s[-1] < kept_from_s

    def _apply_capacity(self, held_free: float, now_s: float) -> None:
        """Leave room for the requests that wait for a server."""
        held = max(0.0, sum(self._held.values()) - held_free)
        capacity = max(0.0, self.quota.capacity - held)
        self._bucket.apply_bounds(self.quota.rate_per_s, capacity, now_s)

    def _choose_kept_s(self) -> float:
        """Return for how long a token is kept for its caller, in seconds.

        A small bucket would be full before, and what comes then would be lost.
        """
        return min(PROMISE_KEPT_S, 0.5 * self.quota.capacity / self.quota.rate_per_s)

    def _claim(self, now_s: float) -> bool:
        """Take the token of a caller whose turn has come."""
        promised = self._promised_at_s
        if not promised or promised[0] > now_s + PROMISE_EARLY_S:
            return False
        promised.popleft()
        self._record_return(True)
        return self._bucket.spend(now_s)

    def _record_return(self, has_returned: bool) -> None:
        """Record whether a caller has come back when its turn came."""
        news = float(has_returned) - self._returned_share
        self._returned_share += RETURNS_WEIGHT * news

    def _count_due(self, now_s: float) -> int:
        """Return for how many callers a token is kept now.

        None is kept while hardly any caller comes back.
        """
        if self._returned_share < RETURNED_SHARE_MIN:
            return 0
        due = 0
        for promised_at_s in self._promised_at_s:
            if promised_at_s > now_s + RETRY_MARGIN_S:
                break
            due += 1
        return due

    def _spend_beyond(self, kept: float, now_s: float) -> bool:
        """Take a token if more than some are there."""
        if self._bucket.count_tokens(now_s) < kept + 1.0:
            return False
        return self._bucket.spend(now_s)

    def _take_spare(self, wanted: int, due: int, now_s: float) -> int:
        """Take tokens that nobody waits for, while there are plenty."""
        kept = due + PREFETCH_LEVEL_MIN * self.quota.capacity
        spare = 0
        while spare < wanted and self._spend_beyond(kept, now_s):
            spare += 1
        return spare

    def _choose_retry_s(self, due: int, left_s: float, now_s: float) -> float:
        """Return after how many seconds a caller should come back."""
        wait_s = self._bucket.compute_wait_s(now_s, due + 1.0) + RETRY_MARGIN_S
        rate_per_s = self.quota.rate_per_s
        retry_s = self._schedule.choose_retry_after_s(wait_s, rate_per_s, left_s, now_s)
        if retry_s < left_s and len(self._promised_at_s) < PROMISES_MAX:
            self._promised_at_s.append(now_s + retry_s)
        return retry_s
