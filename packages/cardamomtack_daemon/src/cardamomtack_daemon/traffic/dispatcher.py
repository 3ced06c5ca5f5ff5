"""Attempts for idempotent requests: retries, and a second attempt beside a slow one."""

from __future__ import annotations

from dataclasses import dataclass

from anyio import create_memory_object_stream, create_task_group, move_on_after, sleep
from anyio.streams.memory import MemoryObjectSendStream

from cardamomtack.admission.budget import ExtraAttemptBudget
from cardamomtack.admission.queue import ServiceAdmission
from cardamomtack.balancing.chooser import ServerChooser
from cardamomtack.balancing.directory import ServiceServers
from cardamomtack.balancing.server import BackendServer
from cardamomtack.helpers.clock import MS_PER_S
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.pool import CONNECTION_IDLE_S_MAX
from cardamomtack_daemon.traffic.call import Call
from cardamomtack_daemon.traffic.const import (
    FREE_ATTEMPTS_MAX,
    HEDGE_LATENCY_FACTOR,
    SERVER_FAILURE_STATUS_MIN,
    SILENCE_LATENCY_FACTOR,
    SILENCE_S_MAX,
    SILENCE_S_MIN,
    SUSPECT_TURN_S,
)
from cardamomtack_daemon.traffic.exchange import (
    AttemptError,
    AttemptFailure,
    Exchange,
    ExchangeContext,
)


@dataclass(slots=True)
class AttemptResult:
    """What one attempt brought.

    Attributes
    ----------
    exchange : Exchange or None
        The attempt; None when no server may get work.
    answer : HttpAnswer or None
        The answer, also when it is a failure of the server.
    failure : AttemptFailure or None
        Why there is no answer.
    """

    exchange: Exchange | None
    answer: HttpAnswer | None = None
    failure: AttemptFailure | None = None

    @property
    def is_good(self) -> bool:
        """Return whether there is an answer that needs no retry."""
        if self.answer is None:
            return False
        return self.answer.status < SERVER_FAILURE_STATUS_MIN


