"""A soak: random faults of servers, VMs and the store, and what must hold throughout.

``SOAK_S`` and ``SOAK_SEED`` make it longer or another one:
``SOAK_S=600 SOAK_SEED=7 script/test tests/cardamomtack_daemon/replicas/test_soak.py``.
"""

from __future__ import annotations

import os
import unittest
from collections import Counter
from dataclasses import dataclass
from math import inf
from random import Random

import anyio

from tests.cardamomtack_daemon.forwarding.callers import Caller, CallerAnswer
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.cuts import Cut, CutNetwork
from tests.cardamomtack_daemon.forwarding.servers import (
    ScriptedServer,
    async_reset,
    write_answer,
    write_not_run,
)
from tests.cardamomtack_daemon.replicas.contact import StoreContact
from tests.cardamomtack_daemon.replicas.evacuations import SoakEvacuations
from tests.cardamomtack_daemon.replicas.keyed_calls import (
    METERED,
    QUOTA,
    KeyedCall,
    SoakWorkspaces,
)
from tests.cardamomtack_daemon.replicas.routes import describe_routes

CALL_ERRORS = (OSError, anyio.BrokenResourceError, TimeoutError)
CALLS_PER_S = 50.0
COPY_AGE_S_MAX = 4.0
CUT_S_MAX = 5.0
DEADLINE_MS = 1500
DRAIN_S_MAX = 4.0
"""Work that comes later than this after an entry says draining breaks a promise."""

EVACUATION_S = (7.0, 12.0)
FAULT_GAP_S = 0.6
FAULT_S = 2.5
FLOOD_PER_S = 25.0
FLOOD_S = 4.0
FULL_RUN_S = 0.3
FULL_SLOTS = 2
HEALED_S = 6.0
LATE_S = 0.8
ROUTES_IDLE = 1400
SERVERS = 6
VMS = 5
ZONES = ["zone-0", "zone-1", "zone-2"]
"""Zones of the servers; the VMs are in the first two."""

FOREIGN = b"HTTP/1.1 200 X\r\ntest-id: other\r\ntest-signature: s\r\n"
FOREIGN += b"content-length: 5\r\n\r\nother"

GRACE_S = 2.5
LEAVING_HEARD_S = 2.0
LIMIT_HEARD_S = 3.0
"""After how long all VMs keep a limit that a server names."""

LIMIT_S = 8.0
LIMIT_WINDOW_S = 4.0
MODES = (
    "shed",
    "fail",
    "cut",
    "foreign",
    "stale",
    "hang",
    "late",
    "short",
    "unsigned",
    "pause",
    "full",
)
PAUSE_HEARD_S = 0.5
PAUSE_REQUESTS_MAX = 2
PAUSE_S_MAX = 3.0
WRITTEN_AGAIN_S_MAX = 1.0
STALE = b"HTTP/1.1 503 X\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n"


@dataclass(slots=True)
class Pause:
    """A time in which a server wants nothing from a VM."""

    from_s: float
    until_s: float
    requests: int = 0


