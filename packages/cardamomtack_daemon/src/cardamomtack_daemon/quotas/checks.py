"""Checks messages of other VMs before anything is computed with them."""

from __future__ import annotations

from cardamomtack.generated.quota import (
    HolderClaim,
    TokenAnswer,
    TokenAsk,
    TokenReport,
    TokenWant,
)
from cardamomtack.helpers.decoding import TEXT_LENGTH_MAX, is_count, is_token
from cardamomtack.quotas.rule import Quota
from cardamomtack_daemon.peers.stream import PeerProtocolError
from cardamomtack_daemon.quotas.const import (
    COUNT_MAX,
    HOLDERS_MAX,
    QUOTA_KEY_BYTES,
    WANTS_MAX,
)


def check_ask(ask: TokenAsk) -> None:
    """Check a message that asks for tokens.

    Raises
    ------
    PeerProtocolError
        When a value lies out of its range.
    """
    is_sound = len(ask.wants) <= WANTS_MAX and len(ask.reports) <= WANTS_MAX
    is_sound = is_sound and all(_is_want_sound(want) for want in ask.wants)
    if not is_sound or not all(_is_report_sound(report) for report in ask.reports):
        raise PeerProtocolError("invalid request for tokens")


def check_answer(answer: TokenAnswer, counts: list[int]) -> None:
    """Check the answer to wants with some numbers of requests.

    Raises
    ------
    PeerProtocolError
        When a value lies out of its range.
    """
    if len(answer.grants) != len(counts):
        raise PeerProtocolError("answer to other requests for tokens")
    for grant, count in zip(answer.grants, counts, strict=True):
        if grant.holder_id is None and len(grant.retries_ms) != count:
            raise PeerProtocolError("answer to other requests of a workspace")
        if not all(is_count(retry_ms) for retry_ms in grant.retries_ms):
            raise PeerProtocolError("invalid retry time")
        if not 0 <= grant.spare <= COUNT_MAX:
            raise PeerProtocolError("invalid number of tokens")


def check_claim(claim: HolderClaim) -> None:
    """Check the claim of a VM.

    Raises
    ------
    PeerProtocolError
        When it names no VM.
    """
    if not is_token(claim.vm_id) or not is_token(claim.incarnation):
        raise PeerProtocolError("invalid name of a VM")
    if len(claim.holder_ids) > HOLDERS_MAX or not all(map(is_token, claim.holder_ids)):
        raise PeerProtocolError("invalid list of holders")


def _is_name_sound(name: str) -> bool:
    """Return whether a text may name a workspace."""
    return 0 < len(name) <= TEXT_LENGTH_MAX


def _is_want_sound(want: TokenWant) -> bool:
    """Return whether a want can be computed with."""
    quota = Quota(want.rate_per_s, want.burst, want.version)
    return (
        _is_name_sound(want.name)
        and quota.is_sound
        and quota.rate_per_s > 0
        and len(want.keys) <= COUNT_MAX
        and all(0 <= key < 1 << 8 * QUOTA_KEY_BYTES for key in want.keys)
        and 0 <= want.spare <= COUNT_MAX
        and is_count(want.left_ms)
    )


def _is_report_sound(report: TokenReport) -> bool:
    """Return whether a report can be computed with."""
    return (
        _is_name_sound(report.name)
        and 0 <= report.unused <= COUNT_MAX
        and -1 <= report.waiting <= COUNT_MAX
    )
