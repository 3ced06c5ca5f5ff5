"""Counting of requests by kind, and merging of the totals of all VMs."""

from __future__ import annotations

from cardamomtack.generated.records import CountsRecord, KindCount

CountKey = tuple[str, str, str]


class KindCounter:
    """Cumulative totals of one VM incarnation.

    Counting one request is one addition; weights are applied when totals are read.
    """

    __slots__ = ("_totals",)

    def __init__(self) -> None:
        self._totals: dict[CountKey, int] = {}

    def count_request(self, service: str, kind: str, outcome: str) -> None:
        """Count one request."""
        key = (service, kind, outcome)
        self._totals[key] = self._totals.get(key, 0) + 1

    def list_counts(self, weights: dict[str, float]) -> list[KindCount]:
        """Return the totals, weighted by kind."""
        return [
            KindCount(service, kind, outcome, total, total * weights.get(kind, 1.0))
            for (service, kind, outcome), total in sorted(self._totals.items())
        ]


def merge_counts(records: list[CountsRecord]) -> list[KindCount]:
    """Return the totals of all VM incarnations, each counted once.

    Totals are cumulative, so only the newest record of an incarnation counts, and a
    record that is read twice or late changes nothing.
    """
    newest: dict[str, CountsRecord] = {}
    for record in records:
        known = newest.get(record.incarnation)
        if known is None or record.sequence > known.sequence:
            newest[record.incarnation] = record
    merged: dict[CountKey, KindCount] = {}
    for record in newest.values():
        for count in record.counts:
            key = (count.service, count.kind, count.outcome)
            total = merged.setdefault(key, KindCount(*key, requests=0, weight=0.0))
            total.requests += count.requests
            total.weight += count.weight
    return [merged[key] for key in sorted(merged)]
