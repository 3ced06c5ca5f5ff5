"""Servers that were not asked, and answers that do not come."""

from __future__ import annotations

import unittest

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.placing.chooser import assume_loads, choose_sample_size
from cardamomtack.placing.const import (
    HEDGE_DELAY_S_MIN,
    PROBED_MAX,
    PROBED_MIN,
    REPORT_AGE_S_MAX,
)
from cardamomtack.placing.hedging import (
    choose_hedge_delay_s,
    choose_soft_failure_delay_s,
)
from cardamomtack.placing.server import (
    LoadReport,
    ServerView,
    ServiceView,
    is_near_capacity,
)

FULL = LoadReport(6, 2, 6, 2.0)


def make_service(count=3, slots=6):
    """Return a service and its servers."""
    service = ServiceView("desk")
    for number in range(count):
        entry = ServerEntry(
            f"server-{number}", "desk", "10.0.0.1", 80, "a", slots, False, 0.0, 1
        )
        service.add_member(ServerView(entry, 0.0))
    return service, service.members


class AssumedLoadTest(unittest.TestCase):
    """What is taken to be the load of a server that has not told it."""

    def test_unknown_server_is_as_busy_as_the_others(self):
        service, servers = make_service()
        servers[0].record_report(FULL, 0.0)
        service.record_report(FULL)
        assume_loads(service, servers, 0.0)
        for server in servers:
            self.assertTrue(is_near_capacity(server))

    def test_nothing_is_assumed_before_any_server_has_told(self):
        service, servers = make_service()
        assume_loads(service, servers, 0.0)
        self.assertIsNone(servers[0].report)
        self.assertFalse(is_near_capacity(servers[0]))

    def test_report_of_now_is_kept_and_an_old_one_is_not(self):
        service, servers = make_service()
        servers[0].record_report(LoadReport(0, 0, 6), 10.0)
        service.record_report(FULL)
        assume_loads(service, servers, 10.0 + REPORT_AGE_S_MAX / 2)
        self.assertFalse(is_near_capacity(servers[0]))
        assume_loads(service, servers, 10.0 + 2 * REPORT_AGE_S_MAX)
        self.assertTrue(is_near_capacity(servers[0]))

    def test_own_requests_that_have_ended_do_not_count_beside_it(self):
        service, servers = make_service()
        service.record_report(LoadReport(0, 0, 6))
        for _ in range(6):
            servers[0].record_send()
        assume_loads(service, servers, 1.0)
        self.assertTrue(is_near_capacity(servers[0]))
        for _ in range(6):
            servers[0].record_end()
        assume_loads(service, servers, 2.0)
        self.assertFalse(is_near_capacity(servers[0]))

    def test_usual_load_follows_the_reports(self):
        service, _ = make_service()
        for _ in range(60):
            service.record_report(FULL)
        self.assertAlmostEqual(service.expect_report(3).running, 4.0, places=2)
        for _ in range(60):
            service.record_report(LoadReport(0, 0, 6))
        self.assertLess(service.expect_report(3).running, 0.02)

    def test_fewer_are_asked_when_checks_run_short(self):
        self.assertEqual(choose_sample_size(1.0, True, False, False), PROBED_MAX)
        self.assertEqual(choose_sample_size(0.0, True, False, False), PROBED_MIN)

    def test_fewer_are_asked_where_room_is_short(self):
        size = choose_sample_size
        self.assertEqual(size(1.0, True, True, False), PROBED_MAX)
        self.assertLess(size(1.0, False, True, False), PROBED_MAX)
        self.assertLess(size(1.0, True, True, True), PROBED_MAX)
        # Late calls alone are no pressure.
        self.assertEqual(size(1.0, False, False, True), PROBED_MAX)


class LatenessTest(unittest.TestCase):
    """When an answer is late, and when it counts against its server."""

    def test_late_comes_before_overdue_and_both_grow_with_the_estimate(self):
        for estimate_s in (0.1, 0.3, 2.0):
            self.assertGreater(choose_hedge_delay_s(estimate_s), estimate_s)
            self.assertGreater(
                choose_soft_failure_delay_s(estimate_s),
                choose_hedge_delay_s(estimate_s),
            )

    def test_quick_servers_are_not_hedged_at_once(self):
        self.assertEqual(choose_hedge_delay_s(0.001), HEDGE_DELAY_S_MIN)

    def test_doubt_raises_the_cost_and_never_rests_a_server(self):
        _, servers = make_service(1)
        for step in range(20):
            servers[0].record_soft_failure(step * 0.1)
        self.assertGreater(servers[0].estimate_failure_share(2.0), 0.5)
        self.assertTrue(servers[0].is_usable(2.0))


if __name__ == "__main__":
    unittest.main()
