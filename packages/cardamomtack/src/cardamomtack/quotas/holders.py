"""Which VM holds the bucket of a workspace.

Every VM computes it from the members that it knows. VMs learn of a change at slightly
different times, and two VMs must not both grant a whole quota. So a VM that gains
workspaces, since it has started or since the holders have changed, claims them from
the former holders in its view, and grants nothing until they have confirmed. A former
holder that has left or restarted need not confirm.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import ceil, sqrt

from xxhash import xxh64_intdigest

from cardamomtack.generated.relay import Member
from cardamomtack.quotas.const import (
    CLAIMS_MAX,
    FORMER_SETS_MAX,
    HANDOVER_S,
    JOIN_WAIT_S,
    JOIN_WAIT_S_MAX,
    TENURES_MAX,
)
from cardamomtack.replicas.members import MemberTable

Run = tuple[str, str]
"""Id of a VM, and the run of its process."""


def choose_holders(members: list[Member]) -> list[Member]:
    """Return the VMs that hold buckets: about the square root, with the largest links.

    Their number grows in steps of two, so that a VM that comes or goes rarely moves the
    workspaces of others.
    """
    able = [member for member in members if member.quota_port]
    if not able:
        return []
    wanted = 1
    while wanted < ceil(sqrt(len(able))):
        wanted *= 2
    ranked = sorted(able, key=lambda one: (-one.link_mbps, one.vm_id))
    return ranked[:wanted]


def choose_holder(name: str, vm_ids: Sequence[str]) -> str | None:
    """Return which of some VMs holds a workspace, or None without VMs."""
    return max(
        vm_ids,
        key=lambda vm_id: (xxh64_intdigest(f"{name}\0{vm_id}".encode()), vm_id),
        default=None,
    )


@dataclass(slots=True)
class FormerSet:
    """The holders before a change.

    Attributes
    ----------
    vm_ids : list of str
        The holders.
    changed_at_s, until_s : float
        Monotonic times of the change, and until which they may have granted, in
        seconds.
    unconfirmed : dict
        The runs of VMs that have not confirmed the change.
    gone : set of str
        Those of them that are gone, whose workspaces others may have taken over.
    """

    vm_ids: list[str]
    changed_at_s: float
    until_s: float
    unconfirmed: dict[str, Run] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)

    def find_unconfirmed(self, name: str) -> str | None:
        """Return a VM that may still grant for a workspace, or None."""
        left = [vm_id for vm_id in self.vm_ids if vm_id not in self.gone]
        vm_id = choose_holder(name, left)
        return vm_id if vm_id in self.unconfirmed else None


@dataclass(slots=True, frozen=True)
class Tenure:
    """Who holds a workspace.

    Attributes
    ----------
    holder_id : str
        The VM to ask; empty when none is known.
    began_at_s : float or None
        Monotonic time since which this VM holds it, in seconds; None when another does.
    """

    holder_id: str
    began_at_s: float | None = None


@dataclass(slots=True, frozen=True)
class HolderView:
    """The holders as one of them sees them.

    Attributes
    ----------
    incarnation : str
        Its run.
    vm_ids : tuple of str
        The holders; without itself it holds nothing.
    """

    incarnation: str
    vm_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndedClaim:
    """A claim of another VM that no longer holds.

    Attributes
    ----------
    vm_id : str
        The VM that claimed.
    vm_ids : tuple of str
        The holders that its claim named.
    ended_at_s : float
        Monotonic time until which it may have granted, in seconds.
    """

    vm_id: str
    vm_ids: tuple[str, ...]
    ended_at_s: float


class HolderTable:
    """Follows which VMs hold buckets.

    Parameters
    ----------
    members : MemberTable
        The VMs.
    has_joined : callable
        Returns whether the VMs that the store knows are known here.

    Attributes
    ----------
    is_leaving : bool
        Whether this VM shuts down and grants nothing more.
    """

    __slots__ = (
        "_began_at_s",
        "_claims",
        "_confirmed_views",
        "_ended_claims",
        "_former",
        "_found",
        "_has_begun",
        "_has_joined",
        "_is_settled",
        "_joined_at_s",
        "_members",
        "_members_changed_at_s",
        "_revision",
        "_runs",
        "_vm_ids",
        "is_leaving",
    )

    def __init__(self, members: MemberTable, has_joined: Callable[[], bool]) -> None:
        self._began_at_s = 0.0
        self._claims: dict[str, HolderView] = {}
        self._ended_claims: list[EndedClaim] = []
        self._found: dict[str, Tenure] = {}
        self._former: list[FormerSet] = []
        self._has_begun = False
        self._has_joined = has_joined
        self._members_changed_at_s = 0.0
        self._is_settled = False
        self._joined_at_s = 0.0
        self._members = members
        self._revision = -1
        self._runs: dict[str, Member] = {}
        self._confirmed_views: dict[str, HolderView] = {}
        self._vm_ids: list[str] = []
        self.is_leaving = False

    @property
    def run(self) -> Run:
        """Return the run of this VM."""
        return self._members.own.vm_id, self._members.own.incarnation

    def find_member(self, vm_id: str) -> Member | None:
        """Return a VM that may be asked, or None when it is unknown."""
        member = self._runs.get(vm_id)
        return member if member is not None and member.quota_port else None

    def find(self, name: str, now_s: float) -> Tenure:
        """Return who holds a workspace."""
        self.refresh(now_s)
        if not self._may_hold(now_s):
            return self._find_other(name)
        found = self._found.get(name)
        if found is None:
            if len(self._found) >= TENURES_MAX:
                self._found.clear()
            found = self._find(name)
            self._found[name] = found
        if found.began_at_s is None and self._is_handing_over(name, found, now_s):
            return Tenure(self.run[0], self._find_beginning(name, self._former[:-1]))
        return found

    def refresh(self, now_s: float) -> None:
        """Apply changes of the members."""
        if self._has_begun and self._revision == self._members.revision:
            return
        if not self._has_joined():
            return
        self._revision = self._members.revision
        self._members_changed_at_s = now_s
        self._found.clear()
        members = self._members.list_members()
        self._runs = {member.vm_id: member for member in members}
        vm_ids = [member.vm_id for member in choose_holders(members)]
        before = self._vm_ids
        if not self._has_begun:
            self._has_begun = True
            self._began_at_s = now_s
            self._joined_at_s = now_s
            before = [member.vm_id for member in choose_holders(members[1:])]
        self._vm_ids = vm_ids
        if vm_ids != before:
            self._change(before, now_s)
        self._drop_gone(now_s)

    def list_claims(self, now_s: float) -> list[Member]:
        """Return the VMs from which this one has to claim workspaces."""
        if not self._may_hold(now_s):
            return []
        own = self.view
        vm_ids = {
            vm_id
            for vm_id, view in self._confirmed_views.items()
            if view.vm_ids != own.vm_ids
        }
        for former in self._former:
            vm_ids.update(former.unconfirmed)
        return [self._runs[one] for one in sorted(vm_ids) if self.find_member(one)]

    @property
    def view(self) -> HolderView:
        """Return the holders as this VM sees them."""
        return HolderView(self.run[1], tuple(self._vm_ids))

    def record_confirmed(
        self, vm_id: str, others: list[str], view: HolderView, now_s: float
    ) -> None:
        """Record that a VM has confirmed a claim of this one.

        Parameters
        ----------
        others : list of str
            Other VMs that have claimed from it. Until this VM knows them, it can't tell
            which workspaces are theirs.
        view : HolderView
            The holders that the claim named.
        """
        run = self._find_run(vm_id)
        if run is None or any(other not in self._runs for other in others):
            return
        self._found.clear()
        self._confirmed_views[vm_id] = HolderView(run[1], view.vm_ids)
        if view != self.view:
            return
        for former in self._former:
            if former.unconfirmed.pop(vm_id, None) is not None:
                former.until_s = now_s

    def record_claim(self, vm_id: str, view: HolderView, now_s: float) -> list[str]:
        """Record the claim of another VM, after which this one no longer grants.

        Returns
        -------
        list of str
            The other VMs that have claimed from this one.
        """
        self._found.clear()
        known = self._claims.get(vm_id)
        if known is not None:
            # In the other cases nothing moves from the claiming VM to this one.
            if vm_id not in view.vm_ids or self.run[0] not in known.vm_ids:
                self._record_ended_claim(vm_id, known, now_s)
            del self._claims[vm_id]
        has_left = self._members.has_left(vm_id, view.incarnation)
        if not has_left and vm_id in view.vm_ids and vm_id != self.run[0]:
            self._claims[vm_id] = view
            if len(self._claims) > CLAIMS_MAX:
                del self._claims[next(iter(self._claims))]
        return [other for other in self._claims if other != vm_id]

    def _may_hold(self, now_s: float) -> bool:
        """Return whether this VM may grant anything.

        After it has joined it waits until the members have not changed for a short
        time, because many VMs may start at once.
        """
        if not self._has_begun or self.is_leaving:
            return False
        if not self._is_settled:
            quiet_s = now_s - self._members_changed_at_s
            joined_s = now_s - self._joined_at_s
            self._is_settled = quiet_s >= JOIN_WAIT_S or joined_s >= JOIN_WAIT_S_MAX
        return self._is_settled

    def _find(self, name: str) -> Tenure:
        """Return who holds a workspace, apart from handovers under way."""
        for vm_id, view in self._claims.items():
            if choose_holder(name, view.vm_ids) == vm_id:
                return Tenure(vm_id)
        holder_id = choose_holder(name, self._vm_ids)
        if holder_id is None or holder_id != self.run[0]:
            return Tenure(holder_id or "")
        unconfirmed = _find_unconfirmed(name, self._former)
        if unconfirmed is not None:
            return Tenure(unconfirmed)
        return Tenure(holder_id, self._find_beginning(name, self._former))

    def _find_other(self, name: str) -> Tenure:
        """Return who holds a workspace after this VM."""
        others = [vm_id for vm_id in self._vm_ids if vm_id != self.run[0]]
        return Tenure(choose_holder(name, others) or "")

    def _find_run(self, vm_id: str) -> Run | None:
        """Return the run of a VM, or None when it is unknown."""
        member = self._runs.get(vm_id)
        return (vm_id, member.incarnation) if member is not None else None

    def _is_handing_over(self, name: str, found: Tenure, now_s: float) -> bool:
        """Return whether this VM continues to grant until the next holder claims.

        The next holder grants nothing before. One that does not know this VM would not
        claim from it, hence the time limit.
        """
        if not self._former or found.holder_id in self._claims:
            return False
        if not found.holder_id:
            return False
        last = self._former[-1]
        if now_s - last.changed_at_s > HANDOVER_S or self.run[0] not in last.vm_ids:
            return False
        if choose_holder(name, last.vm_ids) != self.run[0]:
            return False
        return _find_unconfirmed(name, self._former[:-1]) is None

    def _find_beginning(self, name: str, former_sets: list[FormerSet]) -> float:
        """Return since when this VM holds a workspace, in monotonic seconds."""
        began_at_s = self._began_at_s
        for former in reversed(former_sets):
            if choose_holder(name, former.vm_ids) != self.run[0]:
                began_at_s = max(former.until_s, began_at_s)
                break
        for ended in self._ended_claims:
            if choose_holder(name, ended.vm_ids) == ended.vm_id:
                began_at_s = max(ended.ended_at_s, began_at_s)
        return began_at_s

    def _record_ended_claim(self, vm_id: str, view: HolderView, now_s: float) -> None:
        """Record that another VM no longer holds what it claimed from this one."""
        self._ended_claims.append(EndedClaim(vm_id, view.vm_ids, now_s))
        if len(self._ended_claims) > FORMER_SETS_MAX:
            dropped = self._ended_claims.pop(0)
            self._began_at_s = max(self._began_at_s, dropped.ended_at_s)

    def _change(self, before: list[str], now_s: float) -> None:
        """Record a change of the holders."""
        former = FormerSet(before, now_s, now_s)
        if self.run[0] in self._vm_ids:
            for vm_id in before:
                run = self._find_run(vm_id)
                if run is None:
                    former.gone.add(vm_id)
                elif vm_id != self.run[0]:
                    former.unconfirmed[vm_id] = run
        self._former.append(former)
        while len(self._former) > FORMER_SETS_MAX:
            settled = [one for one in self._former if not one.unconfirmed]
            dropped = (settled or self._former)[0]
            self._former.remove(dropped)
            self._began_at_s = max(self._began_at_s, dropped.until_s)

    def _drop_gone(self, now_s: float) -> None:
        """Drop confirmations and claims of runs that have ended."""
        for former in self._former:
            for vm_id, run in list(former.unconfirmed.items()):
                if self._find_run(vm_id) != run:
                    del former.unconfirmed[vm_id]
                    former.gone.add(vm_id)
                    former.until_s = now_s
        for vm_id, view in list(self._claims.items()):
            if self._has_ended(vm_id, view):
                del self._claims[vm_id]
                self._record_ended_claim(vm_id, view, now_s)
        for vm_id, view in list(self._confirmed_views.items()):
            if self._has_ended(vm_id, view):
                del self._confirmed_views[vm_id]

    def _has_ended(self, vm_id: str, view: HolderView) -> bool:
        """Return whether the run of a VM with some view is known to have ended."""
        run = (vm_id, view.incarnation)
        is_other_run = self._find_run(vm_id) not in (None, run)
        return is_other_run or self._members.has_left(*run)


def _find_unconfirmed(name: str, former_sets: list[FormerSet]) -> str | None:
    """Return a VM that may still grant for a workspace, or None."""
    for former in former_sets:
        vm_id = former.find_unconfirmed(name)
        if vm_id is not None:
            return vm_id
    return None
