"""The VM list."""

from __future__ import annotations

from typing import Protocol

from httpx import AsyncClient, HTTPError
from msgspec import json

from cardamomtack.generated.services import VirtualMachine
from cardamomtack.helpers.decoding import DECODE_ERRORS

TIMEOUT_S = 2.0


class VmListUnavailableError(Exception):
    """The VM list could not be read."""


class VmList(Protocol):
    """Lists the VMs."""

    async def async_list(self) -> list[VirtualMachine]:
        """Return all VMs.

        Raises
        ------
        VmListUnavailableError
            When the list could not be read.
        """


class HttpVmList:
    """The VM list over HTTP.

    Parameters
    ----------
    client : AsyncClient
        HTTP client, owned by the caller.
    url : str
        Base URL.
    """

    __slots__ = ("_client", "_url")

    def __init__(self, client: AsyncClient, url: str) -> None:
        self._client = client
        self._url = f"{url.rstrip('/')}/vms"

    async def async_list(self) -> list[VirtualMachine]:
        """Return all VMs."""
        try:
            response = await self._client.get(self._url, timeout=TIMEOUT_S)
            response.raise_for_status()
            return json.decode(response.content, type=list[VirtualMachine])
        except (HTTPError, *DECODE_ERRORS) as error:
            raise VmListUnavailableError(repr(error)) from error
