"""Non-idempotent requests: claimed, then dispatched at most once."""

from __future__ import annotations

from random import Random
from typing import Protocol

from anyio import Event, move_on_after
from anyio.abc import TaskGroup

from cardamomtack.claims.const import CLAIM_ID_BYTES
from cardamomtack.claims.coordinator import ClaimCoordinator
from cardamomtack.claims.local_claim import ClaimState, LocalClaim
from cardamomtack.claims.table import KeyEntry, KeyOutcome
from cardamomtack.generated.records import Claim
from cardamomtack.helpers.clock import Clock
from cardamomtack.util.digests import digest_parts
from cardamomtack_daemon.http1.client import BrokenAnswerError
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.problems import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    build_problem,
)
from cardamomtack_daemon.pool import RECENT_USE_S
from cardamomtack_daemon.traffic.answer_cache import AnswerCache, mark_replayed
from cardamomtack_daemon.traffic.call import Call
from cardamomtack_daemon.traffic.const import DEADLINE_MARGIN_S, RETRY_AFTER_S
from cardamomtack_daemon.traffic.dispatcher import Dispatcher
from cardamomtack_daemon.traffic.exchange import (
    AttemptError,
    AttemptFailure,
    Exchange,
    ExchangeContext,
)

ATTEMPTS_MAX = 4


class ClaimAppender(Protocol):
    """Appends the claims that the coordinator gathers."""

    def wake(self) -> None:
        """Look for claims to append."""


class AnswerFinder(Protocol):
    """Asks other VMs for answers that they keep."""

    async def async_fetch_answer(
        self, incarnation: str, claim_id: bytes
    ) -> HttpAnswer | None:
        """Return the answer that a VM incarnation keeps for a claim, or None."""


class KeyedRun:
    """The run of one key on this VM, shared by all its sends.

    Attributes
    ----------
    answer : HttpAnswer or None
        The answer for every send, once there is one.
    """

    __slots__ = ("answer", "done", "request_digest")

    def __init__(self, request_digest: bytes) -> None:
        self.request_digest = request_digest
        self.answer: HttpAnswer | None = None
        self.done = Event()

    def settle(self, answer: HttpAnswer) -> None:
        """Give every send its answer."""
        self.answer = answer
        self.done.set()


