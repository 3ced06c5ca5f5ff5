"""Decides whether the quota of a workspace admits a request."""

from __future__ import annotations

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from anyio import move_on_after, sleep

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import Clock
from cardamomtack.quotas.bucket import TokenDemand
from cardamomtack.quotas.const import TOKEN_VALID_S
from cardamomtack.quotas.fallback import FallbackTable
from cardamomtack.quotas.holders import HolderTable, Tenure
from cardamomtack.quotas.ledger import QuotaLedger
from cardamomtack.quotas.rule import Quota, make_quota
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.quotas.const import (
    ASK_TIMEOUT_S,
    FALLBACK_RETRY_S,
    HOPS_MAX,
    REFER_PAUSE_S,
    RETRY_S_MAX,
    UNDECIDED_S,
)
from cardamomtack_daemon.quotas.link import HolderLink
from cardamomtack_daemon.quotas.wants import TokenResult

REASON_NO_HOLDER = "quota of the workspace, no holder answers"
REASON_USED_UP = "quota of the workspace is used up"
UNDECIDED_MAX = 2000


@dataclass(slots=True)
class QuotaDecision:
    """Whether a request is admitted.

    Attributes
    ----------
    is_admitted : bool
        Whether it is.
    retry_after_s : float
        After how long its caller should come back when it is not, in seconds.
    reason : str
        Why it is not, in a few words that do not change.
    workspace : str
        The workspace.
    holder_id : str
        The holder that has decided; empty for the fallback.
    asked_at_s, decided_at_s : float
        Times since the start of the VM of the question and of the decision, in seconds.
    is_settled : bool
        Whether the request was sent, or will not be sent.
    is_reported : bool
        Whether it is reported to the holder as waiting for a server.
    is_void : bool
        Whether it may not be sent any more, because the VM was suspended.
    """

    is_admitted: bool
    workspace: str
    holder_id: str
    asked_at_s: float
    decided_at_s: float
    retry_after_s: float = 0.0
    reason: str = ""
    is_settled: bool = False
    is_reported: bool = False
    is_void: bool = False

    @property
    def age_s(self) -> float:
        """Return the time from the question to the decision, in seconds."""
        return self.decided_at_s - self.asked_at_s


@dataclass(slots=True)
class QuotaCounts:
    """How many requests were decided about, and how."""

    admitted_by_holder: int = 0
    refused_by_holder: int = 0
    admitted_by_fallback: int = 0
    refused_by_fallback: int = 0

    def record(self, decision: QuotaDecision) -> None:
        """Count a decision."""
        if decision.holder_id and decision.is_admitted:
            self.admitted_by_holder += 1
        elif decision.holder_id:
            self.refused_by_holder += 1
        elif decision.is_admitted:
            self.admitted_by_fallback += 1
        else:
            self.refused_by_fallback += 1


LinkOpener = Callable[[Member], HolderLink | None]


