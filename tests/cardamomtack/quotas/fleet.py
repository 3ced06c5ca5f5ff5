"""VMs that ask a holder for tokens, on a simulated clock, with delayed messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from cardamomtack.quotas.bucket import TokenDemand
from cardamomtack.quotas.const import TOKEN_VALID_S
from cardamomtack.quotas.fallback import FallbackTable
from cardamomtack.quotas.ledger import QuotaLedger
from cardamomtack.quotas.rule import Quota, QuotaRule

ASK_TIMEOUT_S = 0.1
CALLER_LEFT_S = 2.0
RULE = QuotaRule(5.0, 0.1, 20.0)
TRIAL_S = 0.25


@dataclass(slots=True)
class Vm:
    """A VM that asks.

    Attributes
    ----------
    is_cut : bool
        Whether it is cut off from the holder.
    asks_again_at_s : float
        Until when it does not ask, after the holder was silent.
    """

    fallback: FallbackTable
    is_cut: bool = False
    asks_again_at_s: float = 0.0


@dataclass(slots=True)
class Holder:
    """A VM that grants.

    Attributes
    ----------
    stands : list of (float, float)
        Times during which it neither takes nor sends anything.
    """

    ledger: QuotaLedger = field(default_factory=lambda: QuotaLedger(RULE))
    began_at_s: float = -1000.0
    stands: list[tuple[float, float]] = field(default_factory=list)

    def find_turn_s(self, at_s: float) -> float:
        """Return when it handles a message that arrives at some time."""
        for start_s, end_s in self.stands:
            if start_s <= at_s < end_s:
                return end_s
        return at_s


class Fleet:
    """Callers of one workspace at many VMs.

    Attributes
    ----------
    sent_s : list of float
        Times at which requests were sent to servers.
    refused : int
        How many got 429.
    broken_promises : int
        Callers that came back when told, and were refused by a holder again.
    """

    def __init__(self, quota: Quota, vms: int = 124, seed: int = 1) -> None:
        self.random = Random(seed)
        self.quota = quota
        self.vms = [Vm(FallbackTable(RULE, self.random)) for _ in range(vms)]
        self.holder = Holder()
        self.now_s = 0.0
        self.sent_s: list[float] = []
        self.refused = 0
        self.broken_promises = 0
        self.come_back = True
        self.choose_holder: Callable[[int], Holder] = lambda vm: self.holder
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at some time."""
        heappush(self._events, (at_s, next(self._numbers), action))

    def run(self) -> None:
        """Play all events."""
        while self._events:
            self.now_s, _, action = heappop(self._events)
            action()

    def offer(
        self, rate_per_s: float, end_s: float, choose_vm: Callable[[float], int]
    ) -> None:
        """Let callers arrive at random until some time."""
        at_s = 0.0
        while at_s < end_s:
            at_s += self.random.expovariate(rate_per_s)
            self.arrive(at_s, choose_vm(at_s))

    def arrive(self, at_s: float, vm: int) -> None:
        """Let a caller arrive."""
        key = next(self._numbers)
        self.at(at_s, lambda: self._ask(vm, key))

    def _ask(self, number: int, key: int, is_returning: bool = False) -> None:
        """Ask the holder, or admit without it while it is silent."""
        vm = self.vms[number]
        asked_at_s = self.now_s
        if vm.asks_again_at_s > asked_at_s:
            self._fall_back(vm)
            return
        holder = self.choose_holder(number)
        turn_s = holder.find_turn_s(asked_at_s + self._draw_delay_s())
        answered_at_s = turn_s + self._draw_delay_s()
        if not vm.is_cut:
            self.at(
                turn_s,
                lambda: self._take(holder, number, key, is_returning, answered_at_s),
            )
        if vm.is_cut or answered_at_s > asked_at_s + ASK_TIMEOUT_S:
            self.at(asked_at_s + ASK_TIMEOUT_S, lambda: self._give_up(vm))

    def _take(
        self,
        holder: Holder,
        number: int,
        key: int,
        is_returning: bool,
        answered_at_s: float,
    ) -> None:
        """Take a token at the holder."""
        demand = TokenDemand([key], left_s=CALLER_LEFT_S)
        grant = holder.ledger.take(
            "workspace", self.quota, demand, holder.began_at_s, self.now_s
        )
        if answered_at_s - self.now_s > TOKEN_VALID_S:
            return
        (retry_s,) = grant.retries_s
        if not retry_s:
            self.at(answered_at_s, lambda: self.sent_s.append(self.now_s))
            return
        self.refused += 1
        self.broken_promises += is_returning
        if self.come_back and retry_s < CALLER_LEFT_S:
            jitter_s = self.random.uniform(0.0, 0.02)
            again_at_s = answered_at_s + retry_s + jitter_s
            self.at(again_at_s, lambda: self._ask(number, key, True))

    def _give_up(self, vm: Vm) -> None:
        """Note that the holder was silent."""
        vm.asks_again_at_s = self.now_s + TRIAL_S
        self._fall_back(vm)

    def _fall_back(self, vm: Vm) -> None:
        """Admit by the part of the VM."""
        wait_s = vm.fallback.admit("workspace", self.quota, len(self.vms), self.now_s)
        if wait_s is None:
            self.sent_s.append(self.now_s)
        else:
            self.refused += 1

    def _draw_delay_s(self) -> float:
        """Return how long a message takes."""
        return self.random.uniform(0.0002, 0.001)


def find_most_over(sent_s: list[float], quota: Quota) -> float:
    """Return by how much the worst window exceeds the rule; below 0 when none does."""
    times_s = sorted(sent_s)
    allowed = quota.rate_per_s * RULE.window_s + quota.burst
    allowed += RULE.compute_excess(quota)
    first = 0
    most = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - RULE.window_s:
            first += 1
        most = max(most, last - first + 1)
    return most - allowed
