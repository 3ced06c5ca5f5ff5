"""VMs that ask a holder for tokens: answers, and holders that fail."""

from __future__ import annotations

import unittest
from itertools import pairwise

import anyio

from cardamomtack.generated.relay import Member
from cardamomtack.quotas.const import JOIN_WAIT_S, TOKEN_VALID_S
from cardamomtack_daemon.quotas.const import UNDECIDED_S
from tests.cardamomtack_daemon.quotas.case import (
    QuotaCase,
    QuotaVm,
    configure,
    find_workspace,
)

HUGE = 2**64 - 1
PAIR = ["vm-0", "vm-1"]
SLOW = find_workspace(PAIR, "vm-0", rate_per_s=5.0, burst=10.0)
SLOW_OWN = find_workspace(PAIR, "vm-1", rate_per_s=5.0, burst=10.0)


def count_admitted(decisions):
    """Return how many requests are admitted."""
    return sum(decision.is_admitted for decision in decisions)


async def async_fill(vm, workspace):
    """Wait until the bucket of a workspace is full, which starts empty."""
    await vm.async_wait_held(workspace)
    await anyio.sleep(1.2 * workspace.burst / workspace.rate_per_s)


class AskingTest(QuotaCase):
    """Two VMs, both of which hold workspaces."""

    def test_quota_holds_over_both_vms_and_the_time_to_come_back_is_kept(self):
        async def scenario(tasks, first, second):
            await async_fill(second, SLOW)
            decisions = await first.async_ask(SLOW, 8) + await second.async_ask(SLOW, 8)
            self.assertEqual(count_admitted(decisions), 10)
            for decision in decisions:
                first.gate.record_sent(decision)
            refused = [one for one in decisions if not one.is_admitted]
            self.assertEqual({one.holder_id for one in refused}, {"vm-0"})
            retries_s = sorted(one.retry_after_s for one in refused)
            for earlier_s, later_s in pairwise(retries_s):
                self.assertAlmostEqual(later_s - earlier_s, 0.2, delta=0.02)
            await anyio.sleep(retries_s[0])
            key = decisions.index(min(refused, key=lambda one: one.retry_after_s)) - 8
            new = await first.gate.async_admit(SLOW, 999, 2.0)
            back = await first.gate.async_admit(SLOW, key, 2.0)
            self.assertEqual((new.is_admitted, back.is_admitted), (False, True))

        self.play(scenario)

    def test_requests_of_one_iteration_go_in_one_message(self):
        """Guards against a message for each request in a burst."""

        async def scenario(tasks, first, second):
            await second.async_wait_held(SLOW)
            (link,) = second.service._links.values()
            before = link._number
            await second.async_ask(SLOW, 50)
            self.assertLessEqual(link._number - before, 2)

        self.play(scenario)

    def test_caller_that_leaves_while_it_waits_leaks_nothing(self):
        async def scenario(tasks, first, second):
            await async_fill(second, SLOW)
            async with anyio.create_task_group() as callers:
                for key in range(8):
                    callers.start_soon(second.gate.async_admit, SLOW, key, 2.0)
                await anyio.sleep(0)
                await anyio.sleep(0)
                callers.cancel_scope.cancel()
            await anyio.sleep(2.5 * TOKEN_VALID_S)
            (link,) = second.service._links.values()
            self.assertEqual((link._pending, link._sent), ({}, {}))
            self.assertEqual(count_admitted(await first.async_ask(SLOW, 20)), 10)

        self.play(scenario)

    def test_token_of_a_request_that_was_not_sent_comes_back(self):
        async def scenario(tasks, first, second):
            await async_fill(second, SLOW)
            for decision in await second.async_ask(SLOW, 10):
                second.gate.give_back(decision)
                second.gate.give_back(decision)
            await anyio.sleep(0.05)
            # One may be with the second VM, in advance.
            self.assertIn(count_admitted(await first.async_ask(SLOW, 20)), (9, 10))

        self.play(scenario)

    def test_requests_that_wait_for_a_server_leave_no_room_for_others(self):
        """Guards against a queue that empties beside a full burst."""

        async def scenario(tasks, first, second):
            await async_fill(second, SLOW)
            waiting = await second.async_ask(SLOW, 10)
            await anyio.sleep(2.4)
            self.assertEqual(count_admitted(await first.async_ask(SLOW, 20)), 0)
            for decision in waiting:
                second.gate.record_sent(decision)
            await anyio.sleep(1.1)
            self.assertIn(count_admitted(await first.async_ask(SLOW, 20)), (5, 6))

        self.play(scenario)

    def test_request_with_an_old_spare_token_may_wait_for_a_server(self):
        """Guards against a VM that takes itself for suspended, as the token is old."""

        async def scenario(tasks, first, second):
            await second.async_wait_held(SLOW)
            (link,) = second.service._links.values()
            await anyio.sleep(0.05)
            asked_at_s = second.read_boot_s() - 0.8 * TOKEN_VALID_S
            link._spare.add(SLOW.name, 1, asked_at_s)
            (waiting,) = await second.async_ask(SLOW)
            self.assertEqual(waiting.asked_at_s, asked_at_s)
            second.offset_s = 0.25 * TOKEN_VALID_S
            await anyio.sleep(1.5 * TOKEN_VALID_S)
            self.assertTrue(second.gate.record_sent(waiting))

        self.play(scenario)

    def test_token_is_void_when_the_vm_was_suspended(self):
        async def scenario(tasks, first, second):
            await second.async_wait_held(SLOW)
            (link,) = second.service._links.values()
            link._spare.add(SLOW.name, 1, second.read_boot_s())
            second.offset_s = 10.0
            self.assertIsNone(link.take_spare(SLOW.name))
            second.offset_s = 0.0
            await anyio.sleep(0.5)
            (decision,) = await second.async_ask(SLOW)
            second.offset_s = 10.0
            self.assertTrue(decision.is_admitted)
            self.assertFalse(second.gate.record_sent(decision))

        self.play(scenario)

    def test_leaving_holder_grants_nothing_and_the_next_takes_over(self):
        async def scenario(tasks, first, second):
            await async_fill(second, SLOW)
            first.service.leave()
            second.members.update_member(
                Member("vm-0", "1", "", "127.0.0.1", 1, is_leaving=True)
            )
            decisions = await second.async_ask(SLOW, 20)
            self.assertEqual({one.holder_id for one in decisions}, {"vm-1"})
            self.assertEqual(count_admitted(decisions), 4)
            (decision,) = await first.async_ask(SLOW)
            self.assertNotEqual(decision.holder_id, "vm-0")

        self.play(scenario, slack=16.0)

    def test_new_holder_takes_over_from_one_that_has_not_heard_of_it(self):
        """Guards against two VMs that grant a quota side by side."""

        async def scenario(tasks, second):
            workspace = find_workspace(PAIR, "vm-0", rate_per_s=1.0, burst=4.0)
            await second.async_wait_held(workspace)
            first = QuotaVm(0)
            first.know(second)
            first.service.apply_configuration(configure())
            tasks.start_soon(first.async_run)
            (decision,) = await first.async_ask(workspace)
            self.assertEqual(decision.holder_id, "vm-1")
            await anyio.sleep(2.0 * JOIN_WAIT_S)
            (decision,) = await first.async_ask(workspace)
            self.assertEqual(decision.holder_id, "vm-0")
            # It grants nothing, and can't be asked to name one it does not know.
            (decision,) = await second.async_ask(workspace)
            self.assertEqual(decision.holder_id, "")
            second.know(first)
            await anyio.sleep(UNDECIDED_S)
            (decision,) = await second.async_ask(workspace)
            self.assertEqual(decision.holder_id, "vm-0")

        self.play(scenario, numbers=(1,))


if __name__ == "__main__":
    unittest.main()
