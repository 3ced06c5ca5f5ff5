"""Explores all interleavings of two sends of one key through two VMs."""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass, field

from cardamomtack.claims.coordinator import ClaimBatch, ClaimCoordinator
from cardamomtack.claims.local_claim import ClaimState, LocalClaim
from cardamomtack.generated.records import Claim
from cardamomtack.helpers.clock import ManualClock

KEY = b"k" * 16
REQUEST = b"r" * 16


def ignore_change() -> None:
    """Take no notice of a change."""


@dataclass
class Append:
    """An append on its way."""

    batch: ClaimBatch
    data: bytes
    landings_left: int = 1
    is_answered: bool = False


@dataclass
class Machine:
    """One VM that has been sent the request."""

    claims: ClaimCoordinator
    own: LocalClaim
    append: Append | None = None
    late: list[Append] = field(default_factory=list)
    said_not_run: bool = False
    runs: int = 0


class World:
    """Two VMs and the log between them.

    Parameters
    ----------
    coordinator : type
        The claims logic under test.
    has_faults : bool
        Whether appends may be refused, doubled or lose their answers.
    """

    def __init__(self, coordinator: type[ClaimCoordinator], has_faults: bool) -> None:
        self.log: list[bytes] = []
        self.has_faults = has_faults
        self.duplicates_left = int(has_faults)
        self.machines = []
        for name in ("a", "b"):
            claims = coordinator(name, name, 100, ManualClock())
            claims.table.is_covered = True
            claim = Claim(name.encode() * 16, KEY, REQUEST, 0)
            own = claims.open_claim(claim, 10.0, ignore_change)
            self.machines.append(Machine(claims, own))

    def fingerprint(self) -> tuple[object, ...]:
        """Return what distinguishes this state from others."""
        parts: list[object] = [tuple(self.log), self.duplicates_left]
        for one in self.machines:
            table = one.claims.table
            entry = table.entries.get(KEY)
            append = one.append
            parts.append(
                (
                    one.own.state.value,
                    one.said_not_run,
                    one.runs,
                    table.folded_to,
                    entry.claim_id if entry else None,
                    entry.outcome.value if entry else None,
                    one.claims.has_pending_append(),
                    len(one.claims._unsettled),
                    (append.data, append.landings_left) if append else None,
                    tuple((late.data, late.landings_left) for late in one.late),
                )
            )
        return tuple(parts)

    def list_actions(self) -> list[tuple[str, int, int]]:
        """Return all steps that may come next."""
        actions = []
        for index, one in enumerate(self.machines):
            names = [*self._list_append_steps(one), *self._list_owner_steps(one)]
            actions += [(name, index, 0) for name in names]
            actions += [
                ("land_late", index, number)
                for number, late in enumerate(one.late)
                if late.landings_left
            ]
        return actions

    def _list_append_steps(self, one: Machine) -> list[str]:
        """Return the steps of a VM's append and of its reader."""
        steps = []
        append = one.append
        if append is None:
            steps += ["append"] if one.claims.has_pending_append() else []
        else:
            steps += ["lose_answer"] if self.has_faults else []
            if not append.landings_left:
                steps.append("confirm")
            else:
                steps.append("land")
                steps += ["refuse"] if self.has_faults else []
                steps += ["duplicate"] if self.duplicates_left else []
        has_unread = one.claims.table.folded_to < len(self.log)
        is_waiting = one.claims._unsettled or one.own.state is ClaimState.LOST
        if has_unread or is_waiting:
            steps.append("read")
        return steps

    def _list_owner_steps(self, one: Machine) -> list[str]:
        """Return the steps of the task that opened a claim."""
        state = one.own.state
        if state in (ClaimState.ABANDONED, ClaimState.FINISHED):
            return []
        if state is ClaimState.DISPATCHED:
            return ["finish"]
        return ["dispatch", "give_up"] if state is ClaimState.OWNED else ["give_up"]

    def take_action(self, action: tuple[str, int, int]) -> None:
        """Take one step."""
        name, index, number = action
        getattr(self, f"do_{name}")(self.machines[index], number)

    def do_append(self, one: Machine, _: int) -> None:
        """Start an append."""
        batch = one.claims.begin_append()
        one.append = Append(batch, one.claims.encode_batch(batch))

    def do_land(self, one: Machine, _: int) -> None:
        """Let an append take effect."""
        assert one.append is not None
        one.append.landings_left -= 1
        self.log.append(one.append.data)

    def do_duplicate(self, one: Machine, _: int) -> None:
        """Let an append take effect, and again later."""
        assert one.append is not None
        self.duplicates_left -= 1
        self.log.append(one.append.data)
        one.append.landings_left -= 1
        one.late.append(Append(one.append.batch, one.append.data))

    def do_land_late(self, one: Machine, number: int) -> None:
        """Let an append take effect whose answer was lost."""
        one.late[number].landings_left -= 1
        self.log.append(one.late[number].data)

    def do_lose_answer(self, one: Machine, _: int) -> None:
        """Lose the answer of an append, which may land later."""
        assert one.append is not None
        one.claims.add_unconfirmed_batch(one.append.batch)
        one.late.append(one.append)
        one.append = None

    def do_refuse(self, one: Machine, _: int) -> None:
        """Refuse an append that has not taken effect."""
        assert one.append is not None
        one.claims.requeue_batch(one.append.batch)
        one.append = None

    def do_confirm(self, one: Machine, _: int) -> None:
        """Confirm an append."""
        one.append = None

    def do_read(self, one: Machine, _: int) -> None:
        """Read all that the log has."""
        start = one.claims.table.folded_to
        records = list(enumerate(self.log))[start:]
        one.claims.apply_records(0, records, caught_up=True)

    def do_dispatch(self, one: Machine, _: int) -> None:
        """Send the request to a backend server."""
        if one.own.begin_dispatch(0.0):
            one.runs += 1

    def do_finish(self, one: Machine, _: int) -> None:
        """Note the answer of the backend server."""
        one.claims.finish_claim(one.own, True, b"")

    def do_give_up(self, one: Machine, _: int) -> None:
        """Answer the caller at its deadline."""
        # A claim that lost may still be run by its owner, so "not run" isn't said.
        lost = one.own.state is ClaimState.LOST
        if one.claims.abandon_claim(one.own) and not lost:
            one.said_not_run = True

    def find_violation(self) -> str | None:
        """Return the promise that is broken, or None."""
        if sum(one.runs for one in self.machines) > 1:
            return "the key ran twice"
        if any(one.said_not_run and one.runs for one in self.machines):
            return "not-run was said of a send that ran"
        return None


@dataclass
class Exploration:
    """What an exploration found."""

    states: int
    violation: str | None
    path: list[tuple[str, int, int]]


def explore_interleavings(
    coordinator: type[ClaimCoordinator], has_faults: bool, depth_max: int
) -> Exploration:
    """Visit every state that can be reached in some steps, breadth first.

    A VM that is paused or killed is one that takes no more steps while its append
    may still land, so every pause and every crash is among the interleavings.
    """
    start = World(coordinator, has_faults)
    seen = {start.fingerprint()}
    waiting = deque([(pickle.dumps(start), start.list_actions(), ())])
    while waiting:
        world, actions, path = waiting.popleft()
        if len(path) >= depth_max:
            continue
        for action in actions:
            following: World = pickle.loads(world)
            following.take_action(action)
            violation = following.find_violation()
            if violation is not None:
                return Exploration(len(seen), violation, [*path, action])
            mark = following.fingerprint()
            if mark not in seen:
                seen.add(mark)
                dumped = pickle.dumps(following)
                waiting.append((dumped, following.list_actions(), (*path, action)))
    return Exploration(len(seen), None, [])
