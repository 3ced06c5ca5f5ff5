"""Configurations of thousands of routes."""

from __future__ import annotations

from random import Random


def describe_routes(count: int) -> bytes:
    """Return the text of many routes that nobody uses."""
    random = Random(1)
    return b",".join(
        b'{"name":"r-%05d","pathPrefix":"/%08x/","kind":"idempotent","timeoutS":4.0,'
        b'"sloS":1.0,"priority":2,"attempts":3,"service":"s"}'
        % (number, random.getrandbits(32))
        for number in range(count)
    )
