"""Quota services of a few VMs, on loopback, and odd holders."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import anyio

from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.quotas.holders import choose_holder
from cardamomtack.replicas.members import MemberTable
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack.workspaces.policy import Workspace
from cardamomtack_daemon.quotas.service import QuotaService
from cardamomtack_standins.fleet import find_free_ports
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration

WAIT_S = 5.0


class NamedWorkspaces:
    """The workspaces of a version."""

    def __init__(self, *workspaces: Workspace) -> None:
        self._workspaces = {one.name: one for one in workspaces}

    def find_workspace(self, key: bytes) -> Workspace | None:
        return self._workspaces.get(key.decode())

    def find_by_name(self, name: str) -> Workspace | None:
        return self._workspaces.get(name)

    def is_ambiguous(self, key: bytes) -> bool:
        return False


def configure(*workspaces: Workspace, version: int = 1) -> FleetConfiguration:
    """Return a configuration with workspaces."""
    configuration = make_configuration(version)
    return replace(configuration, workspaces=NamedWorkspaces(*workspaces))


class QuotaVm:
    """The quotas of one VM; those with lower numbers have larger links.

    Attributes
    ----------
    offset_s : float
        Time for which the VM was suspended, in seconds.
    """

    def __init__(self, number: int, run: str = "1", slack: float = 0.0) -> None:
        self.offset_s = 0.0
        self._clock = SystemClock()
        (port,) = find_free_ports(1)
        settings = EntryVm().settings
        self.settings = replace(
            settings,
            quota_port=port,
            quota_window_s=5.0,
            quota_over_share=0.0,
            quota_slack=slack,
        )
        self.member = Member(
            f"vm-{number}",
            run,
            "zone",
            "127.0.0.1",
            1,
            link_mbps=100.0 - number,
            quota_port=port,
        )
        self.members = MemberTable(self.member)
        self.service = QuotaService(
            self.settings, self.members, lambda: True, self, Random(number)
        )
        self.gate = self.service.gate
        self.scope = anyio.CancelScope()

    def read_monotonic_s(self) -> float:
        return self._clock.read_monotonic_s()

    def read_boot_s(self) -> float:
        return self._clock.read_boot_s() + self.offset_s

    def read_epoch_ms(self) -> int:
        return self._clock.read_epoch_ms()

    def know(self, *others: QuotaVm) -> None:
        """Hear of other VMs."""
        for other in others:
            self.members.update_member(other.member)

    async def async_run(self) -> None:
        """Run until stopped."""
        with self.scope:
            await self.service.async_run()

    async def async_ask(self, workspace: Workspace, count: int = 1):
        """Return the decisions about requests that come together, by their keys."""
        decisions = [None] * count

        async def ask(key: int) -> None:
            decisions[key] = await self.gate.async_admit(workspace, key, 2.0)

        async with anyio.create_task_group() as tasks:
            for key in range(count):
                tasks.start_soon(ask, key)
        return decisions

    async def async_wait_held(self, workspace: Workspace) -> None:
        """Wait until a holder decides."""
        with anyio.fail_after(WAIT_S):
            while True:
                (decision,) = await self.async_ask(workspace)
                self.gate.record_sent(decision)
                if decision.holder_id:
                    return
                await anyio.sleep(0.02)


def find_workspace(vm_ids: list[str], holder_id: str, **values) -> Workspace:
    """Return a workspace that a VM holds."""
    names = (f"workspace-{number}" for number in range(1000))
    name = next(name for name in names if choose_holder(name, vm_ids) == holder_id)
    return Workspace(name, **values)


class QuotaCase(unittest.TestCase):
    """Runs scenarios with a few VMs, which know one another."""

    def play(
        self,
        scenario: Callable[..., Awaitable[None]],
        numbers: tuple[int, ...] = (0, 1),
        slack: float = 0.0,
    ) -> None:
        """Run a scenario with the VMs of some numbers."""

        async def run() -> None:
            fleet = [QuotaVm(number, slack=slack) for number in numbers]
            async with anyio.create_task_group() as tasks:
                for vm in fleet:
                    vm.know(*fleet)
                    vm.service.apply_configuration(configure())
                    tasks.start_soon(vm.async_run)
                await anyio.sleep(0.8)
                await scenario(tasks, *fleet)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})
