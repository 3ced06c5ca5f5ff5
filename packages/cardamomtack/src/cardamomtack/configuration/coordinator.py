"""Keeps the configuration in force and pushes it to its readers."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache

from msgspec import msgpack
from returns.result import Success

from cardamomtack.configuration.document import parse_configuration
from cardamomtack.configuration.fold import (
    ConfigurationFold,
    Revision,
)
from cardamomtack.configuration.routes import RouteTable
from cardamomtack.generated.configuration import ConfigurationDocument
from cardamomtack.generated.peer import Snapshot
from cardamomtack.generated.records import CheckpointRecord, LogRecord, PublishRecord
from cardamomtack.helpers.decoding import DECODE_ERRORS


@lru_cache(maxsize=2)
def _decode_text(text: str) -> ConfigurationDocument | None:
    """Return the document of a text, or None when it is invalid."""
    result = parse_configuration(text, "published document")
    return result.unwrap() if isinstance(result, Success) else None


def decode_document(publish: PublishRecord) -> ConfigurationDocument | None:
    """Return the document of a publish record, or None when it is invalid."""
    return _decode_text(publish.document)


class ConfigurationCoordinator:
    """Folds the configuration stream and keeps the route table in force.

    Parameters
    ----------
    vm_id : str
        The VM for which exceptions are applied.

    Attributes
    ----------
    fold : ConfigurationFold
        What has been read of the stream.
    routes : RouteTable or None
        The configuration in force; None before the first.
    """

    __slots__ = ("_active_revision", "_listeners", "_vm_id", "fold", "routes")

    def __init__(self, vm_id: str) -> None:
        self.fold = ConfigurationFold()
        self.routes: RouteTable | None = None
        self._active_revision: Revision | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []
        self._vm_id = vm_id

    @property
    def active_revision(self) -> Revision | None:
        """Return the revision whose route table is in force."""
        return self._active_revision

    def add_listener(self, listener: Callable[[RouteTable], None]) -> None:
        """Call a listener with each route table that comes into force."""
        self._listeners.append(listener)

    def skip_expired(self, first_offset: int) -> None:
        """Note that the records before an offset have expired unread."""
        self.fold.skip_expired(first_offset)

    def apply_record(self, offset: int, data: bytes) -> None:
        """Take one record of the stream; one that can't be read is passed over."""
        try:
            record = msgpack.decode(data, type=LogRecord)
        except DECODE_ERRORS:
            self.fold.skip_record(offset)
            return
        if record.publish is not None:
            self._apply_publish(offset, record.publish)
        elif record.checkpoint is not None:
            self.fold.apply_checkpoint(offset, record.checkpoint)
            self._activate_current()
        else:
            self.fold.skip_record(offset)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Adopt the configuration of a peer when it is newer."""
        try:
            publish = msgpack.decode(snapshot.publish, type=PublishRecord)
        except DECODE_ERRORS:
            return
        if decode_document(publish) is None:
            return
        revision = Revision(snapshot.revision, publish)
        if self.fold.apply_state(revision, snapshot.folded_to):
            self._activate_current()

    def build_snapshot(self, newer_than: int) -> Snapshot | None:
        """Return the state for a peer, or None when it isn't newer or not certain."""
        fold = self.fold
        if fold.current is None or not fold.is_decided or fold.number <= newer_than:
            return None
        publish = msgpack.encode(fold.current.publish)
        return Snapshot(fold.number, fold.folded_to, publish)

    def build_checkpoint(self) -> LogRecord | None:
        """Return a checkpoint of the current revision, or None without one."""
        fold = self.fold
        if fold.current is None or not fold.is_decided:
            return None
        checkpoint = CheckpointRecord(fold.number, fold.folded_to, fold.current.publish)
        return LogRecord(checkpoint=checkpoint)

    def _apply_publish(self, offset: int, publish: PublishRecord) -> None:
        """Take a publish record; an invalid document is a conflict on every VM."""
        if decode_document(publish) is None:
            self.fold.skip_record(offset)
            return
        self.fold.apply_publish(offset, publish)
        self._activate_current()

    def _activate_current(self) -> None:
        """Build the route table of the current revision and push it."""
        current = self.fold.current
        if current is None:
            return
        if (
            self._active_revision is not None
            and current.number <= self._active_revision.number
        ):
            return
        document = decode_document(current.publish)
        if document is None:
            return
        self._active_revision = current
        self.routes = RouteTable(document, self._vm_id)
        for listener in self._listeners:
            listener(self.routes)
