"""How often probes find capacity in the own availability zone and in the others.

This module handles zones that have few servers, or more callers than the others. There
the servers of the own zone are full while those of other zones have capacity. In
overload the budget of probes allows only some of those that are made for the calls that
wait, so they begin where capacity has been found lately.
"""

from __future__ import annotations

from typing import Final

from cardamomtack.placing.const import POLLED_MAX, POLLED_OTHER_ZONES_MAX

FOUND_GAIN: Final = 0.02
MOVED_SHARE_MIN: Final = 0.6
"""Part of the finds in other zones from which polls begin there.

That is half as many again as in the own zone. What differs less may be chance, and
other zones cost bytes between them.
"""

PRIOR_PROBES: Final = 10.0
"""Probes by which other zones are taken to be like the own one at first."""


class ZoneFinds:
    """What the probes of one VM for one service have found lately."""

    __slots__ = ("_found", "_probed")

    def __init__(self) -> None:
        self._found = {True: 0.0, False: 0.0}
        self._probed = {True: 0.0, False: 0.0}

    def record_probe(self, is_own_zone: bool, has_capacity: bool) -> None:
        """Record whether a probed server had capacity."""
        self._found[is_own_zone] *= 1.0 - FOUND_GAIN
        self._found[is_own_zone] += has_capacity
        self._probed[is_own_zone] *= 1.0 - FOUND_GAIN
        self._probed[is_own_zone] += 1.0

    @property
    def other_zones_share(self) -> float:
        """Return the part of the finds that equal probes would make in other zones."""
        own = (self._found[True] + 1.0) / (self._probed[True] + 2.0)
        known = self._found[False] + PRIOR_PROBES * own
        others = known / (self._probed[False] + PRIOR_PROBES)
        return others / (own + others)

    def list_polls(self) -> list[tuple[bool, int]]:
        """Return whether the own zone, or the others, are polled, and at how many.

        The polls that the budget of probes does not allow are left out at the end.
        """
        has_moved = self.other_zones_share > MOVED_SHARE_MIN
        return [(not has_moved, POLLED_MAX), (has_moved, POLLED_OTHER_ZONES_MAX)]
