"""Two hosts have a route of the same name, and both are split (see claim.txt)."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins2 as kit  # noqa: E402

APPLY_S = 2.0
DEADLINE_MS = 2500
GAP_S = 0.02
ORDERS = 300
ALLOWED = {
    "shop.example": {"shop-a", "shop-b"},
    "fair.example": {"fair-a", "fair-b"},
}


def describe_hosts(is_split):
    """Return the routes of both hosts, each of which goes to the host's own services."""
    vhosts = []
    for host, services in ALLOWED.items():
        first, second = sorted(services)
        route = {"name": "orders", "pathPrefix": "/orders/", "kind": "non_idempotent"}
        route |= {"timeoutS": 2.5, "sloS": 0.4, "priority": 1, "attempts": 2}
        if is_split:
            parts = [(first, 80), (second, 20)]
            route["split"] = [{"service": s, "weight": w} for s, w in parts]
        else:
            route["service"] = first
        vhosts.append({"host": host, "paths": [route]})
    return vhosts


async def play(scratch, record, processes):
    names = sorted(set().union(*ALLOWED.values()))
    ports = kit.find_ports(6 + len(names))
    store = kit.Store()
    await store.start(ports[5])
    servers = []
    for number, name in enumerate(names):
        one = kit.Server(f"i-{name}", ports[6 + number], name, 6, record)
        await one.start()
        store.register(one)
        servers.append(one)
    store.publish(7, names, [], vhosts=describe_hosts(False))
    process = kit.Process(scratch, "edge-a-1", ports[:5], ports[5])
    processes.append(process)
    process.start()
    await process.wait_ready()
    hosts = {}
    counts = {}

    async def order(host, number):
        hosts[number] = host
        head = kit.make_head("POST", "/orders/x", number, DEADLINE_MS)
        head = head.replace(b"one.example", host.encode())
        record.add(f"a client sends {number} to {host}")
        status = await kit.send(process.front, head)
        counts[status] = counts.get(status, 0) + 1
        record.add(f"the client of {number} ({host}) gets {status}")

    async def send_orders(prefix):
        tasks = []
        for number in range(ORDERS):
            host = list(ALLOWED)[number % 2]
            task = order(host, f"{prefix}{number}")
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)

    await send_orders("before-")
    if kit.has_trouble():
        record.add("the operator stores version 8, in which both routes are split")
        store.publish(8, names, [], vhosts=describe_hosts(True))
        await asyncio.sleep(APPLY_S)
    await send_orders("after-")
    wrong = [
        (number, one.service)
        for one in servers
        for number in one.runs
        if one.service not in ALLOWED[hosts[number]]
    ]
    for number, service in wrong:
        record.add(f"{number} to {hosts[number]} was run by {service}")
    record.add(f"statuses: {counts}; run by another host's service: {len(wrong)}")
    print(f"statuses {counts}, run by another host's service: {len(wrong)}")
    return 1 if wrong else 0


kit.run_case(FOLDER, play)
