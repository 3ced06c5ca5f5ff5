"""Bounds of what is read from outside the process.

Whoever writes a record may write anything: what can't be decoded, or lies out of every
range that makes sense, is odd and must harm only itself.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from msgspec import DecodeError

COUNT_MAX = 2**31 - 1
DECODE_ERRORS = (DecodeError, RecursionError)
"""What a decoder raises on bytes that it can't decode, deeply nested ones included."""

DIGITS_MAX = 15
NUMBER_MAX = 1e15
PORT_MAX = 65535
TEXT_LENGTH_MAX = 255


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number that can be computed with."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -NUMBER_MAX <= value <= NUMBER_MAX


def is_count(value: Any) -> bool:
    """Return whether a value is a whole number from 0 to ``COUNT_MAX``."""
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= COUNT_MAX


def is_token(text: str) -> bool:
    """Return whether a text is short and printable, so that a header may hold it."""
    return (
        0 < len(text) <= TEXT_LENGTH_MAX
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def parse_count(value: bytes | str) -> int | None:
    """Return the number that a few ASCII digits write, or None."""
    if not 0 < len(value) <= DIGITS_MAX or not value.isascii() or not value.isdigit():
        return None
    return int(value)


def parse_number(text: bytes | str) -> float | None:
    """Return the finite number that a short text writes, or None."""
    if len(text) > TEXT_LENGTH_MAX:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if isfinite(number) and abs(number) <= NUMBER_MAX else None


def parse_port(text: str) -> int | None:
    """Return a port from 1 to 65535, or None."""
    port = parse_count(text)
    return port if port is not None and 0 < port <= PORT_MAX else None
