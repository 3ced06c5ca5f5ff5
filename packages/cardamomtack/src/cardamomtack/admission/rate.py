"""Limits of requests per second by kind."""

from __future__ import annotations

from cardamomtack.configuration.routes import KindPolicy, RouteTable

BURST_S = 1.0
"""Seconds of its rate that a kind may use at once."""


class _Bucket:
    """Tokens of one kind."""

    __slots__ = ("tokens", "updated_at_s")

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.updated_at_s = now_s


class RateLimiter:
    """Admits at most this VM's share of the requests of each kind."""

    __slots__ = ("_buckets", "live_vms")

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self.live_vms = 1

    def apply_routes(self, routes: RouteTable) -> None:
        """Forget the kinds that a new configuration no longer has."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if name in routes.kinds
        }

    def admit_request(self, kind: KindPolicy, now_s: float) -> bool:
        """Return whether a request is within the limit of its kind."""
        if kind.requests_per_second is None:
            return True
        rate = kind.requests_per_second / self.live_vms
        burst = max(1.0, rate * BURST_S)
        bucket = self._buckets.setdefault(kind.name, _Bucket(burst, now_s))
        elapsed_s = now_s - bucket.updated_at_s
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * rate)
        bucket.updated_at_s = now_s
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
