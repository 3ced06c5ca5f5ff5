"""Builds and runs the quotas of one VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, replace
from random import Random

from anyio import Event, create_task_group, create_tcp_listener, sleep
from anyio.abc import TaskGroup
from loguru import logger

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import Clock
from cardamomtack.quotas.fallback import FallbackTable
from cardamomtack.quotas.holders import HolderTable
from cardamomtack.quotas.ledger import QuotaLedger
from cardamomtack.quotas.rule import QuotaRule
from cardamomtack.replicas.members import MemberTable
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack_daemon.forwarding.const import FLEET_VMS_ASSUMED
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.quotas.claims import HolderClaims
from cardamomtack_daemon.quotas.const import LOG_S, MAINTENANCE_S
from cardamomtack_daemon.quotas.gate import QuotaCounts, QuotaGate
from cardamomtack_daemon.quotas.link import HolderLink
from cardamomtack_daemon.quotas.server import QuotaServer


class QuotaService:
    """All parts of the quotas; nothing runs before there are workspaces.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the VM.
    members : MemberTable
        The VMs.
    has_joined : callable
        Returns whether the VMs that the store knows are known here.
    clock : Clock
        Tells the time.
    random : Random
        Source of choices.

    Attributes
    ----------
    gate : QuotaGate
        Admits requests.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_fallback",
        "_has_joined",
        "_holders",
        "_ledger",
        "_links",
        "_members",
        "_needed",
        "_server",
        "_settings",
        "_tasks",
        "_version",
        "gate",
    )

    def __init__(
        self,
        settings: EntrySettings,
        members: MemberTable,
        has_joined: Callable[[], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        rule = _make_rule(settings)
        self._clock = clock
        self._fallback = FallbackTable(rule, random)
        self._has_joined = has_joined
        self._holders = HolderTable(members, has_joined)
        self._ledger = QuotaLedger(rule)
        self._links: dict[str, HolderLink] = {}
        self._members = members
        self._needed = Event()
        self._settings = settings
        self._tasks: TaskGroup | None = None
        self._version = -1
        self._claims = HolderClaims(self._holders, clock)
        self._server = QuotaServer(self._ledger, self._holders, clock)
        self.gate = QuotaGate(
            self._ledger,
            self._holders,
            self._fallback,
            self._open_link,
            lambda: self._version,
            self._count_vms,
            clock,
            random,
        )

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a new configuration."""
        self._version = configuration.version
        workspaces = configuration.workspaces
        now_s = self._clock.read_monotonic_s()
        self._ledger.apply_configuration(self._version, workspaces, now_s)
        if workspaces is not None:
            self._needed.set()

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply newer settings; the port stays that of the start."""
        rule = _make_rule(settings)
        self._fallback.rule = rule
        self._ledger.rule = rule

    def leave(self) -> None:
        """Grant nothing more, and refer the other VMs to the next holders."""
        self._holders.is_leaving = True

    async def async_run(self) -> None:
        """Run from the first version with workspaces on, until cancelled."""
        await self._needed.wait()
        settings = self._settings
        try:
            async with create_task_group() as tasks:
                if settings.quota_port:
                    await self._async_listen(tasks)
                self._tasks = tasks
                logger.bind(port=settings.quota_port).info("quotas are in force")
                await self._async_maintain()
        finally:
            self._tasks = None

    async def _async_listen(self, tasks: TaskGroup) -> None:
        """Serve other VMs, and claim what this one holds.

        A VM that can't listen serves its callers all the same.
        """
        address, port = self._settings.address, self._settings.quota_port
        try:
            listener = await create_tcp_listener(local_host=address, local_port=port)
        except OSError as error:
            logger.bind(port=port, error=repr(error)).error("quotas can't be granted")
            return
        tasks.start_soon(self._server.async_serve, listener)
        tasks.start_soon(self._claims.async_claim)

    async def _async_maintain(self) -> None:
        """Drop idle buckets and links, and log the counts of decisions."""
        logged = QuotaCounts()
        log_at_s = 0.0
        while True:
            await sleep(MAINTENANCE_S)
            now_s = self._clock.read_monotonic_s()
            if now_s >= log_at_s and self.gate.counts != logged:
                log_at_s = now_s + LOG_S
                logged = replace(self.gate.counts)
                logger.bind(**asdict(logged)).info("quotas decided")
            self._ledger.drop_idle(now_s)
            for vm_id, link in list(self._links.items()):
                if link.is_ended:
                    del self._links[vm_id]
                elif self._holders.find_member(vm_id) != link.member:
                    link.end()

    def _open_link(self, member: Member) -> HolderLink | None:
        """Return the link to the current run of a VM."""
        link = self._links.get(member.vm_id)
        if link is not None and not link.is_ended and link.member == member:
            return link
        if link is not None:
            link.end()
        if self._tasks is None:
            return None
        link = HolderLink(member, self._clock)
        self._links[member.vm_id] = link
        self._tasks.start_soon(link.async_run)
        return link

    def _count_vms(self) -> int:
        """Return how many VMs share what may exceed a quota."""
        if not self._has_joined():
            return FLEET_VMS_ASSUMED
        return self._members.count


def _make_rule(settings: EntrySettings) -> QuotaRule:
    """Return what may exceed a quota."""
    return QuotaRule(
        settings.quota_window_s, settings.quota_over_share, settings.quota_slack
    )
