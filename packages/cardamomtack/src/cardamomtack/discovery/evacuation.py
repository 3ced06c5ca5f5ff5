"""The availability zones that are evacuated: their servers get no new requests.

This module handles several evacuations at a time, records that arrive twice or out of
order, and keys that name no zone.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Protocol

from loguru import logger

from cardamomtack.generated.relay import TopicRecord
from cardamomtack.helpers.clock import MS_PER_S

AGE_UNKNOWN_MS = -1
CHANGES_LOGGED_MAX = 20
"""Lines of one kind that the records of one page may write."""

KEY_LOGGED_MAX = 80
"""Most of a faulty key that a line of the log repeats, in characters."""

ZoneListener = Callable[[str, bool], None]


class EvacuationKeyError(Exception):
    """The key of a record of an evacuation names no zone; the message says why."""


class EvacuationCodec(Protocol):
    """Decodes the records of evacuations."""

    def decode_evacuation(self, record: TopicRecord) -> str | None:
        """Return the zone of a record, or None when it is about something else.

        The zone is evacuated while the record has a value, whatever that says.

        Raises
        ------
        EvacuationKeyError
            When its key names no zone.
        """


class EvacuatedZones:
    """The zones that are evacuated.

    Attributes
    ----------
    begun, ended : int
        Evacuations that have come into force and that have ended.
    """

    __slots__ = ("_listeners", "_zones", "begun", "ended")

    def __init__(self) -> None:
        self._listeners: list[ZoneListener] = []
        self._zones: set[str] = set()
        self.begun = 0
        self.ended = 0

    def __contains__(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self._zones

    def add_listener(self, listener: ZoneListener) -> None:
        """Call a listener with each zone that changes, and whether it is evacuated."""
        self._listeners.append(listener)

    def list_zones(self) -> list[str]:
        """Return the zones that are evacuated."""
        return sorted(self._zones)

    def begin(self, zone: str) -> bool:
        """Evacuate a zone, and return whether it was not evacuated before."""
        if zone in self._zones:
            return False
        self._zones.add(zone)
        self.begun += 1
        self._notify(zone, True)
        return True

    def end(self, zone: str) -> bool:
        """End the evacuation of a zone, and return whether it was evacuated."""
        if zone not in self._zones:
            return False
        self._zones.discard(zone)
        self.ended += 1
        self._notify(zone, False)
        return True

    def _notify(self, zone: str, is_evacuated: bool) -> None:
        """Notify the listeners of a change."""
        for listener in self._listeners:
            listener(zone, is_evacuated)


class EvacuationCoordinator:
    """Pushes the records of evacuations into the registry of zones.

    Parameters
    ----------
    codec : EvacuationCodec
        Decodes records.
    zones : EvacuatedZones
        The zones that are evacuated.
    read_source : callable
        Returns who told the records, for the log.
    read_age_s : callable
        Returns the seconds since the store last confirmed what was known before.

    Attributes
    ----------
    faulty_keys : int
        Records whose key names no zone.
    """

    __slots__ = ("_codec", "_read_age_s", "_read_source", "_zones", "faulty_keys")

    def __init__(
        self,
        codec: EvacuationCodec,
        zones: EvacuatedZones,
        read_source: Callable[[], str],
        read_age_s: Callable[[], float],
    ) -> None:
        self._codec = codec
        self._read_age_s = read_age_s
        self._read_source = read_source
        self._zones = zones
        self.faulty_keys = 0

    def apply_records(self, records: list[TopicRecord]) -> None:
        """Take records; one whose key names no zone changes nothing."""
        changes = 0
        faults = 0
        for record in records:
            try:
                zone = self._codec.decode_evacuation(record)
            except EvacuationKeyError as error:
                faults += 1
                if faults <= CHANGES_LOGGED_MAX:
                    logger.bind(
                        offset=record.offset,
                        key=repr(record.key[:KEY_LOGGED_MAX]),
                        error=str(error),
                    ).warning("a record of an evacuation can't be used")
                continue
            if zone is None or not self._apply(zone, bool(record.value)):
                continue
            changes += 1
            if changes <= CHANGES_LOGGED_MAX:
                self._log(zone, record)
        self.faulty_keys += faults
        if max(changes, faults) > CHANGES_LOGGED_MAX:
            logger.bind(changes=changes, faults=faults).warning(
                "more evacuations have changed than are logged"
            )

    def _apply(self, zone: str, is_evacuated: bool) -> bool:
        """Evacuate a zone or end that, and return whether it is a change."""
        return self._zones.begin(zone) if is_evacuated else self._zones.end(zone)

    def _log(self, zone: str, record: TopicRecord) -> None:
        """Log a change."""
        age_s = self._read_age_s()
        age_ms = round(age_s * MS_PER_S) if isfinite(age_s) else AGE_UNKNOWN_MS
        logger.bind(
            zone=zone, offset=record.offset, source=self._read_source(), age_ms=age_ms
        ).info("evacuation in force" if record.value else "evacuation has ended")
