"""Reports the totals of this VM incarnation to the log."""

from __future__ import annotations

from anyio import sleep
from loguru import logger
from msgspec import msgpack

from cardamomtack.accounts.const import COUNTS_STREAM
from cardamomtack.accounts.counter import KindCounter
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.generated.records import CountsRecord, LogRecord
from cardamomtack.helpers.clock import Clock
from cardamomtack.services.log_service import (
    AppendOutcomeUnknownError,
    LogService,
    LogUnavailableError,
)

REPORT_S = 10.0


class CountsTask:
    """Appends cumulative totals, so that a lost or doubled report does no harm.

    Parameters
    ----------
    log : LogService
        Where totals are kept.
    counter : KindCounter
        The totals.
    configuration : ConfigurationCoordinator
        Gives the weights of the kinds.
    vm_id, incarnation : str
        Whose totals they are.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_counter",
        "_incarnation",
        "_log",
        "_reported",
        "_sequence",
        "_vm_id",
    )

    def __init__(
        self,
        log: LogService,
        counter: KindCounter,
        configuration: ConfigurationCoordinator,
        vm_id: str,
        incarnation: str,
        clock: Clock,
    ) -> None:
        self._log = log
        self._counter = counter
        self._configuration = configuration
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        self._reported = 0

    async def async_report(self) -> None:
        """Append totals at a fixed interval until cancelled."""
        while True:
            await sleep(REPORT_S)
            await self.async_report_once()

    async def async_report_once(self) -> None:
        """Append the totals if they have changed."""
        routes = self._configuration.routes
        if routes is None:
            return
        weights = {name: kind.weight for name, kind in routes.kinds.items()}
        counts = self._counter.list_counts(weights)
        total = sum(count.requests for count in counts)
        if total == self._reported:
            return
        self._sequence += 1
        record = CountsRecord(
            self._vm_id,
            self._incarnation,
            self._sequence,
            self._clock.read_epoch_ms(),
            counts,
        )
        try:
            data = msgpack.encode(LogRecord(counts=record))
            await self._log.async_append(COUNTS_STREAM, data)
            self._reported = total
        except (AppendOutcomeUnknownError, LogUnavailableError) as error:
            logger.bind(error=str(error)).warning("counts not appended")
