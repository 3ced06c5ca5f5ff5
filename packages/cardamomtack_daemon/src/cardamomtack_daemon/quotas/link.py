"""The stream to one holder: requests tokens, and reports unused ones.

Requests of one iteration of the event loop go in one message. While the holder does not
answer, no request waits for it; it is tried again in the background.
"""

from __future__ import annotations

from collections import OrderedDict

from anyio import (
    CancelScope,
    Event,
    connect_tcp,
    create_task_group,
    fail_after,
    move_on_after,
    sleep,
)
from anyio.abc import SocketStream
from loguru import logger

from cardamomtack.generated.quota import (
    QuotaMessage,
    TokenAnswer,
    TokenAsk,
    TokenReport,
    TokenWant,
)
from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import Clock
from cardamomtack.quotas.const import TOKEN_VALID_S
from cardamomtack.quotas.demand import DemandMeter
from cardamomtack.quotas.rule import Quota
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    PeerProtocolError,
    encode_frame,
)
from cardamomtack_daemon.quotas.checks import check_answer
from cardamomtack_daemon.quotas.const import (
    BACKOFF_S_MAX,
    BACKOFF_S_MIN,
    COUNT_MAX,
    DIAL_TIMEOUT_S,
    FRAME_BYTES_MAX,
    LINK_IDLE_S,
    METERS_MAX,
    SILENCE_S_MAX,
    WANTS_MAX,
)
from cardamomtack_daemon.quotas.wants import PendingWant, SpareTokens, Waiter


