"""A configuration of which a part can't be used: what goes on working."""

from __future__ import annotations

from dataclasses import replace

from cardamomtack.routing.policy import Repeatability, WeightedService
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import (
    ROUTES,
    make_configuration,
    make_route,
)

NOWHERE = WeightedService("nowhere", 1.0)


class UnusablePartTest(ForwardingCase):
    """A part that can't be used takes out nothing beside it."""

    def test_other_routes_are_served(self):
        faulty = make_route(
            "faulty", Repeatability.ONCE_PER_SEND, parts=(), fault="names no service"
        )
        lost = make_route("lost", Repeatability.IDEMPOTENT, parts=(NOWHERE,))

        async def scenario(vm, servers):
            for route in ("faulty", "lost"):
                answer = await vm.async_call(route, f"{route}-1", b"van")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            for route in ("read", "book"):
                answer = await vm.async_call(route, f"{route}-1")
                self.assertEqual(answer.status, 200)

        self.play(
            scenario, configuration=make_configuration(1, (*ROUTES, faulty, lost))
        )

    def test_limits_that_cannot_be_used_leave_those_in_force(self):
        async def scenario(vm, servers):
            vm.publish(replace(make_configuration(2), limits=None))
            while vm.daemon._routes.version != 2:
                answer = await vm.async_call("read", "r-1")
                self.assertEqual(answer.status, 200)
            answer = await vm.async_call("book", "b-1", b"x" * 100_001)
            self.assertEqual(answer.status, 413)

        self.play(scenario)
