"""Delays the first reads of topics while other VMs may supply them."""

from __future__ import annotations

from typing import Protocol

from anyio import Event, move_on_after

from cardamomtack_daemon.replicas.const import LISTED_WAIT_S


class StartQuery(Protocol):
    """Asks other VMs for the topics."""

    def is_reader(self) -> bool:
        """Return whether this VM reads the store for others."""

    async def async_query_others(self) -> None:
        """Ask until the topics are known or it takes too long."""


class StartGate:
    """Delays the reads of topics while other VMs may supply them.

    Parameters
    ----------
    query : StartQuery
        Asks other VMs. They learn of this run of the VM by being asked, so they are
        asked even if they become known late.
    """

    __slots__ = ("_begun", "_listed", "_query", "_tried")

    def __init__(self, query: StartQuery) -> None:
        self._begun = Event()
        self._listed = Event()
        self._query = query
        self._tried = Event()

    def record_attempt(self, is_listed: bool) -> None:
        """Record that the records of the VMs were read, or could not be."""
        self._tried.set()
        if is_listed:
            self._listed.set()

    async def async_run(self) -> None:
        """Ask the other VMs, then let the reads begin."""
        with move_on_after(LISTED_WAIT_S):
            await self._tried.wait()
        if not self._listed.is_set():
            self._begun.set()
            await self._listed.wait()
        if self._query.is_reader():
            # It reads in any case, and the others of a fleet that starts wait for it.
            self._begun.set()
        await self._query.async_query_others()
        self._begun.set()

    async def async_wait(self) -> None:
        """Wait until the topics may be read."""
        await self._begun.wait()