class QuotaGate:
    """Admits the requests of workspaces.

    Parameters
    ----------
    ledger : QuotaLedger
        The buckets that this VM holds.
    holders : HolderTable
        Knows which VM holds a workspace.
    fallback : FallbackTable
        What is admitted without a holder.
    open_link : callable
        Returns the link to a VM, or None while quotas are not in force here.
    read_version : callable
        Returns the version of the configuration in force.
    count_vms : callable
        Returns how many VMs share what may exceed a quota.
    clock : Clock
        Tells the time.
    random : Random
        Spreads the callers that no holder has decided about.

    Attributes
    ----------
    counts : QuotaCounts
        The decisions since the start.
    """

    __slots__ = (
        "_clock",
        "_count_vms",
        "_fallback",
        "_holders",
        "_ledger",
        "_local_waiting",
        "_open_link",
        "_random",
        "_read_version",
        "_undecided_until_s",
        "counts",
    )

    def __init__(
        self,
        ledger: QuotaLedger,
        holders: HolderTable,
        fallback: FallbackTable,
        open_link: LinkOpener,
        read_version: Callable[[], int],
        count_vms: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        self._clock = clock
        self._count_vms = count_vms
        self._fallback = fallback
        self._holders = holders
        self._ledger = ledger
        self._local_waiting: dict[str, int] = {}
        self._open_link = open_link
        self._random = random
        self._read_version = read_version
        self._undecided_until_s: dict[str, float] = {}
        self.counts = QuotaCounts()

    async def async_admit(
        self, workspace: Workspace, key: int = 0, left_s: float = inf
    ) -> QuotaDecision:
        """Decide about a request of a workspace that has a quota.

        Parameters
        ----------
        key : int
            A digest of the request, from 0 to 2^32 - 1, by which its caller is known
            again when it comes back.
        left_s : float
            For how long its caller may be sent back, in seconds.
        """
        name = workspace.name
        quota = make_quota(workspace, self._read_version())
        asked_at_s = self._clock.read_boot_s()
        demand = TokenDemand([key], 0, left_s)
        tenure = self._find(name)
        decision: QuotaDecision | None = None
        if tenure.began_at_s is not None:
            decision = self._decide_here(name, quota, demand, tenure)
        elif not self._is_undecided(name):
            decision = await self._async_decide(name, quota, demand, asked_at_s)
        if decision is None:
            decision = self._decide_by_fallback(name, quota, asked_at_s)
        self.counts.record(decision)
        return decision

    def record_sent(self, decision: QuotaDecision) -> bool:
        """Record that an admitted request goes to a server now.

        Returns
        -------
        bool
            False when it may not go, because its token has become void.
        """
        if decision.is_settled:
            return True
        if self._was_suspended(decision):
            return False
        decision.is_settled = True
        self._release(decision)
        return True

    def give_back(self, decision: QuotaDecision) -> None:
        """Give back the token of a request that was not sent and will not be."""
        if decision.is_settled or not decision.is_admitted:
            return
        decision.is_settled = True
        is_reported = decision.is_reported
        self._release(decision)
        if not decision.holder_id or (
            not is_reported and self._was_suspended(decision)
        ):
            return
        if decision.holder_id == self._holders.run[0]:
            self._ledger.refund(decision.workspace, 1)
            return
        link = self._find_link(decision.holder_id)
        if link is not None:
            link.give_back(decision.workspace, 1)

    def _find(self, name: str) -> Tenure:
        """Return who holds a workspace."""
        return self._holders.find(name, self._clock.read_monotonic_s())

    def _find_link(self, holder_id: str) -> HolderLink | None:
        """Return the link to a VM, or None when it can't be asked."""
        if not holder_id or holder_id == self._holders.run[0]:
            return None
        member = self._holders.find_member(holder_id)
        return self._open_link(member) if member is not None else None

    async def _async_decide(
        self, name: str, quota: Quota, demand: TokenDemand, asked_at_s: float
    ) -> QuotaDecision | None:
        """Ask holders, the one after the other to which a request is referred.

        Returns
        -------
        QuotaDecision or None
            None when none of them decides.
        """
        tenure = self._find(name)
        hops = 0
        while tenure.holder_id:
            if tenure.began_at_s is not None:
                return self._decide_here(name, quota, demand, tenure)
            left_s = asked_at_s + ASK_TIMEOUT_S - self._clock.read_boot_s()
            if left_s <= 0.0:
                return None
            link = self._find_link(tenure.holder_id)
            if link is not None:
                result = await self._async_ask(link, name, quota, demand, left_s)
                if result is None:
                    return None
                if result.holder_id is None:
                    return self._conclude(name, tenure.holder_id, result)
                tenure = Tenure(result.holder_id)
                hops += 1
            if link is None or hops > HOPS_MAX or not tenure.holder_id:
                # The VMs hear of one another at slightly different times.
                self._note_undecided(name, asked_at_s)
                await sleep(REFER_PAUSE_S)
                tenure = self._find(name)
                hops = 0
        return None

    async def _async_ask(
        self,
        link: HolderLink,
        name: str,
        quota: Quota,
        demand: TokenDemand,
        left_s: float,
    ) -> TokenResult | None:
        """Ask one holder; None when it does not decide in time."""
        asked_at_s = link.take_spare(name)
        if asked_at_s is not None:
            return TokenResult(asked_at_s, is_granted=True)
        if link.is_suspect or link.is_ended:
            return None
        waiter = link.ask(name, quota, demand.keys[0], demand.left_s)
        if waiter is None:
            return None
        with move_on_after(left_s):
            result = await waiter
            age_s = 0.0
            if result is not None:
                age_s = self._clock.read_boot_s() - result.asked_at_s
            # Without the time that the VM was suspended the token would look valid.
            return result if age_s <= TOKEN_VALID_S else None
        link.mark_suspect()
        return None

    def _conclude(
        self, name: str, holder_id: str, result: TokenResult
    ) -> QuotaDecision:
        """Return the decision of a holder."""
        self._undecided_until_s.pop(name, None)
        decision = QuotaDecision(
            result.is_granted,
            name,
            holder_id,
            result.asked_at_s,
            self._clock.read_boot_s(),
            result.retry_s,
            "" if result.is_granted else REASON_USED_UP,
        )
        if result.is_granted:
            self._watch(decision)
        return decision

    def _decide_here(
        self, name: str, quota: Quota, demand: TokenDemand, tenure: Tenure
    ) -> QuotaDecision | None:
        """Decide as the holder."""
        now_s = self._clock.read_monotonic_s()
        began_at_s = tenure.began_at_s if tenure.began_at_s is not None else now_s
        grant = self._ledger.take(name, quota, demand, began_at_s, now_s)
        if grant is None:
            return None
        retry_s = min(RETRY_S_MAX, grant.retries_s[0])
        result = TokenResult(self._clock.read_boot_s(), not retry_s, retry_s)
        return self._conclude(name, tenure.holder_id, result)

    def _decide_by_fallback(
        self, name: str, quota: Quota, asked_at_s: float
    ) -> QuotaDecision:
        """Decide by this VM's part of what may exceed the quota."""
        now_s = self._clock.read_monotonic_s()
        wait_s = self._fallback.admit(name, quota, self._count_vms(), now_s)
        decision = QuotaDecision(
            wait_s is None, name, "", asked_at_s, self._clock.read_boot_s()
        )
        if wait_s is not None:
            # The holder may answer again long before the next token.
            soon_s = FALLBACK_RETRY_S * self._random.uniform(0.5, 1.0)
            decision.retry_after_s = min(wait_s, soon_s)
            decision.reason = REASON_NO_HOLDER
        return decision

    def _is_undecided(self, name: str) -> bool:
        """Return whether the VMs disagreed on the holder a moment ago."""
        until_s = self._undecided_until_s.get(name)
        return until_s is not None and self._clock.read_boot_s() < until_s

    def _note_undecided(self, name: str, asked_at_s: float) -> None:
        """Send requests to the fallback at once after one has waited for long."""
        now_s = self._clock.read_boot_s()
        if now_s - asked_at_s < ASK_TIMEOUT_S - 2.0 * REFER_PAUSE_S:
            return
        if len(self._undecided_until_s) >= UNDECIDED_MAX:
            self._undecided_until_s.clear()
        self._undecided_until_s[name] = now_s + UNDECIDED_S

    def _watch(self, decision: QuotaDecision) -> None:
        """Schedule the report of a request that still waits for a server."""
        # A spare token may be almost void when a request uses it.
        delay_s = max(0.0, TOKEN_VALID_S - decision.age_s)
        get_running_loop().call_later(delay_s, self._report_waiting, decision)

    def _report_waiting(self, decision: QuotaDecision) -> None:
        """Report to the holder that a request still waits for a server."""
        if not decision.is_settled and not self._was_suspended(decision):
            decision.is_reported = True
            self._change_waiting(decision, 1)

    def _was_suspended(self, decision: QuotaDecision) -> bool:
        """Return whether the VM could not report a request in time.

        Others may have got the tokens that have been added since.
        """
        if decision.holder_id and not decision.is_reported:
            age_s = self._clock.read_boot_s() - decision.asked_at_s
            decision.is_void = decision.is_void or age_s > 2.0 * TOKEN_VALID_S
        return decision.is_void

    def _release(self, decision: QuotaDecision) -> None:
        """Report to the holder that a request no longer waits for a server."""
        if decision.is_reported:
            decision.is_reported = False
            self._change_waiting(decision, -1)

    def _change_waiting(self, decision: QuotaDecision, change: int) -> None:
        """Change the number of requests that wait for a server."""
        name = decision.workspace
        if decision.holder_id != self._holders.run[0]:
            link = self._find_link(decision.holder_id)
            if link is not None:
                link.change_waiting(name, change)
            return
        waiting = max(0, self._local_waiting.get(name, 0) + change)
        self._local_waiting[name] = waiting
        if not waiting:
            del self._local_waiting[name]
        self._ledger.record_waiting(name, self, waiting, self._clock.read_monotonic_s())
