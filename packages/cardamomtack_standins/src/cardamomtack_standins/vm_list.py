"""Stand-in of the VM list."""

from __future__ import annotations

from msgspec import json

from cardamomtack.generated.services import VirtualMachine
from cardamomtack_standins.asgi import ServiceReply, ServiceRequest


class VmListStandIn:
    """Lists the VMs that it was told.

    Parameters
    ----------
    vms : list of VirtualMachine
        The list at the start.
    """

    __slots__ = ("is_out", "vms")

    def __init__(self, vms: list[VirtualMachine]) -> None:
        self.vms = vms
        self.is_out = False

    async def async_answer(self, request: ServiceRequest) -> ServiceReply:
        """Return the list, or take a new one."""
        if request.path == "/faults":
            self.is_out = json.decode(request.body, type=dict[str, bool])["is_out"]
            return ServiceReply(200, b"{}")
        if request.path != "/vms":
            return ServiceReply(404)
        if request.method == "PUT":
            self.vms = json.decode(request.body, type=list[VirtualMachine])
            return ServiceReply(200, b"{}")
        if self.is_out:
            return ServiceReply(503)
        return ServiceReply(200, json.encode(self.vms))
