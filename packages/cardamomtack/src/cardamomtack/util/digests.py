"""Digests of keys, requests and answers."""

from __future__ import annotations

from hashlib import blake2b

from xxhash import xxh64_intdigest

DIGEST_BYTES = 16


def digest_parts(*parts: bytes) -> bytes:
    """Return a digest of 16 bytes that depends on every part and its borders."""
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


def rank_by_rendezvous_hash(subject: str, members: list[str]) -> list[str]:
    """Return the members by their rendezvous hash with the subject, highest first."""
    return sorted(
        members,
        key=lambda member: xxh64_intdigest(f"{subject}\0{member}".encode()),
        reverse=True,
    )
