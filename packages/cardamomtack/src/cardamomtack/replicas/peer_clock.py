"""When another VM sent what it says, whatever time that took on its way.

The age of a topic is told as of the moment at which the message was written. A message
that waits behind others, on a slow link or at a VM that lags must not make what it says
look younger, least of all in a cycle of VMs that hear from one another.
"""

from __future__ import annotations

from cardamomtack.helpers.clock import MS_PER_S


class PeerClock:
    """Reads the times of another VM on one stream as times of this one.

    Its first message was sent after this VM had subscribed, and the clocks of both run
    alike. So no message is taken for younger than it is; each may be taken for older,
    by the time that the first one took.

    Parameters
    ----------
    subscribed_at_s : float
        When this VM subscribed, by its own clock, in seconds.

    Attributes
    ----------
    slack_s : float
        By how much messages may be taken for older than they are, in seconds.
    """

    __slots__ = ("_first_ms", "_subscribed_at_s", "slack_s")

    def __init__(self, subscribed_at_s: float) -> None:
        self._first_ms: int | None = None
        self._subscribed_at_s = subscribed_at_s
        self.slack_s = 0.0

    def find_sent_at_s(self, sent_at_ms: int, now_s: float) -> float:
        """Return when a message was sent at the latest by this VM's clock, in seconds.

        Parameters
        ----------
        sent_at_ms : int
            When it was sent, by the clock of the other VM.
        now_s : float
            When it has arrived.
        """
        if self._first_ms is None:
            self._first_ms = sent_at_ms
            self.slack_s = now_s - self._subscribed_at_s
        since_s = (sent_at_ms - self._first_ms) / MS_PER_S
        return min(now_s, self._subscribed_at_s + since_s)
