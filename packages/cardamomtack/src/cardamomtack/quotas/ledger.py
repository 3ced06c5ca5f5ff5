"""The buckets that a holder keeps."""

from __future__ import annotations

from cardamomtack.quotas.bucket import QuotaBucket, TokenDemand, TokenGrant
from cardamomtack.quotas.const import BUCKETS_MAX
from cardamomtack.quotas.rule import Quota, QuotaRule, make_quota
from cardamomtack.workspaces.policy import WorkspaceKeys


class QuotaLedger:
    """Keeps the buckets of the workspaces that this VM holds.

    Attributes
    ----------
    rule : QuotaRule
        What may exceed a quota.
    """

    __slots__ = ("_buckets", "_version", "_workspaces", "rule")

    def __init__(self, rule: QuotaRule) -> None:
        self._buckets: dict[str, QuotaBucket] = {}
        self._version = -1
        self._workspaces: WorkspaceKeys | None = None
        self.rule = rule

    @property
    def count(self) -> int:
        """Return how many buckets are kept."""
        return len(self._buckets)

    def take(
        self,
        name: str,
        quota: Quota,
        demand: TokenDemand,
        began_at_s: float,
        now_s: float,
    ) -> TokenGrant | None:
        """Grant tokens of a workspace.

        Parameters
        ----------
        quota : Quota
            As the VM that asks knows it; an older one than is known changes nothing.
        began_at_s : float
            Monotonic time since which this VM holds the workspace, in seconds. A bucket
            that was dropped when it was full comes back full.

        Returns
        -------
        TokenGrant or None
            None when there are too many workspaces.
        """
        if quota.version < self._version:
            quota = self._find_quota(name)
        bucket = self._buckets.get(name)
        if bucket is None:
            if len(self._buckets) >= BUCKETS_MAX:
                return None
            bucket = QuotaBucket(quota, self.rule.start_tokens, began_at_s, now_s)
            self._buckets[name] = bucket
        else:
            if quota.version > bucket.quota.version:
                bucket.apply_quota(quota, self.rule.waiting_free, now_s)
            bucket.limit_tokens(self.rule.start_tokens, began_at_s, now_s)
        if not bucket.quota.rate_per_s:
            # The quota has ended, and the VM that asks does not know it yet.
            return TokenGrant([0.0] * len(demand.keys))
        return bucket.take(demand, now_s)

    def refund(self, name: str, count: int) -> None:
        """Take back tokens that were not used."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.refund(count)

    def record_waiting(
        self, name: str, source: object, count: int, now_s: float
    ) -> None:
        """Record how many admitted requests of a VM still wait for a server."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.record_waiting(source, count, self.rule.waiting_free, now_s)

    def remove_source(self, source: object, now_s: float) -> None:
        """Remove the waiting requests of a VM whose stream has ended."""
        for bucket in self._buckets.values():
            bucket.record_waiting(source, 0, self.rule.waiting_free, now_s)

    def apply_configuration(
        self, version: int, workspaces: WorkspaceKeys | None, now_s: float
    ) -> None:
        """Apply the quotas of a newer version to what is kept."""
        self._version = version
        self._workspaces = workspaces
        for name, bucket in self._buckets.items():
            if version > bucket.quota.version:
                quota = self._find_quota(name)
                bucket.apply_quota(quota, self.rule.waiting_free, now_s)

    def _find_quota(self, name: str) -> Quota:
        """Return the quota of a workspace in the version that this VM knows."""
        workspaces = self._workspaces
        workspace = workspaces.find_by_name(name) if workspaces is not None else None
        if workspace is None:
            return Quota(0.0, 0.0, self._version)
        return make_quota(workspace, self._version)

    def drop_idle(self, now_s: float) -> None:
        """Drop the buckets that are full or no longer limit anything."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if bucket.quota.rate_per_s and not bucket.is_idle(now_s)
        }
