"""Many VMs and servers, few requests at each VM: connections and what callers get."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.placing.chooser import PlacementChooser
from cardamomtack.placing.server import ServerView, ServiceView
from cardamomtack.placing.subset import SERVERS_MIN, ServerSubsets
from cardamomtack_standins.model.load import KindLoad, LoadPlan
from cardamomtack_standins.model.play import FleetShape, LoadPlay
from cardamomtack_standins.model.policies import AskingPolicy
from cardamomtack_standins.model.server import ServerTraits

IDLE_S_MAX = 20.0


def make_service(count, zones=4):
    """Return a service with servers in several zones."""
    service = ServiceView("lookups")
    for index in range(count):
        zone = f"zone-{index % zones}"
        entry = ServerEntry(f"s{index}", "lookups", "", 0, zone, 2, False, 0.0, 0)
        service.add_member(ServerView(entry, 0.0))
    return service


class SubsetTest(unittest.TestCase):
    """Which servers a VM keeps to."""

    def list_subset(self, service, vm_id="vm-1", now_s=0.0):
        """Return the servers of both halves of a subset."""
        subsets = ServerSubsets(vm_id)
        return [
            server
            for is_own_zone in (True, False)
            for server in subsets.list_members(service, "zone-0", is_own_zone, now_s)
        ]

    def test_it_is_stable_and_covers_all_zones(self):
        service = make_service(104)
        subset = self.list_subset(service)
        self.assertEqual(len(subset), SERVERS_MIN)
        self.assertEqual(subset, self.list_subset(service))
        self.assertEqual(len({one.entry.availability_zone for one in subset}), 4)

    def test_a_server_that_leaves_is_replaced_and_no_other(self):
        service = make_service(104)
        before = self.list_subset(service)
        service.remove_member(before[0])
        after = self.list_subset(service)
        self.assertEqual(len(after), SERVERS_MIN)
        self.assertEqual(set(before) - set(after), {before[0]})

    def test_a_server_that_fails_is_replaced_until_it_is_usable(self):
        service = make_service(104)
        before = self.list_subset(service)
        before[0].record_unreachable(0.0)
        self.assertNotIn(before[0], self.list_subset(service))
        self.assertEqual(len(self.list_subset(service)), SERVERS_MIN)
        self.assertEqual(self.list_subset(service, now_s=60.0), before)

    def test_no_server_is_in_many_more_subsets_than_others(self):
        service = make_service(104)
        counts = Counter(
            server
            for number in range(400)
            for server in self.list_subset(service, f"vm-{number}")
            if server.entry.availability_zone != "zone-0"
        )
        mean = 400 * (SERVERS_MIN // 2) / 78
        self.assertEqual(len(counts), 78)
        self.assertGreater(min(counts.values()), 0.5 * mean)
        self.assertLess(max(counts.values()), 1.6 * mean)

    def test_services_whose_servers_all_fit_are_sampled_as_before(self):
        service = make_service(SERVERS_MIN)
        for is_own_zone in (True, False):
            with_subset, without = (
                PlacementChooser(Random(1), "zone-0", subsets).sample_servers(
                    service, set(), is_own_zone, 0.0
                )
                for subsets in (ServerSubsets("vm-1"), None)
            )
            self.assertEqual(with_subset, without)

    def test_it_widens_in_a_shortage_and_narrows_afterwards(self):
        service = make_service(104)
        size = ServerSubsets("vm-1").find_size(service)
        for tick in range(200):
            size.record_shortage(tick * 0.1)
        wide = size.compute_servers(20.0, 104)
        self.assertEqual(wide, 2 * SERVERS_MIN)
        self.assertEqual(size.compute_servers(80.0, 104), SERVERS_MIN)

    def test_a_vm_with_many_requests_uses_all_servers(self):
        service = make_service(30)
        size = ServerSubsets("vm-1").find_size(service)
        for number in range(60):
            size.record_request(number * 0.1)
        self.assertEqual(size.compute_servers(6.0, 30), 30)


class CountingPolicy(AskingPolicy):
    """The product's policy with the connections that it would open."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._idle = {}
        self._now_s = 0.0
        self.opened = 0

    def _take(self, server):
        """Take an idle connection to a server, or open one."""
        idle = self._idle.setdefault(server, [])
        while idle:
            if self._now_s - idle.pop() <= IDLE_S_MAX:
                return
        self.opened += 1

    def _ask(self, view, now_s):
        self._now_s = now_s
        if not super()._ask(view, now_s):
            return False
        self._take(int(view.vm_id))
        self._idle[int(view.vm_id)].append(now_s)
        return True

    def note_send(self, number, server):
        self._take(server)
        super().note_send(number, server)

    def note_end(self, call, duration_s, now_s):
        self._now_s = now_s
        self._idle.setdefault(call.server, []).append(now_s)
        return super().note_end(call, duration_s, now_s)


class PlayedConnectionsTest(unittest.TestCase):
    """124 VMs with 1.4 requests a second each, and 104 servers of two slots."""

    def play(self, has_subset):
        """Return the credit, the connections and the health checks for each request."""
        kinds = (
            KindLoad("lookup", 133.0, 0.22, 0.612, 6.116, 0, sends_max=3),
            KindLoad("notice", 44.5, 0.29, 0.912, 5.699, 1, sends_max=3),
        )
        shape = FleetShape(124, 104, 4, ServerTraits(2, 2))
        policies = []

        def make(servers, random, zone):
            probes_per_s = 42.0 * shape.servers / shape.vms
            policies.append(
                CountingPolicy(
                    servers,
                    random,
                    zone,
                    checks_per_s=probes_per_s,
                    has_subset=has_subset,
                )
            )
            return policies[-1]

        outcome = LoadPlay(LoadPlan(kinds, 30.0), shape, make, 1).run()
        requests = sum(kind.asked for kind in outcome.kinds.values())
        return (
            outcome.credit_share,
            sum(policy.opened for policy in policies) / requests,
            sum(policy.asked for policy in policies) / requests,
        )

    def test_fewer_connections_for_the_same_answers(self):
        credit, opened, asked = self.play(True)
        known_credit, known_opened, known_asked = self.play(False)
        self.assertLess(opened, 0.6 * known_opened)
        self.assertLess(asked, 1.1 * known_asked)
        self.assertGreater(credit, known_credit - 0.005)


if __name__ == "__main__":
    unittest.main()
