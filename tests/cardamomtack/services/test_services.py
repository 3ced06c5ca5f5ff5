"""The adapters of the log service and the VM list, against their stand-ins."""

from __future__ import annotations

import time
import unittest
from collections.abc import Awaitable, Callable

import anyio
from httpx import AsyncClient

from cardamomtack.generated.services import VirtualMachine
from cardamomtack.services.log_service import (
    AppendOutcomeUnknownError,
    HttpLogService,
    LogUnavailableError,
)
from cardamomtack.services.vm_list import HttpVmList, VmListUnavailableError
from cardamomtack_standins.asgi import Service, async_serve_service
from cardamomtack_standins.fleet import find_free_ports
from cardamomtack_standins.log_service import LogFaults, LogServiceStandIn
from cardamomtack_standins.vm_list import VmListStandIn

STREAM = "prefix-stream"


async def async_with_service(
    service: Service, act: Callable[[AsyncClient, str], Awaitable[None]]
) -> None:
    """Serve a stand-in while something talks to it."""
    (port,) = find_free_ports(1)
    async with anyio.create_task_group() as tasks, AsyncClient() as client:
        stopped = anyio.Event()
        tasks.start_soon(async_serve_service, service, "127.0.0.1", port, stopped)
        url = f"http://127.0.0.1:{port}"
        while True:
            try:
                await client.get(f"{url}/other")
                break
            except Exception:
                await anyio.sleep(0.01)
        try:
            await act(client, url)
        finally:
            # The server of the stand-in doesn't take being cancelled.
            stopped.set()


class LogServiceContractTest(unittest.TestCase):
    """Appends and reads, fault by fault."""

    def run_case(
        self, act: Callable[[HttpLogService, LogServiceStandIn], Awaitable[None]]
    ) -> None:
        """Run a case with a fresh log."""
        standin = LogServiceStandIn(time.monotonic)

        async def act_with_client(client: AsyncClient, url: str) -> None:
            await act(HttpLogService(client, url, "prefix-"), standin)

        try:
            anyio.run(async_with_service, standin, act_with_client)
        except ExceptionGroup as group:
            raise group.exceptions[0] from group

    def test_records_come_back_in_order(self):
        async def act(log: HttpLogService, standin: LogServiceStandIn) -> None:
            offsets = [await log.async_append("stream", bytes([n])) for n in range(5)]
            self.assertEqual(offsets, [0, 1, 2, 3, 4])
            read = await log.async_read("stream", 1, 2, 0)
            self.assertEqual(read.records, [(1, b"\1"), (2, b"\2")])
            self.assertEqual((read.first_offset, read.next_offset), (0, 3))
            end = await log.async_read("stream", 5, 10, 10)
            self.assertEqual((end.records, end.next_offset), ([], 5))

        self.run_case(act)

    def test_expired_records_are_a_gap(self):
        async def act(log: HttpLogService, standin: LogServiceStandIn) -> None:
            for number in range(5):
                await log.async_append("stream", bytes([number]))
            standin.streams[STREAM].expire_before(3)
            gap = await log.async_read("stream", 1, 10, 0)
            self.assertTrue(gap.has_gap)
            self.assertEqual(gap.next_offset, 3)
            rest = await log.async_read("stream", gap.next_offset, 10, 0)
            self.assertEqual([offset for offset, _ in rest.records], [3, 4])

        self.run_case(act)

    def test_waiting_read_ends_with_the_next_record(self):
        async def act(log: HttpLogService, standin: LogServiceStandIn) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(log.async_append, "stream", b"late")
                read = await log.async_read("stream", 0, 10, 20_000)
            self.assertEqual(read.records, [(0, b"late")])

        self.run_case(act)

    def test_faults_of_appends(self):
        cases = [
            ("outage", LogFaults(is_out=True), AppendOutcomeUnknownError, 0),
            ("answer lost", LogFaults(lose_answers=1), AppendOutcomeUnknownError, 1),
            ("append lost", LogFaults(lose_appends=1), AppendOutcomeUnknownError, 0),
            (
                "over the rate",
                LogFaults(appends_per_second_max=1),
                LogUnavailableError,
                1,
            ),
            ("doubled", LogFaults(duplicate_appends=1), None, 2),
        ]
        for name, faults, error, records in cases:

            async def act(
                log: HttpLogService,
                standin: LogServiceStandIn,
                faults: LogFaults = faults,
                error: type[Exception] | None = error,
                records: int = records,
            ) -> None:
                standin.faults = faults
                if faults.appends_per_second_max:
                    await log.async_append("stream", b"first")
                if error is None:
                    await log.async_append("stream", b"record")
                else:
                    with self.assertRaises(error):
                        await log.async_append("stream", b"record")
                kept = standin.streams.get(STREAM)
                self.assertEqual(len(kept.records) if kept else 0, records)

            with self.subTest(name):
                self.run_case(act)

    def test_unreachable_log_has_surely_appended_nothing(self):
        async def act(log: HttpLogService, standin: LogServiceStandIn) -> None:
            async with AsyncClient() as client:
                (port,) = find_free_ports(1)
                away = HttpLogService(client, f"http://127.0.0.1:{port}", "")
                with self.assertRaises(LogUnavailableError):
                    await away.async_append("stream", b"record")
                with self.assertRaises(LogUnavailableError):
                    await away.async_read("stream", 0, 1, 0)

        self.run_case(act)


class VmListContractTest(unittest.TestCase):
    """The list, and a list that can't be read."""

    def test_list_and_outage(self):
        vm = VirtualMachine("a", "app", "127.0.0.1", 80, "zone", "live")
        standin = VmListStandIn([vm])

        async def act(client: AsyncClient, url: str) -> None:
            vm_list = HttpVmList(client, url)
            self.assertEqual(await vm_list.async_list(), [vm])
            standin.is_out = True
            with self.assertRaises(VmListUnavailableError):
                await vm_list.async_list()

        anyio.run(async_with_service, standin, act)


if __name__ == "__main__":
    unittest.main()
