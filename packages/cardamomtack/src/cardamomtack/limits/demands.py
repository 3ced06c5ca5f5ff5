"""What one backend server has said of the requests that it wants.

This module handles a server that names a limit for all VMs together, asks this VM for a
pause, says in an answer that it leaves, or warms up; its entry may not say so yet.
"""

from __future__ import annotations

from math import inf

from cardamomtack.helpers.decoding import parse_number
from cardamomtack.limits.allowance import SendAllowance
from cardamomtack.limits.const import PAUSE_S_MAX

WORK_S_MIN = 0.001


class ServerDemands:
    """What one incarnation of a server wants of this VM.

    Parameters
    ----------
    warm_at_s : float
        Monotonic time until which it is slow after its start, in seconds.

    Attributes
    ----------
    allowance : SendAllowance or None
        What this VM may send while the server has a limit; None without one.
    is_leaving : bool
        Whether this VM has heard from the server that it leaves.
    is_said_to_leave : bool
        Whether another VM has heard it. That only spares the server while others of
        its service take requests.
    paused_until_s : float
        Monotonic time until which it wants nothing from this VM, in seconds.
    """

    __slots__ = (
        "_paused_at_s",
        "allowance",
        "is_leaving",
        "is_said_to_leave",
        "paused_until_s",
        "warm_at_s",
    )

    def __init__(self, warm_at_s: float) -> None:
        self._paused_at_s = -inf
        self.allowance: SendAllowance | None = None
        self.is_leaving = False
        self.is_said_to_leave = False
        self.paused_until_s = -inf
        self.warm_at_s = warm_at_s

    def is_open(self, now_s: float) -> bool:
        """Return whether the server takes one more request of this VM now."""
        if now_s < self.paused_until_s:
            return False
        return self.allowance is None or self.allowance.can_spend(now_s)

    def reserve_send(self, now_s: float) -> bool:
        """Return whether a request may be sent, and count it against the limit."""
        if not self.is_open(now_s):
            return False
        return self.allowance is None or self.allowance.spend(now_s)

    def compute_wait_s(self, now_s: float) -> float:
        """Return after how many seconds it takes a request; infinite for never."""
        wait_s = max(0.0, self.paused_until_s - now_s)
        if self.allowance is not None:
            wait_s = max(wait_s, self.allowance.compute_wait_s(now_s))
        return wait_s

    def compute_rate_per_s(self, slots: int, work_s: float) -> float:
        """Return what it takes of all VMs once it is open again, in requests a second.

        Parameters
        ----------
        work_s : float
            How long the work of a request takes, in seconds.
        """
        if self.allowance is not None:
            return self.allowance.fleet_rate_per_s
        return slots / max(WORK_S_MIN, work_s)

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the server wants nothing for some seconds.

        A shorter pause does not cut a longer one short, and one that is asked for
        several times at once ends with the latest of them.
        """
        if pause_s <= 0:
            return
        self._paused_at_s = now_s
        until_s = now_s + min(pause_s, PAUSE_S_MAX)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def record_success(self, sent_at_s: float) -> None:
        """Record that a request was answered well.

        One that was sent after the pause was asked for ends it.
        """
        if sent_at_s > self._paused_at_s:
            self.paused_until_s = -inf


def parse_pause_s(value: bytes) -> float | None:
    """Return the seconds that a server asks to be left alone, or None.

    A date, a negative number and other text are none.
    """
    pause_s = parse_number(value.strip())
    return pause_s if pause_s is not None and pause_s >= 0 else None
