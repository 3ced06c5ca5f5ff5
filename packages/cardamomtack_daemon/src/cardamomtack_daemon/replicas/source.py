"""The store from which topics are read."""

from __future__ import annotations

from typing import Protocol

from cardamomtack.generated.relay import TopicRecords


class StoreError(Exception):
    """The store can't be read, or does not answer as it should."""


class RecordsDeletedError(StoreError):
    """The records that were asked for have been deleted."""


class TopicSource(Protocol):
    """Reads one keyed topic of the store."""

    async def async_read_newest(self, timeout_s: float) -> TopicRecords:
        """Return the newest record of each key.

        Raises
        ------
        StoreError
            When the store can't be read in time.
        """

    async def async_read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> TopicRecords:
        """Return the records from an offset on, waiting a while for the first one.

        Raises
        ------
        RecordsDeletedError
            When the records have been deleted.
        StoreError
            When the store can't be read in time.
        """

    def close(self) -> None:
        """Close the connection; the next call opens another."""


class MemberDirectory(Protocol):
    """Keeps the names of the entry VMs, so that they find one another."""

    async def async_read_members(self, timeout_s: float) -> list[bytes]:
        """Return the records of all VMs.

        Raises
        ------
        StoreError
            When the store can't be read in time.
        """

    async def async_write_member(
        self, vm_id: str, record: bytes, timeout_s: float
    ) -> None:
        """Write the record of a VM; an empty one removes it.

        Raises
        ------
        StoreError
            When the store does not confirm it in time; it may be done all the same.
        """
