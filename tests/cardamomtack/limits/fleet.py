"""A fleet of VMs in one loop, which hear one another after a delay, or not at all."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from cardamomtack.discovery.entry import ServerEntry
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import Member
from cardamomtack.helpers.clock import ManualClock
from cardamomtack.limits.coordinator import LimitCoordinator
from cardamomtack.replicas.members import MemberTable

DELAY_S_MAX = 0.03
STEP_S = 0.01
TICK_S = 0.5
WELCOME_S = 0.1
"""After how long a VM that starts has heard what the others know."""

WORK_S = 0.1


@dataclass(order=True)
class Event:
    """Something that reaches a VM at a moment."""

    at_s: float
    number: int
    vm: SimulatedVm = field(compare=False)
    act: object = field(compare=False)


class SimulatedVm:
    """One VM with the limits that it knows."""

    def __init__(self, fleet: SimulatedFleet, number: int, run: int = 0) -> None:
        self.number = number
        self.run = run
        self.member = Member(
            f"vm-{number}", str(run), f"zone-{number % 3}", "127.0.0.1", 1
        )
        self.members = MemberTable(self.member)
        self.registry = ServerRegistry(fleet.clock)
        self.registry.apply_entry(fleet.entry)
        self.coordinator = LimitCoordinator(self.members, self.registry, fleet.clock)
        self.beats = 0
        self.calls_per_s = fleet.calls_per_s
        self.is_cut = False
        self.is_frozen_until_s = 0.0
        self.is_up = True

    @property
    def server(self):
        """Return the server as this VM sees it."""
        return self.registry.servers["server"]


class SimulatedFleet:
    """Plays VMs that all want to send to one server more often than it takes.

    Attributes
    ----------
    rate_per_s : float or None
        The limit that the server names in its answers.
    arrived_s : list of float
        When requests came to the server.
    """

    def __init__(self, vms: int, rate_per_s: float, seed: int, calls_per_s=4.0) -> None:
        self.calls_per_s = calls_per_s
        self.clock = ManualClock()
        self.random = Random(seed)
        self.rate_per_s: float | None = rate_per_s
        self.arrived_s: list[float] = []
        self.entry = ServerEntry(
            server_id="server",
            service="desk",
            address="127.0.0.1",
            port=1,
            availability_zone="zone-0",
            slots=4,
            is_draining=False,
            warm_up_left_s=0.0,
            incarnation=1,
        )
        self._events: list[Event] = []
        self._count = 0
        self.vms = [SimulatedVm(self, number) for number in range(vms)]
        for vm in self.vms:
            self.introduce(vm)

    @property
    def now_s(self) -> float:
        """Return the time of the simulation."""
        return self.clock.read_monotonic_s()

    def introduce(self, vm: SimulatedVm) -> None:
        """Let a VM that starts know the others, and them know it."""
        for other in self.vms:
            if other is not vm and other.is_up:
                vm.members.update_member(other.member)
                other.members.update_member(vm.member)
        vm.coordinator.has_joined = True

    def post(self, vm: SimulatedVm, delay_s: float, act) -> None:
        """Have something reach a VM later."""
        self._count += 1
        heapq.heappush(self._events, Event(self.now_s + delay_s, self._count, vm, act))

    def tell(self, sender: SimulatedVm, act) -> None:
        """Have something reach all other VMs that are not cut off."""
        if sender.is_cut:
            return
        for vm in self.vms:
            if vm is not sender and vm.is_up and not vm.is_cut:
                self.post(vm, self.random.uniform(0.0, DELAY_S_MAX), act)

    def restart(self, vm: SimulatedVm, pause_s: float) -> None:
        """Kill a VM and start it again with nothing of what it knew."""
        vm.is_up = False
        newer = SimulatedVm(self, vm.number, vm.run + 1)
        newer.is_up = False

        def start(_):
            newer.is_up = True
            self.introduce(newer)
            self.post(newer, self.random.uniform(0.0, WELCOME_S), self.welcome)

        self.vms[self.vms.index(vm)] = newer
        self.post(newer, pause_s, start)

    def welcome(self, vm: SimulatedVm) -> None:
        """Tell a VM what another one knows."""
        known = next((one for one in self.vms if one is not vm and one.is_up), None)
        if known is None:
            return
        for one in known.coordinator.statements.list_statements():
            vm.coordinator.statements.apply_notice(
                one.server_key, one.rate_per_s, one.heard_at_s
            )
        vm.coordinator.share_limits()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.clock.advance(STEP_S)
            while self._events and self._events[0].at_s <= self.now_s:
                event = heapq.heappop(self._events)
                if event.vm.is_frozen_until_s > self.now_s:
                    self.post(
                        event.vm, event.vm.is_frozen_until_s - self.now_s, event.act
                    )
                else:
                    event.act(event.vm)
            for vm in self.vms:
                self._step(vm)

    def count_most(self, since_s: float, window_s: float) -> int:
        """Return the most requests that came in a window since a moment."""
        times = [one for one in self.arrived_s if one >= since_s]
        return max(
            (sum(one <= other < one + window_s for other in times) for one in times),
            default=0,
        )

    def _step(self, vm: SimulatedVm) -> None:
        """Let a VM do what it does in a step of time."""
        now_s = self.now_s
        if not vm.is_up or vm.is_frozen_until_s > now_s:
            return
        if int(now_s / TICK_S) != int((now_s - STEP_S) / TICK_S):
            self._tick(vm)
        if self.random.random() >= vm.calls_per_s * STEP_S:
            return
        if vm.coordinator.record_request(now_s):
            self._tick(vm)
        if vm.server.is_usable(now_s) and vm.server.reserve_send(now_s):
            self.arrived_s.append(now_s)
            rate_per_s = self.rate_per_s
            self.post(vm, WORK_S, lambda one: self._answer(one, rate_per_s, now_s))

    def _tick(self, vm: SimulatedVm) -> None:
        """Let a VM tell that it is there, and work out its shares."""
        if vm.coordinator.record_due_heartbeat(self.now_s):
            vm.beats += 1
            beat = (vm.member.vm_id, vm.member.incarnation, vm.beats)
            is_idle = vm.coordinator.presence.is_idle
            self.tell(
                vm,
                lambda one: one.coordinator.presence.record_heartbeat(
                    *beat, is_idle, self.now_s
                ),
            )
        vm.coordinator.share_limits()

    def _answer(self, vm: SimulatedVm, rate_per_s, sent_at_s: float) -> None:
        """Let a VM hear an answer, and tell the others what is news."""
        if not vm.is_up:
            return
        key = vm.server.key
        if not vm.coordinator.statements.record_answer(
            key, rate_per_s, sent_at_s, self.now_s
        ):
            return
        heard_at_s = self.now_s
        self._tick(vm)

        def hear(one: SimulatedVm) -> None:
            one.coordinator.statements.apply_notice(key, rate_per_s, heard_at_s)
            self._tick(one)

        self.tell(vm, hear)
