"""Publishing of a configuration, to the point where it is in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from anyio import current_time, sleep
from msgspec import msgpack

from cardamomtack.configuration.const import CONFIGURATION_STREAM
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.configuration.fold import DecidedPublish, PublishDecision
from cardamomtack.generated.records import LogRecord, PublishRecord
from cardamomtack.services.log_service import (
    AppendOutcomeUnknownError,
    LogUnavailableError,
)
from cardamomtack_operator.const import (
    IN_FORCE_TIMEOUT_S,
    POLL_S,
    SETTLE_TIMEOUT_S,
)
from cardamomtack_operator.fleet import FleetReader, VmStatus


class PublishOutcome(Enum):
    """How a publish ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_APPENDED = "not appended"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class PublishResult:
    """How a publish ended.

    Attributes
    ----------
    revision : int or None
        The new revision, when it was accepted.
    winner : DecidedPublish or None
        What another operator published in between, when there is a conflict.
    statuses : list of VmStatus
        Last status of each VM.
    """

    outcome: PublishOutcome
    detail: str = ""
    revision: int | None = None
    winner: DecidedPublish | None = None
    statuses: list[VmStatus] = field(default_factory=list)

    @property
    def in_force(self) -> int:
        """Return on how many VMs the revision, or a newer one, is in force."""
        return sum(
            vm.status is not None
            and self.revision is not None
            and vm.status.revision >= self.revision
            for vm in self.statuses
        )


class Publisher:
    """Publishes a configuration.

    Parameters
    ----------
    fleet : FleetReader
        Reads the log and the VMs.
    """

    __slots__ = ("_fleet",)

    def __init__(self, fleet: FleetReader) -> None:
        self._fleet = fleet

    async def async_publish(self, publish: PublishRecord) -> PublishResult:
        """Append a publish record and find out what became of it.

        A lost answer is settled by reading, so the record is never appended twice.
        """
        data = msgpack.encode(LogRecord(publish=publish))
        try:
            await self._fleet.log.async_append(CONFIGURATION_STREAM, data)
        except LogUnavailableError as error:
            return PublishResult(PublishOutcome.NOT_APPENDED, str(error))
        except AppendOutcomeUnknownError:
            pass
        return await self._async_settle(publish)

    async def async_wait_in_force(self, result: PublishResult) -> None:
        """Wait until the revision is in force on every VM that the list names."""
        deadline_s = current_time() + IN_FORCE_TIMEOUT_S
        while True:
            result.statuses = await self._fleet.async_read_statuses()
            done = result.in_force == len(result.statuses)
            if done or current_time() >= deadline_s:
                return
            await sleep(POLL_S)

    async def _async_settle(self, publish: PublishRecord) -> PublishResult:
        """Read the stream until the record is seen, or the time is up."""
        coordinator = ConfigurationCoordinator("")
        deadline_s = current_time() + SETTLE_TIMEOUT_S
        detail = "the record was not seen on the log"
        while current_time() < deadline_s:
            try:
                await self._fleet.async_follow_configuration(coordinator)
            except LogUnavailableError as error:
                detail = str(error)
            verdict = _find_verdict(coordinator, publish.publish_id)
            if verdict is not None:
                return _write_result(coordinator, verdict)
            await sleep(POLL_S)
        return PublishResult(PublishOutcome.UNKNOWN, detail)


def _find_verdict(
    coordinator: ConfigurationCoordinator, publish_id: str
) -> DecidedPublish | None:
    """Return what became of a publish; the first of duplicated records counts."""
    for verdict in coordinator.fold.history:
        if verdict.publish.publish_id == publish_id:
            return verdict
    # A checkpoint may have told what became of records before it.
    current = coordinator.fold.current
    if current is not None and current.publish.publish_id == publish_id:
        return DecidedPublish(current.number, current.publish, PublishDecision.ACCEPTED)
    return None


def _write_result(
    coordinator: ConfigurationCoordinator, verdict: DecidedPublish
) -> PublishResult:
    """Return the result of a publish that was seen."""
    if verdict.verdict is PublishDecision.ACCEPTED:
        return PublishResult(PublishOutcome.ACCEPTED, revision=verdict.number)
    winners = [
        other
        for other in coordinator.fold.history
        if other.verdict is PublishDecision.ACCEPTED and other.number < verdict.number
    ]
    winner = winners[-1] if winners else None
    detail = "the base is not the current revision"
    return PublishResult(PublishOutcome.CONFLICT, detail, winner=winner)
