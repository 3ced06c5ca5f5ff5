"""Requests for tokens that wait for an answer, and spare tokens."""

from __future__ import annotations

from asyncio import Future, get_running_loop
from collections import deque
from dataclasses import dataclass, field

from cardamomtack.generated.quota import GrantedTokens, TokenWant
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.quotas.const import TOKEN_VALID_S
from cardamomtack.quotas.rule import Quota
from cardamomtack_daemon.quotas.const import COUNT_MAX, RETRY_S_MAX, RETURN_S_MAX


@dataclass(slots=True, frozen=True)
class TokenResult:
    """What has become of the request for a token.

    Attributes
    ----------
    asked_at_s : float
        Time since the start of the VM at which it was asked for, in seconds.
    is_granted : bool
        Whether there is a token.
    retry_s : float
        After how long to come back without one, in seconds.
    holder_id : str or None
        The VM to ask instead; None when this one has decided.
    """

    asked_at_s: float
    is_granted: bool = False
    retry_s: float = 0.0
    holder_id: str | None = None


Waiter = Future[TokenResult | None]


@dataclass(slots=True)
class PendingWant:
    """The requests of one workspace that ask together."""

    name: str
    quota: Quota
    asked_at_s: float
    keys: list[int] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)
    left_s: float = 0.0

    def add(self, key: int, left_s: float) -> Waiter:
        """Add a request, and return the future of its result."""
        waiter: Waiter = get_running_loop().create_future()
        self.keys.append(key)
        self.waiters.append(waiter)
        self.left_s = max(self.left_s, left_s)
        return waiter

    def is_full(self) -> bool:
        """Return whether a message may hold no more of its requests."""
        return len(self.waiters) >= COUNT_MAX

    def drop_gone(self) -> None:
        """Drop the requests whose callers have gone."""
        if not any(waiter.done() for waiter in self.waiters):
            return
        left = [
            (key, waiter)
            for key, waiter in zip(self.keys, self.waiters, strict=True)
            if not waiter.done()
        ]
        self.keys = [key for key, _ in left]
        self.waiters = [waiter for _, waiter in left]

    def write(self, spare: int) -> TokenWant:
        """Return it as it is sent."""
        return TokenWant(
            self.name,
            self.quota.rate_per_s,
            self.quota.burst,
            self.quota.version,
            self.keys,
            spare=spare,
            left_ms=int(min(RETRY_S_MAX, self.left_s) * MS_PER_S),
        )

    def resolve(self, grant: GrantedTokens) -> int:
        """Pass the grant to the requests; return how many tokens are left."""
        asked_at_s = self.asked_at_s
        if grant.holder_id is not None:
            for waiter in self.waiters:
                _tell(waiter, TokenResult(asked_at_s, holder_id=grant.holder_id))
            return 0
        left = grant.spare
        for waiter, retry_ms in zip(self.waiters, grant.retries_ms, strict=True):
            result = TokenResult(asked_at_s, not retry_ms, retry_ms / MS_PER_S)
            if not _tell(waiter, result) and not retry_ms:
                left += 1
        return left

    def fail(self) -> None:
        """Leave the requests without a decision."""
        for waiter in self.waiters:
            _tell(waiter, None)


class SpareTokens:
    """Tokens of workspaces that no request has used yet.

    Parameters
    ----------
    clock : Clock
        Tells the time, that of a suspended VM included.
    """

    __slots__ = ("_clock", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens: dict[str, deque[float]] = {}

    def add(self, name: str, count: int, asked_at_s: float) -> None:
        """Keep tokens that were asked for at some time."""
        self._tokens.setdefault(name, deque()).extend([asked_at_s] * count)

    def count(self, name: str) -> int:
        """Return how many tokens there are."""
        return len(self._tokens.get(name, ()))

    def take(self, name: str) -> float | None:
        """Return when a token was asked for that is taken; None without a valid one."""
        tokens = self._tokens.get(name)
        if not tokens:
            return None
        if self._clock.read_boot_s() - tokens[-1] > TOKEN_VALID_S:
            return None
        return tokens.pop()

    def collect_void(self) -> dict[str, int]:
        """Drop void tokens, and return how many of each workspace are given back."""
        now_s = self._clock.read_boot_s()
        unused: dict[str, int] = {}
        for name, tokens in list(self._tokens.items()):
            while tokens and now_s - tokens[0] > TOKEN_VALID_S:
                if now_s - tokens.popleft() <= RETURN_S_MAX:
                    unused[name] = unused.get(name, 0) + 1
            if not tokens:
                del self._tokens[name]
        return unused


def _tell(waiter: Waiter, result: TokenResult | None) -> bool:
    """Tell a request its result; return False when its caller has gone."""
    if waiter.done():
        return False
    waiter.set_result(result)
    return True
