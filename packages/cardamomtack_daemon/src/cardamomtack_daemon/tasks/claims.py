"""Appends the claims of this VM and follows the claims stream."""

from __future__ import annotations

from anyio import Event, move_on_after, sleep
from loguru import logger

from cardamomtack.claims.const import CLAIMS_STREAM
from cardamomtack.claims.coordinator import ClaimCoordinator
from cardamomtack.services.log_service import (
    AppendOutcomeUnknownError,
    LogService,
    LogUnavailableError,
)

READ_LIMIT = 1000
READ_PAUSE_S = 0.2
READ_WAIT_MS = 10_000
REFUSED_PAUSE_S = 0.1


class ClaimsTask:
    """Owns the appends and the reads of the claims stream.

    Parameters
    ----------
    log : LogService
        Where claims are kept.
    claims : ClaimCoordinator
        Gathers and settles claims.
    """

    __slots__ = ("_claims", "_log", "_woken", "appends")

    def __init__(self, log: LogService, claims: ClaimCoordinator) -> None:
        self._log = log
        self._claims = claims
        self._woken = Event()
        self.appends = 0

    def wake(self) -> None:
        """Look for claims to append."""
        self._woken.set()

    async def async_append(self) -> None:
        """Append what gathers, one append at a time, until cancelled."""
        while True:
            while not self._claims.has_pending_append():
                self._woken = Event()
                await self._woken.wait()
            await self._async_gather()
            # What gathered may have been abandoned in the meantime.
            if self._claims.has_pending_append():
                await self._async_append_batch()

    async def async_flush(self) -> None:
        """Append what is left, once; used at the end of a graceful shutdown."""
        if self._claims.has_pending_append():
            await self._async_append_batch()

    async def async_follow(self) -> None:
        """Read the stream until cancelled."""
        wait_ms = 0
        while True:
            try:
                caught_up = await self._async_read(wait_ms)
            except LogUnavailableError as error:
                logger.bind(error=str(error)).warning("claims can't be read")
                await sleep(READ_PAUSE_S)
                continue
            self.wake()
            wait_ms = READ_WAIT_MS if caught_up else 0

    async def _async_read(self, wait_ms: int) -> bool:
        """Read once and return whether these were the newest records.

        Raises
        ------
        LogUnavailableError
            When nothing could be read.
        """
        offset = self._claims.table.folded_to
        read = await self._log.async_read(CLAIMS_STREAM, offset, READ_LIMIT, wait_ms)
        if read.has_gap:
            logger.bind(first_offset=read.first_offset).warning(
                "claims expired before they were read"
            )
            self._claims.reset_after_gap(read.first_offset)
            return False
        caught_up = len(read.records) < READ_LIMIT
        self._claims.apply_records(read.first_offset, read.records, caught_up)
        return caught_up

    async def _async_gather(self) -> None:
        """Wait for this VM's next turn to append."""
        while (wait_s := self._claims.compute_append_delay_s()) > 0.0:
            self._woken = Event()
            with move_on_after(wait_s):
                await self._woken.wait()

    async def _async_append_batch(self) -> None:
        """Append one batch and note what is known of its fate."""
        batch = self._claims.begin_append()
        self.appends += 1
        try:
            await self._log.async_append(
                CLAIMS_STREAM, self._claims.encode_batch(batch)
            )
        except LogUnavailableError as error:
            logger.bind(error=str(error)).warning("claims not appended")
            self._claims.requeue_batch(batch)
            await sleep(REFUSED_PAUSE_S)
        except AppendOutcomeUnknownError as error:
            logger.bind(error=str(error)).warning("fate of claims is unknown")
            self._claims.add_unconfirmed_batch(batch)
            await self._async_settle()

    async def _async_settle(self) -> None:
        """Read to the newest record, which settles what became of the last append.

        The follower may wait for a new record for long, so this read doesn't wait.
        """
        try:
            while not await self._async_read(wait_ms=0):
                pass
        except LogUnavailableError as error:
            logger.bind(error=str(error)).warning("claims can't be settled yet")
            await sleep(READ_PAUSE_S)
