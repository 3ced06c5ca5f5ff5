"""Grants tokens of the workspaces that this VM holds to other VMs."""

from __future__ import annotations

from math import ceil

from anyio.abc import Listener, SocketStream
from loguru import logger

from cardamomtack.generated.quota import (
    ClaimConfirmation,
    GrantedTokens,
    HolderClaim,
    QuotaMessage,
    TokenAnswer,
    TokenAsk,
    TokenWant,
)
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.quotas.bucket import TokenDemand
from cardamomtack.quotas.holders import HolderTable, HolderView
from cardamomtack.quotas.ledger import QuotaLedger
from cardamomtack.quotas.rule import Quota
from cardamomtack_daemon.peers.accepting import async_accept
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    encode_frame,
)
from cardamomtack_daemon.quotas.checks import check_ask, check_claim
from cardamomtack_daemon.quotas.const import (
    CONNECTIONS_MAX,
    FRAME_BYTES_MAX,
    RETRY_S_MAX,
    STREAM_IDLE_S,
)


class QuotaServer:
    """Answers the VMs that ask for tokens.

    Parameters
    ----------
    ledger : QuotaLedger
        The buckets.
    holders : HolderTable
        Knows which VM holds a workspace.
    clock : Clock
        Tells the time.
    """

    __slots__ = ("_clock", "_connections", "_holders", "_ledger")

    def __init__(self, ledger: QuotaLedger, holders: HolderTable, clock: Clock) -> None:
        self._clock = clock
        self._connections = 0
        self._holders = holders
        self._ledger = ledger

    async def async_serve(self, listener: Listener[SocketStream]) -> None:
        """Serve other VMs until cancelled."""
        await async_accept(listener, self._async_serve_peer)

    async def _async_serve_peer(self, stream: SocketStream) -> None:
        """Serve one VM until its stream ends."""
        messages = MessageStream(stream, QuotaMessage, FRAME_BYTES_MAX)
        self._connections += 1
        try:
            async with stream:
                while self._connections <= CONNECTIONS_MAX:
                    message = await messages.async_receive(STREAM_IDLE_S)
                    answer = self._handle(message, messages)
                    if answer is not None:
                        await messages.async_send_frame(encode_frame(answer))
        except STREAM_ERRORS as error:
            logger.bind(error=repr(error)).debug("stream of a VM that asks has ended")
        finally:
            self._connections -= 1
            self._ledger.remove_source(messages, self._clock.read_monotonic_s())

    def _handle(self, message: QuotaMessage, source: object) -> QuotaMessage | None:
        """Return the answer to a message; None for one of another kind.

        Raises
        ------
        PeerProtocolError
            When a value lies out of its range.
        """
        if message.ask is not None:
            return QuotaMessage(answer=self._answer(message.ask, source))
        if message.claim is not None:
            return QuotaMessage(confirmation=self._confirm(message.claim))
        return None

    def _answer(self, ask: TokenAsk, source: object) -> TokenAnswer:
        """Apply reports, and grant available tokens."""
        check_ask(ask)
        now_s = self._clock.read_monotonic_s()
        for report in ask.reports:
            self._ledger.refund(report.name, report.unused)
            if report.waiting >= 0:
                self._ledger.record_waiting(report.name, source, report.waiting, now_s)
        return TokenAnswer(ask.number, [self._grant(want, now_s) for want in ask.wants])

    def _grant(self, want: TokenWant, now_s: float) -> GrantedTokens:
        """Grant the tokens of one workspace, or name its holder."""
        tenure = self._holders.find(want.name, now_s)
        if tenure.began_at_s is None:
            return GrantedTokens(holder_id=tenure.holder_id)
        grant = self._ledger.take(
            want.name,
            Quota(want.rate_per_s, want.burst, want.version),
            TokenDemand(want.keys, want.spare, want.left_ms / MS_PER_S),
            tenure.began_at_s,
            now_s,
        )
        if grant is None:
            return GrantedTokens(holder_id="")
        return GrantedTokens(
            [_round_up_ms(one) for one in grant.retries_s], grant.spare
        )

    def _confirm(self, claim: HolderClaim) -> ClaimConfirmation:
        """Record the claim of a VM, and confirm it."""
        check_claim(claim)
        now_s = self._clock.read_monotonic_s()
        view = HolderView(claim.incarnation, tuple(claim.holder_ids))
        others = self._holders.record_claim(claim.vm_id, view, now_s)
        return ClaimConfirmation(self._holders.run[0], others)


def _round_up_ms(retry_s: float) -> int:
    """Return a time to come back in milliseconds; 0 stays 0, and means a token."""
    return ceil(min(RETRY_S_MAX, retry_s) * MS_PER_S)