class HolderLink:
    """Asks one holder for tokens.

    Parameters
    ----------
    member : Member
        The holder.
    clock : Clock
        Tells the time.

    Attributes
    ----------
    is_suspect : bool
        Whether it did not answer in time; no request waits for it then.
    is_ended : bool
        Whether nothing more may be asked on it.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_is_check_due",
        "_meters",
        "_number",
        "_pending",
        "_scope",
        "_sent",
        "_spare",
        "_suspected",
        "_unused",
        "_used_at_s",
        "_waiting",
        "_waiting_changes",
        "is_ended",
        "is_suspect",
        "member",
    )

    def __init__(self, member: Member, clock: Clock) -> None:
        self._changed = Event()
        self._clock = clock
        self._suspected = Event()
        self._waiting: dict[str, int] = {}
        self._waiting_changes: set[str] = set()
        self._meters: OrderedDict[str, DemandMeter] = OrderedDict()
        self._number = 0
        self._pending: dict[str, PendingWant] = {}
        self._scope = CancelScope()
        self._sent: dict[int, list[PendingWant]] = {}
        self._spare = SpareTokens(clock)
        self._is_check_due = False
        self._unused: dict[str, int] = {}
        self._used_at_s = clock.read_monotonic_s()
        self.is_suspect = False
        self.is_ended = False
        self.member = member

    def take_spare(self, name: str) -> float | None:
        """Record a request; return when a token was asked for that it may use now."""
        now_s = self._clock.read_monotonic_s()
        self._used_at_s = now_s
        meter = self._meters.get(name)
        if meter is None:
            meter = DemandMeter(now_s)
            self._meters[name] = meter
            if len(self._meters) > METERS_MAX:
                self._meters.popitem(last=False)
        self._meters.move_to_end(name)
        meter.record_request(now_s)
        return self._spare.take(name)

    def ask(self, name: str, quota: Quota, key: int, left_s: float) -> Waiter | None:
        """Ask for a token, together with the other requests of this iteration.

        Returns
        -------
        Future or None
            What tells the result, or None when too many ask.
        """
        want = self._pending.get(name)
        if want is None:
            if len(self._pending) >= WANTS_MAX:
                return None
            want = PendingWant(name, quota, self._clock.read_boot_s())
            self._pending[name] = want
        if want.is_full():
            return None
        self._changed.set()
        return want.add(key, left_s)

    def give_back(self, name: str, count: int) -> None:
        """Give back tokens that are not used."""
        if name in self._unused or len(self._unused) < WANTS_MAX:
            known = self._unused.get(name, 0)
            self._unused[name] = min(COUNT_MAX, known + count)
            self._changed.set()

    def change_waiting(self, name: str, change: int) -> None:
        """Change the number of admitted requests that still wait for a server."""
        waiting = max(0, self._waiting.get(name, 0) + change)
        if waiting:
            self._waiting[name] = waiting
        else:
            self._waiting.pop(name, None)
        self._waiting_changes.add(name)
        self._changed.set()

    def mark_suspect(self) -> None:
        """Record that the holder did not answer in time."""
        if not self.is_suspect:
            logger.bind(holder=self.member.vm_id).info(
                "holder of quotas does not answer"
            )
        self.is_suspect = True
        self._suspected.set()

    def end(self) -> None:
        """End the link."""
        self.is_ended = True
        self._scope.cancel()

    async def async_run(self) -> None:
        """Keep a connection while it is used."""
        backoff_s = BACKOFF_S_MIN
        try:
            with self._scope:
                while self._is_used():
                    if await self._async_connect():
                        backoff_s = BACKOFF_S_MIN
                    self._fail_all()
                    if not self.is_suspect:
                        continue
                    await sleep(backoff_s)
                    backoff_s = min(BACKOFF_S_MAX, 2.0 * backoff_s)
        finally:
            self.is_ended = True
            self._fail_all()

    def _is_used(self) -> bool:
        """Return whether it was asked for lately."""
        return self._clock.read_monotonic_s() - self._used_at_s < LINK_IDLE_S

    def _fail_all(self) -> None:
        """Leave all waiting requests without a decision."""
        wants = [*self._pending.values()]
        wants += [want for sent in self._sent.values() for want in sent]
        self._pending.clear()
        self._sent.clear()
        self._unused.clear()
        for want in wants:
            want.fail()

    async def _async_connect(self) -> bool:
        """Ask on a stream until it ends, and return whether it was answered on it."""
        stream: SocketStream | None = None
        member = self.member
        try:
            with move_on_after(DIAL_TIMEOUT_S):
                stream = await connect_tcp(member.address, member.quota_port)
        except OSError as error:
            logger.bind(holder=member.vm_id, error=repr(error)).debug(
                "holder of quotas can't be reached"
            )
        if stream is None:
            self.mark_suspect()
            return False
        self._waiting_changes.update(self._waiting)
        number = self._number
        messages = MessageStream(stream, QuotaMessage, FRAME_BYTES_MAX)
        try:
            async with stream, create_task_group() as tasks:
                # An empty request checks whether a suspect holder answers again.
                self._is_check_due = self.is_suspect
                self._changed.set()
                tasks.start_soon(self._async_write, messages)
                tasks.start_soon(self._async_watch)
                tasks.start_soon(self._async_collect)
                await self._async_read(messages)
                tasks.cancel_scope.cancel()
        except* STREAM_ERRORS as group:
            error_text = repr(group.exceptions[0])
            logger.bind(holder=member.vm_id, error=error_text).info(
                "stream to holder of quotas ended"
            )
            self.mark_suspect()
        return self._number > number and not self.is_suspect

    async def _async_read(self, messages: MessageStream[QuotaMessage]) -> None:
        """Take answers while the link is used."""
        while self._is_used():
            message: QuotaMessage | None = None
            with move_on_after(LINK_IDLE_S):
                message = await messages.async_receive(None)
            if message is not None and message.answer is not None:
                self._take_answer(message.answer)

    def _take_answer(self, answer: TokenAnswer) -> None:
        """Pass what was granted to the waiting requests.

        Raises
        ------
        PeerProtocolError
            When it answers something else.
        """
        wants = self._sent.pop(answer.number, None)
        if wants is None:
            raise PeerProtocolError("answer to no request")
        check_answer(answer, [len(want.waiters) for want in wants])
        self.is_suspect = False
        for want, grant in zip(wants, answer.grants, strict=True):
            left = want.resolve(grant)
            if left:
                self._spare.add(want.name, left, want.asked_at_s)

    async def _async_write(self, messages: MessageStream[QuotaMessage]) -> None:
        """Write requests and reports, in one message for each iteration."""
        while True:
            await self._changed.wait()
            self._changed = Event()
            ask = self._compose()
            if ask is not None:
                await messages.async_send_frame(encode_frame(QuotaMessage(ask=ask)))

    def _compose(self) -> TokenAsk | None:
        """Return the next message, or None when there is nothing to send."""
        wants: list[TokenWant] = []
        sent: list[PendingWant] = []
        for want in self._pending.values():
            want.drop_gone()
            if want.waiters:
                wants.append(want.write(self._count_spare(want.name)))
                sent.append(want)
        self._pending.clear()
        names = [*self._unused, *self._waiting_changes.difference(self._unused)]
        reports = [
            TokenReport(
                name,
                unused=self._unused.get(name, 0),
                waiting=min(COUNT_MAX, self._waiting.get(name, 0))
                if name in self._waiting_changes
                else -1,
            )
            for name in names[:WANTS_MAX]
        ]
        for report in reports:
            self._unused.pop(report.name, None)
            self._waiting_changes.discard(report.name)
        if not wants and not reports and not self._is_check_due:
            return None
        self._is_check_due = False
        self._number += 1
        self._sent[self._number] = sent
        return TokenAsk(self._number, wants, reports)

    def _count_spare(self, name: str) -> int:
        """Return how many tokens to ask for in advance."""
        meter = self._meters.get(name)
        if meter is None:
            return 0
        now_s = self._clock.read_monotonic_s()
        return meter.count_in_advance(self._spare.count(name), now_s)

    async def _async_watch(self) -> None:
        """Close a stream whose holder does not answer.

        Raises
        ------
        TimeoutError
            When it has not answered for too long.
        """
        while True:
            await self._suspected.wait()
            self._suspected = Event()
            with fail_after(SILENCE_S_MAX):
                while self.is_suspect:
                    await sleep(SILENCE_S_MAX / 10.0)

    async def _async_collect(self) -> None:
        """Give back the tokens that become void."""
        while True:
            await sleep(TOKEN_VALID_S / 2.0)
            for name, count in self._spare.collect_void().items():
                self.give_back(name, count)
