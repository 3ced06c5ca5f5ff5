"""The last large values of a topic, against which newer ones are packed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

LARGE_VALUE_BYTES = 2048
"""Smaller values are told whole."""

VALUES_BYTES_MAX = 16 * 1024 * 1024
VALUES_KEPT_MAX = 8


def is_large(value: bytes) -> bool:
    """Return whether a value is packed against an earlier one."""
    return len(value) >= LARGE_VALUE_BYTES


def digest_value(value: bytes) -> int:
    """Return a number of 64 bits that tells a value from others."""
    return xxh3_64_intdigest(value)


class LargeValues:
    """The last large values, of any keys, in the order in which they came."""

    __slots__ = ("_bytes", "_values")

    def __init__(self) -> None:
        self._bytes = 0
        self._values: OrderedDict[tuple[str, int], bytes] = OrderedDict()

    def add(self, key: str, value: bytes) -> None:
        """Keep the newest value of a key, and drop what there is no room for."""
        name = (key, digest_value(value))
        if self._values.pop(name, None) is not None:
            self._bytes -= len(value)
        self._values[name] = value
        self._bytes += len(value)
        while len(self._values) > VALUES_KEPT_MAX or self._bytes > VALUES_BYTES_MAX:
            _, dropped = self._values.popitem(last=False)
            self._bytes -= len(dropped)

    def find(self, key: str, digest: int) -> bytes | None:
        """Return a value of a key by its digest, or None when it is not kept."""
        return self._values.get((key, digest))

    def list_digests(self) -> list[int]:
        """Return the digests of all values."""
        return [digest for _, digest in self._values]

    def iterate_newest_first(self, key: str) -> Iterator[tuple[int, bytes]]:
        """Return the digests and values of a key, the newest first."""
        for (name, digest), value in reversed(self._values.items()):
            if name == key:
                yield digest, value
