"""The tokens of one workspace, and those reserved for callers that come back."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from cardamomtack.limits.returns import ReturnSchedule
from cardamomtack.quotas.const import (
    PREFETCH_LEVEL_MIN,
    RESERVATION_EARLY_S,
    RESERVATION_S,
    RESERVATIONS_MAX,
    RETRY_MARGIN_S,
    RETURNED_SHARE_MIN,
    RETURNED_SHARE_WEIGHT,
)
from cardamomtack.quotas.rule import Quota
from cardamomtack.util.token_bucket import TokenBucket


@dataclass(slots=True, frozen=True)
class TokenDemand:
    """The tokens that a VM requests from a bucket.

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
    """The tokens that a bucket grants.

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

    A caller that finds no token gets a retry time, and a token is reserved for it from
    then on for a short time. Otherwise new callers would take each token first.

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
        "_last_number",
        "_numbers_by_key",
        "_reservations",
        "_returned_share",
        "_schedule",
        "_taken_at_s",
        "_waiting",
        "quota",
    )

    def __init__(
        self, quota: Quota, tokens: float, began_at_s: float, now_s: float
    ) -> None:
        self._bucket = TokenBucket(began_at_s, min(quota.capacity, tokens))
        self._bucket.apply_bounds(quota.rate_per_s, quota.capacity, began_at_s)
        self._waiting: dict[object, int] = {}
        self._last_number = 0
        self._numbers_by_key: dict[int, list[int]] = {}
        self._reservations: dict[int, tuple[float, int]] = {}
        self._returned_share = 1.0
        self._schedule = ReturnSchedule()
        self._taken_at_s = now_s
        self.quota = quota

    def apply_quota(self, quota: Quota, waiting_free: float, now_s: float) -> None:
        """Apply the quota of a newer version."""
        self.quota = quota
        self._apply_capacity(waiting_free, now_s)

    def take(self, demand: TokenDemand, now_s: float) -> TokenGrant:
        """Grant the available tokens, and retry times to the other requests."""
        self._taken_at_s = now_s
        self._expire_reservations(now_s)
        retries_s = [self._redeem(key, now_s) for key in demand.keys]
        due = self._count_due(now_s)
        for number, key in enumerate(demand.keys):
            if retries_s[number] and not self._spend_beyond(due, now_s):
                retries_s[number] = self._reserve(key, due, demand.left_s, now_s)
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

    def record_waiting(
        self, source: object, count: int, waiting_free: float, now_s: float
    ) -> None:
        """Record how many admitted requests of a VM still wait for a server.

        They will be sent later than their tokens were taken, so no new tokens take
        their place beyond the burst meanwhile.

        Parameters
        ----------
        source : object
            Identifies the VM; its previous number is replaced.
        """
        if count:
            self._waiting[source] = count
        elif self._waiting.pop(source, None) is None:
            return
        self._apply_capacity(waiting_free, now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether it is full, and nothing is reserved or waits."""
        self._expire_reservations(now_s)
        return not (self._waiting or self._reservations) and self._bucket.is_full(now_s)

    def _apply_capacity(self, waiting_free: float, now_s: float) -> None:
        """Leave room for the requests that wait for a server."""
        waiting = max(0.0, sum(self._waiting.values()) - waiting_free)
        capacity = max(0.0, self.quota.capacity - waiting)
        self._bucket.apply_bounds(self.quota.rate_per_s, capacity, now_s)

    def _choose_kept_s(self) -> float:
        """Return for how long a token stays reserved, in seconds.

        A small bucket would fill up in a longer time, and drop further tokens.
        """
        return min(RESERVATION_S, 0.5 * self.quota.capacity / self.quota.rate_per_s)

    def _expire_reservations(self, now_s: float) -> None:
        """Drop the reservations whose callers have not come back in time."""
        kept_from_s = now_s - self._choose_kept_s()
        while self._reservations:
            number, (due_at_s, key) = next(iter(self._reservations.items()))
            if due_at_s >= kept_from_s:
                return
            self._drop_reservation(number, key)
            self._record_return(False)

    def _drop_reservation(self, number: int, key: int) -> None:
        """Drop a reservation, the first of those with its key."""
        del self._reservations[number]
        numbers = self._numbers_by_key[key]
        del numbers[0]
        if not numbers:
            del self._numbers_by_key[key]

    def _redeem(self, key: int, now_s: float) -> float:
        """Take a reserved token; return 0 with a token, else infinity."""
        numbers = self._numbers_by_key.get(key)
        if not numbers:
            return inf
        due_at_s, _ = self._reservations[numbers[0]]
        if due_at_s > now_s + RESERVATION_EARLY_S:
            return inf
        self._drop_reservation(numbers[0], key)
        self._record_return(True)
        return 0.0 if self._bucket.spend(now_s) else inf

    def _record_return(self, has_returned: bool) -> None:
        """Record whether a caller has come back when its turn came."""
        difference = float(has_returned) - self._returned_share
        self._returned_share += RETURNED_SHARE_WEIGHT * difference

    def _count_due(self, now_s: float) -> int:
        """Return how many tokens are reserved now.

        None is while few callers come back.
        """
        if self._returned_share < RETURNED_SHARE_MIN:
            return 0
        due = 0
        for due_at_s, _ in self._reservations.values():
            if due_at_s > now_s + RETRY_MARGIN_S:
                break
            due += 1
        return due

    def _spend_beyond(self, kept: float, now_s: float) -> bool:
        """Take a token if more than some are there."""
        if self._bucket.count_tokens(now_s) < kept + 1.0:
            return False
        return self._bucket.spend(now_s)

    def _take_spare(self, wanted: int, due: int, now_s: float) -> int:
        """Take tokens in advance while the bucket is more than half full."""
        kept = due + PREFETCH_LEVEL_MIN * self.quota.capacity
        spare = 0
        while spare < wanted and self._spend_beyond(kept, now_s):
            spare += 1
        return spare

    def _reserve(self, key: int, due: int, left_s: float, now_s: float) -> float:
        """Reserve a token if the caller can wait; return its retry time in seconds."""
        wait_s = self._bucket.compute_wait_s(now_s, due + 1.0) + RETRY_MARGIN_S
        rate_per_s = self.quota.rate_per_s
        retry_s = self._schedule.choose_retry_after_s(wait_s, rate_per_s, left_s, now_s)
        if retry_s < left_s and len(self._reservations) < RESERVATIONS_MAX:
            self._last_number += 1
            self._reservations[self._last_number] = (now_s + retry_s, key)
            self._numbers_by_key.setdefault(key, []).append(self._last_number)
        return retry_s
