"""What a backend server says of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server, as it has registered itself.

    Attributes
    ----------
    incarnation : int
        Grows with each start of a server under the same id; 0 when it tells none.
    sequence : int
        Grows with each entry of an incarnation.
    warm_up_left_s : float
        How much longer the server stays slow after its start, in seconds.
    """

    server_id: str
    service: str
    address: str
    port: int
    availability_zone: str
    slots: int
    is_draining: bool
    warm_up_left_s: float
    incarnation: int
    sequence: int = 0

    def is_older_than(self, other: ServerEntry) -> bool:
        """Return whether the server wrote this entry before another one of its id."""
        if self.incarnation != other.incarnation:
            return self.incarnation < other.incarnation
        return self.incarnation > 0 and self.sequence < other.sequence
