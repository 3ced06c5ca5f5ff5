"""Routes by longest prefix, versions, and splits."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from cardamomtack.routing.policy import (
    CallerLimits,
    FleetConfiguration,
    Repeatability,
    RoutePolicy,
    WeightedService,
)
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack.routing.weighted_round_robin import WeightedRoundRobin

LIMITS = CallerLimits(1000, 1000, 1.0, 1.0)


def make_route(name, prefix, host="one.test", parts=(("a", 1.0),)):
    """Return a route."""
    return RoutePolicy(
        name,
        host,
        prefix,
        tuple(WeightedService(*part) for part in parts),
        Repeatability.IDEMPOTENT,
        2,
        1.0,
        0.5,
        1,
    )


def make_routes(version=1, *routes):
    """Return a table with one version in force."""
    table = PrefixRoutes(Random(1))
    table.apply_configuration(FleetConfiguration(version, routes, {}, LIMITS))
    return table


def deal(table, host, target):
    """Return the services that the next requests go to."""
    route = table.find_route(host, target)
    return {table.choose_service(route) for _ in range(10)}


class FindTest(unittest.TestCase):
    """Which route a request has."""

    def test_longest_prefix_of_the_host(self):
        table = make_routes(
            1,
            make_route("root", "/"),
            make_route("a", "/a/"),
            make_route("ab", "/a/b/"),
            make_route("other", "/a/", host="two.test"),
        )
        cases = [
            (b"one.test", b"/a/b/c", "ab"),
            (b"one.test", b"/a/b/", "ab"),
            (b"one.test", b"/a/b", "a"),
            (b"one.test", b"/a", "root"),
            (b"one.test", b"/x?y=/a/b/", "root"),
            (b"ONE.test:8080", b"/a/x", "a"),
            (b"two.test", b"/a/b/c", "other"),
            (b"two.test", b"/b/", None),
            (b"three.test", b"/a/", None),
            (b"", b"/a/", None),
            (b"one.test", b"*", None),
        ]
        for host, target, name in cases:
            with self.subTest(host=host, target=target):
                route = table.find_route(host, target)
                self.assertEqual(route.name if route else None, name)


class VersionTest(unittest.TestCase):
    """Which version is in force."""

    def test_versions_never_go_back(self):
        table = make_routes(5, make_route("new", "/new/"))
        seen = []
        table.add_listener(lambda configuration: seen.append(configuration.version))
        for version in (4, 5, 9, 7):
            routes = (make_route(f"v{version}", f"/v{version}/"),)
            table.apply_configuration(FleetConfiguration(version, routes, {}, LIMITS))
        self.assertEqual(table.version, 9)
        self.assertEqual(seen, [9])
        self.assertIsNotNone(table.find_route(b"one.test", b"/v9/"))
        self.assertIsNone(table.find_route(b"one.test", b"/v7/"))


class SplitTest(unittest.TestCase):
    """Shares of the parts of a route."""

    def test_each_part_is_within_one_request_of_its_share_at_any_moment(self):
        cases = [((90, 10), 2), ((1, 1, 1), 3), ((70, 20, 10), 3), ((5, 3), 2)]
        for weights, count in cases:
            for seed in range(20):
                parts = tuple(
                    WeightedService(str(index), weight)
                    for index, weight in enumerate(weights)
                )
                split = WeightedRoundRobin(parts, Random(seed))
                dealt = Counter()
                for number in range(1, 200):
                    dealt[split.choose_service()] += 1
                    for index in range(count):
                        share = weights[index] / sum(weights)
                        self.assertLess(abs(dealt[str(index)] - number * share), 1.6)

    def test_thirteen_vms_with_few_requests_hold_the_weights_together(self):
        parts = (WeightedService("a", 80.0), WeightedService("b", 20.0))
        dealt = Counter()
        for seed in range(13):
            split = WeightedRoundRobin(parts, Random(seed))
            dealt.update(split.choose_service() for _ in range(8))
        self.assertAlmostEqual(dealt["b"] / dealt.total(), 0.2, delta=0.05)

    def test_split_goes_on_over_a_version_that_leaves_it_alone(self):
        parts = (("a", 3.0), ("b", 1.0))
        route = make_route("r", "/", parts=parts)
        table = make_routes(1, route)
        dealt = []
        for version in range(2, 42):
            dealt.append(table.choose_service(table.find_route(b"one.test", b"/")))
            table.apply_configuration(FleetConfiguration(version, (route,), {}, LIMITS))
        self.assertEqual(dealt.count("b"), 10)

    def test_routes_of_one_name_are_dealt_to_their_own_services(self):
        # Guards against requests to one host that ran at the services of another.
        def make_split(host, prefix, *services):
            parts = tuple((service, 1.0) for service in services)
            return make_route("orders", prefix, host, parts)

        routes = [
            make_split("one.test", "/", "a", "b"),
            make_split("one.test", "/x/", "c", "d"),
            make_split("Two.test", "/", "e", "f"),
        ]
        changed = [*routes[:2], make_split("two.test", "/", "g", "h")]
        for order in (routes, routes[::-1]):
            table = make_routes(1, *order)
            self.assertEqual(deal(table, b"one.test", b"/"), {"a", "b"})
            self.assertEqual(deal(table, b"one.test", b"/x/"), {"c", "d"})
            self.assertEqual(deal(table, b"two.test", b"/"), {"e", "f"})
            table.apply_configuration(FleetConfiguration(2, tuple(changed), {}, LIMITS))
            self.assertEqual(deal(table, b"one.test", b"/"), {"a", "b"})
            self.assertEqual(deal(table, b"two.test", b"/"), {"g", "h"})


if __name__ == "__main__":
    unittest.main()
