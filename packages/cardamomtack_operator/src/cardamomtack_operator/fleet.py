"""Reads the log service, the VM list and the status of the daemons."""

from __future__ import annotations

from dataclasses import dataclass

from anyio import create_task_group
from httpx import AsyncClient, HTTPError
from msgspec import json, msgpack

from cardamomtack.accounts.const import COUNTS_STREAM
from cardamomtack.configuration.const import CONFIGURATION_STREAM
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.generated.records import CountsRecord, LogRecord
from cardamomtack.generated.services import VirtualMachine
from cardamomtack.generated.status import DaemonStatus
from cardamomtack.helpers.decoding import DECODE_ERRORS
from cardamomtack.services.log_service import HttpLogService
from cardamomtack.services.vm_list import HttpVmList
from cardamomtack_operator.const import READ_LIMIT, STATUS_TIMEOUT_S

ROLE_ENTRY = "entry"


@dataclass(slots=True, frozen=True)
class FleetAddresses:
    """Where the platform is.

    Attributes
    ----------
    stream_prefix : str
        Prefix of the names of the streams.
    """

    log_service_url: str
    vm_list_url: str
    stream_prefix: str


@dataclass(slots=True, frozen=True)
class VmStatus:
    """An entry VM and what its daemon says, None when it does not answer."""

    vm: VirtualMachine
    status: DaemonStatus | None


class FleetReader:
    """Reads the state of the fleet.

    Parameters
    ----------
    client : AsyncClient
        HTTP client, owned by the caller.
    addresses : FleetAddresses
        Where the platform is.
    """

    __slots__ = ("_client", "_vm_list", "log")

    def __init__(self, client: AsyncClient, addresses: FleetAddresses) -> None:
        self._client = client
        self.log = HttpLogService(
            client, addresses.log_service_url, addresses.stream_prefix
        )
        self._vm_list = HttpVmList(client, addresses.vm_list_url)

    async def async_read_configuration(self) -> ConfigurationCoordinator:
        """Return all that the log keeps of the configuration.

        Raises
        ------
        LogUnavailableError
            When the log can't be read.
        """
        coordinator = ConfigurationCoordinator("")
        await self.async_follow_configuration(coordinator)
        return coordinator

    async def async_follow_configuration(
        self, coordinator: ConfigurationCoordinator
    ) -> None:
        """Read on to the newest record of the configuration."""
        while True:
            read = await self.log.async_read(
                CONFIGURATION_STREAM, coordinator.fold.folded_to, READ_LIMIT, 0
            )
            if read.has_gap:
                coordinator.skip_expired(read.first_offset)
                continue
            for offset, data in read.records:
                coordinator.apply_record(offset, data)
            if len(read.records) < READ_LIMIT:
                return

    async def async_read_counts(self) -> list[CountsRecord]:
        """Return all totals that the log keeps."""
        records: list[CountsRecord] = []
        offset = 0
        while True:
            read = await self.log.async_read(COUNTS_STREAM, offset, READ_LIMIT, 0)
            offset = read.next_offset
            for _, data in read.records:
                counts = msgpack.decode(data, type=LogRecord).counts
                if counts is not None:
                    records.append(counts)
            if not read.has_gap and len(read.records) < READ_LIMIT:
                return records

    async def async_read_statuses(self) -> list[VmStatus]:
        """Return the status of every entry VM, in the order of their ids."""
        vms = await self._vm_list.async_list()
        entries = [vm for vm in vms if vm.role == ROLE_ENTRY]
        found: dict[str, DaemonStatus | None] = {}

        async def read_one(vm: VirtualMachine) -> None:
            found[vm.vm_id] = await self._async_read_status(vm)

        async with create_task_group() as tasks:
            for vm in entries:
                tasks.start_soon(read_one, vm)
        entries.sort(key=lambda vm: vm.vm_id)
        return [VmStatus(vm, found[vm.vm_id]) for vm in entries]

    async def _async_read_status(self, vm: VirtualMachine) -> DaemonStatus | None:
        """Return the status of one VM, or None when it does not answer."""
        url = f"http://{vm.address}:{vm.admin_port}/status"
        try:
            response = await self._client.get(url, timeout=STATUS_TIMEOUT_S)
            return json.decode(response.content, type=DaemonStatus)
        except (HTTPError, *DECODE_ERRORS):
            return None
