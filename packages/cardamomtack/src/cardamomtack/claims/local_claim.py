"""A claim of this VM, from its gathering to its outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cardamomtack.generated.records import Claim


class ClaimState(Enum):
    """Where a claim of this VM stands."""

    GATHERING = "gathering"
    APPENDING = "appending"
    OWNED = "owned"
    LOST = "lost"
    DISPATCHED = "dispatched"
    ABANDONED = "abandoned"
    FINISHED = "finished"


@dataclass(slots=True)
class LocalClaim:
    """One claim of this VM.

    Only the task that opened the claim dispatches or abandons it. Either step is
    irrevocable, and is taken in this state before any byte leaves.

    Attributes
    ----------
    deadline_s : float
        Monotonic time after which the claim is never dispatched.
    on_change : callable
        Called when the log has settled the claim.
    may_have_landed : bool
        Whether a record of the claim was ever sent to the log.
    """

    claim: Claim
    deadline_s: float
    on_change: Callable[[], None]
    state: ClaimState = ClaimState.GATHERING
    may_have_landed: bool = False

    @property
    def is_finished(self) -> bool:
        """Return whether the request has been dispatched for good."""
        return self.state is ClaimState.FINISHED

    def begin_dispatch(self, now_s: float) -> bool:
        """Return whether the request may be sent now, and commit to it."""
        if self.state is not ClaimState.OWNED or now_s >= self.deadline_s:
            return False
        self.state = ClaimState.DISPATCHED
        return True

    def revert_dispatch(self) -> None:
        """Return to owning, because the server proved that it did not run it."""
        if self.state is ClaimState.DISPATCHED:
            self.state = ClaimState.OWNED
