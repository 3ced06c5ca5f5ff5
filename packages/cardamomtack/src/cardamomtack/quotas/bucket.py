"""The tokens of one workspace, and the callers that were told to come back for them."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

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
    keys : list of int
        A short digest of each request that waits for a token. The same request has
        the same one when its caller comes back, at whichever VM.
    spare : int
        Tokens that requests are expected to need soon.
    left_s : float
        For how long the callers may be sent back, in seconds.
    """

    keys: list[int]
    spare: int = 0
    left_s: float = 0.0


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """What a bucket gives.

    Attributes
    ----------
    retries_s : list of float
        For each key 0 for a token, or after how many seconds to come back.
    spare : int
        Tokens beyond these.
    """

    retries_s: list[float]
    spare: int = 0


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
        "_last_number",
        "_numbers",
        "_promises",
        "_returned_share",
        "_schedule",
        "_taken_at_s",
        "quota",
    )

    def __init__(
        self, quota: Quota, tokens: float, began_at_s: float, now_s: float
    ) -> None:
        self._bucket = TokenBucket(began_at_s, min(quota.capacity, tokens))
        self._bucket.apply_bounds(quota.rate_per_s, quota.capacity, began_at_s)
        self._held: dict[object, int] = {}
        self._last_number = 0
        self._numbers: dict[int, list[int]] = {}
        self._promises: dict[int, tuple[float, int]] = {}
        self._returned_share = 1.0
        self._schedule = ReturnSchedule()
        self._taken_at_s = now_s
        self.quota = quota

    def apply_quota(self, quota: Quota, held_free: float, now_s: float) -> None:
        """Apply the quota of a newer version."""
        self.quota = quota
        self._apply_capacity(held_free, now_s)

    def take(self, demand: TokenDemand, now_s: float) -> TokenGrant:
        """Give the tokens that there are, and times for who gets none."""
        self._taken_at_s = now_s
        self._expire_promises(now_s)
        retries_s = [self._claim(key, now_s) for key in demand.keys]
        due = self._count_due(now_s)
        for number, key in enumerate(demand.keys):
            if retries_s[number] and not self._spend_beyond(due, now_s):
                retries_s[number] = self._promise(key, due, demand.left_s, now_s)
            else:
                retries_s[number] = 0.0
        return TokenGrant(retries_s, self._take_spare(demand.spare, due, now_s))

    def limit_tokens(self, tokens: float, began_at_s: float, now_s: float) -> None:
        """Leave no more tokens than a new bucket would have.

        Where the VM has become the holder again since the last use, another holder may
        have granted the tokens that were added meanwhile.

        Parameters
        ----------
        tokens : float
            Tokens with which a new bucket begins.
        began_at_s : float
            Monotonic time since which the VM is the holder, in seconds.
        """
        if began_at_s > self._taken_at_s:
            added = max(0.0, now_s - began_at_s) * self.quota.rate_per_s
            self._bucket.limit_tokens(tokens + added, now_s)

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
        self._expire_promises(now_s)
        return not (self._held or self._promises) and self._bucket.is_full(now_s)

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

    def _expire_promises(self, now_s: float) -> None:
        """Drop the turns of callers that have not come back in time."""
        kept_from_s = now_s - self._choose_kept_s()
        while self._promises:
            number, (promised_at_s, key) = next(iter(self._promises.items()))
            if promised_at_s >= kept_from_s:
                return
            self._drop_promise(number, key)
            self._record_return(False)

    def _drop_promise(self, number: int, key: int) -> None:
        """Drop the turn of a caller, the first of those with its key."""
        del self._promises[number]
        numbers = self._numbers[key]
        del numbers[0]
        if not numbers:
            del self._numbers[key]

    def _claim(self, key: int, now_s: float) -> float:
        """Take the token of a caller whose turn has come; return 0 with a token."""
        numbers = self._numbers.get(key)
        if not numbers:
            return inf
        promised_at_s, _ = self._promises[numbers[0]]
        if promised_at_s > now_s + PROMISE_EARLY_S:
            return inf
        self._drop_promise(numbers[0], key)
        self._record_return(True)
        return 0.0 if self._bucket.spend(now_s) else inf

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
        for promised_at_s, _ in self._promises.values():
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

    def _promise(self, key: int, due: int, left_s: float, now_s: float) -> float:
        """Return after how many seconds a caller should come back."""
        wait_s = self._bucket.compute_wait_s(now_s, due + 1.0) + RETRY_MARGIN_S
        rate_per_s = self.quota.rate_per_s
        retry_s = self._schedule.choose_retry_after_s(wait_s, rate_per_s, left_s, now_s)
        if retry_s < left_s and len(self._promises) < PROMISES_MAX:
            self._last_number += 1
            self._promises[self._last_number] = (now_s + retry_s, key)
            self._numbers.setdefault(key, []).append(self._last_number)
        return retry_s
