"""Follows the VM list."""

from __future__ import annotations

from anyio import sleep
from loguru import logger

from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.services.vm_list import VmList, VmListUnavailableError
from cardamomtack_daemon.const import ROLE_ENTRY
from cardamomtack_daemon.peers.exchange import PeerExchange
from cardamomtack_daemon.pool import ConnectionPool
from cardamomtack_daemon.traffic.handler import TrafficHandler

POLL_S = 1.0


class VmListTask:
    """Reads the VM list and passes it to those who need it.

    Parameters
    ----------
    vm_list : VmList
        The list.
    directory : ServerDirectory
        Takes the backend servers.
    peers : PeerExchange
        Takes the entry VMs.
    pool : ConnectionPool
        Drops the connections to servers that are gone.
    handler : TrafficHandler
        Shares limits among the live VMs.
    """

    __slots__ = (
        "_directory",
        "_handler",
        "_peers",
        "_pool",
        "_vm_list",
        "entry_vms",
        "has_vm_list",
    )

    def __init__(
        self,
        vm_list: VmList,
        directory: ServerDirectory,
        peers: PeerExchange,
        pool: ConnectionPool,
        handler: TrafficHandler,
    ) -> None:
        self._vm_list = vm_list
        self._directory = directory
        self._peers = peers
        self._pool = pool
        self._handler = handler
        self.entry_vms: list[str] = []
        self.has_vm_list = False

    async def async_follow(self) -> None:
        """Read the list until cancelled; an old list serves while it is away."""
        while True:
            try:
                await self._async_read()
            except VmListUnavailableError as error:
                logger.bind(error=str(error)).warning("VM list can't be read")
            self._pool.close_expired()
            await sleep(POLL_S)

    async def _async_read(self) -> None:
        """Read the list once."""
        vms = await self._vm_list.async_list()
        entries = [vm for vm in vms if vm.role == ROLE_ENTRY]
        self.entry_vms = [vm.vm_id for vm in entries if vm.state == "live"]
        self._handler.limiter.live_vms = max(1, len(self.entry_vms))
        self._peers.apply_vm_list(entries)
        backends = [vm for vm in vms if vm.role != ROLE_ENTRY]
        for server in self._directory.apply_vm_list(backends):
            self._pool.close_connections(server.vm_id)
        self.has_vm_list = True
