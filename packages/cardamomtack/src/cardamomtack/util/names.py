"""Comparison of names."""

from __future__ import annotations

from collections.abc import Iterable
from difflib import get_close_matches

SIMILARITY_MIN = 0.4


def find_nearest_name(name: str, known: Iterable[str]) -> str | None:
    """Return the known name that is most like the given one, or None."""
    by_folded = {candidate.casefold(): candidate for candidate in known}
    matches = get_close_matches(name.casefold(), by_folded, n=1, cutoff=SIMILARITY_MIN)
    return by_folded[matches[0]] if matches else None