class KeyedDispatcher:
    """Has non-idempotent requests run at most once.

    Parameters
    ----------
    context : ExchangeContext
        What all exchanges share.
    dispatcher : Dispatcher
        Chooses servers.
    claims : ClaimCoordinator
        The claims of the fleet.
    answers : AnswerCache
        Answers that may be given again.
    clock : Clock
        Tells the time.
    random : Random
        Source of claim ids.
    """

    __slots__ = (
        "_answers",
        "_claims",
        "_clock",
        "_context",
        "_dispatcher",
        "_random",
        "_runs",
        "appender",
        "finder",
        "tasks",
    )

    def __init__(
        self,
        context: ExchangeContext,
        dispatcher: Dispatcher,
        claims: ClaimCoordinator,
        answers: AnswerCache,
        clock: Clock,
        random: Random,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._claims = claims
        self._answers = answers
        self._clock = clock
        self._random = random
        self._runs: dict[bytes, KeyedRun] = {}
        self.appender: ClaimAppender | None = None
        self.finder: AnswerFinder | None = None
        self.tasks: TaskGroup | None = None

    @property
    def running(self) -> int:
        """Return how many keys run on this VM now."""
        return len(self._runs)

    async def async_dispatch(self, call: Call, key_digest: bytes) -> HttpAnswer:
        """Return the answer to one send of a key."""
        run = self._runs.get(key_digest)
        if run is None:
            refusal = self._claims.get_refusal()
            if refusal is not None:
                return build_problem(503, refusal.value, OUTCOME_NOT_RUN, RETRY_AFTER_S)
            run = self._start_run(call, key_digest)
        elif run.request_digest != call.digest:
            return _write_key_reused()
        left_s = call.deadline_s - self._clock.read_monotonic_s()
        with move_on_after(left_s + DEADLINE_MARGIN_S):
            await run.done.wait()
        if run.answer is not None:
            return run.answer
        return build_problem(409, "the key is still in flight", OUTCOME_UNKNOWN)

    def _start_run(self, call: Call, key_digest: bytes) -> KeyedRun:
        """Start the run of a key; it goes on when its caller goes away."""
        run = KeyedRun(call.digest)
        self._runs[key_digest] = run
        if self.tasks is None:
            raise RuntimeError("the daemon is not running")
        self.tasks.start_soon(self._async_run, run, call, key_digest)
        return run

    async def _async_run(self, run: KeyedRun, call: Call, key_digest: bytes) -> None:
        """Run one key and settle all its sends."""
        try:
            run.settle(await self._async_answer(call, key_digest))
        finally:
            del self._runs[key_digest]

    async def _async_answer(self, call: Call, key_digest: bytes) -> HttpAnswer:
        """Return the answer of another run of the key, or run it."""
        entry = self._claims.find_entry(key_digest)
        if entry is None:
            own = self._open_claim(call, key_digest)
            settled = await self._async_settle_claim(call, own)
            if settled is not ClaimState.LOST:
                return await self._async_run_claim(call, own)
            entry = self._claims.find_entry(key_digest)
        if entry is None:
            # The owner gave the key up after this claim had lost against it.
            return build_problem(
                409, "another send of the key was given up", OUTCOME_NOT_RUN
            )
        return await self._async_await_owner(call, key_digest, entry)

    def _open_claim(self, call: Call, key_digest: bytes) -> _SettlingClaim:
        """Put a claim into the next append."""
        changed = Event()
        claim = Claim(
            self._random.randbytes(CLAIM_ID_BYTES),
            key_digest,
            call.digest,
            self._clock.read_epoch_ms(),
        )
        own = self._claims.open_claim(claim, call.deadline_s, changed.set)
        if self.appender is not None:
            self.appender.wake()
        return _SettlingClaim(own, changed)

    async def _async_settle_claim(
        self, call: Call, settling: _SettlingClaim
    ) -> ClaimState:
        """Wait until the log has settled a claim, at most to the deadline."""
        left_s = call.deadline_s - self._clock.read_monotonic_s()
        with move_on_after(max(0.0, left_s)):
            await settling.changed.wait()
        return settling.own.state

    async def _async_run_claim(
        self, call: Call, settling: _SettlingClaim
    ) -> HttpAnswer:
        """Dispatch an owned claim, or abandon one whose fate is unknown."""
        own = settling.own
        refused: HttpAnswer | None = None
        for _ in range(ATTEMPTS_MAX):
            server = self._dispatcher.choose_server(call)
            if server is None or own.state is not ClaimState.OWNED:
                break
            call.tried.add(server.vm_id)
            exchange = Exchange(self._context, call, server)
            try:
                await exchange.async_connect(RECENT_USE_S)
            except AttemptError:
                continue
            if not own.begin_dispatch(self._clock.read_monotonic_s()):
                exchange.close()
                break
            refused = await self._async_send(call, own, exchange)
            if own.is_finished:
                return refused
        self._claims.abandon_claim(own)
        self._wake_appender()
        if refused is not None:
            return build_problem(
                503, "backend servers refused", OUTCOME_NOT_RUN, RETRY_AFTER_S
            )
        return self._write_not_dispatched(call)

    def _write_not_dispatched(self, call: Call) -> HttpAnswer:
        """Return the answer to a request that was never sent to a server."""
        if self._clock.read_monotonic_s() >= call.deadline_s:
            detail = "the claim was not settled before the deadline"
        else:
            detail = "no backend server could be reached"
        return build_problem(503, detail, OUTCOME_NOT_RUN, RETRY_AFTER_S)

    async def _async_send(
        self, call: Call, own: LocalClaim, exchange: Exchange
    ) -> HttpAnswer:
        """Send a dispatched claim and note its outcome.

        The claim is owned again afterwards when the server proved that it did not
        run the request, and finished otherwise.
        """
        answer: HttpAnswer | None = None
        failure = AttemptFailure.BROKEN
        left_s = call.deadline_s - self._clock.read_monotonic_s()
        try:
            with move_on_after(left_s):
                await exchange.async_send()
                answer = await self._async_receive_whole(exchange)
        except AttemptError as error:
            failure = error.failure
        except BrokenAnswerError:
            failure = AttemptFailure.BROKEN
        finally:
            exchange.close()
        if answer is None:
            self._finish(own, None, None)
            return self._write_unknown(call, failure)
        if answer.status in call.kind.service.refusal_statuses:
            own.revert_dispatch()
            return answer
        self._finish(own, True, answer)
        return answer

    async def _async_receive_whole(self, exchange: Exchange) -> HttpAnswer:
        """Receive an answer with all of its body."""
        answer = await exchange.async_receive()
        parts = [answer.body]
        while not answer.is_whole:
            part = await exchange.async_receive_more()
            if part is None:
                answer.is_whole = True
            else:
                parts.append(part)
        answer.body = b"".join(parts)
        return answer

    def _finish(
        self, own: LocalClaim, ran: bool | None, answer: HttpAnswer | None
    ) -> None:
        """Note the outcome of a claim and keep its answer."""
        digest = digest_parts(answer.body) if answer is not None else b""
        self._claims.finish_claim(own, ran, digest)
        if answer is not None:
            self._answers.store_answer(own.claim.claim_id, answer)
        self._wake_appender()

    def _wake_appender(self) -> None:
        """Have abandonments and outcomes appended."""
        if self.appender is not None:
            self.appender.wake()

    def _write_unknown(self, call: Call, failure: AttemptFailure) -> HttpAnswer:
        """Return the answer to a request that may have run."""
        if self._clock.read_monotonic_s() >= call.deadline_s:
            return build_problem(504, "no answer before the deadline", OUTCOME_UNKNOWN)
        return build_problem(502, failure.value, OUTCOME_UNKNOWN)

    async def _async_await_owner(
        self, call: Call, key_digest: bytes, entry: KeyEntry
    ) -> HttpAnswer:
        """Wait for the outcome of the owner and give its answer again."""
        if entry.request_digest != call.digest:
            return _write_key_reused()
        while entry.outcome is KeyOutcome.PENDING:
            changed = Event()
            self._claims.watch_key(key_digest, changed.set)
            left_s = call.deadline_s - self._clock.read_monotonic_s()
            if left_s <= 0:
                return build_problem(
                    409, "the key is in flight elsewhere", OUTCOME_UNKNOWN
                )
            with move_on_after(left_s):
                await changed.wait()
            current = self._claims.find_entry(key_digest)
            if current is None:
                return build_problem(
                    409, "another send of the key was given up", OUTCOME_NOT_RUN
                )
            entry = current
        return await self._async_replay(entry)

    async def _async_replay(self, entry: KeyEntry) -> HttpAnswer:
        """Give the answer of an owner again, if a VM still keeps it."""
        answer = self._answers.get_answer(entry.claim_id)
        if answer is None and self.finder is not None:
            answer = await self.finder.async_fetch_answer(
                entry.incarnation, entry.claim_id
            )
        if answer is not None:
            return mark_replayed(answer)
        detail = "the key was used; its answer is not kept any more"
        return build_problem(409, detail, OUTCOME_UNKNOWN)


class _SettlingClaim:
    """A claim and the event of its settling."""

    __slots__ = ("changed", "own")

    def __init__(self, own: LocalClaim, changed: Event) -> None:
        self.own = own
        self.changed = changed


def _write_key_reused() -> HttpAnswer:
    """Return the refusal of a key that was used for another request."""
    return build_problem(
        422, "Idempotency-Key was used for another request", OUTCOME_NOT_RUN
    )