class Dispatcher:
    """Has idempotent requests answered.

    Parameters
    ----------
    context : ExchangeContext
        What all exchanges share.
    chooser : ServerChooser
        Chooses backend servers.
    vm_id : str
        This VM.
    """

    __slots__ = ("_budgets", "_chooser", "_context", "_vm_id")

    def __init__(
        self, context: ExchangeContext, chooser: ServerChooser, vm_id: str
    ) -> None:
        self._vm_id = vm_id
        self._context = context
        self._chooser = chooser
        self._budgets: dict[str, ExtraAttemptBudget] = {}

    def find_budget(self, service: str) -> ExtraAttemptBudget:
        """Return the budget of extra attempts of a service."""
        return self._budgets.setdefault(service, ExtraAttemptBudget())

    def choose_server(self, call: Call) -> BackendServer | None:
        """Return the next server for a request, or None."""
        service = self._context.directory.find_service(call.kind.service.name)
        if self._context.crash_tracker.is_suspected(call.digest):
            apart = self._choose_apart(call, service)
            if apart is not None:
                return apart
        now_s = self._context.clock.read_monotonic_s()
        return self._chooser.choose_server(service, frozenset(call.tried), now_s)

    def _choose_apart(
        self, call: Call, service: ServiceServers
    ) -> BackendServer | None:
        """Return a server that runs no other suspect of a crash, or None.

        Two suspects on one server can't be told apart when it crashes. Each VM has
        an order of its own, so that suspects of two VMs rarely meet.
        """
        crash_tracker = self._context.crash_tracker
        in_flight = self._context.in_flight
        free = {
            server.vm_id: server
            for server in service.eligible
            if server.vm_id not in call.tried
            and not any(
                map(crash_tracker.is_suspected, in_flight.get(server.vm_id, ()))
            )
        }
        if not free:
            return None
        return free[rank_by_rendezvous_hash(self._vm_id, list(free))[0]]

    async def async_dispatch(
        self, call: Call, admission: ServiceAdmission
    ) -> AttemptResult:
        """Return the first good answer, or what the last attempt brought."""
        budget = self.find_budget(call.kind.service.name)
        now_s = self._context.clock.read_monotonic_s()
        budget.earn_share(call.kind.retry_budget_share, now_s)
        attempts = 0
        free_attempts = 0
        while True:
            result = await self._async_attempt(call, budget)
            if result.is_good or result.exchange is None:
                return result
            self._note_shed(call, result, admission)
            if result.failure is AttemptFailure.UNREACHABLE:
                # Nothing was sent, so another try adds no load.
                free_attempts += 1
                if free_attempts < FREE_ATTEMPTS_MAX:
                    continue
                return result
            if result.failure is AttemptFailure.DEADLINE:
                return result
            attempts += 1
            if attempts >= call.kind.attempts_max:
                return result
            await self._async_wait_apart(call, result.exchange)
            if self._context.crash_tracker.is_quarantined(call.digest):
                return result
            if not budget.spend_attempt():
                return result
            # The rest of a long error is not read.
            result.exchange.close()

    async def _async_wait_apart(self, call: Call, failed: Exchange) -> None:
        """Wait for this VM's turn before a suspect of a crash is tried again.

        The VMs take turns, so that the next crash tells whose suspect it was.
        """
        if not self._context.crash_tracker.is_suspected(call.digest):
            return
        turn = self._context.signals.compute_retry_turn(failed.server.vm_id)
        await sleep(min(turn * SUSPECT_TURN_S, max(0.0, self._find_left_s(call))))

    def _note_shed(
        self, call: Call, result: AttemptResult, admission: ServiceAdmission
    ) -> None:
        """Lower the limit of a service that sheds load."""
        answer = result.answer
        if answer is not None and answer.status in call.kind.service.refusal_statuses:
            admission.record_shed(self._context.clock.read_monotonic_s())

    def _find_patience_s(self, call: Call) -> float:
        """Return how long one attempt may go without an answer, in seconds."""
        service = self._context.directory.find_service(call.kind.service.name)
        usual_s = service.usual_latency_s
        if call.kind.hedge_enabled:
            least_s = call.kind.hedge_delay_ms_min / MS_PER_S
            return max(least_s, HEDGE_LATENCY_FACTOR * usual_s)
        silence_s = SILENCE_LATENCY_FACTOR * usual_s
        return min(SILENCE_S_MAX, max(SILENCE_S_MIN, silence_s))

    async def _async_attempt(
        self, call: Call, budget: ExtraAttemptBudget
    ) -> AttemptResult:
        """Make one attempt, and a second one beside it when it is slow."""
        server = self.choose_server(call)
        if server is None:
            return AttemptResult(None)
        call.tried.add(server.vm_id)
        exchange = Exchange(self._context, call, server)
        try:
            answer = await self._async_first_answer(call, exchange)
            if answer is not None:
                return AttemptResult(exchange, answer)
            left_s = self._find_left_s(call)
            with move_on_after(left_s):
                return await self._async_race(call, exchange, budget)
            raise AttemptError(AttemptFailure.DEADLINE)
        except AttemptError as error:
            exchange.close()
            return AttemptResult(exchange, failure=error.failure)
        except BaseException:
            exchange.close()
            raise

    async def _async_first_answer(
        self, call: Call, exchange: Exchange
    ) -> HttpAnswer | None:
        """Return the answer of an attempt, or None when it is slow.

        Raises
        ------
        AttemptError
            When the attempt failed.
        """
        patience_s = min(self._find_patience_s(call), self._find_left_s(call))
        await exchange.async_connect(CONNECTION_IDLE_S_MAX)
        await exchange.async_send()
        answer = await exchange.async_receive_within(patience_s)
        if answer is None:
            exchange.note_silence()
        return answer

    def _find_left_s(self, call: Call) -> float:
        """Return how long the caller still waits, in seconds."""
        return call.deadline_s - self._context.clock.read_monotonic_s()

    async def _async_race(
        self, call: Call, first: Exchange, budget: ExtraAttemptBudget
    ) -> AttemptResult:
        """Return the first good answer of a slow attempt and of one more."""
        second_server = None
        # A request that may have crashed a server is not sent to two at a time.
        if not self._context.crash_tracker.is_suspected(call.digest):
            second_server = self.choose_server(call)
        is_paid = second_server is not None and budget.spend_attempt()
        if second_server is None or not (is_paid or first.is_server_silent):
            return AttemptResult(first, await first.async_receive())
        call.tried.add(second_server.vm_id)
        second = Exchange(self._context, call, second_server)
        if not is_paid:
            # A server that answers nobody runs nothing either, so an attempt that
            # replaces this one adds no load.
            first.close()
            return await self._async_finish_second(second)
        try:
            result = await self._async_take_first(call, first, second)
        except BaseException:
            second.close()
            raise
        for exchange in (first, second):
            if exchange is not result.exchange:
                exchange.close()
        return result

    async def _async_take_first(
        self, call: Call, first: Exchange, second: Exchange
    ) -> AttemptResult:
        """Return the first good result, or the last when none is good."""
        sender, receiver = create_memory_object_stream[AttemptResult](2)
        async with create_task_group() as tasks, sender, receiver:
            tasks.start_soon(self._async_finish_first, first, sender)
            tasks.start_soon(self._async_run_second, call, second, sender)
            result = await receiver.receive()
            if not result.is_good:
                result = await receiver.receive()
            tasks.cancel_scope.cancel()
        return result

    async def _async_finish_first(
        self, exchange: Exchange, results: MemoryObjectSendStream[AttemptResult]
    ) -> None:
        """Wait on for the answer of the slow attempt."""
        try:
            result = AttemptResult(exchange, await exchange.async_receive())
        except AttemptError as error:
            result = AttemptResult(exchange, failure=error.failure)
        results.send_nowait(result)

    async def _async_run_second(
        self,
        call: Call,
        exchange: Exchange,
        results: MemoryObjectSendStream[AttemptResult],
    ) -> None:
        """Make the second attempt beside the first.

        Where it reaches nobody, nothing was sent, so another server takes its place.
        """
        result = await self._async_finish_second(exchange)
        for _ in range(FREE_ATTEMPTS_MAX - 1):
            if result.failure is not AttemptFailure.UNREACHABLE:
                break
            server = self.choose_server(call)
            if server is None:
                break
            call.tried.add(server.vm_id)
            result = await self._async_finish_second(
                Exchange(self._context, call, server)
            )
        results.send_nowait(result)

    async def _async_finish_second(self, exchange: Exchange) -> AttemptResult:
        """Make a second attempt, on a connection that can't have been forgotten."""
        try:
            await exchange.async_connect(CONNECTION_IDLE_S_MAX, fresh=True)
            await exchange.async_send()
            return AttemptResult(exchange, await exchange.async_receive())
        except AttemptError as error:
            return AttemptResult(exchange, failure=error.failure)
        except BaseException:
            exchange.close()
            raise
