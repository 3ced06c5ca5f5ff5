"""Faults found in input, each with its place."""

from __future__ import annotations

from dataclasses import dataclass

from cardamomtack.util.names import find_nearest_name


@dataclass(slots=True, frozen=True)
class Finding:
    """One fault in a file or message.

    Attributes
    ----------
    source : str
        File name, or the name of the message.
    line : int
        Line in the file, counted from 1; 0 when the source has no lines.
    pointer : str
        JSON pointer of the value; empty for the whole document.
    message : str
        What is wrong.
    nearest : str or None
        The valid name that is nearest to the one given.
    """

    source: str
    line: int
    pointer: str
    message: str
    nearest: str | None = None

    def __str__(self) -> str:
        """Return the finding as one line for a person."""
        place = f"{self.source}:{self.line}" if self.line else self.source
        pointer = f" {self.pointer}" if self.pointer else ""
        hint = f"; did you mean {self.nearest!r}?" if self.nearest else ""
        return f"{place}:{pointer} {self.message}{hint}"


def describe_unknown_name(
    name: str, noun: str, known: list[str]
) -> tuple[str, str | None]:
    """Return the message and the nearest valid name for an unknown name."""
    return f"unknown {noun} {name!r}", find_nearest_name(name, known)
