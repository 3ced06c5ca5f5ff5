"""What one VM admits by itself while no holder answers it.

All VMs together admit what the rule allows beyond the quotas, in equal parts. With many
VMs such a part is less than one request in a window, so each VM gets a token at regular
times, the first after a random part of the interval. A token that is not used is void
after a part of the window: otherwise all VMs would have one after an idle time and
spend them at once.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil
from random import Random

from cardamomtack.quotas.const import (
    FALLBACK_KEPT_WINDOW_SHARE,
    FALLBACK_WORKSPACES_MAX,
)
from cardamomtack.quotas.rule import Quota, QuotaRule


class FallbackAllowance:
    """The part of one VM in what may exceed the quota of one workspace.

    Parameters
    ----------
    level : float
        Part of the first interval that has passed, from 0 to 1.
    now_s : float
        Monotonic time, in seconds.
    """

    __slots__ = ("_level", "_refilled_at_s")

    def __init__(self, level: float, now_s: float) -> None:
        self._level = level
        self._refilled_at_s = now_s

    def spend(self, rate_per_s: float, kept_s: float, now_s: float) -> bool:
        """Return whether a request is admitted, and count it.

        Parameters
        ----------
        rate_per_s : float
            Tokens a second.
        kept_s : float
            For how long a token may be used, in seconds.
        """
        self._level += max(0.0, now_s - self._refilled_at_s) * rate_per_s
        self._refilled_at_s = now_s
        self._level -= max(0, ceil(self._level - (1.0 + kept_s * rate_per_s)))
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def compute_wait_s(self, rate_per_s: float) -> float:
        """Return after how many seconds the next token comes."""
        return max(0.0, 1.0 - self._level) / rate_per_s


class FallbackTable:
    """The parts of one VM for all workspaces.

    Parameters
    ----------
    random : Random
        Spreads the tokens of the VMs.

    Attributes
    ----------
    rule : QuotaRule
        What may exceed a quota.
    """

    __slots__ = ("_allowances", "_random", "rule")

    def __init__(self, rule: QuotaRule, random: Random) -> None:
        self._allowances: OrderedDict[str, FallbackAllowance] = OrderedDict()
        self._random = random
        self.rule = rule

    def admit(self, name: str, quota: Quota, vms: int, now_s: float) -> float | None:
        """Admit a request, or return after how many seconds to ask again.

        Parameters
        ----------
        vms : int
            How many VMs share what may exceed the quota.

        Returns
        -------
        float or None
            None when it is admitted.
        """
        kept_share = FALLBACK_KEPT_WINDOW_SHARE
        excess = self.rule.compute_excess(quota)
        if excess <= 0.0:
            return 1.0 / quota.rate_per_s
        # Tokens of before a window may be used in it.
        rate_per_s = excess / (1.0 + kept_share) / self.rule.window_s / max(1, vms)
        allowance = self._find(name, now_s)
        if allowance.spend(rate_per_s, kept_share * self.rule.window_s, now_s):
            return None
        return allowance.compute_wait_s(rate_per_s)

    def _find(self, name: str, now_s: float) -> FallbackAllowance:
        """Return the part for a workspace; those not used for longest are dropped."""
        allowance = self._allowances.get(name)
        if allowance is None:
            allowance = FallbackAllowance(self._random.random(), now_s)
            self._allowances[name] = allowance
            if len(self._allowances) > FALLBACK_WORKSPACES_MAX:
                self._allowances.popitem(last=False)
        self._allowances.move_to_end(name)
        return allowance
