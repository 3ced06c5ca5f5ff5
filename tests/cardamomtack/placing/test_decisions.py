"""Choosing, refusing, budgets and rests, one decision at a time."""

from __future__ import annotations

import unittest
from itertools import pairwise
from random import Random

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.measuring.pacer import ProbeLimiter
from cardamomtack.placing.admission import (
    PlacementTimes,
    ServerCapacity,
    is_worth_placing,
)
from cardamomtack.placing.budget import (
    RetryBudget,
    choose_budget_share,
    compute_slack,
)
from cardamomtack.placing.chooser import PlacementChooser
from cardamomtack.placing.server import (
    LoadReport,
    ServerView,
    ServiceView,
    is_near_capacity,
)


def make_server(server_id="s", zone="a", report=None, warm_up_left_s=0.0, slots=6):
    """Return a server with a report of now."""
    entry = ServerEntry(
        server_id, "desk", "10.0.0.1", 80, zone, slots, False, warm_up_left_s, 1
    )
    server = ServerView(entry, 0.0)
    if report is not None:
        server.record_report(LoadReport(*report), 0.0)
    return server


def make_service(*servers):
    """Return a service of some servers."""
    service = ServiceView("desk")
    for server in servers:
        service.add_member(server)
    return service


class ChooserTest(unittest.TestCase):
    """Which of two servers is taken."""

    def check(self, better, worse):
        """Check that one server is taken rather than another."""
        chooser = PlacementChooser(Random(1), "a")
        service = make_service(better, worse)
        for servers in ([better, worse], [worse, better]):
            self.assertIs(chooser.choose_server(service, servers, 0.2, 0.0), better)

    def test_speed_of_now(self):
        self.check(
            make_server(report=(2, 0, 6, 1.0)), make_server(report=(0, 0, 6, 4.0))
        )

    def test_free_slot(self):
        self.check(make_server(report=(3, 0, 6)), make_server(report=(6, 1, 6)))

    def test_shorter_queue(self):
        self.check(make_server(report=(6, 1, 6)), make_server(report=(6, 4, 6)))

    def test_own_sends_since_the_report(self):
        busy = make_server(report=(5, 0, 6))
        for _ in range(3):
            busy.record_send()
        self.check(make_server(report=(5, 0, 6)), busy)

    def test_a_rejected_request_takes_no_slot(self):
        server = make_server(report=(3, 0, 6))
        server.record_send()
        self.assertTrue(is_near_capacity(server))
        server.record_rejection()
        server.record_end()
        self.assertFalse(is_near_capacity(server))

    def test_own_zone(self):
        self.check(
            make_server(report=(1, 0, 6)), make_server(zone="b", report=(1, 0, 6))
        )

    def test_warm_server(self):
        self.check(
            make_server(report=(1, 0, 6)),
            make_server(report=(1, 0, 6), warm_up_left_s=3.0),
        )

    def test_server_without_failures(self):
        failing = make_server(report=(1, 0, 6))
        failing.record_failure(0.0)
        self.check(make_server(report=(2, 0, 6)), failing)

    def test_failures_count_beyond_those_of_half_of_the_service(self):
        chooser = PlacementChooser(Random(1), "a")
        for failing, usual_share in ((1, 0.0), (2, 0.0), (4, 0.25), (5, 0.25)):
            servers = [make_server(str(n), report=(1, 0, 6)) for n in range(5)]
            for server in servers[:failing]:
                server.record_failure(0.0)
            service = make_service(*servers)
            usual = service.estimate_usual_failure_share(0.0)
            cost_s = chooser.estimate_cost_s(service, servers[0], 0.2, 0.0)
            with self.subTest(failing):
                self.assertAlmostEqual(usual, usual_share)
                self.assertEqual(cost_s > 0.2, usual_share == 0.0)

    def test_a_server_that_fails_more_than_the_others_is_passed_over(self):
        servers = [make_server(str(n), report=(1, 0, 6)) for n in range(5)]
        for server in servers:
            server.record_failure(0.0)
        for _ in range(3):
            servers[0].record_failure(0.0)
        chooser = PlacementChooser(Random(1), "a")
        service = make_service(*servers)
        chosen = [chooser.choose_server(service, servers, 0.2, 0.0) for _ in range(50)]
        self.assertNotIn(servers[0], chosen)

    def test_own_requests_where_no_load_is_told(self):
        busy = make_server()
        busy.record_send()
        self.check(make_server(), busy)

    def test_sample_leaves_out_what_may_not_be_used(self):
        service = ServiceView("desk")
        service.members = [make_server(str(number)) for number in range(3)]
        service.members[0].record_unreachable(0.0)
        service.members[1].is_removed = True
        chooser = PlacementChooser(Random(1), "a")
        sample = chooser.sample_servers(service, set(), True, 0.0)
        self.assertEqual([one.vm_id for one in sample], ["2"])
        self.assertEqual(chooser.sample_servers(service, {"2"}, True, 0.0), [])


