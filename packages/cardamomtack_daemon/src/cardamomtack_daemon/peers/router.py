"""Takes the messages of peers to the areas that they concern."""

from __future__ import annotations

from anyio import Event, move_on_after

from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.configuration.const import REVISION_NONE
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.generated.peer import (
    AnswerRequest,
    CrashReport,
    HeaderField,
    Heartbeat,
    KeptAnswer,
    LoadReport,
    PeerMessage,
    ServerLoad,
    SnapshotRequest,
)
from cardamomtack.generated.services import Health
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.measuring.pacer import MeasuringLimiter
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.util.digests import rank_by_rendezvous_hash
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.peers.exchange import PeerExchange
from cardamomtack_daemon.peers.stream import encode_frame
from cardamomtack_daemon.traffic.answer_cache import AnswerCache

ANSWER_TIMEOUT_S = 0.5
HEALTH_STATES = ("draining", "ready", "starting")


class PeerRouter:
    """Shares with the other VMs what is useful, and may be lost at any time.

    Parameters
    ----------
    configuration : ConfigurationCoordinator
        Gives and takes snapshots.
    directory : ServerDirectory
        Takes load and drains.
    crash_tracker : CrashTracker
        Takes crashes.
    answers : AnswerCache
        Answers that other VMs ask for.
    pacer : MeasuringLimiter
        Bounds load reports.
    clock : Clock
        Tells the time.
    """

    __slots__ = (
        "_answers",
        "_clock",
        "_configuration",
        "_crash_tracker",
        "_directory",
        "_is_behind",
        "_pacer",
        "_waiting",
        "exchange",
        "report_bytes",
    )

    def __init__(
        self,
        configuration: ConfigurationCoordinator,
        directory: ServerDirectory,
        crash_tracker: CrashTracker,
        answers: AnswerCache,
        pacer: MeasuringLimiter,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._crash_tracker = crash_tracker
        self._answers = answers
        self._pacer = pacer
        self._clock = clock
        self._is_behind = False
        self._waiting: dict[bytes, _AwaitedAnswer] = {}
        self.exchange: PeerExchange | None = None
        self.report_bytes = 0

    def build_heartbeat(self) -> Heartbeat:
        """Return what the next heartbeat says."""
        in_force = self._configuration.active_revision
        revision = in_force.number if in_force else REVISION_NONE
        return Heartbeat(revision, self._configuration.fold.folded_to)

    def handle_message(self, peer_id: str, message: PeerMessage) -> PeerMessage | None:
        """Take a message and return the reply, if there is one."""
        if message.heartbeat is not None:
            return self._handle_heartbeat(message.heartbeat)
        if message.snapshot_request is not None:
            newer_than = message.snapshot_request.newer_than
            snapshot = self._configuration.build_snapshot(newer_than)
            return PeerMessage(snapshot=snapshot) if snapshot else None
        if message.snapshot is not None:
            self._configuration.apply_snapshot(message.snapshot)
        elif message.load is not None:
            self._handle_load(message.load)
        elif message.crash is not None:
            crash = message.crash
            self._crash_tracker.record_crash(crash.vm_id, crash.request_digests)
        elif message.answer_request is not None:
            return self._handle_answer_request(message.answer_request)
        elif message.answer is not None:
            self._handle_answer(message.answer)
        return None

    def report_draining(self, vm_id: str, reason: str) -> None:
        """Note that a server leaves and tell the others."""
        if self._directory.mark_draining(vm_id, reason):
            self.broadcast_loads([ServerLoad(vm_id, "draining", 0, 0)])

    def report_crash(self, vm_id: str, request_digests: list[bytes]) -> None:
        """Note that a server crashed and tell the others."""
        self._crash_tracker.record_crash(vm_id, request_digests)
        if self.exchange is not None:
            report = CrashReport(vm_id, request_digests)
            self.exchange.broadcast(PeerMessage(crash=report))

    def compute_retry_turn(self, vm_id: str) -> int:
        """Return when it is this VM's turn, from 0, to try suspects of a server."""
        if self.exchange is None:
            return 0
        members = [self.exchange.vm_id, *self.exchange.links]
        return rank_by_rendezvous_hash(vm_id, members).index(self.exchange.vm_id)

    def broadcast_loads(self, loads: list[ServerLoad]) -> bool:
        """Tell the others what was measured and return whether the budget let it."""
        if self.exchange is None or not self.exchange.links:
            return False
        message = PeerMessage(load=LoadReport(loads))
        size_bytes = len(encode_frame(message)) * len(self.exchange.links)
        now_s = self._clock.read_monotonic_s()
        if not self._pacer.spend_report(size_bytes, now_s):
            return False
        self.report_bytes += self.exchange.broadcast(message)
        return True

    async def async_fetch_answer(
        self, incarnation: str, claim_id: bytes
    ) -> HttpAnswer | None:
        """Return the answer that a VM incarnation keeps for a claim, or None."""
        if self.exchange is None:
            return None
        vm_id = self.exchange.find_incarnation(incarnation)
        if vm_id is None:
            return None
        awaited = self._waiting.setdefault(claim_id, _AwaitedAnswer())
        request = PeerMessage(answer_request=AnswerRequest(claim_id))
        if not self.exchange.send_message(vm_id, request):
            return None
        with move_on_after(ANSWER_TIMEOUT_S):
            await awaited.arrived.wait()
        self._waiting.pop(claim_id, None)
        return awaited.answer

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> PeerMessage | None:
        """Ask for the configuration of a peer that stays ahead."""
        in_force = self._configuration.active_revision
        revision = in_force.number if in_force else REVISION_NONE
        if heartbeat.revision <= revision:
            self._is_behind = False
            return None
        # The log usually brings the revision before the next heartbeat does.
        was_behind = self._is_behind
        self._is_behind = not was_behind
        if not was_behind and in_force is not None:
            return None
        return PeerMessage(snapshot_request=SnapshotRequest(revision))

    def _handle_load(self, report: LoadReport) -> None:
        """Take what a peer measured."""
        now_s = self._clock.read_monotonic_s()
        for load in report.servers:
            if load.state not in HEALTH_STATES:
                continue
            health = Health(load.state, 0, load.in_use)  # type: ignore[arg-type]
            measured_at_s = now_s - load.age_ms / MS_PER_S
            self._directory.apply_health(load.vm_id, health, measured_at_s)

    def _handle_answer_request(self, request: AnswerRequest) -> PeerMessage:
        """Return the answer that is kept for a claim."""
        answer = self._answers.get_answer(request.claim_id)
        if answer is None:
            return PeerMessage(answer=KeptAnswer(request.claim_id, 0, [], b""))
        headers = [HeaderField(name, value) for name, value in answer.headers]
        kept = KeptAnswer(request.claim_id, answer.status, headers, answer.body)
        return PeerMessage(answer=kept)

    def _handle_answer(self, kept: KeptAnswer) -> None:
        """Give a kept answer to those that wait for it."""
        awaited = self._waiting.get(kept.claim_id)
        if awaited is None:
            return
        if kept.status:
            headers = [(field.name, field.value) for field in kept.headers]
            awaited.answer = HttpAnswer(kept.status, headers, kept.body)
        awaited.arrived.set()


class _AwaitedAnswer:
    """An answer that another VM was asked for."""

    __slots__ = ("answer", "arrived")

    def __init__(self) -> None:
        self.answer: HttpAnswer | None = None
        self.arrived = Event()
