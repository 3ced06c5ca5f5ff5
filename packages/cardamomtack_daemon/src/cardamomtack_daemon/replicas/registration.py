"""Makes this VM known at the store and learns of the others there."""

from __future__ import annotations

from random import Random

from anyio import move_on_after, sleep
from loguru import logger
from msgspec import DecodeError, ValidationError, msgpack

from cardamomtack.generated.relay import Member
from cardamomtack.replicas.members import MemberTable
from cardamomtack_daemon.replicas.const import (
    BACKOFF_S_MAX,
    BACKOFF_S_MIN,
    READ_TIMEOUT_S,
)
from cardamomtack_daemon.replicas.source import MemberDirectory, StoreError

LEAVE_TIMEOUT_S = 1.0


class MembershipRegistration:
    """Writes the record of this VM, then reads those of all.

    Two VMs that start together find each other, because the one that writes later
    reads the record of the other.

    Parameters
    ----------
    members : MemberTable
        The VMs.
    directory : MemberDirectory
        Their records at the store.
    random : Random
        Spreads the attempts of the VMs after an outage.

    Attributes
    ----------
    has_joined : bool
        Whether the VMs that the store knows are known here.
    """

    __slots__ = ("_directory", "_members", "_random", "has_joined")

    def __init__(
        self, members: MemberTable, directory: MemberDirectory, random: Random
    ) -> None:
        self._directory = directory
        self._members = members
        self._random = random
        self.has_joined = False

    async def async_join(self) -> None:
        """Write and read once, as soon as the store allows it."""
        own = self._members.own
        record = msgpack.encode(own)
        backoff_s = BACKOFF_S_MIN
        is_written = False
        while True:
            try:
                if not is_written:
                    await self._directory.async_write_member(
                        own.vm_id, record, READ_TIMEOUT_S
                    )
                    is_written = True
                self._take(await self._directory.async_read_members(READ_TIMEOUT_S))
            except StoreError as error:
                logger.bind(error=str(error)).warning("VMs can't be read")
                await sleep(backoff_s * self._random.uniform(0.5, 1.0))
                backoff_s = min(BACKOFF_S_MAX, 2.0 * backoff_s)
            else:
                self.has_joined = True
                logger.bind(vms=self._members.count).info("VMs are known")
                return

    async def async_leave(self) -> None:
        """Remove the record of this VM; one that stays is passed over by the others."""
        try:
            with move_on_after(LEAVE_TIMEOUT_S):
                await self._directory.async_write_member(
                    self._members.own.vm_id, b"", READ_TIMEOUT_S
                )
        except StoreError as error:
            logger.bind(error=str(error)).warning("record of this VM stays")

    def _take(self, records: list[bytes]) -> None:
        """Apply the records of other VMs."""
        for record in records:
            try:
                self._members.update_member(msgpack.decode(record, type=Member))
            except (DecodeError, ValidationError):
                logger.warning("the record of a VM can't be used")
