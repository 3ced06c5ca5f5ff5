"""Follows the configuration stream."""

from __future__ import annotations

from anyio import sleep
from loguru import logger
from msgspec import msgpack

from cardamomtack.configuration.const import CONFIGURATION_STREAM
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.configuration.routes import RouteTable
from cardamomtack.services.log_service import (
    AppendOutcomeUnknownError,
    LogRead,
    LogService,
    LogUnavailableError,
)
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_daemon.peers.exchange import PeerExchange

CHECKPOINT_CHECK_S = 0.25
CHECKPOINT_RANK_DELAY_S = 0.5
CHECKPOINT_RETENTION_SHARE = 0.25
READ_LIMIT = 100
READ_PAUSE_S = 0.5
READ_WAIT_MS = 3_000


class ConfigurationTask:
    """Reads the stream, and carries the current revision on before it expires.

    Parameters
    ----------
    log : LogService
        Where configuration is published.
    coordinator : ConfigurationCoordinator
        Takes what is read.
    peers : PeerExchange
        Names the live VMs, by whose rank checkpoints are written.
    vm_id : str
        This VM.
    retention_s : float
        Time the log surely keeps a record, in seconds.
    """

    __slots__ = (
        "_coordinator",
        "_first_offset",
        "_log",
        "_peers",
        "_retention_s",
        "_vm_id",
        "is_caught_up",
    )

    def __init__(
        self,
        log: LogService,
        coordinator: ConfigurationCoordinator,
        peers: PeerExchange,
        vm_id: str,
        retention_s: float,
    ) -> None:
        self._log = log
        self._coordinator = coordinator
        self._first_offset = 0
        self._peers = peers
        self._vm_id = vm_id
        self._retention_s = retention_s
        self.is_caught_up = False
        coordinator.add_listener(self._log_revision)

    async def async_follow(self) -> None:
        """Read the stream until cancelled."""
        wait_ms = 0
        while True:
            offset = self._coordinator.fold.folded_to
            try:
                read = await self._log.async_read(
                    CONFIGURATION_STREAM, offset, READ_LIMIT, wait_ms
                )
            except LogUnavailableError as error:
                logger.bind(error=str(error)).warning("configuration can't be read")
                await sleep(READ_PAUSE_S)
                continue
            self._apply_read(read)
            wait_ms = READ_WAIT_MS if self.is_caught_up else 0

    async def async_append_checkpoints(self) -> None:
        """Append checkpoints of the current revision until cancelled."""
        age_s = 0.0
        bootstrap_offset = 0
        while True:
            await sleep(CHECKPOINT_CHECK_S)
            fold = self._coordinator.fold
            is_same = fold.bootstrap_offset == bootstrap_offset
            age_s = age_s + CHECKPOINT_CHECK_S if is_same else 0.0
            bootstrap_offset = fold.bootstrap_offset
            if age_s >= self._find_checkpoint_age_s():
                await self._async_append_checkpoint()
                age_s = 0.0

    def _find_checkpoint_age_s(self) -> float:
        """Return the age of the newest checkpoint at which this VM appends another.

        The lower ranks wait longer, so that usually only one VM appends. When a new
        reader could not decide the records that are left, it is due at once.
        """
        fold = self._coordinator.fold
        members = [self._vm_id, *self._peers.links]
        rank = rank_by_rendezvous_hash(f"checkpoint-{fold.number}", members).index(
            self._vm_id
        )
        delay_s = (rank + 1) * CHECKPOINT_RANK_DELAY_S
        if fold.bootstrap_offset < self._first_offset:
            return delay_s
        return self._retention_s * CHECKPOINT_RETENTION_SHARE + delay_s

    async def _async_append_checkpoint(self) -> None:
        """Append a checkpoint; a lost one is appended again at the next check."""
        record = self._coordinator.build_checkpoint()
        if record is None:
            return
        try:
            await self._log.async_append(CONFIGURATION_STREAM, msgpack.encode(record))
        except (AppendOutcomeUnknownError, LogUnavailableError) as error:
            logger.bind(error=str(error)).warning("checkpoint not appended")

    def _apply_read(self, read: LogRead) -> None:
        """Take the records of one read."""
        self._first_offset = read.first_offset
        if read.has_gap:
            self._coordinator.skip_expired(read.first_offset)
            return
        for offset, data in read.records:
            self._coordinator.apply_record(offset, data)
        self.is_caught_up = len(read.records) < READ_LIMIT

    def _log_revision(self, routes: RouteTable) -> None:
        """Log a revision that came into force."""
        revision = self._coordinator.active_revision
        if revision is not None:
            logger.bind(revision=revision.number, change=revision.publish.message).info(
                "configuration in force"
            )
