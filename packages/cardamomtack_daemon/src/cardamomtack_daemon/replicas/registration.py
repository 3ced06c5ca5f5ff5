"""Makes this VM known at the store and learns of the others there."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from anyio import Event, move_on_after, sleep
from loguru import logger
from msgspec import msgpack

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack.replicas.members import MemberTable
from cardamomtack_daemon.replicas.const import (
    BACKOFF_S_MAX,
    BACKOFF_S_MIN,
    READ_TIMEOUT_S,
)
from cardamomtack_daemon.replicas.source import MemberDirectory, StoreError

LEAVE_TIMEOUT_S = 1.0
RESTORE_SPREAD_S = 2.0
"""Over how long the VMs look for their records after a restore of the store."""

ROOT_PAUSE_S_MAX = 60.0
ROOT_PAUSE_S_MIN = 1.0


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
    apply_members : callable
        Applies news of VMs, and tells the others of them.
    is_root : callable
        Returns whether this VM hears from no other.
    random : Random
        Spreads the attempts of the VMs after an outage.

    Attributes
    ----------
    has_joined : bool
        Whether the VMs that the store knows are known here.
    """

    __slots__ = (
        "_apply_members",
        "_directory",
        "_has_left",
        "_is_root",
        "_members",
        "_random",
        "_restored",
        "has_joined",
    )

    def __init__(
        self,
        members: MemberTable,
        directory: MemberDirectory,
        apply_members: Callable[[list[Member]], None],
        is_root: Callable[[], bool],
        random: Random,
    ) -> None:
        self._apply_members = apply_members
        self._is_root = is_root
        self._directory = directory
        self._has_left = False
        self._members = members
        self._random = random
        self._restored = Event()
        self.has_joined = False

    def mark_restored(self) -> None:
        """Note that the store has come back from a copy, which may lack this VM."""
        self._restored.set()

    async def async_keep_joined(self) -> None:
        """Join again after each restore of the store, until cancelled.

        A VM that hears from no other looks again from time to time: it may have joined
        before those that should be above it.
        """
        pause_s = ROOT_PAUSE_S_MIN
        while True:
            with move_on_after(pause_s):
                await self._restored.wait()
            if self._restored.is_set():
                await sleep(self._random.uniform(0.0, RESTORE_SPREAD_S))
                self._restored = Event()
            elif self._is_root():
                pause_s = min(ROOT_PAUSE_S_MAX, 2.0 * pause_s)
            else:
                pause_s = ROOT_PAUSE_S_MIN
                continue
            await self._async_join(is_written=True)

    async def async_join(self) -> None:
        """Write and read once, as soon as the store allows it."""
        await self._async_join(is_written=False)

    async def _async_join(self, is_written: bool) -> None:
        """Read the records of all VMs, and write that of this one while it is missing.

        Parameters
        ----------
        is_written : bool
            Whether the record of this VM is probably there.
        """
        own = self._members.own
        record = msgpack.encode(own)
        backoff_s = BACKOFF_S_MIN
        while not self._has_left:
            try:
                if not is_written:
                    await self._directory.async_write_member(
                        own.vm_id, record, READ_TIMEOUT_S
                    )
                    is_written = True
                records = await self._directory.async_read_members(READ_TIMEOUT_S)
            except StoreError as error:
                logger.bind(error=str(error)).warning("VMs can't be read")
            else:
                self._take(records)
                is_written = record in records
                if is_written:
                    self.has_joined = True
                    logger.bind(vms=self._members.count).info("VMs are known")
                    return
            await sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(BACKOFF_S_MAX, 2.0 * backoff_s)

    async def async_leave(self) -> None:
        """Remove the record of this VM; one that stays is passed over by the others."""
        self._has_left = True
        try:
            with move_on_after(LEAVE_TIMEOUT_S):
                await self._directory.async_write_member(
                    self._members.own.vm_id, b"", READ_TIMEOUT_S
                )
        except StoreError as error:
            logger.bind(error=str(error)).warning("record of this VM stays")

    def _take(self, records: list[bytes]) -> None:
        """Apply the records of other VMs."""
        members = []
        for record in records:
            try:
                members.append(msgpack.decode(record, type=Member))
            except DECODE_ERRORS:
                logger.warning("the record of a VM can't be used")
        self._apply_members(members)
