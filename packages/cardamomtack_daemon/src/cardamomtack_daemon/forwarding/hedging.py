"""Sends of a call: one, and a second one beside it when its answer is late."""

from __future__ import annotations

from asyncio import CancelledError
from collections.abc import Callable
from math import inf

from anyio import create_task_group

from cardamomtack.helpers.clock import Clock
from cardamomtack.placing.budget import RetryBudget
from cardamomtack.placing.const import HEDGE_BUDGET_SHARE
from cardamomtack.placing.hedging import (
    choose_hedge_delay_s,
    choose_soft_failure_delay_s,
)
from cardamomtack.placing.server import is_near_capacity
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack_daemon.forwarding.attempt import RequestSender, ServerSend
from cardamomtack_daemon.forwarding.call import ForwardedCall
from cardamomtack_daemon.forwarding.departure import Departure
from cardamomtack_daemon.forwarding.outcome import SendOutcome, SendResult
from cardamomtack_daemon.forwarding.placer import Placer
from cardamomtack_daemon.forwarding.prober import ProbedServer

OUTCOMES_BEST_FIRST = (
    SendOutcome.ANSWERED,
    SendOutcome.FAILED,
    SendOutcome.BROKEN,
    SendOutcome.OVERDUE,
    SendOutcome.NOT_RUN,
)
"""Of two sends; one that proved not to have run says nothing of the other."""


class HedgedSender:
    """Sends calls, and learns from the time that their answers take.

    Parameters
    ----------
    sender : RequestSender
        Sends to servers.
    placer : Placer
        Finds servers for second sends.
    crash_tracker : CrashTracker
        Requests that may crash servers.
    find_budget : callable
        Returns the budget of further sends to a service.
    clock : Clock
        Tells the time.
    departure : Departure
        Knows when this VM ends.
    """

    __slots__ = (
        "_clock",
        "_crash_tracker",
        "_departure",
        "_find_budget",
        "_placer",
        "_sender",
    )

    def __init__(
        self,
        sender: RequestSender,
        placer: Placer,
        crash_tracker: CrashTracker,
        find_budget: Callable[[str], RetryBudget],
        clock: Clock,
        departure: Departure,
    ) -> None:
        self._clock = clock
        self._departure = departure
        self._find_budget = find_budget
        self._crash_tracker = crash_tracker
        self._placer = placer
        self._sender = sender

    async def async_send(self, call: ForwardedCall, probed: ProbedServer) -> SendResult:
        """Send a call once, and once more beside it when its answer is late."""
        first = self._open_send(call, probed)
        try:
            if not call.body.has_one_part:
                return await self._async_send_long(first)
            result = await first.async_exchange(choose_hedge_delay_s(first.estimate_s))
            if result is None:
                result = await self._async_hedge(call, first)
            else:
                self._learn(first, result)
        except CancelledError:
            first.give_up_rest()
            raise
        finally:
            first.close()
        return result

    async def _async_send_long(self, send: ServerSend) -> SendResult:
        """Send a call while its body still arrives; an early answer ends the body."""
        async with create_task_group() as tasks:
            tasks.start_soon(send.async_send_body)
            result = await send.async_exchange(inf)
            tasks.cancel_scope.cancel()
        result = result or SendResult(SendOutcome.OVERDUE)
        self._learn(send, result)
        return result

    async def _async_hedge(self, call: ForwardedCall, first: ServerSend) -> SendResult:
        """Wait on for a late answer, with a second send beside it where that pays."""
        probed = await self._async_place_hedge(call)
        if probed is None:
            return await self._async_finish(first)
        second = self._open_send(call, probed)
        try:
            return await self._async_race(first, second)
        except CancelledError:
            second.give_up_rest()
            raise
        finally:
            second.close()

    async def _async_finish(self, send: ServerSend) -> SendResult:
        """Wait on for an answer; one that is overdue counts against its server."""
        overdue_s = send.started_s + choose_soft_failure_delay_s(send.estimate_s)
        result = await send.async_receive(
            max(0.0, overdue_s - self._clock.read_monotonic_s())
        )
        if result is None:
            send.server.record_soft_failure(self._clock.read_monotonic_s())
            result = await send.async_finish()
        self._learn(send, result)
        return result

    async def _async_place_hedge(self, call: ForwardedCall) -> ProbedServer | None:
        """Return a server with capacity for a second send, or None without a gain."""
        if not call.route.is_idempotent or len(call.sends) >= call.route.attempts_max:
            return None
        # A request that may have crashed a server is not sent to two at a time.
        if self._crash_tracker.is_suspected(call.digest):
            return None
        probed = await self._placer.async_place(call, may_wait=False)
        if probed is None:
            return None
        now_s = self._clock.read_monotonic_s()
        budget = self._find_budget(call.service)
        is_useful = not is_near_capacity(probed.server)
        is_useful = is_useful and self._departure.can_finish(call.estimate_s or 0.0)
        if is_useful and budget.spend_send(now_s, HEDGE_BUDGET_SHARE):
            return probed
        self._sender.release_unused(probed)
        return None

    async def _async_race(self, first: ServerSend, second: ServerSend) -> SendResult:
        """Return the better result of two sends, as soon as one is good."""
        results: list[SendResult] = []
        async with create_task_group() as tasks:

            async def take(send: ServerSend, is_begun: bool) -> None:
                result = None if is_begun else await send.async_exchange(0.0)
                if result is None:
                    result = await self._async_finish(send)
                results.append(result)
                if result.outcome is SendOutcome.ANSWERED or len(results) > 1:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(take, first, True)
            tasks.start_soon(take, second, False)
        best = min(results, key=lambda one: OUTCOMES_BEST_FIRST.index(one.outcome))
        for result in results:
            if result is not best and result.rest is not None:
                await result.rest.async_release()
        return best

    def _open_send(self, call: ForwardedCall, probed: ProbedServer) -> ServerSend:
        """Return a send of a call."""
        work_s = self._placer.estimate_work_s(call)
        return self._sender.open_send(call, probed, work_s)

    def _learn(self, send: ServerSend, result: SendResult) -> None:
        """Learn from the time that an answer took."""
        if result.outcome is SendOutcome.ANSWERED:
            duration_s = self._clock.read_monotonic_s() - send.started_s
            self._placer.estimates.record_answer(
                send.call.route.full_prefix,
                duration_s,
                send.conditions,
                send.server.slowdown_estimates,
            )
