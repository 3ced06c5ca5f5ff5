"""Attempts of idempotent requests among servers of which several are sick."""

from __future__ import annotations

import socket
import time
import unittest

import anyio

from cardamomtack.admission.queue import ServiceAdmission
from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.configuration.routes import KindPolicy, ServicePolicy
from cardamomtack.generated.services import Health, VirtualMachine
from cardamomtack.helpers.clock import SystemClock
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack_daemon.http1.messages import HttpRequest
from cardamomtack_daemon.pool import ConnectionPool
from cardamomtack_daemon.traffic.call import Call
from cardamomtack_daemon.traffic.dispatcher import Dispatcher
from cardamomtack_daemon.traffic.exchange import ExchangeContext
from tests.cardamomtack_daemon.forwarding.servers import SERVICE, ZONE, ScriptedServer

DEADLINE_S = 2.0
HEDGE_DELAY_MS = 50
KIND = KindPolicy(
    name="lookup",
    service=ServicePolicy(SERVICE, 4, 20, 10, frozenset()),
    idempotent=True,
    deadline_ms=int(DEADLINE_S * 1000),
    weight=1.0,
    priority=1,
    key_time_required=False,
    attempts_max=3,
    retry_budget_share=0.2,
    hedge_enabled=True,
    hedge_delay_ms_min=HEDGE_DELAY_MS,
    requests_per_second=None,
)


class OrderedChooser:
    """Chooses the untried servers in the order of their ids."""

    def choose_server(self, service, tried, now_s):
        return next((one for one in service.eligible if one.vm_id not in tried), None)


class NoSignals:
    """Tells nobody."""

    def report_draining(self, vm_id, reason):
        pass

    def report_crash(self, vm_id, request_digests):
        pass

    def compute_retry_turn(self, vm_id):
        return 0


async def async_stay_silent(server, request, stream):
    """Take a request and never answer."""
    await anyio.sleep_forever()


def find_closed_port():
    """Return a port on which nothing listens."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def make_dispatcher(ports):
    """Return a dispatcher whose servers listen on ports, tried in that order."""
    clock = SystemClock()
    directory = ServerDirectory(clock)
    vms = [
        VirtualMachine(f"{SERVICE}-{index}", SERVICE, "127.0.0.1", port, ZONE, "live")
        for index, port in enumerate(ports)
    ]
    directory.apply_vm_list(vms)
    for vm in vms:
        directory.apply_health(vm.vm_id, Health("ready", 4, 0), 0.0)
    context = ExchangeContext(
        ConnectionPool(clock), directory, CrashTracker(clock), NoSignals(), clock, 65536
    )
    return Dispatcher(context, OrderedChooser(), "vm-1")


class DispatcherTest(unittest.TestCase):
    """A silent server, two that are down, and a good one."""

    def test_second_attempt_that_reaches_nobody_is_replaced(self):
        async def run():
            silent, good = ScriptedServer("silent"), ScriptedServer("good")
            silent.script = async_stay_silent
            async with anyio.create_task_group() as tasks:
                await tasks.start(silent.async_serve)
                await tasks.start(good.async_serve)
                ports = [silent.port, find_closed_port(), find_closed_port(), good.port]
                dispatcher = make_dispatcher(ports)
                started_s = time.monotonic()
                call = Call(
                    HttpRequest(b"GET", b"/x", [(b"test-id", b"1")], b"", True),
                    KIND,
                    started_s + DEADLINE_S,
                    b"digest",
                    b"id-1",
                    b"",
                )
                admission = ServiceAdmission(10)
                result = await dispatcher.async_dispatch(call, admission)
                self.assertTrue(result.is_good, result.failure)
                self.assertLess(time.monotonic() - started_s, DEADLINE_S / 2)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
