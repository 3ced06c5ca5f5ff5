"""Rules for idempotency keys."""

from __future__ import annotations

from uuid import UUID

from cardamomtack.claims.const import KEY_LENGTH_MAX, UUID7_VERSION
from cardamomtack.configuration.routes import KindPolicy
from cardamomtack.util.digests import digest_parts

UUID7_TIME_SHIFT_BITS = 80


def read_key_time_ms(key: str) -> int | None:
    """Return when a key was created, in milliseconds since the epoch, if it says."""
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.version != UUID7_VERSION:
        return None
    return uuid.int >> UUID7_TIME_SHIFT_BITS


def validate_key(
    key: str | None, kind: KindPolicy, now_ms: int, retention_ms: int
) -> str | None:
    """Return why a key is refused, or None when it is good."""
    if not key:
        return f"kind {kind.name!r} wants an Idempotency-Key"
    if len(key) > KEY_LENGTH_MAX or not key.isprintable() or not key.isascii():
        return f"Idempotency-Key wants 1 to {KEY_LENGTH_MAX} printable ASCII characters"
    created_ms = read_key_time_ms(key)
    if created_ms is None:
        if kind.key_time_required:
            return f"kind {kind.name!r} wants an Idempotency-Key with its time (UUIDv7)"
        return None
    if now_ms - created_ms > retention_ms:
        return "Idempotency-Key is older than the claims that are kept"
    return None


def digest_key(service: str, key: str) -> bytes:
    """Return the digest by which the claims stream names a key."""
    return digest_parts(service.encode(), key.encode())
