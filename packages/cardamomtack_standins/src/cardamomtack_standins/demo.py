"""The demo: a deployment at its real size under load, with servers that fail."""

from __future__ import annotations

import threading
import time
from collections import Counter
from functools import partial
from random import Random

import anyio

from cardamomtack_standins.backend import BackendBehaviour
from cardamomtack_standins.bench.report import find_busiest_window, find_percentile
from cardamomtack_standins.fleet import Fleet
from cardamomtack_standins.load import Caller, CallerResult, LoadGenerator
from cardamomtack_standins.plan import plan_plomien

FREEZE_AFTER_S = 3.0
KILL_AFTER_S = 6.0
LOAD_S = 12.0
REQUESTS_PER_SECOND = 300.0
SEED = 1


def say(text: str) -> None:
    """Print one line of progress."""
    print(text, flush=True)


def run_load(fleet: Fleet) -> list[CallerResult]:
    """Send the load of the deployment through all VMs."""
    ports = [(fleet.vms[one].address, fleet.vms[one].port) for one in fleet.entry_ids]
    epoch_ms = int(time.time() * 1000)
    generator = LoadGenerator(fleet.plan, Caller(ports), Random(SEED), epoch_ms)
    run = partial(generator.async_run, REQUESTS_PER_SECOND, LOAD_S)
    anyio.run(run, backend_options={"use_uvloop": True})
    return generator.results


def break_servers(fleet: Fleet) -> None:
    """Freeze one server and kill another while the load runs."""
    time.sleep(FREEZE_AFTER_S)
    fleet.set_behaviour("dispatch-1", BackendBehaviour(is_frozen=True))
    say("  dispatch-1 is frozen: its connections stay open, nothing answers")
    time.sleep(KILL_AFTER_S - FREEZE_AFTER_S)
    fleet.set_behaviour("dispatch-2", BackendBehaviour(down_ms=60_000))
    fleet.crash_backend("dispatch-2")
    say("  dispatch-2 is killed")


def print_requests(results: list[CallerResult]) -> None:
    """Print requests by kind and outcome, and their latencies."""
    print("\nkind       requests  own answer  p50 ms  p99 ms  p99.9 ms  other outcomes")
    for kind in sorted({result.kind for result in results}):
        own = [result for result in results if result.kind == kind]
        good = [result.duration_s * 1000.0 for result in own if result.is_good]
        others = Counter(
            f"{result.status} {result.outcome}" for result in own if not result.is_good
        )
        print(
            f"{kind:9}  {len(own):8}  {len(good):10}  {find_percentile(good, 50):6.1f}"
            f"  {find_percentile(good, 99):6.1f}  {find_percentile(good, 99.9):8.1f}"
            f"  {', '.join(f'{n} x {name}' for name, n in others.items()) or '-'}"
        )


def print_promises(fleet: Fleet, results: list[CallerResult]) -> bool:
    """Print what was promised, and return whether it held."""
    runs = fleet.count_runs()
    keyed = [result for result in results if result.key]
    doubled = sum(count > 1 for count in runs.values())
    lied = sum(
        result.outcome == "not-run" and runs.get(result.key, 0) > 0 for result in keyed
    )
    lost = sum(result.is_good and runs.get(result.key, 0) != 1 for result in keyed)
    foreign = sum(result.status == 200 and not result.is_own for result in results)
    probes = find_busiest_window([at for log in fleet.read_logs() for at in log.probes])
    budget = fleet.plan.probes_per_second
    print(f"\nbookings and orders answered  {sum(one.is_good for one in keyed)}")
    print(f"  that ran twice              {doubled}")
    print(f"  answered, but not run once  {lost}")
    print(f'  "not run", but run          {lied}')
    print(f"answers to another request    {foreign}")
    print(f"probes in the busiest second  {probes} of {budget}")
    revisions = {
        vm_id: status.revision
        for vm_id in fleet.entry_ids
        if (status := fleet.read_status(vm_id)) is not None
    }
    print(f"revision in force             {revisions}")
    agreed = len(set(revisions.values())) == 1 and len(revisions) == len(
        fleet.entry_ids
    )
    return not (doubled or lied or lost or foreign) and probes <= budget and agreed


def main() -> None:
    """Run the demo; exit with 1 when a promise was broken."""
    plan = plan_plomien()
    servers = sum(service.servers for service in plan.services)
    say(f"starting {plan.entry_vms} entry VMs and {servers} backend servers")
    with Fleet(plan, SEED, {"balancer_notice_ms": 200}) as fleet:
        code, output = fleet.publish()
        say(output.strip())
        if code:
            raise SystemExit(1)
        fleet.wait_serving()
        say(f"sending {REQUESTS_PER_SECOND:.0f} requests a second for {LOAD_S:.0f} s")
        breaker = threading.Thread(target=break_servers, args=(fleet,))
        breaker.start()
        results = run_load(fleet)
        breaker.join()
        print_requests(results)
        held = print_promises(fleet, results)
        print("\nwhy servers get little work, as entry-01 sees it:")
        status = fleet.read_status("entry-01")
        for server in status.servers if status is not None else []:
            if server.why:
                print(f"  {server.vm_id}: {server.why}")
    say("\nevery promise held" if held else "\nA PROMISE WAS BROKEN")
    raise SystemExit(0 if held else 1)


if __name__ == "__main__":
    main()
