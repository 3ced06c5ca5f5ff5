"""Makes this VM known at the store and learns of the others there.

Calls to the store are paid, so a VM that starts again where its record says writes
nothing: the others learn of its run from the first of them that it asks.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from anyio import Event, move_on_after, sleep
from loguru import logger
from msgspec import msgpack

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack.replicas.members import MemberTable, is_same_place
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
    """Reads the records of all VMs, and writes that of this one where it is missing.

    Two VMs that start together for the first time find each other, because each reads
    after it has written, and the one that writes later finds the other.

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
    record_attempt : callable
        Is called after a read: with False when it failed, with True when other VMs are
        known or this one is known to be the only one.

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
        "_record_attempt",
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
        record_attempt: Callable[[bool], None] = lambda is_listed: None,
    ) -> None:
        self._record_attempt = record_attempt
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
            await self._async_join(is_first=False)

    async def async_join(self) -> None:
        """Read once, as soon as the store allows it, and write where that is needed."""
        await self._async_join(is_first=True)

    async def _async_join(self, is_first: bool) -> None:
        """Read the records of all VMs, and write that of this one while it is missing.

        Parameters
        ----------
        is_first : bool
            Whether the VM starts, and others may wait for its record.
        """
        is_written = True
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
                self._record_attempt(False)
            else:
                is_written = self._take(records)
                # While a fleet first starts, others may not have written yet.
                if is_written or self._members.count > 1:
                    self._record_attempt(True)
                if is_written:
                    self.has_joined = True
                    logger.bind(vms=self._members.count).info("VMs are known")
                    return
                if is_first:
                    is_first = False
                    continue
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

    def _take(self, records: list[bytes]) -> bool:
        """Apply the records of other VMs, and return whether one is that of this VM.

        One of an earlier run is, if that run was reached and ranked as this one is. A
        record without its start can't be told from a later one by the other VMs.
        """
        own = self._members.own
        members = []
        for record in records:
            try:
                members.append(msgpack.decode(record, type=Member))
            except DECODE_ERRORS:
                logger.warning("the record of a VM can't be used")
        self._apply_members(members)
        return any(
            one.vm_id == own.vm_id and one.started_ms > 0 and is_same_place(one, own)
            for one in members
        )
