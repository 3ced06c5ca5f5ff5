"""Streams between the VMs: topics and news flow from readers to the others."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import (
    TASK_STATUS_IGNORED,
    Event,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    move_on_after,
    sleep,
)
from anyio.abc import SocketStream, TaskStatus
from loguru import logger

from cardamomtack.generated.relay import (
    CrashNotice,
    Freshness,
    Member,
    Members,
    RelayMessage,
    ServerLimit,
    ServerLimits,
    Subscribe,
    VmHeartbeat,
)
from cardamomtack.helpers.clock import Clock
from cardamomtack.replicas.members import MemberTable
from cardamomtack.replicas.packing import BaseUnknownError, PackingError
from cardamomtack.replicas.peer_clock import PeerClock
from cardamomtack.replicas.replica_set import ReplicaSet
from cardamomtack.replicas.topic import TopicGapError, TopicReplica
from cardamomtack_daemon.peers.accepting import async_accept
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    encode_frame,
)
from cardamomtack_daemon.replicas.const import (
    ASK_PAUSE_S,
    DIAL_PAUSE_S,
    DIAL_TIMEOUT_S,
    FRESHNESS_GAP_S,
    FRESHNESS_S,
    SILENCE_S_MAX,
    SLACK_S_MAX,
    SLACK_TRIAL_S,
    START_QUERY_S,
    START_QUERY_S_MAX,
    START_QUERY_TURN_S,
    START_QUERY_VMS_MAX,
    SUBSCRIBE_TIMEOUT_S,
)
from cardamomtack_daemon.replicas.outbox import Outbox

NOTICES_KEPT = 200

RELAY_ERRORS = (
    *STREAM_ERRORS,
    BaseUnknownError,
    OverflowError,
    PackingError,
    TopicGapError,
)
"""What ends a stream; a number too large to compute with is one of them."""


class FleetListener(Protocol):
    """Takes what other VMs tell of servers and of themselves."""

    def apply_crash(self, notice: CrashNotice) -> None:
        """Apply the notice of a crash that was not seen before."""

    def apply_limits(self, limits: list[ServerLimit]) -> list[ServerLimit]:
        """Apply limits of servers, and return those that are news."""

    def apply_heartbeat(self, heartbeat: VmHeartbeat) -> bool:
        """Apply the heartbeat of a VM, and return whether it is news."""

    def list_limits(self) -> list[ServerLimit]:
        """Return what a VM that was not heard of may have missed."""


class _StartQueries:
    """The VMs that are asked at the start.

    Attributes
    ----------
    answering : int
        Those that have begun to answer and have not ended.
    asked : int
        Those that have not ended.
    has_answer : bool
        Whether one has begun to answer, and knows of this run.
    """

    __slots__ = ("_changed", "answering", "asked", "has_answer")

    def __init__(self) -> None:
        self._changed = Event()
        self.answering = 0
        self.asked = 0
        self.has_answer = False

    def mark_changed(self) -> None:
        """Note that a VM has begun to answer, or has ended."""
        self._changed.set()
        self._changed = Event()

    async def async_wait(self, timeout_s: float) -> bool:
        """Wait for the next change, and return whether there was one."""
        changed = self._changed
        with move_on_after(timeout_s):
            await changed.wait()
        return changed.is_set()


class TopicRelay:
    """Serves subscribers and hears from one upstream VM.

    Parameters
    ----------
    members : MemberTable
        The VMs.
    replicas : list of TopicReplica
        The topics that are passed on.
    listener : FleetListener
        Takes what other VMs tell.
    clock : Clock
        Tells the time.
    random : Random
        Chooses whom to ask.
    """

    __slots__ = (
        "_clock",
        "_confirmed",
        "_has_others",
        "_listener",
        "_members",
        "_notices",
        "_random",
        "_replicas",
        "_subscribers",
        "_upstream",
        "_upstream_id",
    )

    def __init__(
        self,
        members: MemberTable,
        replicas: list[TopicReplica],
        listener: FleetListener,
        clock: Clock,
        random: Random,
    ) -> None:
        self._listener = listener
        self._random = random
        self._clock = clock
        self._confirmed = Event()
        self._has_others = Event()
        self._members = members
        self._notices: OrderedDict[str, CrashNotice] = OrderedDict()
        self._replicas = ReplicaSet(replicas, clock)
        self._subscribers: set[Outbox] = set()
        self._upstream: Outbox | None = None
        self._upstream_id = ""
        for replica in replicas:
            replica.add_records_listener(self._mark_news)
            replica.add_confirmation_listener(self._record_confirmation)

    def broadcast_crash(self, notice: CrashNotice) -> None:
        """Notify all VMs of a crash that this VM has seen."""
        self._forward_crash(notice, None)

    def broadcast_limits(self, limits: list[ServerLimit]) -> None:
        """Tell all VMs of limits of servers that this VM has heard."""
        self._forward(RelayMessage(limits=ServerLimits(limits)), None)

    def broadcast_heartbeat(self, heartbeat: VmHeartbeat) -> None:
        """Tell all VMs that this one is there."""
        self._forward(RelayMessage(heartbeat=heartbeat), None)

    def broadcast_leaving(self) -> None:
        """Notify all VMs that this one leaves."""
        own = self._members.own
        leaving = Member(
            own.vm_id,
            own.incarnation,
            own.availability_zone,
            own.address,
            own.port,
            is_leaving=True,
        )
        self._forward(RelayMessage(members=Members([leaving])), None)

    def apply_members(self, members: list[Member]) -> None:
        """Apply news of VMs and tell the others what is new."""
        self._apply_members(members, None)

    def is_root(self) -> bool:
        """Return whether this VM hears from no other."""
        now_s = self._clock.read_monotonic_s()
        return self._members.choose_upstream(now_s) is None

    async def async_serve(
        self,
        address: str,
        port: int,
        *,
        task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
    ) -> None:
        """Serve subscribers until cancelled; started once it listens."""
        listener = await create_tcp_listener(local_host=address, local_port=port)
        async with create_task_group() as tasks:
            task_status.started()
            tasks.start_soon(self._async_tell_freshness)
            await async_accept(listener, self._async_serve_subscriber)

    async def async_subscribe(self) -> None:
        """Hear from an upstream VM until cancelled, from another when it is silent."""
        while True:
            now_s = self._clock.read_monotonic_s()
            upstream = self._members.choose_upstream(now_s)
            if upstream is None or not await self._async_subscribe_to(upstream):
                await self._async_pause()

    async def _async_pause(self) -> None:
        """Wait before the next attempt; at the start, until others are known."""
        if self._has_others.is_set():
            await sleep(DIAL_PAUSE_S)
            return
        with move_on_after(DIAL_PAUSE_S):
            await self._has_others.wait()

    async def async_query_others(self) -> None:
        """Ask one VM after the other until the topics are known, at the start.

        One that is slow to answer does not delay the next one. Each learns of this
        run, and tells the others.
        """
        others = self._choose_first()
        queries = _StartQueries()
        silent_turns = 0
        is_silent = False
        async with create_task_group() as tasks:
            while self._replicas.is_stale() or not queries.has_answer:
                # Counts turns and not time, so that a process that was held up still
                # reads what has arrived meanwhile.
                is_told = queries.answering or self._replicas.is_known()
                wait_s = START_QUERY_S_MAX if is_told else START_QUERY_S
                if silent_turns >= wait_s / START_QUERY_TURN_S:
                    break
                # One that has answered and knows too little has probably just started,
                # as the others have, so the next one is asked only after a silent turn.
                is_promising = is_silent or not queries.has_answer
                if others and is_promising and not queries.answering:
                    tasks.start_soon(self._async_query, others.pop(0), queries)
                elif not queries.asked and not self._has_other_readers():
                    break
                is_silent = not await queries.async_wait(START_QUERY_TURN_S)
                silent_turns += is_silent
            tasks.cancel_scope.cancel()

    def is_reader(self) -> bool:
        """Return whether this VM reads the store for others."""
        return self._members.is_reader(self._clock.read_monotonic_s())

    def _choose_first(self) -> list[Member]:
        """Return the VMs to ask at the start, first the one to hear from later on."""
        others = self._members.list_members()[1:]
        chosen = self._random.sample(others, min(START_QUERY_VMS_MAX, len(others)))
        upstream = self._members.choose_upstream(self._clock.read_monotonic_s())
        if upstream is not None:
            chosen = [upstream, *(one for one in chosen if one is not upstream)]
        return chosen[:START_QUERY_VMS_MAX]

    def _has_other_readers(self) -> bool:
        """Return whether other VMs read the store for this one."""
        return self._members.count > 1 and not self.is_reader()

    async def _async_query(self, other: Member, queries: _StartQueries) -> None:
        """Ask one VM at the start."""
        queries.asked += 1
        is_answering = False

        def begin() -> None:
            nonlocal is_answering
            if not is_answering:
                is_answering = True
                queries.answering += 1
                queries.has_answer = True
                queries.mark_changed()

        try:
            await self._async_ask(other, begin)
        except RELAY_ERRORS as error:
            logger.bind(vm=other.vm_id, error=repr(error)).debug("VM not heard")
        finally:
            queries.asked -= 1
            queries.answering -= is_answering
            queries.mark_changed()

    async def async_ask_others(self) -> None:
        """Ask one VM after the other what it knows, while this one knows nothing fresh.

        The store may answer few VMs, and none of those from which this one hears.
        """
        while True:
            await sleep(ASK_PAUSE_S)
            if not self._replicas.is_stale():
                continue
            other = self._members.choose_other(self._random, self._upstream_id)
            if other is None:
                continue
            try:
                await self._async_ask(other)
            except RELAY_ERRORS as error:
                logger.bind(vm=other.vm_id, error=repr(error)).debug("VM not heard")

    async def _async_ask(
        self, other: Member, record_message: Callable[[], None] = lambda: None
    ) -> None:
        """Take what a VM knows at the moment, up to how fresh it is.

        Parameters
        ----------
        record_message : callable
            Is called with each message that has arrived.

        Raises
        ------
        OSError
            When it can't be reached.
        TimeoutError
            When it is silent.
        """
        with fail_after(DIAL_TIMEOUT_S):
            stream = await connect_tcp(other.address, other.port)
        async with stream:
            messages = MessageStream(stream, RelayMessage)
            peer_clock = PeerClock(self._clock.read_boot_s())
            await messages.async_send_frame(self._encode_subscription(False))
            is_told = False
            while not is_told:
                message = await messages.async_receive(SILENCE_S_MAX)
                record_message()
                self._handle_message(message, None, other.vm_id)
                if message.freshness is not None:
                    self._replicas.apply_freshness(
                        message.freshness, other.vm_id, peer_clock
                    )
                    is_told = True

    async def _async_subscribe_to(self, upstream: Member) -> bool:
        """Subscribe to a VM and take what it says until it is silent.

        Returns
        -------
        bool
            Whether it was left because another VM is the right one now.
        """
        stream: SocketStream | None = None
        try:
            with move_on_after(DIAL_TIMEOUT_S):
                stream = await connect_tcp(upstream.address, upstream.port)
        except OSError as error:
            logger.bind(upstream=upstream.vm_id, error=repr(error)).info(
                "upstream VM can't be reached"
            )
        if stream is None:
            self._mark_unreachable(upstream)
            return False
        outbox = Outbox(self._encode_freshness)
        messages = MessageStream(stream, RelayMessage)
        try:
            async with stream, create_task_group() as tasks:
                tasks.start_soon(outbox.async_write, messages)
                logger.bind(upstream=upstream.vm_id).info("hearing from upstream VM")
                self._upstream = outbox
                self._upstream_id = upstream.vm_id
                outbox.add_frame(self._encode_subscription(True))
                self._send_notices(outbox)
                await self._async_receive_messages(messages, outbox, upstream)
                tasks.cancel_scope.cancel()
        except* RELAY_ERRORS as group:
            logger.bind(
                upstream=upstream.vm_id,
                error=repr(group.exceptions[0]),
                arrived_bytes=messages.arrived_bytes,
                expected_bytes=messages.expected_bytes,
            ).info("stream from upstream VM ended")
            self._mark_unreachable(upstream)
        finally:
            self._upstream = None
            self._upstream_id = ""
        return self._members.is_reachable(
            upstream.vm_id, self._clock.read_monotonic_s()
        )

    def _mark_unreachable(self, upstream: Member) -> None:
        """Pass over an upstream VM for a while."""
        self._members.mark_unreachable(upstream.vm_id, self._clock.read_monotonic_s())

    async def _async_receive_messages(
        self, messages: MessageStream[RelayMessage], outbox: Outbox, upstream: Member
    ) -> None:
        """Receive the messages of an upstream VM while this VM subscribes to it.

        Raises
        ------
        TimeoutError
            When it is silent.
        """
        peer_clock = PeerClock(self._clock.read_boot_s())
        began_s = self._clock.read_monotonic_s()
        while True:
            message = await messages.async_receive(SILENCE_S_MAX)
            self._handle_message(message, outbox, upstream.vm_id)
            now_s = self._clock.read_monotonic_s()
            if message.freshness is not None:
                self._replicas.apply_freshness(
                    message.freshness, upstream.vm_id, peer_clock
                )
                self._rate_upstream(upstream, message.freshness)
            best = self._members.choose_upstream(now_s)
            if best is None or best.vm_id != upstream.vm_id:
                return
            if peer_clock.slack_s > SLACK_S_MAX and now_s - began_s > SLACK_TRIAL_S:
                # Another subscription to the same VM tells its times more closely.
                return

    def _rate_upstream(self, upstream: Member, freshness: Freshness) -> None:
        """Pass over an upstream VM that the store does not answer while it does others.

        When the store answers nobody, all go on to hear from whom they heard before.
        """
        if self._replicas.covers_all(freshness):
            self._members.mark_reachable(upstream.vm_id)
        elif self._replicas.knows_more(freshness, upstream.vm_id):
            self._mark_unreachable(upstream)

    async def _async_serve_subscriber(self, stream: SocketStream) -> None:
        """Serve one subscriber until its stream ends."""
        outbox = Outbox(self._encode_freshness)
        messages = MessageStream(stream, RelayMessage)
        try:
            async with stream, create_task_group() as tasks:
                first = await messages.async_receive(SUBSCRIBE_TIMEOUT_S)
                if first.subscribe is None:
                    return
                tasks.start_soon(outbox.async_write, messages)
                self._welcome(first.subscribe, outbox)
                source = first.subscribe.member.vm_id
                while True:
                    message = await messages.async_receive(None)
                    self._handle_message(message, outbox, source)
        except* RELAY_ERRORS:
            pass
        finally:
            self._subscribers.discard(outbox)

    def _welcome(self, subscribe: Subscribe, outbox: Outbox) -> None:
        """Send a new subscriber what it does not know yet."""
        if subscribe.wants_members:
            outbox.add(RelayMessage(members=Members(self._members.list_members())))
        outbox.open_feeds(self._replicas.open_feeds(subscribe))
        self._send_notices(outbox)
        self._subscribers.add(outbox)
        outbox.mark_heartbeat()
        self._apply_members([subscribe.member], outbox)

    def _handle_message(
        self, message: RelayMessage, source: Outbox | None, vm_id: str
    ) -> None:
        """Handle a message of another VM.

        Raises
        ------
        TopicGapError
            When records are missing; a new subscription brings them.
        """
        if message.records is not None:
            self._replicas.apply_records(message.records, vm_id)
        if message.packed is not None:
            self._replicas.apply_packed(message.packed, vm_id)
        if message.members is not None:
            self._apply_members(message.members.members, source)
        if message.crash is not None:
            self._forward_crash(message.crash, source)
        if message.limits is not None:
            self._apply_limits(message.limits.limits, source)
        heartbeat = message.heartbeat
        if heartbeat is not None and self._listener.apply_heartbeat(heartbeat):
            self._forward(message, source)

    def _apply_members(self, members: list[Member], source: Outbox | None) -> None:
        """Apply news of VMs and forward what is new."""
        new = [member for member in members if self._members.update_member(member)]
        if new:
            self._has_others.set()
            self._forward(RelayMessage(members=Members(new)), source)

    def _apply_limits(self, limits: list[ServerLimit], source: Outbox | None) -> None:
        """Apply limits of servers and forward what is new."""
        new = self._listener.apply_limits(limits)
        if new:
            self._forward(RelayMessage(limits=ServerLimits(new)), source)

    def _forward_crash(self, notice: CrashNotice, source: Outbox | None) -> None:
        """Handle the notice of a crash and forward it once."""
        if notice.notice_id in self._notices:
            return
        self._notices[notice.notice_id] = notice
        if len(self._notices) > NOTICES_KEPT:
            self._notices.popitem(last=False)
        self._listener.apply_crash(notice)
        self._forward(RelayMessage(crash=notice), source)

    def _send_notices(self, outbox: Outbox) -> None:
        """Tell another VM of the crashes and limits that it may have missed."""
        for notice in self._notices.values():
            outbox.add(RelayMessage(crash=notice))
        limits = self._listener.list_limits()
        if limits:
            outbox.add(RelayMessage(limits=ServerLimits(limits)))

    def _forward(self, message: RelayMessage, source: Outbox | None) -> None:
        """Send a message on all streams but the one on which it came."""
        frame = encode_frame(message)
        outboxes = list(self._subscribers)
        if self._upstream is not None:
            outboxes.append(self._upstream)
        for outbox in outboxes:
            if outbox is not source:
                outbox.add_frame(frame)

    def _mark_news(self) -> None:
        """Have the subscribers told what is new in a topic."""
        for outbox in self._subscribers:
            outbox.mark_news()

    def _record_confirmation(self) -> None:
        """Have the subscribers told that a topic was confirmed."""
        if self._subscribers:
            self._confirmed.set()

    async def _async_tell_freshness(self) -> None:
        """Send the subscribers how fresh the topics are.

        They are told as soon as a topic was confirmed, so that its age does not grow
        from relay to relay, and at a fixed interval as a heartbeat.
        """
        while True:
            with move_on_after(FRESHNESS_S):
                await self._confirmed.wait()
            # Both topics are often confirmed together.
            await sleep(FRESHNESS_GAP_S)
            self._confirmed = Event()
            for outbox in self._subscribers:
                outbox.mark_heartbeat()

    def _encode_subscription(self, wants_members: bool) -> bytes:
        """Return the frame of the first message to another VM."""
        subscribe = self._replicas.write_subscription(self._members.own, wants_members)
        return encode_frame(RelayMessage(subscribe=subscribe))

    def _encode_freshness(self) -> bytes:
        """Return the frame of a heartbeat."""
        return encode_frame(RelayMessage(freshness=self._replicas.write_freshness()))