class SoakServer(ScriptedServer):
    """A server whose behaviour shifts, and that counts what it runs."""

    def __init__(
        self,
        server_id: str,
        zone: str,
        random: Random,
        runs: Counter,
        workspaces: SoakWorkspaces,
        evacuations: SoakEvacuations,
        findings: list[str],
    ) -> None:
        super().__init__(server_id, zone)
        self.is_leaving = False
        self._findings = findings
        self._pauses: dict[EntryVm, list[Pause]] = {}
        self._evacuations = evacuations
        self._running = 0
        self._told_at_s: dict[EntryVm, float] = {}
        self._workspaces = workspaces
        self.mode = "good"
        self.drains_at_s = inf
        self.incarnation = 1
        self.late_arrivals: list[str] = []
        self.arrived_s: list[float] = []
        self.limit_per_s: float | None = None
        self._random = random
        self._runs = runs
        self.script = SoakServer.async_act

    async def async_act(self, request, stream) -> None:
        """Run a request as the mode of now says, half of the time."""
        request_id = request.headers[b"test-id"].decode()
        self.arrived_s.append(anyio.current_time())
        call = self._workspaces.calls[request_id]
        vm = call.vm
        self.check_demands(vm, request_id)
        self._workspaces.check_arrival(request, call)
        self._evacuations.check_arrival(self.zone, vm, request_id)
        fields = {}
        if self.is_leaving:
            fields["test_leaving"] = "1"
            self._told_at_s.setdefault(vm, anyio.current_time())
        if self.limit_per_s is not None:
            fields["test_limit"] = f"{self.limit_per_s:g}"
        if self.mode == "full":
            await self.async_run_or_reset(request_id, request, stream)
            return
        mode = self.mode if self._random.random() < 0.5 else "good"
        if mode == "shed":
            await stream.send(write_not_run(request))
            return
        if mode == "pause":
            pause_s = round(self._random.uniform(0.2, PAUSE_S_MAX), 2)
            now_s = anyio.current_time()
            pause = Pause(now_s + PAUSE_HEARD_S, now_s + pause_s)
            self._pauses.setdefault(vm, []).append(pause)
            await stream.send(write_not_run(request, retry_after=str(pause_s)))
            return
        self._runs[request_id] += 1
        await anyio.sleep(self._random.uniform(0.0, 0.05))
        whole = write_answer(request, 200, request_id.encode(), **fields)
        if mode == "fail":
            await stream.send(write_answer(request, 500, b"no"))
        elif mode == "hang":
            await stream.receive()
        elif mode in ("cut", "short"):
            await stream.send(whole[:-3] if mode == "short" else b"")
            await stream.aclose()
        elif mode == "unsigned":
            await stream.send(whole.replace(b"test-signature: signed\r\n", b""))
        else:
            await anyio.sleep(LATE_S if mode == "late" else 0.0)
            before = {"foreign": FOREIGN, "stale": STALE}.get(mode, b"")
            await stream.send(before + whole)

    async def async_run_or_reset(self, request_id: str, request, stream) -> None:
        """Run a request slowly, or reset its connection when all slots are taken."""
        if self._running >= FULL_SLOTS:
            # A request may have begun before the server found that it is full.
            self._runs[request_id] += self._random.random() < 0.5
            await async_reset(stream)
            return
        self._runs[request_id] += 1
        self.set_running(self._running + 1)
        try:
            await anyio.sleep(FULL_RUN_S)
        finally:
            self.set_running(self._running - 1)
        await stream.send(write_answer(request, 200, request_id.encode()))

    def set_running(self, running: int) -> None:
        """Change what health checks tell."""
        self._running = running
        self.load = f"{running},0,{FULL_SLOTS if running else 4}"

    def check_demands(self, vm: EntryVm, request_id: str) -> None:
        """Note a request that a server had asked its VM not to send."""
        now_s = anyio.current_time()
        if now_s > self.drains_at_s + DRAIN_S_MAX:
            self.late_arrivals.append(request_id)
        if now_s > self._told_at_s.get(vm, now_s) + LEAVING_HEARD_S:
            self._findings.append(f"{request_id} came to leaving {self.server_id}")
        for pause in self._pauses.get(vm, []):
            if not pause.from_s < now_s < pause.until_s:
                continue
            pause.requests += 1
            if pause.requests > PAUSE_REQUESTS_MAX:
                self._findings.append(f"{request_id} came in a pause")

    def stay(self) -> None:
        """Start anew: what was said before holds no longer."""
        self.is_leaving = False
        self._pauses.clear()
        self._told_at_s.clear()

    def count_most(self, since_s: float, until_s: float) -> int:
        """Return the most requests that came in a window of a limit."""
        times = [one for one in self.arrived_s if since_s <= one <= until_s]
        return max(
            (
                sum(one <= other < one + LIMIT_WINDOW_S for other in times)
                for one in times
            ),
            default=0,
        )


