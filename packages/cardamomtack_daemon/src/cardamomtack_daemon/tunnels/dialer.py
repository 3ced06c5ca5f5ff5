"""Opens connections to servers: directly, or through a VM that reaches them."""

from __future__ import annotations

from random import Random

from anyio import create_task_group, sleep
from loguru import logger

from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import Member
from cardamomtack.generated.tunnel import TunnelOpen
from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.server import ServerView
from cardamomtack.reach.helpers import HelperTable
from cardamomtack.reach.ways import DirectWays, Group, find_group
from cardamomtack_daemon.http1.client import ServerConnection
from cardamomtack_daemon.pool import ServerAddress, ServerUnreachableError
from cardamomtack_daemon.tunnels.connection import TunnelError, async_open_tunnel
from cardamomtack_daemon.tunnels.const import (
    HELPERS_ASKED_MAX,
    OUTCOME_EVACUATED,
    OUTCOME_REFUSED,
    OUTCOME_UNREACHABLE,
    TRIAL_CHECK_S,
)
from cardamomtack_daemon.tunnels.tester import DirectOpen, WayTester


class ServerDialer:
    """Opens connections to servers.

    Parameters
    ----------
    open_directly : callable
        Opens a connection of this VM's own to an address and a port.
    ways : DirectWays
        The own ways to the servers.
    helpers : HelperTable
        The VMs that may help.
    registry : ServerRegistry
        The servers, for trials.
    tester : WayTester
        Tells a server that is down from a way that is cut.
    clock : Clock
        Tells the time.
    random : Random
        Chooses servers for trials.
    """

    __slots__ = (
        "_clock",
        "_helpers",
        "_open_directly",
        "_random",
        "_registry",
        "_tester",
        "_ways",
    )

    def __init__(
        self,
        open_directly: DirectOpen,
        ways: DirectWays,
        helpers: HelperTable,
        registry: ServerRegistry,
        tester: WayTester,
        clock: Clock,
        random: Random,
    ) -> None:
        self._clock = clock
        self._helpers = helpers
        self._open_directly = open_directly
        self._random = random
        self._registry = registry
        self._tester = tester
        self._ways = ways

    async def async_open(self, address: ServerAddress) -> ServerConnection:
        """Open a connection to a server; one that is not listed is reached directly.

        Raises
        ------
        ServerUnreachableError
            When neither this VM nor one that it has asked reaches the server.
        """
        server = self._registry.servers.get(address.vm_id)
        if server is None:
            return await self._open_directly(address.address, address.port)
        if self._ways.is_helped(server):
            return await self._async_open_helped(server)
        try:
            connection = await self._open_directly(server.address, server.port)
        except ServerUnreachableError:
            self._ways.record_failed_open(server)
            if not self._ways.is_helped(server):
                raise
            return await self._async_open_helped(server)
        self._ways.record_opened(server)
        return connection

    async def async_open_to_judge(self, server: ServerView) -> ServerConnection:
        """Open a connection to a server that may have gone down.

        That its host refuses this VM is believed when another VM has been refused, too,
        or when this VM reaches other servers.

        Raises
        ------
        ServerUnreachableError
            When it can't be opened; refused only when nothing listens.
        """
        try:
            connection = await self._open_directly(server.address, server.port)
        except ServerUnreachableError as error:
            self._ways.record_failed_open(server)
            if not error.is_refused or not self._helpers.has_any():
                raise
            refusal = error
        else:
            self._ways.record_opened(server)
            return connection
        try:
            return await self._async_open_helped(server)
        except ServerUnreachableError as error:
            logger.bind(server=server.vm_id, error=str(error)).info(
                "no VM reaches a server that refuses this one"
            )
            if not error.is_own_way or not await self._tester.async_is_sound(server):
                raise
        self._ways.record_down(server)
        raise refusal

    def is_unreachable(self, server: ServerView) -> bool:
        """Return whether neither this VM nor another one is known to reach a server."""
        if not self._ways.is_cut(server):
            return False
        return not self._helpers.can_help(self._clock.read_monotonic_s())

    def record_silent(self, helper_id: str) -> None:
        """Record that nothing came back through another VM."""
        self._helpers.record_silence(helper_id, self._clock.read_monotonic_s())

    async def async_try_directly(self) -> None:
        """Try servers directly that are reached through others, until cancelled."""
        while True:
            await sleep(TRIAL_CHECK_S)
            due = self._ways.list_trials()
            if due:
                async with create_task_group() as tasks:
                    for group in due:
                        tasks.start_soon(self._async_try, group)

    async def _async_try(self, group: Group) -> None:
        """Try one server of a group directly."""
        service = self._registry.find_service(group[0])
        servers = [one for one in service.members if find_group(one) == group]
        if not servers:
            return
        server = self._random.choice(servers)
        try:
            connection = await self._open_directly(server.address, server.port)
        except ServerUnreachableError:
            return
        connection.abort()
        self._ways.record_trial(group)

    async def _async_open_helped(self, server: ServerView) -> ServerConnection:
        """Open a connection to a server through another VM.

        Raises
        ------
        ServerUnreachableError
            When no VM that was asked has one; refused when one of them was, and none
            is cut off from the server, too.
        """
        wanted = TunnelOpen(
            server.vm_id, server.address, server.port, reads_evacuated=True
        )
        asked: set[str] = set()
        told: list[str] = []
        while len(asked) < HELPERS_ASKED_MAX:
            now_s = self._clock.read_monotonic_s()
            helper = self._helpers.choose(asked, now_s)
            if helper is None:
                break
            asked.add(helper.vm_id)
            try:
                return await self._async_open_through(helper, wanted, now_s)
            except TunnelError as error:
                told.append(error.outcome)
                if error.outcome in (OUTCOME_EVACUATED, OUTCOME_REFUSED):
                    self._helpers.record_help(helper.vm_id)
                else:
                    self._helpers.record_failure(helper.vm_id, now_s)
                logger.bind(
                    vm=helper.vm_id, server=server.vm_id, outcome=error.outcome
                ).debug("server not reached through another VM")
                if error.outcome == OUTCOME_EVACUATED:
                    # All VMs follow the same records, so the next would refuse, too.
                    break
        # A VM that is cut off without knowing it says of one server that it is down.
        is_down = bool(told) and all(
            one in (OUTCOME_REFUSED, OUTCOME_UNREACHABLE) for one in told
        )
        if is_down:
            self._ways.record_down(server)
        raise ServerUnreachableError(
            f"not reached through other VMs, which told {told}",
            is_refused=is_down and OUTCOME_REFUSED in told,
            is_own_way=not is_down,
        )

    async def _async_open_through(
        self, helper: Member, wanted: TunnelOpen, now_s: float
    ) -> ServerConnection:
        """Open a connection through one VM.

        Raises
        ------
        TunnelError
            When it has none.
        """
        connection = await async_open_tunnel(helper, wanted, now_s, self._helpers)
        self._helpers.record_help(helper.vm_id)
        return connection
