"""A process that is told to stop ends requests that wait for a server (see claim.txt)."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins2 as kit  # noqa: E402

CALM_S = 3.5
EXPORTS = 4
EXPORT_WORK_S = 9.0
GRACE_S = 6.0
LIMIT_MS = 10_810
LOSS_SLACK_S = 0.2
PULL_WORK_S = 0.18
PULLS_AT_S = [1.7, 1.8, 1.9, 2.0, 2.1, 2.2, 2.3]


class Server(kit.Server):
    """A server at which exports take long and pulls do not."""

    def choose_work_s(self, line):
        return EXPORT_WORK_S if "/export/" in line else PULL_WORK_S


async def play(scratch, record, processes):
    ports = kit.find_ports(8)
    store = kit.Store()
    await store.start(ports[5])
    for number in range(2):
        one = Server(f"i-{number}", ports[6 + number], "ledger", 2, record)
        await one.start()
        store.register(one)
    route = {"kind": "download", "timeoutS": 10.81, "priority": 2, "attempts": 2}
    route["service"] = "ledger"
    store.publish(
        7,
        ["ledger"],
        [
            {"name": "p", "pathPrefix": "/pull/", "sloS": 4.324, **route},
            {"name": "e", "pathPrefix": "/export/", "sloS": 10.5, **route},
        ],
    )
    process = kit.Process(scratch, "edge-a-1", ports[:5], ports[5])
    processes.append(process)
    process.start()
    await process.wait_ready()
    lost = []

    async def ask(path, number, is_counted):
        began = time.monotonic()
        record.add(f"a client sends {number} ({path})")
        head = kit.make_head("GET", path, number, LIMIT_MS)
        status = await kit.send(process.front, head, wait_s=12)
        lasted = time.monotonic() - began
        record.add(f"the client of {number} gets {status} after {lasted:.2f} s")
        is_lost = status == 0 and LOSS_SLACK_S < lasted < LIMIT_MS / 1000
        if is_lost and is_counted:
            lost.append(number)

    # Usual traffic for a while, one pull after the other.
    ends = time.monotonic() + CALM_S
    number = 0
    while time.monotonic() < ends:
        number += 1
        await ask("/pull/x", f"before-{number}", True)
    tasks = []
    for number in range(EXPORTS):
        task = ask("/export/x", f"export-{number}", False)
        tasks.append(asyncio.create_task(task))
    await asyncio.sleep(1)
    began = time.monotonic()
    if kit.has_trouble():
        record.add("SIGTERM to the process")
        process.send(signal.SIGTERM)
    for number, at_s in enumerate(PULLS_AT_S):
        await asyncio.sleep(max(0.0, began + at_s - time.monotonic()))
        tasks.append(asyncio.create_task(ask("/pull/x", f"pull-{number}", True)))
    if kit.has_trouble():
        while process.code is None and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.02)
        if process.code is None:
            process.send(signal.SIGKILL)
        ended_s = time.monotonic() - began
        record.add(f"the process has ended {ended_s:.2f} s after SIGTERM")
    await asyncio.gather(*tasks)
    record.add(f"requests that were read and ended without an answer: {lost}")
    print(f"ended without an answer: {lost}")
    return 1 if lost else 0


kit.run_case(FOLDER, play)