class FreshReportTest(unittest.TestCase):
    """Servers that have just answered need no probe."""

    def test_only_for_a_moment_and_the_last_first(self):
        servers = [make_server(str(n)) for n in range(3)]
        service = make_service(*servers)
        for number, server in enumerate(servers):
            server.record_answer_report(LoadReport(1, 0, 6), 0.004 * number)
            service.add_answered(server)
        self.assertEqual(service.list_fresh(0.008), servers[::-1])
        self.assertEqual(service.list_fresh(0.016), servers[2:])
        self.assertEqual(service.list_fresh(1.0), [])

    def test_not_where_the_server_takes_no_work(self):
        server = make_server()
        service = make_service(server)
        server.record_answer_report(LoadReport(1, 0, 6), 0.0)
        service.add_answered(server)
        server.record_unreachable(0.0)
        self.assertEqual(service.list_fresh(0.0), [])

    def test_not_where_the_server_rejects_requests(self):
        server, other = make_server("rejecting"), make_server("other")
        service = make_service(server, other)
        for one in (server, other):
            one.record_report(LoadReport(1, 0, 6), 0.0)
            service.add_answered(one)
        server.record_soft_failure(0.0)
        self.assertEqual(service.list_fresh(0.0), [other])

    def test_not_where_the_answer_told_no_load(self):
        server = make_server()
        service = make_service(server)
        service.add_answered(server)
        self.assertEqual(service.list_fresh(0.0), [])


class RestTest(unittest.TestCase):
    """How long a server rests after failures and silence."""

    def test_three_failures_in_a_row_eject(self):
        server = make_server()
        for _ in range(2):
            server.record_failure(0.0)
        self.assertTrue(server.is_usable(0.0))
        server.record_failure(0.0)
        self.assertFalse(server.is_usable(0.1))
        self.assertTrue(server.is_usable(10.0))

    def test_success_ends_the_row(self):
        server = make_server()
        for _ in range(10):
            server.record_failure(0.0)
            server.record_failure(0.0)
            server.record_success(0.0)
        self.assertTrue(server.is_usable(0.0))

    def test_silence_rests_longer_each_time_until_a_report(self):
        server = make_server()
        server.record_probe_timeout(0.0)
        first_s = server.ejected_until_s
        server.record_probe_timeout(10.0)
        self.assertGreater(server.ejected_until_s - 10.0, first_s)
        server.record_report(LoadReport(0, 0, 6), 20.0)
        server.record_probe_timeout(20.0)
        self.assertAlmostEqual(server.ejected_until_s - 20.0, first_s)

    def test_failures_fade(self):
        server = make_server()
        server.record_failure(0.0)
        now = server.estimate_failure_share(0.0)
        self.assertLess(server.estimate_failure_share(6.0), now / 3)


class AdmissionTest(unittest.TestCase):
    """What is placed."""

    def check(self, times, room, expected):
        """Check a verdict without and with pressure."""
        verdicts = [is_worth_placing(times, room, pressed) for pressed in (False, True)]
        self.assertEqual(verdicts, expected)

    def test_what_cannot_be_answered_before_the_deadline_is_refused(self):
        idle = ServerCapacity(0.1, True)
        self.check(PlacementTimes(2.0, 0.5, 5.0, 1.9), idle, [False, False])

    def test_what_can_be_in_time_gets_all_room_and_no_more(self):
        times = PlacementTimes(1.0, 0.5, 1.1, 1.9)
        for share in (0.1, 0.5, 0.8):
            self.check(times, ServerCapacity(share, True), [True, True])
        self.check(times, ServerCapacity(0.9, False), [False, False])

    def test_what_is_late_gets_all_room_unless_others_press(self):
        times = PlacementTimes(1.0, 0.5, -1.0, 1.9)
        self.check(times, ServerCapacity(0.5, True), [True, True])
        self.check(times, ServerCapacity(0.6, True), [True, False])
        self.check(times, ServerCapacity(0.9, False), [False, False])

    def test_what_can_still_be_in_time_elsewhere_waits(self):
        idle = ServerCapacity(0.1, True)
        self.check(PlacementTimes(2.0, 0.5, 1.0, 9.0), idle, [False, False])
        self.check(PlacementTimes(2.0, 0.5, 0.6, 9.0), idle, [True, True])

    def test_an_idle_server_has_room_whatever_its_size(self):
        for slots in (1, 2, 3, 6):
            self.assertFalse(is_near_capacity(make_server(report=(0, 0, slots))), slots)
            self.assertTrue(
                is_near_capacity(make_server(report=(slots, 0, slots))), slots
            )