class Soak:
    """A fleet, its faults, its callers, and what they saw."""

    def __init__(self, seed: int, length_s: float) -> None:
        self.random = Random(seed)
        self.length_s = length_s
        self.runs: Counter[str] = Counter()
        self.answers: dict[str, CallerAnswer] = {}
        self.findings: list[str] = []
        self.killed: set[EntryVm] = set()
        self.unanswered: list[str] = []
        self.version = 1
        self.last = 0
        self.store = EntryVm("vm-0", zone="zone-0", **QUOTA)
        self.vms = [self.store]
        self.vms += [
            EntryVm(f"vm-{number}", self.store, zone=f"zone-{number % 2}", **QUOTA)
            for number in range(1, VMS)
        ]
        self.store.codec.padding = describe_routes(ROUTES_IDLE)
        self.contact = StoreContact()
        self.workspaces = SoakWorkspaces(self.random, self.contact, self.findings)
        self.evacuations = SoakEvacuations(self.store, self.contact, self.findings)
        self.network = CutNetwork()
        self.scopes = [anyio.CancelScope() for _ in range(VMS)]
        self.servers = [
            SoakServer(
                f"server-{number}",
                ZONES[number % len(ZONES)],
                self.random,
                self.runs,
                self.workspaces,
                self.evacuations,
                self.findings,
            )
            for number in range(SERVERS)
        ]

    async def async_run(self) -> None:
        """Play faults and callers, then only callers, and check what they saw."""
        with self.network.apply():
            await self.async_play()

    async def async_play(self) -> None:
        """Play faults and callers, then only callers, and check what they saw."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for server in self.servers:
                await tasks.start(server.async_serve)
                self.store.register(server.make_entry())
            self.publish()
            for number in range(VMS):
                tasks.start_soon(self.async_run_vm, number)
            for vm in self.vms:
                await vm.async_wait_ready()
            tasks.start_soon(self.async_watch_versions)
            async with anyio.create_task_group() as callers:
                with anyio.move_on_after(self.length_s):
                    callers.start_soon(self.async_call_on, callers, self.length_s)
                    await self.async_break_things()
            await self.async_heal()
            self.check()
            tasks.cancel_scope.cancel()

    async def async_run_vm(self, number: int) -> None:
        """Run one VM until it is killed."""
        vm = self.vms[number]
        self.network.enter_vm(vm.settings.vm_id)
        self.tasks.start_soon(self.async_keep_calling, vm)
        with self.scopes[number]:
            await vm.daemon.async_serve(vm.stopping)

    async def async_watch_versions(self) -> None:
        """Note when the version in force goes back within one run of a VM."""
        seen: dict[int, int] = {}
        while True:
            self.contact.watch(self.vms)
            self.evacuations.watch(self.vms)
            for vm in self.vms:
                version = vm.daemon._routes.version
                if version < seen.get(id(vm), -1):
                    self.findings.append(f"{vm.settings.vm_id} went back to {version}")
                seen[id(vm)] = version
            await anyio.sleep(0.01)

    async def async_call_on(self, callers, length_s: float) -> None:
        """Send requests through all VMs."""
        ends_s = anyio.current_time() + length_s
        while anyio.current_time() < ends_s:
            await anyio.sleep(self.random.expovariate(CALLS_PER_S))
            callers.start_soon(self.async_call, self.random.choice(self.vms))

    async def async_keep_calling(self, vm: EntryVm) -> None:
        """Call on kept connections until the process is gone."""
        await anyio.sleep(self.random.uniform(0.5, 1.0))
        while not vm.daemon._stopped.is_set() and vm not in self.killed:
            try:
                async with vm.open_caller() as caller:
                    is_open = True
                    while is_open:
                        is_open = await self.async_call_on_kept(vm, caller)
                        await anyio.sleep(self.random.uniform(0.05, 0.5))
            except CALL_ERRORS:
                await anyio.sleep(0.1)

    async def async_call_on_kept(self, vm: EntryVm, caller: Caller) -> bool:
        """Send one request and return whether another may follow it."""
        answer = await self.async_call_keyed(caller, self.choose_request(vm))
        is_closing = answer.headers.get("connection") == "close"
        return answer.is_whole and not is_closing

    async def async_call(self, vm: EntryVm, workspace: str = "") -> None:
        """Send one request on a new connection and keep its answer."""
        call = self.choose_request(vm, workspace)
        try:
            async with vm.open_caller() as caller:
                await self.async_call_keyed(caller, call)
        except CALL_ERRORS:
            return

    def choose_request(self, vm: EntryVm, workspace: str = "") -> KeyedCall:
        """Return the next request at a VM, with a random key or one of a workspace."""
        self.last += 1
        route = self.random.choice(("book", "read"))
        return self.workspaces.make_call(f"{route}-{self.last}", route, vm, workspace)

    async def async_call_keyed(self, caller: Caller, call: KeyedCall) -> CallerAnswer:
        """Send a request and keep its answer, or that a VM gave none."""
        body, fields = call.write_body(), call.write_fields()
        await caller.async_send(call.route, call.request_id, body, DEADLINE_MS, fields)
        answer = await caller.async_receive()
        self.answers[call.request_id] = answer
        self.workspaces.check_answer(call, answer)
        if answer.status == 0 and call.vm not in self.killed:
            self.unanswered.append(call.request_id)
        return answer

    async def async_break_things(self) -> None:
        """Break one thing after another until cancelled."""
        acts = [
            self.async_shift_server,
            self.async_shift_server,
            self.async_crash_server,
            self.async_drain_server,
            self.async_leave_unlisted,
            self.async_cut_store,
            self.async_restore_store,
            self.async_kill_vm,
            self.async_stop_vm,
            self.async_publish,
            self.async_name_limit,
            self.async_cut_vms,
            self.async_cut_vms,
            self.async_evacuate,
            self.async_evacuate,
            self.async_flood,
            self.async_exchange_key,
        ]
        while True:
            self.tasks.start_soon(self.random.choice(acts))
            await anyio.sleep(self.random.expovariate(1.0 / FAULT_GAP_S))

    async def async_shift_server(self) -> None:
        """Let a server misbehave for a while."""
        server = self.random.choice(self.servers)
        server.mode = self.random.choice(MODES)
        await anyio.sleep(FAULT_S)
        server.mode = "good"

    async def async_crash_server(self) -> None:
        """Stop a server and start it again at its address, as another incarnation."""
        server = self.random.choice(self.servers)
        server.stop()
        await anyio.sleep(self.random.uniform(0.1, 1.0))
        if not server.is_stopped:
            return
        server.is_stopped = False
        await self.tasks.start(server.async_serve)
        self.register_anew(server)

    async def async_drain_server(self) -> None:
        """Let a server say that it drains, and be ready again later."""
        server = self.random.choice(self.servers)
        if server.drains_at_s < inf:
            return
        self.store.register(
            server.make_entry(is_draining=True, incarnation=server.incarnation)
        )
        if not any(vm.entries.is_out or vm.entries.is_silent for vm in self.vms):
            server.drains_at_s = anyio.current_time()
        await anyio.sleep(DRAIN_S_MAX + 1.0)
        self.register_anew(server)

    async def async_leave_unlisted(self) -> None:
        """Let a server say in its answers alone that it leaves, and start anew."""
        server = self.random.choice(self.servers)
        if server.is_leaving:
            return
        server.is_leaving = True
        await anyio.sleep(DRAIN_S_MAX + 1.0)
        self.register_anew(server)

    def register_anew(self, server: SoakServer) -> None:
        """Register a server as another incarnation that is ready."""
        server.incarnation += 1
        server.stay()
        server.drains_at_s = inf
        self.store.register(server.make_entry(incarnation=server.incarnation))

    async def async_cut_store(self) -> None:
        """Let the store refuse or ignore some or all VMs."""
        for server in self.servers:
            server.drains_at_s = max(server.drains_at_s, anyio.current_time() + FAULT_S)
        vms = self.random.sample(self.vms, self.random.choice((1, 2, VMS)))
        kind = self.random.choice(("is_out", "is_silent"))
        for vm in vms:
            setattr(vm.configuration, kind, True)
            setattr(vm.entries, kind, True)
        await anyio.sleep(FAULT_S)
        for vm in vms:
            setattr(vm.configuration, kind, False)
            setattr(vm.entries, kind, False)

    async def async_evacuate(self) -> None:
        """Evacuate a zone for a while."""
        free = self.evacuations.list_free(ZONES)
        if not free:
            return
        zone = self.random.choice(free)
        self.evacuations.begin(zone)
        await anyio.sleep(self.random.uniform(*EVACUATION_S))
        self.evacuations.end(zone)

    async def async_flood(self) -> None:
        """Let the workspace with a quota send far more, at one VM or at all."""
        vms = self.random.choice((self.vms, [self.random.choice(self.vms)]))
        with anyio.move_on_after(FLOOD_S):
            while True:
                await anyio.sleep(self.random.expovariate(FLOOD_PER_S))
                vm = self.random.choice(vms)
                self.tasks.start_soon(self.async_call, vm, METERED.name)

    async def async_exchange_key(self) -> None:
        """Write a version in which a key is replaced."""
        self.workspaces.exchange_key()
        self.publish()

    async def async_cut_vms(self) -> None:
        """Cut some or all VMs off from all or some servers for a while."""
        servers = self.random.choice((SERVERS, SERVERS, SERVERS // 2))
        ports = {one.port for one in self.random.sample(self.servers, servers)}
        cut = self.random.choice(list(Cut))
        vms = self.random.sample(self.vms, self.random.choice((1, 2, 3, VMS)))
        names = [vm.settings.vm_id for vm in vms]
        for name in names:
            self.network.cut(name, cut, ports)
        await anyio.sleep(self.random.uniform(0.5, CUT_S_MAX))
        for name in names:
            self.network.heal(name)

    async def async_restore_store(self) -> None:
        """Bring the store back from a copy; what was lost is written again."""
        logs = [self.store.configuration.log, self.store.entries.log]
        copies = [list(log.records) for log in logs]
        self.evacuations.note_event("copies the store")
        await anyio.sleep(self.random.uniform(0.5, COPY_AGE_S_MAX))
        away_s = self.random.uniform(0.0, 1.0)
        again_s = self.random.uniform(0.0, WRITTEN_AGAIN_S_MAX)
        until_s = anyio.current_time() + away_s + again_s
        for server in self.servers:
            server.drains_at_s = max(server.drains_at_s, until_s)
        self.contact.disturb(until_s)
        vms = list(self.vms)
        self.set_silent(vms, True)
        await anyio.sleep(away_s)
        for log, copy in zip(logs, copies, strict=True):
            log.restore(copy)
        self.evacuations.note_event("restores the store")
        self.set_silent(vms, False)
        await anyio.sleep(again_s)
        self.store.publish(self.workspaces.make_configuration(self.version))
        self.evacuations.write_again()
        for server in self.servers:
            entry = server.make_entry(
                is_draining=server.drains_at_s < inf,
                incarnation=server.incarnation,
            )
            self.store.register(entry)

    def set_silent(self, vms: list[EntryVm], is_silent: bool) -> None:
        """Let the store ignore some VMs, or answer them."""
        for vm in vms:
            vm.configuration.is_silent = is_silent
            vm.entries.is_silent = is_silent

    async def async_kill_vm(self) -> None:
        """Kill a VM and start it again."""
        number = self.random.randrange(1, VMS)
        old = self.vms[number]
        self.killed.add(old)
        self.scopes[number].cancel()
        await anyio.sleep(self.random.uniform(0.1, 1.0))
        self.replace_vm(number, old)

    async def async_stop_vm(self) -> None:
        """Stop a VM gracefully and start it again."""
        number = self.random.randrange(1, VMS)
        old = self.vms[number]
        old.stopping.set()
        with anyio.move_on_after(2.0 * GRACE_S):
            await old.daemon._stopped.wait()
        self.replace_vm(number, old)

    def replace_vm(self, number: int, old: EntryVm) -> None:
        """Start a VM that has ended again, unless that was done."""
        if self.vms[number] is not old:
            return
        self.vms[number] = EntryVm(
            old.settings.vm_id,
            self.store,
            zone=old.settings.availability_zone,
            grace_s=GRACE_S,
            **QUOTA,
        )
        self.scopes[number] = anyio.CancelScope()
        self.tasks.start_soon(self.async_run_vm, number)

    async def async_name_limit(self) -> None:
        """Let a server name a limit for a while, and check what it gets."""
        server = self.random.choice(self.servers)
        if server.limit_per_s is not None:
            return
        server.limit_per_s = self.random.choice((0.5, 1.8, 5.0))
        began_s = anyio.current_time()
        await anyio.sleep(LIMIT_S)
        ended_s = anyio.current_time()
        most = server.count_most(began_s + LIMIT_HEARD_S, ended_s)
        if most > 1.5 * server.limit_per_s * LIMIT_WINDOW_S + 5:
            self.findings.append(
                f"{server.server_id} got {most} at {server.limit_per_s}/s"
            )
        server.limit_per_s = None

    async def async_publish(self) -> None:
        """Write several configurations in quick succession."""
        for _ in range(self.random.randint(1, 4)):
            if self.random.random() < 0.5:
                self.workspaces.exchange_key()
            self.publish()
            await anyio.sleep(0.02)

    def publish(self) -> None:
        """Write a configuration."""
        self.version += 1
        self.store.publish(self.workspaces.make_configuration(self.version))

    async def async_heal(self) -> None:
        """Let all faults end and check that every VM serves again."""
        await anyio.sleep(HEALED_S)
        self.evacuations.remove_again(self.vms)
        self.publish()
        for server in self.servers:
            server.mode = "good"
        await anyio.sleep(HEALED_S)
        for vm in self.vms:
            request_id = f"read-healed-{vm.settings.vm_id}"
            call = self.workspaces.make_call(request_id, "read", vm, "one")
            async with vm.open_caller() as caller:
                answer = await self.async_call_keyed(caller, call)
            if answer.status != 200:
                self.findings.append(
                    f"{vm.settings.vm_id} answers {answer.status}: {answer.body!r}"
                )
            if vm.daemon._routes.version != self.version:
                self.findings.append(f"{vm.settings.vm_id} has an old version")

    def check(self) -> None:
        """Check what the callers saw against what ran."""
        self.workspaces.check_quota(self.store)
        self.evacuations.check_ended(self.vms)
        for request_id, answer in self.answers.items():
            ran = self.runs[request_id]
            is_own = ran and answer.body == request_id.encode()
            if answer.status == 200 and answer.is_whole and not is_own:
                self.findings.append(f"{request_id} got {answer.body!r}")
            if answer.status in (429, 503) and ran and request_id[0] == "b":
                self.findings.append(f"{request_id} got {answer.status} and ran")
        for request_id, count in self.runs.items():
            if count > (1 if request_id[0] == "b" else 2):
                self.findings.append(f"{request_id} ran {count} times")
        for request_id in self.unanswered:
            if self.runs[request_id]:
                self.findings.append(f"{request_id} ran and its connection was closed")
        for server in self.servers:
            for request_id in server.late_arrivals:
                self.findings.append(
                    f"{request_id} came to draining {server.server_id}"
                )


class SoakTest(unittest.TestCase):
    """What must hold under any faults."""

    def test_promises_hold(self):
        length_s = float(os.environ.get("SOAK_S", "15"))
        seed = int(os.environ.get("SOAK_SEED", "1"))

        async def run():
            soak = Soak(seed, length_s)
            await soak.async_run()
            statuses = Counter(answer.status for answer in soak.answers.values())
            print(f"seed {seed}, {length_s:g} s: {dict(sorted(statuses.items()))}")
            workspaces, evacuations = soak.workspaces, soak.evacuations
            print(
                f"{workspaces.revoked_calls} calls with revoked keys, "
                f"{evacuations.checked} requests beside evacuations, "
                f"{evacuations.removed_again} records removed again, "
                f"{workspaces.count_most(5.0)} requests in a window of the quota"
            )
            self.assertEqual(soak.findings, [], evacuations.events)
            # Calls beyond the quota and without a valid key have to be refused.
            served = soak.last - statuses[401] - statuses[429]
            self.assertGreater(statuses[200], 0.3 * served)

        anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
