"""The entry VM that forwards: its parts, their start, and its graceful shutdown."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from random import Random, SystemRandom
from typing import Protocol

from anyio import Event, create_task_group, move_on_after, open_signal_receiver, sleep
from anyio.abc import TaskGroup
from loguru import logger

from cardamomtack.discovery.coordinator import DiscoveryCoordinator, EntryCodec
from cardamomtack.discovery.evacuation import (
    EvacuationCodec,
    EvacuationCoordinator,
)
from cardamomtack.discovery.registry import ServerRegistry
from cardamomtack.generated.relay import (
    CrashNotice,
    Member,
    ServerLimit,
    VmHeartbeat,
)
from cardamomtack.helpers.clock import MS_PER_S, Clock
from cardamomtack.limits.coordinator import LimitCoordinator
from cardamomtack.memory.budget import MemoryBudget, ResponseBudget
from cardamomtack.memory.shares import divide_descriptors, divide_memory
from cardamomtack.placing.chooser import PlacementChooser
from cardamomtack.placing.server import ServerView
from cardamomtack.placing.subset import ServerSubsets
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.reach.helpers import HelperTable
from cardamomtack.reach.ways import DirectWays
from cardamomtack.replicas.const import TOPIC_CONFIGURATION, TOPIC_SERVERS
from cardamomtack.replicas.members import MemberTable
from cardamomtack.replicas.topic import RecordOrder, TopicReplica
from cardamomtack.routing.coordinator import ConfigurationCodec, RoutingCoordinator
from cardamomtack.routing.policy import FleetConfiguration
from cardamomtack.routing.table import PrefixRoutes
from cardamomtack_daemon.forwarding.attempt import RequestSender
from cardamomtack_daemon.forwarding.const import (
    BALANCER_NOTICE_S,
    BALANCER_NOTICE_SHARE_MAX,
    DELIVERY_S_MAX,
    DRAIN_CHECK_S,
    EXIT_MARGIN_S,
    FLEET_VMS_ASSUMED,
    HEAD_MARGIN_S,
    IDLE_MARGIN_S,
    MAINTENANCE_S,
)
from cardamomtack_daemon.forwarding.decisions import DecisionRecorder, TopicAges
from cardamomtack_daemon.forwarding.departure import Departure
from cardamomtack_daemon.forwarding.forwarder import Forwarder
from cardamomtack_daemon.forwarding.header_names import HeaderNames
from cardamomtack_daemon.forwarding.opening import CallOpener
from cardamomtack_daemon.forwarding.placer import Placer
from cardamomtack_daemon.forwarding.prober import ServerProber
from cardamomtack_daemon.forwarding.readiness import ReadinessHandler
from cardamomtack_daemon.forwarding.settings import EntrySettings
from cardamomtack_daemon.forwarding.shared_limits import SharedLimits
from cardamomtack_daemon.forwarding.suspension import async_watch_clock
from cardamomtack_daemon.http1.body import BodyMemory
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.responses import ResponseMemory
from cardamomtack_daemon.http1.server import CallerServer
from cardamomtack_daemon.logs import DecisionLog, LogLineWriter
from cardamomtack_daemon.pool import ConnectionPool
from cardamomtack_daemon.quotas.service import QuotaService
from cardamomtack_daemon.replicas.reader import TopicReader
from cardamomtack_daemon.replicas.registration import MembershipRegistration
from cardamomtack_daemon.replicas.relay import TopicRelay
from cardamomtack_daemon.replicas.source import MemberDirectory, TopicSource
from cardamomtack_daemon.replicas.start import StartGate
from cardamomtack_daemon.tunnels.changes import WayChanges
from cardamomtack_daemon.tunnels.dialer import ServerDialer
from cardamomtack_daemon.tunnels.server import TunnelServer
from cardamomtack_daemon.tunnels.tester import WayTester

BODY_BYTES_MAX = 67_108_864
GC_THRESHOLD = 20_000
IDLE_S = 15.0
READINESS_CONNECTIONS_MAX = 50
READINESS_HEAD_BYTES_MAX = 4096

INCARNATION_BITS = 64


class RecordCodec(ConfigurationCodec, EntryCodec, EvacuationCodec, Protocol):
    """Decodes the records of all topics."""


@dataclass(slots=True, frozen=True)
class StoreSources:
    """What is read from the store."""

    configuration: TopicSource
    servers: TopicSource
    members: MemberDirectory
    configuration_order: RecordOrder
    servers_order: RecordOrder


class EntryDaemon:
    """All parts of one entry VM.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the VM.
    names : HeaderNames
        Names of header fields.
    codec : RecordCodec
        Decodes records.
    sources : StoreSources
        What is read from the store.
    clock : Clock
        Tells the time.
    random : Random
        Source of choices.
    reload : callable
        Reads the settings again when a signal asks for it.
    writer : LogLineWriter or None
        Takes the lines of decisions; None leaves them out.

    Attributes
    ----------
    memory : BodyMemory
        What is held of the bodies of requests.
    responses : ResponseMemory
        What is held of responses.
    """

    __slots__ = (
        "_caller_limits",
        "_callers",
        "_clock",
        "_crash_tracker",
        "_departure",
        "_dialer",
        "_forwarder",
        "_is_leaving",
        "_limits",
        "_members",
        "_membership",
        "_opener",
        "_pool",
        "_prober",
        "_quotas",
        "_readers",
        "_readiness",
        "_registry",
        "_relay",
        "_reload",
        "_replicas",
        "_routes",
        "_sender",
        "_servers_reader",
        "_settings",
        "_start_gate",
        "_stopped",
        "_tunnels",
        "_writer",
        "memory",
        "responses",
    )

    def __init__(
        self,
        settings: EntrySettings,
        names: HeaderNames,
        codec: RecordCodec,
        sources: StoreSources,
        clock: Clock,
        random: Random,
        reload: Callable[[], None] = lambda: None,
        writer: LogLineWriter | None = None,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._reload = reload
        self._stopped = Event()
        self._is_leaving = False
        self._settings = settings
        self._crash_tracker = CrashTracker(clock)
        self._departure = Departure(clock)
        self._pool = ConnectionPool(clock)
        self._registry = ServerRegistry(clock)
        self._registry.add_listener(self._drop_connections)
        self._registry.evacuated_zones.add_listener(self._apply_evacuation)
        self._routes = PrefixRoutes(random)
        self._routes.add_listener(self._apply_configuration)
        self._build_replicas(codec, sources, names, random)
        self._build_traffic(names, random)

    def _build_replicas(
        self,
        codec: RecordCodec,
        sources: StoreSources,
        names: HeaderNames,
        random: Random,
    ) -> None:
        """Build what follows the store and the other VMs."""
        settings = self._settings
        clock = self._clock
        own = Member(
            settings.vm_id,
            f"{SystemRandom().getrandbits(INCARNATION_BITS):016x}",
            settings.availability_zone,
            settings.address,
            settings.relay_port,
            link_mbps=settings.link_mbps,
            tunnel_port=settings.tunnel_port,
            quota_port=settings.quota_port,
            started_ms=clock.read_epoch_ms(),
        )
        configuration = TopicReplica(TOPIC_CONFIGURATION, sources.configuration_order)
        # A VM that takes requests knows the zones to which it must not send them.
        configuration.add_listener(
            EvacuationCoordinator(
                codec,
                self._registry.evacuated_zones,
                lambda: configuration.source,
                lambda: configuration.compute_age_s(clock.read_boot_s()),
            ).apply_records
        )
        configuration.add_listener(
            RoutingCoordinator(
                codec, self._routes, clock, lambda: configuration.source
            ).apply_records
        )
        servers = TopicReplica(TOPIC_SERVERS, sources.servers_order)
        servers.add_history_listener(self._registry.mark_source_unavailable)
        servers.add_listener(DiscoveryCoordinator(codec, self._registry).apply_records)
        servers.add_listener(lambda _: self._share_budgets())
        self._members = MemberTable(own)
        self._limits = SharedLimits(
            own,
            LimitCoordinator(self._members, self._registry, clock),
            names,
            self,
            clock,
        )
        self._replicas = [configuration, servers]
        self._relay = TopicRelay(self._members, self._replicas, self, clock, random)
        self._start_gate = StartGate(self._relay)
        self._membership = MembershipRegistration(
            self._members,
            sources.members,
            self._relay.apply_members,
            self._relay.is_root,
            random,
            self._start_gate.record_attempt,
        )
        self._quotas = QuotaService(
            settings,
            self._members,
            lambda: self._membership.has_joined,
            clock,
            random,
        )
        self._routes.add_listener(self._quotas.apply_configuration)
        for replica in self._replicas:
            replica.add_history_listener(self._membership.mark_restored)
        configuration_reader, self._servers_reader = (
            TopicReader(
                replica, source, self._is_reader, self._record_answer, clock, random
            )
            for replica, source in (
                (configuration, sources.configuration),
                (servers, sources.servers),
            )
        )
        self._readers = [configuration_reader, self._servers_reader]

    def _build_traffic(self, names: HeaderNames, random: Random) -> None:
        """Build the path of a request."""
        settings = self._settings
        clock = self._clock
        self.memory = BodyMemory(settings.body_memory_bytes)
        memory = divide_memory(settings.memory_bytes)
        descriptors = divide_descriptors(settings.descriptors)
        self.responses = ResponseMemory(
            ResponseBudget(memory.responses_bytes, clock), clock
        )
        self._pool.idle_max = descriptors.idle_servers
        chooser = PlacementChooser(
            random, settings.availability_zone, ServerSubsets(settings.vm_id)
        )
        ways = DirectWays(self._registry, WayChanges(self._registry, self._pool), clock)
        tester = WayTester(self._pool.async_open, ways, clock, random)
        self._tunnels = TunnelServer(self._registry, ways, tester, descriptors.tunnels)
        self._dialer = ServerDialer(
            self._pool.async_open,
            ways,
            HelperTable(self._members, random),
            self._registry,
            tester,
            clock,
            random,
        )
        self._pool.dialer = self._dialer
        self._prober = ServerProber(
            self._pool, names, self._limits, self._dialer, ways, clock
        )
        placer = Placer(
            self._registry,
            chooser,
            self._prober,
            self._pool,
            self._dialer,
            clock,
            self._departure,
        )
        self._sender = RequestSender(
            self._pool,
            self._prober,
            self._crash_tracker,
            placer.release_connection,
            self._report_crash,
            self._limits,
            clock,
            self.responses,
        )
        decisions = DecisionRecorder(
            DecisionLog(self._writer, clock),
            self._routes,
            placer,
            self._read_ages_ms,
            clock,
        )
        self._opener = CallOpener(
            settings, names, self._routes, self.memory, decisions, clock
        )
        self._forwarder = Forwarder(
            settings,
            self._opener,
            self._routes,
            placer,
            self._sender,
            self._crash_tracker,
            clock,
            random,
            self._limits,
            decisions,
            self._quotas.gate,
            self._departure,
        )
        self._caller_limits = ConnectionLimits(
            BODY_BYTES_MAX,
            descriptors.callers,
            IDLE_S,
            cancels_abandoned=True,
            memory=self.memory,
            heads=MemoryBudget(memory.heads_bytes),
            responses=self.responses,
        )
        self._callers = CallerServer(self._forwarder, self._caller_limits, clock)
        readiness_limits = ConnectionLimits(0, READINESS_CONNECTIONS_MAX, IDLE_S)
        readiness_limits.head_bytes_max = READINESS_HEAD_BYTES_MAX
        readiness_limits.head_s = HEAD_MARGIN_S + IDLE_MARGIN_S
        handler = ReadinessHandler(self.is_ready)
        self._readiness = CallerServer(handler, readiness_limits, clock)

    def is_ready(self) -> bool:
        """Return whether a request could be served."""
        if self._is_leaving or self._routes.configuration is None:
            return False
        return self._registry.is_known

    @property
    def in_flight(self) -> int:
        """Return how many requests are not answered yet."""
        return self._forwarder.in_flight

    async def async_run(self) -> None:
        """Run until a signal asks for a graceful shutdown and it is done."""
        stopping = Event()
        async with create_task_group() as tasks:
            with open_signal_receiver(
                signal.SIGHUP, signal.SIGINT, signal.SIGTERM
            ) as signals:
                tasks.start_soon(self.async_serve, stopping)
                async for number in signals:
                    logger.bind(signal=number.name).info("signal received")
                    if number is signal.SIGHUP:
                        self._reload()
                    else:
                        stopping.set()
                        break
                # A second signal must not end the process before its time.
                await self._stopped.wait()
            tasks.cancel_scope.cancel()

    async def async_serve(self, stopping: Event) -> None:
        """Serve until an event asks for a graceful shutdown and it is done."""
        async with create_task_group() as tasks:
            await self._async_start_tasks(tasks)
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            logger.info("started")
            await stopping.wait()
            await self._async_shut_down()
            tasks.cancel_scope.cancel()
        self._stopped.set()

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply newer settings; addresses stay those of the start."""
        self._settings = settings
        self._forwarder.settings = settings
        self._opener.settings = settings
        self._quotas.apply_settings(settings)
        self._share_budgets()

    async def _async_start_tasks(self, tasks: TaskGroup) -> None:
        """Start all tasks."""
        settings = self._settings
        for reader in self._readers:
            tasks.start_soon(self._async_follow, reader)
        tasks.start_soon(self._start_gate.async_run)
        # Other VMs hear of this one when it can already be reached.
        await tasks.start(
            self._relay.async_serve, settings.address, settings.relay_port
        )
        if settings.tunnel_port:
            await tasks.start(
                self._tunnels.async_serve, settings.address, settings.tunnel_port
            )
        tasks.start_soon(self._quotas.async_run)
        tasks.start_soon(self._dialer.async_try_directly)
        tasks.start_soon(self._async_join)
        tasks.start_soon(self._relay.async_subscribe)
        tasks.start_soon(self._relay.async_ask_others)
        await tasks.start(self._callers.async_serve, settings.address, settings.port)
        tasks.start_soon(
            self._readiness.async_serve, settings.address, settings.ready_port
        )
        tasks.start_soon(self._async_maintain)
        tasks.start_soon(async_watch_clock, self._clock, self._wake)

    async def _async_follow(self, reader: TopicReader) -> None:
        """Follow a topic, once other VMs have had the time to tell it."""
        await self._start_gate.async_wait()
        await reader.async_follow()

    async def _async_join(self) -> None:
        """Learn of the other VMs, share the budgets with them, and stay known."""
        await self._membership.async_join()
        self._share_budgets()
        await self._membership.async_keep_joined()

    async def _async_maintain(self) -> None:
        """Drop what has grown old."""
        while True:
            await sleep(MAINTENANCE_S)
            self._share_budgets()
            if self._servers_reader.is_store_unavailable():
                self._registry.mark_source_unavailable()
            self._registry.remove_expired()
            self._pool.close_expired()

    async def _async_shut_down(self) -> None:
        """Serve on until the balancer has noticed, and finish what is in flight.

        What would not be answered before the end is refused before it is sent.
        """
        left_s = self._settings.grace_s - EXIT_MARGIN_S
        self._departure.begin(left_s)
        self._is_leaving = True
        self._callers.is_closing = True
        self._limits.leave()
        self._quotas.leave()
        self._relay.broadcast_leaving()
        async with create_task_group() as tasks:
            # The store may not answer, and that must not take time from requests.
            tasks.start_soon(self._membership.async_leave)
            tasks.start_soon(self._tunnels.async_leave)
            with move_on_after(left_s):
                await sleep(min(BALANCER_NOTICE_S, BALANCER_NOTICE_SHARE_MAX * left_s))
                self._opener.is_refusing = True
                while self._callers.count_busy() or self._tunnels.count:
                    await sleep(DRAIN_CHECK_S)
            tasks.cancel_scope.cancel()
        # What is still running gets an answer rather than a broken connection.
        self._sender.expire_all()
        self._callers.close_idle()
        # Answers that were just written leave with the next turns of the loop.
        await sleep(DRAIN_CHECK_S)
        with move_on_after(DELIVERY_S_MAX):
            while self._callers.count_busy():
                await sleep(DRAIN_CHECK_S)
        logger.bind(left=self._callers.count_busy()).info("graceful shutdown done")

    def _apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a new configuration."""
        limits = configuration.limits
        if limits is not None:
            self._caller_limits.body_bytes_max = limits.body_bytes_max
            self._caller_limits.head_bytes_max = limits.header_bytes_max
            self._caller_limits.head_s = limits.header_timeout_s + HEAD_MARGIN_S
            self._caller_limits.idle_s = limits.idle_timeout_s + IDLE_MARGIN_S
        for name, service in configuration.services.items():
            view = self._registry.find_service(name)
            view.warm_up_rate_per_s = service.warm_up_rate_per_s
        self._prober.health_paths = {
            name: service.health_path.encode()
            for name, service in configuration.services.items()
        }

    def _drop_connections(self, server: ServerView) -> None:
        """Close the idle connections to a server that is gone."""
        self._pool.close_connections(server.vm_id)

    def _apply_evacuation(self, zone: str, is_evacuated: bool) -> None:
        """Close the idle connections to the servers of a zone that is evacuated."""
        if not is_evacuated:
            return
        for server in self._registry.servers.values():
            if server.entry.availability_zone == zone:
                self._pool.close_connections(server.vm_id)

    def _wake(self) -> None:
        """Close connections and read topics anew after the process was suspended."""
        self._pool.close_all()
        for reader in self._readers:
            reader.refresh()

    def _is_reader(self) -> bool:
        """Return whether other VMs rely on what this one reads.

        A VM that knows no others yet reads once for itself, and does not take itself
        for the only one.
        """
        if not self._membership.has_joined:
            return False
        return self._members.is_reader(self._clock.read_monotonic_s())

    def _read_ages_ms(self) -> TopicAges:
        """Return how long ago the store confirmed what this VM knows."""
        now_s = self._clock.read_boot_s()
        ages_s = [one.compute_age_s(now_s) for one in self._replicas]
        return TopicAges(
            *(int(age_s * MS_PER_S) if isfinite(age_s) else -1 for age_s in ages_s)
        )

    def _share_budgets(self) -> None:
        """Share the budgets of the fleet among the VMs that are known."""
        has_joined = self._membership.has_joined
        vms = self._members.count if has_joined else None
        self._forwarder.vms = vms
        self._prober.limiter.apply_bounds(
            self._settings.checks_per_server_per_s,
            len(self._registry.servers),
            vms or FLEET_VMS_ASSUMED,
        )
        self._limits.share(has_joined)

    def _report_crash(self, server_id: str, digests: list[bytes]) -> None:
        """Notify all VMs of a crash, this one included."""
        notice_id = f"{SystemRandom().getrandbits(INCARNATION_BITS):016x}"
        self._relay.broadcast_crash(CrashNotice(notice_id, server_id, digests))

    def _record_answer(self, is_answered: bool) -> None:
        """Let other VMs read for this one while the store does not answer it."""
        own_id = self._settings.vm_id
        if is_answered:
            self._members.mark_reachable(own_id)
        else:
            self._members.mark_unreachable(own_id, self._clock.read_monotonic_s())

    def broadcast_limits(self, limits: list[ServerLimit]) -> None:
        """Tell all VMs of limits of servers that this VM has heard."""
        self._relay.broadcast_limits(limits)

    def broadcast_heartbeat(self, heartbeat: VmHeartbeat) -> None:
        """Tell all VMs that this one is there."""
        self._relay.broadcast_heartbeat(heartbeat)

    def apply_crash(self, notice: CrashNotice) -> None:
        """Handle the notice of a crash of a server."""
        self._crash_tracker.record_crash(notice.server_id, notice.request_digests)

    def apply_limits(self, limits: list[ServerLimit]) -> list[ServerLimit]:
        """Apply limits of servers, and return those that are news."""
        return self._limits.apply_limits(limits)

    def apply_heartbeat(self, heartbeat: VmHeartbeat) -> bool:
        """Apply the heartbeat of a VM, and return whether it is news."""
        return self._limits.apply_heartbeat(heartbeat)

    def list_limits(self) -> list[ServerLimit]:
        """Return what is known of limits of servers."""
        return self._limits.list_limits()
