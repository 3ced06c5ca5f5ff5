"""Takes configuration records and puts the newest version in force."""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import TopicRecord
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack.routing.table import PrefixRoutes


class UnusableError(Exception):
    """A configuration record can't be used; the message says what and where."""


class ConfigurationCodec(Protocol):
    """Decodes configuration records."""

    def decode_configuration(self, record: TopicRecord) -> FleetConfiguration | None:
        """Return the configuration of a record, or None when it holds none.

        Raises
        ------
        UnusableError
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
    """

    __slots__ = ("_codec", "_routes")

    def __init__(self, codec: ConfigurationCodec, routes: PrefixRoutes) -> None:
        self._codec = codec
        self._routes = routes

    def apply_records(self, records: list[TopicRecord]) -> None:
        """Take records; one that can't be used leaves the version in force."""
        for record in records:
            try:
                configuration = self._codec.decode_configuration(record)
            except UnusableError as error:
                logger.bind(offset=record.offset, error=str(error)).error(
                    "a configuration record can't be used"
                )
                continue
            if configuration is None:
                continue
            if self._routes.apply_configuration(configuration):
                logger.bind(version=configuration.version, offset=record.offset).info(
                    "configuration in force"
                )
