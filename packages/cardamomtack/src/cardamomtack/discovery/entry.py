"""What a backend server says of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server, as it has registered itself.

    Attributes
    ----------
    incarnation : int
        Grows with each start of a server under the same id.
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
