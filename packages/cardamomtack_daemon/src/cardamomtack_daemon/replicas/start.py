"""Lets a VM that starts hear what others know before it reads for itself."""

from __future__ import annotations

from typing import Protocol

from anyio import Event, move_on_after

from cardamomtack_daemon.replicas.const import LISTED_WAIT_S


class FirstHearing(Protocol):
    """Asks other VMs for the topics."""

    def is_reader(self) -> bool:
        """Return whether this VM reads the store for others."""

    async def async_hear(self) -> None:
        """Ask until the topics are known or it takes too long."""


class StartGate:
    """Holds the reads of topics back while other VMs may tell them.

    Parameters
    ----------
    hearing : FirstHearing
        Asks other VMs. They learn from that of this run of the VM, so they are asked
        even if they come to be known late.
    """

    __slots__ = ("_begun", "_hearing", "_listed", "_tried")

    def __init__(self, hearing: FirstHearing) -> None:
        self._begun = Event()
        self._hearing = hearing
        self._listed = Event()
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
        if self._hearing.is_reader():
            # It reads in any case, and the others of a fleet that starts wait for it.
            self._begun.set()
        await self._hearing.async_hear()
        self._begun.set()

    async def async_wait(self) -> None:
        """Wait until the topics may be read."""
        await self._begun.wait()
