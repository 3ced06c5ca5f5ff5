"""The crashes of servers, and the requests that were in flight on them.

This module handles a request that crashes each server that runs it, among many callers'
requests that are in flight on the same servers. Many callers may send the same request,
so that it is in flight at unrelated crashes too; it is answered all the time, and the
one that crashes servers never is.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import inf

from cardamomtack.helpers.clock import Clock
from cardamomtack.quarantine.const import (
    ANSWERED_KEPT,
    INNOCENT_S,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    SUSPECTS_MAX,
    SUSPICION_S,
)


@dataclass(slots=True)
class Suspect:
    """A request that was in flight on servers that crashed."""

    crashed: set[str] = field(default_factory=set)
    seen_at_s: float = 0.0
    quarantined_until_s: float = 0.0


class CrashTracker:
    """Decides which requests are quarantined.

    A request that was in flight at the crashes of two servers is quarantined. One
    that was answered since its first crash, or shortly before, is a bystander.

    Parameters
    ----------
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_answered_at_s", "_clock", "_suspects")

    def __init__(self, clock: Clock) -> None:
        self._answered_at_s: OrderedDict[bytes, float] = OrderedDict()
        self._clock = clock
        self._suspects: dict[bytes, Suspect] = {}

    def record_crash(self, vm_id: str, request_digests: list[bytes]) -> None:
        """Suspect all requests that were in flight on a server that crashed."""
        now_s = self._clock.read_monotonic_s()
        self._drop_old(now_s)
        for digest in self.filter_suspects(request_digests):
            suspect = self._suspects.setdefault(digest, Suspect())
            suspect.crashed.add(vm_id)
            suspect.seen_at_s = now_s
            if len(suspect.crashed) >= QUARANTINE_CRASHES:
                suspect.quarantined_until_s = now_s + QUARANTINE_S

    def filter_suspects(self, request_digests: list[bytes]) -> list[bytes]:
        """Return those of some requests that were not answered lately."""
        since_s = self._clock.read_monotonic_s() - INNOCENT_S
        return [
            digest
            for digest in request_digests
            if self._answered_at_s.get(digest, -inf) < since_s
        ]

    def mark_answered(self, request_digest: bytes) -> None:
        """Clear a request that a server answered."""
        self._answered_at_s[request_digest] = self._clock.read_monotonic_s()
        self._answered_at_s.move_to_end(request_digest)
        if len(self._answered_at_s) > ANSWERED_KEPT:
            self._answered_at_s.popitem(last=False)
        suspect = self._suspects.get(request_digest)
        if suspect is not None and not suspect.quarantined_until_s:
            del self._suspects[request_digest]

    def is_suspected(self, request_digest: bytes) -> bool:
        """Return whether a request was in flight at a crash."""
        return request_digest in self._suspects

    def is_quarantined(self, request_digest: bytes) -> bool:
        """Return whether a request is refused."""
        suspect = self._suspects.get(request_digest)
        if suspect is None:
            return False
        return suspect.quarantined_until_s > self._clock.read_monotonic_s()

    def list_quarantined(self) -> list[bytes]:
        """Return the digests of the requests that are refused."""
        return [digest for digest in self._suspects if self.is_quarantined(digest)]

    def _drop_old(self, now_s: float) -> None:
        """Forget suspects whose time is over, and the oldest beyond the bound."""
        self._suspects = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if max(suspect.seen_at_s + SUSPICION_S, suspect.quarantined_until_s) > now_s
        }
        while len(self._suspects) > SUSPECTS_MAX:
            del self._suspects[next(iter(self._suspects))]