class BudgetTest(unittest.TestCase):
    """Further sends and health checks of a fleet."""

    def test_fleet_stays_within_the_bound_in_any_window(self):
        for vms in (1, 13, 121):
            budgets = [RetryBudget() for _ in range(vms)]
            random = Random(vms)
            sends, requests = [], []
            for budget in budgets:
                budget.apply_bounds(0.2, 56.0 / vms, 10.0)
            for step in range(3000):
                now_s = step * 0.01
                budget = random.choice(budgets)
                budget.record_request(now_s)
                requests.append(now_s)
                for _ in range(3):
                    if budget.spend_send(now_s):
                        sends.append(now_s)
            for start in range(0, 20):
                window = [one for one in sends if start <= one < start + 10]
                asked = [one for one in requests if start <= one < start + 10]
                self.assertLessEqual(len(window), 0.2 * len(asked) + 56)

    def test_vms_that_come_do_not_break_the_bound(self):
        # The second VM is not known to the first one yet, which spends the whole slack.
        budgets = [RetryBudget(), RetryBudget()]
        budgets[0].apply_bounds(0.2, 56.0, 10.0)
        budgets[1].apply_bounds(0.2, 28.0, 10.0)
        spent = sum(budget.spend_send(1.0) for budget in budgets for _ in range(100))
        self.assertLessEqual(spent, 60)

    def test_vms_that_start_again_do_not_spend_the_slack_twice(self):
        vms, slack, window_s = 13, 56.0, 10.0
        spent = 0
        for uptime_s in (window_s, 0.0):
            for _ in range(vms):
                budget = RetryBudget()
                part = compute_slack(slack, vms, uptime_s, window_s)
                budget.apply_bounds(0.2, part, window_s)
                spent += sum(budget.spend_send(1.0) for _ in range(100))
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, slack)

    def test_vm_that_knows_no_others_yet_has_no_slack(self):
        self.assertEqual(compute_slack(56.0, None, 0.0, 10.0), 0.0)

    def test_last_of_the_budget_is_kept_for_urgent_kinds(self):
        budget = RetryBudget()
        budget.apply_bounds(0.0, 40.0, 10.0)
        spent = [0, 0, 0]
        for priority in (2, 1, 0):
            while budget.spend_send(1.0, choose_budget_share(priority)):
                spent[priority] += 1
        self.assertGreater(min(spent), 0)
        self.assertLessEqual(sum(spent), 40)
        self.assertEqual(choose_budget_share(-1), 1.0)
        self.assertEqual(choose_budget_share(99), choose_budget_share(2))

    def test_requests_are_forgotten_after_the_window_without_further_sends(self):
        budget = RetryBudget()
        budget.apply_bounds(0.2, 0.0, 10.0)
        for step in range(10_000):
            budget.record_request(step * 0.1)
        self.assertLessEqual(len(budget._requests), 101)

    def test_health_checks_of_a_vm_stay_within_its_share(self):
        pacer = ProbeLimiter()
        pacer.apply_bounds(60.0, 24, 13)
        sent = []
        for step in range(500):
            now_s = step * 0.01
            sent += [now_s] * pacer.grant_probes(8, now_s)
        for start in range(4):
            window = [one for one in sent if start <= one < start + 1]
            self.assertLessEqual(len(window), 60.0 * 24 / 13 * 1.25)
        self.assertGreater(pacer.skipped, 0)

    def test_health_checks_of_a_vm_stay_within_its_share_of_a_minute(self):
        limiter = ProbeLimiter()
        limiter.apply_bounds(60.0, 24, 13)
        sent = sum(limiter.grant_probes(8, step * 0.01) for step in range(6000))
        # The bucket is full once, at the start.
        self.assertLessEqual(sent, 60.0 * 24 / 13 * 60.25)

    def test_health_checks_come_steadily_after_a_burst(self):
        limiter = ProbeLimiter()
        limiter.apply_bounds(60.0, 33, 16)
        steps = [step * 0.001 for step in range(5000)]
        granted_s = [now_s for now_s in steps if limiter.grant_probes(1, now_s)]
        gaps_s = [later - earlier for earlier, later in pairwise(granted_s)]
        self.assertLess(max(gaps_s), 2.0 / (60.0 * 33 / 16))

    def test_a_vm_of_a_large_fleet_may_probe(self):
        limiter = ProbeLimiter()
        limiter.apply_bounds(1.0, 10, 100)
        self.assertEqual(limiter.grant_probes(2, 0.0), 1)
        self.assertEqual(limiter.grant_probes(1, 5.0), 0)
        self.assertEqual(limiter.grant_probes(1, 10.5), 1)

    def test_no_bounds_no_probes(self):
        limiter = ProbeLimiter()
        self.assertEqual(limiter.grant_probes(1, 1.0), 0)
        self.assertEqual(limiter.compute_remaining_share(1.0), 0.0)
        self.assertFalse(limiter.can_probe(2.0))


if __name__ == "__main__":
    unittest.main()
