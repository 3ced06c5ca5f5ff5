"""Takes the records of servers and keeps the registry."""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import TopicRecord

KEYS_LOGGED_MAX = 5


class EntryCodec(Protocol):
    """Decodes the records of servers."""

    def decode_entry(self, record: TopicRecord) -> ServerEntry | None:
        """Return the entry of a server, or None when it names none to use."""


class DiscoveryCoordinator:
    """Pushes the records of servers into the registry.

    Parameters
    ----------
    codec : EntryCodec
        Decodes records.
    registry : ServerRegistry
        The servers.
    """

    __slots__ = ("_codec", "_registry")

    def __init__(self, codec: EntryCodec, registry: ServerRegistry) -> None:
        self._codec = codec
        self._registry = registry

    def apply_records(self, records: list[TopicRecord]) -> None:
        """Take records; one that can't be read leaves what is known."""
        odd_keys = []
        for record in records:
            if not record.value:
                self._registry.remove_entry(record.key)
                continue
            entry = self._codec.decode_entry(record)
            if entry is None:
                odd_keys.append(record.key)
                continue
            self._registry.apply_entry(entry)
        self._registry.is_known = True
        if odd_keys:
            logger.bind(keys=odd_keys[:KEYS_LOGGED_MAX], count=len(odd_keys)).warning(
                "entries can't be used"
            )
