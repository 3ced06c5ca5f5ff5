"""Takes configuration records and puts the newest version in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import TopicRecord
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack.routing.table import PrefixRoutes

FINDINGS_LOGGED_MAX = 20


class ConfigurationRecordError(Exception):
    """A configuration record can't be used; the message says what and where."""


class ConfigurationCodec(Protocol):
    """Decodes configuration records."""

    def decode_configuration(self, record: TopicRecord) -> FleetConfiguration | None:
        """Return the configuration of a record, or None when it holds none.

        Raises
        ------
        ConfigurationRecordError
            When the record can't be read or contradicts itself.
        """


class RoutingCoordinator:
    """Puts configurations in force as their records arrive.

    Parameters
    ----------
    codec : ConfigurationCodec
        Decodes records.
    routes : PrefixRoutes
        The routes in force.
    clock : Clock
        Tells how long a version takes to come into force, for the log.
    read_source : callable
        Returns who told the records, for the log.
    """

    __slots__ = ("_clock", "_codec", "_read_source", "_routes")

    def __init__(
        self,
        codec: ConfigurationCodec,
        routes: PrefixRoutes,
        clock: Clock,
        read_source: Callable[[], str] = lambda: "",
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._read_source = read_source
        self._routes = routes

    def apply_records(self, records: list[TopicRecord]) -> None:
        """Take records; one that can't be used leaves the version in force."""
        for record in records:
            began_s = self._clock.read_monotonic_s()
            try:
                configuration = self._codec.decode_configuration(record)
            except ConfigurationRecordError as error:
                kept = self._routes.configuration
                logger.bind(
                    offset=record.offset,
                    error=str(error),
                    in_force=kept.version if kept is not None else "none",
                ).error("a configuration record can't be used")
                continue
            if configuration is None:
                continue
            if self._routes.apply_configuration(configuration):
                logger.bind(
                    version=configuration.version,
                    offset=record.offset,
                    source=self._read_source(),
                    bytes=len(record.value),
                    took_ms=round(
                        (self._clock.read_monotonic_s() - began_s) * MS_PER_S, 1
                    ),
                ).info("configuration in force")
                self._log_findings(configuration)

    def _log_findings(self, configuration: FleetConfiguration) -> None:
        """Log what is not known in a version, once for each version."""
        findings = configuration.findings
        for finding in findings[:FINDINGS_LOGGED_MAX]:
            logger.bind(version=configuration.version, finding=finding).warning(
                "a part of the configuration can't be used"
            )
        if len(findings) > FINDINGS_LOGGED_MAX:
            logger.bind(
                version=configuration.version,
                findings=len(findings),
                logged=FINDINGS_LOGGED_MAX,
            ).warning("more parts of the configuration can't be used")
