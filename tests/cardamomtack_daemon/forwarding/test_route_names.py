"""Routes of two hosts may have one name, and are told apart all the same."""

from __future__ import annotations

import anyio

from cardamomtack.routing.policy import Repeatability
from cardamomtack_daemon.http1.messages import HttpRequest
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import async_answer

OTHER_HOST = "shop.test"
WORK_S = 0.1


async def async_work(server, request, stream):
    """Answer after some work."""
    await anyio.sleep(WORK_S)
    await async_answer(server, request, stream)


class RouteNameTest(ForwardingCase):
    """Guards against what was learnt of one host's route and used for another's."""

    def play_hosts(self, scenario):
        """Run a scenario in which two hosts have a route `read`."""
        routes = [
            make_route("read", Repeatability.IDEMPOTENT, host=host)
            for host in (HOST, OTHER_HOST)
        ]
        self.play(scenario, configuration=make_configuration(routes=tuple(routes)))

    def open_call(self, vm, host, deadline_ms=2000):
        """Open the call of a request, which is not sent."""
        headers = [
            (b"host", host.encode()),
            (b"test-id", b"x-1"),
            (b"test-deadline", b"%d" % deadline_ms),
        ]
        return vm.daemon._opener.open_call(
            HttpRequest(b"GET", b"/read/x", headers, b"")
        )

    def test_work_of_one_hosts_requests_is_not_taken_for_that_of_anothers(self):
        async def scenario(vm, servers):
            def estimate_s(host):
                return vm.daemon._forwarder._placer.estimate_work_s(
                    self.open_call(vm, host)
                )

            initial_s = estimate_s(OTHER_HOST)
            for server in servers:
                server.script = async_work
            self.assertEqual((await vm.async_call("read", "r-1")).status, 200)
            self.assertNotEqual(estimate_s(HOST), initial_s)
            self.assertEqual(estimate_s(OTHER_HOST), initial_s)

        self.play_hosts(scenario)

    def test_shorter_deadlines_at_another_host_are_not_taken_for_a_long_wait(self):
        async def scenario(vm, servers):
            for _ in range(20):
                self.open_call(vm, HOST)
            call = self.open_call(vm, OTHER_HOST, deadline_ms=500)
            objective_s = call.objective_s - call.arrived_s
            self.assertEqual(round(objective_s, 3), call.route.objective_s)

        self.play_hosts(scenario)
