"""Counts and latencies of the requests of this VM."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate

from aioprometheus.collectors import Counter, Gauge, Registry

from cardamomtack.accounts.counter import KindCounter

LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class TrafficMetrics:
    """Counts requests by kind and outcome, and their latencies by kind.

    A request costs two additions; metrics are made of the sums when they are read.
    """

    __slots__ = ("_buckets", "_gauges", "_latency", "_requests", "counter", "registry")

    def __init__(self) -> None:
        self.counter = KindCounter()
        self.registry = Registry()
        self._buckets: dict[str, list[int]] = {}
        self._gauges: dict[str, Gauge] = {}
        self._requests = Counter(
            "cardamomtack_requests_total",
            "Requests by service, kind and outcome.",
            registry=self.registry,
        )
        self._latency = Counter(
            "cardamomtack_request_duration_seconds_bucket",
            "Requests answered within a time, by kind.",
            registry=self.registry,
        )

    def record_request(
        self, service: str, kind: str, outcome: str, duration_s: float
    ) -> None:
        """Count a request and its latency in seconds."""
        self.counter.count_request(service, kind, outcome)
        buckets = self._buckets.get(kind)
        if buckets is None:
            buckets = [0] * (len(LATENCY_BUCKETS_S) + 1)
            self._buckets[kind] = buckets
        buckets[bisect_left(LATENCY_BUCKETS_S, duration_s)] += 1

    def refresh_totals(self) -> None:
        """Copy the totals into the metrics that are scraped."""
        for count in self.counter.list_counts({}):
            labels = {
                "service": count.service,
                "kind": count.kind,
                "outcome": count.outcome,
            }
            self._requests.set(labels, count.requests)
        bounds = [*(f"{bound:g}" for bound in LATENCY_BUCKETS_S), "+Inf"]
        for kind, buckets in self._buckets.items():
            for bound, total in zip(bounds, accumulate(buckets), strict=True):
                self._latency.set({"kind": kind, "le": bound}, total)

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge, which is made at its first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(name, description, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set({}, value)
