"""Which VMs may use the limit of a server, and how much of it each of them.

All VMs know the same VMs and limits, so each works out the same shares for itself and
nothing is asked before a send. A limit is dealt to few VMs, since one that allows less
than a request a second can't be used in equal parts by many: each would save up its
part, and all would spend it at the same moment.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol
from zlib import crc32

from cardamomtack.limits.const import SHARE_PER_S_MIN


class ShareCandidate(Protocol):
    """A VM that may get a share."""

    @property
    def vm_id(self) -> str:
        """Return the name of the VM."""

    @property
    def availability_zone(self) -> str:
        """Return the availability zone of the VM."""


def deal_shares(
    server_key: str,
    availability_zone: str,
    rate_per_s: float,
    candidates: Sequence[ShareCandidate],
) -> dict[str, float]:
    """Return the part of a server's limit that each VM may use, in requests a second.

    The VMs in the zone of the server come first, because they send to it first. The
    ranks of the VMs differ from server to server, and a VM that comes or goes changes
    few of the others.

    Parameters
    ----------
    server_key : str
        Names one incarnation of the server.
    availability_zone : str
        Zone of the server.
    rate_per_s : float
        What all VMs together may send, in requests a second.
    """
    if not candidates:
        return {}
    count = max(1, min(len(candidates), int(rate_per_s / SHARE_PER_S_MIN)))
    ranked = sorted(
        candidates,
        key=lambda one: (
            one.availability_zone != availability_zone,
            crc32(f"{server_key} {one.vm_id}".encode()),
            one.vm_id,
        ),
    )
    return {one.vm_id: rate_per_s / count for one in ranked[:count]}
