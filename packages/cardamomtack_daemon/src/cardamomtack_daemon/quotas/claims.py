"""Claims workspaces from their former holders."""

from __future__ import annotations

from anyio import connect_tcp, create_task_group, fail_after, sleep
from loguru import logger

from cardamomtack.generated.quota import HolderClaim, QuotaMessage
from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import Clock
from cardamomtack.quotas.holders import HolderTable
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    encode_frame,
)
from cardamomtack_daemon.quotas.const import (
    BACKOFF_S_MAX,
    CLAIM_CHECK_S,
    CLAIM_TIMEOUT_S,
    FRAME_BYTES_MAX,
)


class HolderClaims:
    """Claims workspaces until all former holders have confirmed.

    Parameters
    ----------
    holders : HolderTable
        Knows what is to be claimed.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_holders", "_pauses")

    def __init__(self, holders: HolderTable, clock: Clock) -> None:
        self._clock = clock
        self._holders = holders
        self._pauses: dict[str, tuple[float, float]] = {}

    async def async_claim(self) -> None:
        """Claim what is gained, until cancelled."""
        while True:
            now_s = self._clock.read_monotonic_s()
            self._holders.refresh(now_s)
            claims = self._holders.list_claims(now_s)
            waiting = {member.vm_id for member in claims}
            for vm_id in self._pauses.keys() - waiting:
                del self._pauses[vm_id]
            async with create_task_group() as tasks:
                for member in claims:
                    if self._is_due(member.vm_id, now_s):
                        tasks.start_soon(self._async_claim_from, member)
            await sleep(CLAIM_CHECK_S)

    def _is_due(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM is tried now; pauses grow while it does not answer."""
        due_at_s, pause_s = self._pauses.get(vm_id, (now_s, CLAIM_CHECK_S))
        if now_s < due_at_s:
            return False
        self._pauses[vm_id] = now_s + pause_s, min(BACKOFF_S_MAX, 2.0 * pause_s)
        return True

    async def _async_claim_from(self, member: Member) -> None:
        """Claim from one VM, and record its confirmation."""
        view = self._holders.view
        claim = HolderClaim(*self._holders.run, list(view.vm_ids))
        try:
            with fail_after(CLAIM_TIMEOUT_S):
                stream = await connect_tcp(member.address, member.quota_port)
                async with stream:
                    messages = MessageStream(stream, QuotaMessage, FRAME_BYTES_MAX)
                    frame = encode_frame(QuotaMessage(claim=claim))
                    await messages.async_send_frame(frame)
                    message = await messages.async_receive(CLAIM_TIMEOUT_S)
        except STREAM_ERRORS as error:
            logger.bind(vm=member.vm_id, error=repr(error)).debug(
                "former holder of quotas has not confirmed"
            )
            return
        confirmation = message.confirmation
        if confirmation is not None and confirmation.vm_id == member.vm_id:
            self._holders.record_confirmed(
                member.vm_id,
                confirmation.others,
                view,
                self._clock.read_monotonic_s(),
            )
