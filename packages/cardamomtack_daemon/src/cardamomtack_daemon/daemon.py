"""The daemon: its parts, their start, and its graceful shutdown."""

from __future__ import annotations

import gc
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random, SystemRandom

from aioprometheus.collectors import Registry
from anyio import (
    Event,
    create_task_group,
    move_on_after,
    open_signal_receiver,
    sleep,
)
from anyio.abc import TaskGroup
from httpx import AsyncClient, Limits
from loguru import logger

from cardamomtack.balancing.baselines import make_chooser
from cardamomtack.balancing.directory import ServerDirectory
from cardamomtack.claims.coordinator import ClaimCoordinator
from cardamomtack.configuration.const import REVISION_NONE
from cardamomtack.configuration.coordinator import ConfigurationCoordinator
from cardamomtack.configuration.routes import RouteTable
from cardamomtack.generated.settings import DaemonSettings
from cardamomtack.generated.status import (
    ClaimsStatus,
    DaemonStatus,
    MeasuringStatus,
)
from cardamomtack.helpers.clock import MS_PER_S, Clock, SystemClock
from cardamomtack.measuring.pacer import MeasuringLimiter
from cardamomtack.quarantine.tracker import CrashTracker
from cardamomtack.services.log_service import HttpLogService
from cardamomtack.services.vm_list import HttpVmList
from cardamomtack_daemon.admin import async_serve_admin
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.server import CallerServer
from cardamomtack_daemon.peers.exchange import PeerExchange
from cardamomtack_daemon.peers.router import PeerRouter
from cardamomtack_daemon.pool import ConnectionPool
from cardamomtack_daemon.status import list_counts, list_servers, list_services
from cardamomtack_daemon.tasks.claims import ClaimsTask
from cardamomtack_daemon.tasks.configuration import ConfigurationTask
from cardamomtack_daemon.tasks.counts import CountsTask
from cardamomtack_daemon.tasks.probing import ProbingTask
from cardamomtack_daemon.tasks.vm_list import VmListTask
from cardamomtack_daemon.tracing import PropagatingTracer, RecordingTracer, Tracer
from cardamomtack_daemon.traffic.answer_cache import AnswerCache
from cardamomtack_daemon.traffic.dispatcher import Dispatcher
from cardamomtack_daemon.traffic.exchange import ExchangeContext
from cardamomtack_daemon.traffic.handler import TrafficHandler
from cardamomtack_daemon.traffic.keyed import KeyedDispatcher
from cardamomtack_daemon.traffic.metrics import TrafficMetrics

DRAIN_CHECK_S = 0.02
EXIT_MARGIN_S = 0.2
"""Part of a graceful shutdown that is left for the last answers."""

GC_THRESHOLD = 20_000
INCARNATION_BITS = 64
LOG_CONNECTIONS_MAX = 8


class Daemon:
    """All parts of one entry VM.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    tracer : Tracer
        Starts spans.
    client : AsyncClient
        HTTP client for the platform, owned by the caller.
    clock : Clock
        Tells the time.
    random : Random
        Source of choices and ids.
    """

    __slots__ = (
        "_accounts",
        "_caller_server",
        "_claims",
        "_claims_task",
        "_clock",
        "_configuration",
        "_configuration_task",
        "_counts_task",
        "_crash_tracker",
        "_directory",
        "_dispatcher",
        "_handler",
        "_incarnation",
        "_is_leaving",
        "_keyed",
        "_membership",
        "_pacer",
        "_peers",
        "_probing",
        "_router",
        "_settings",
        "_stopped",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        tracer: Tracer,
        client: AsyncClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        # Two incarnations must differ even when they are given the same seed.
        self._incarnation = f"{SystemRandom().getrandbits(INCARNATION_BITS):016x}"
        self._is_leaving = False
        self._stopped = Event()
        self._accounts = TrafficMetrics()
        self._configuration = ConfigurationCoordinator(settings.vm_id)
        self._directory = ServerDirectory(clock)
        self._crash_tracker = CrashTracker(clock)
        self._pacer = MeasuringLimiter()
        self._claims = ClaimCoordinator(
            settings.vm_id, self._incarnation, settings.claims_max, clock
        )
        answers = AnswerCache(settings.answers_kept_bytes_max)
        self._router = PeerRouter(
            self._configuration,
            self._directory,
            self._crash_tracker,
            answers,
            self._pacer,
            clock,
        )
        self._peers = PeerExchange(settings.vm_id, self._incarnation, self._router)
        self._router.exchange = self._peers
        pool = ConnectionPool(clock)
        self._build_traffic(pool, answers, tracer, random)
        self._build_tasks(client, pool, random)
        self._configuration.add_listener(self._apply_routes)

    def _build_traffic(
        self,
        pool: ConnectionPool,
        answers: AnswerCache,
        tracer: Tracer,
        random: Random,
    ) -> None:
        """Build the path of a request."""
        settings = self._settings
        context = ExchangeContext(
            pool,
            self._directory,
            self._crash_tracker,
            self._router,
            self._clock,
            settings.answer_buffer_bytes_max,
        )
        chooser = make_chooser(settings.chooser, random, settings.availability_zone)
        self._dispatcher = Dispatcher(context, chooser, settings.vm_id)
        self._keyed = KeyedDispatcher(
            context,
            self._dispatcher,
            self._claims,
            answers,
            self._clock,
            SystemRandom(),
        )
        self._keyed.finder = self._router
        self._handler = TrafficHandler(
            settings,
            self._dispatcher,
            self._keyed,
            self._crash_tracker,
            self._accounts,
            tracer,
            self._clock,
            random,
        )
        limits = ConnectionLimits(
            settings.body_bytes_max,
            settings.caller_connections_max,
            settings.caller_idle_ms / MS_PER_S,
        )
        self._caller_server = CallerServer(self._handler, limits, self._clock)

    def _build_tasks(
        self, client: AsyncClient, pool: ConnectionPool, random: Random
    ) -> None:
        """Build the tasks that follow the platform and the peers."""
        settings = self._settings
        log = HttpLogService(client, settings.log_service_url, settings.stream_prefix)
        vm_list = HttpVmList(client, settings.vm_list_url)
        self._claims_task = ClaimsTask(log, self._claims)
        self._keyed.appender = self._claims_task
        self._configuration_task = ConfigurationTask(
            log,
            self._configuration,
            self._peers,
            settings.vm_id,
            settings.claims_retention_ms / MS_PER_S,
        )
        self._membership = VmListTask(
            vm_list, self._directory, self._peers, pool, self._handler
        )
        self._probing = ProbingTask(
            settings.vm_id,
            self._directory,
            self._membership,
            pool,
            self._router,
            self._pacer,
            self._clock,
            random,
        )
        self._counts_task = CountsTask(
            log,
            self._accounts.counter,
            self._configuration,
            settings.vm_id,
            self._incarnation,
            self._clock,
        )

    def _apply_routes(self, routes: RouteTable) -> None:
        """Put a new configuration in force in all parts."""
        budget = routes.measuring_budget
        self._directory.apply_routes(routes)
        self._pacer.apply_budget(budget)
        self._claims.set_append_rate(
            self._settings.appends_per_second, budget.entry_vms_max
        )
        self._handler.apply_routes(routes)

    def list_missing(self) -> list[str]:
        """Return what the VM still waits for before it serves."""
        missing = []
        if self._configuration.active_revision is None:
            missing.append("configuration")
        if not self._membership.has_vm_list:
            missing.append("VM list")
        return missing

    def is_serving(self) -> bool:
        """Return whether the balancer should send callers here."""
        return not self._is_leaving and not self.list_missing()

    def build_status(self) -> DaemonStatus:
        """Return the status for operators."""
        state = "leaving" if self._is_leaving else "serving"
        if not self._is_leaving and self.list_missing():
            state = "booting"
        revision = self._configuration.active_revision
        now_s = self._clock.read_monotonic_s()
        table = self._claims.table
        return DaemonStatus(
            vm_id=self._settings.vm_id,
            incarnation=self._incarnation,
            availability_zone=self._settings.availability_zone,
            state=state,
            not_ready=self.list_missing(),
            revision=revision.number if revision else REVISION_NONE,
            folded_to=self._configuration.fold.folded_to,
            in_flight=self._handler.in_flight,
            peers=sorted(self._peers.links),
            claims=ClaimsStatus(
                table.is_covered,
                len(table.entries),
                table.folded_to,
                self._keyed.running,
            ),
            measuring=MeasuringStatus(
                self._probing.probes,
                self._router.report_bytes,
                self._pacer.skipped,
                self._pacer.probes_per_window,
                self._pacer.reports_per_window,
            ),
            services=list_services(self._handler, self._dispatcher, self._directory),
            servers=list_servers(self._directory, now_s),
            quarantined=[one.hex() for one in self._crash_tracker.list_quarantined()],
            counts=list_counts(self._accounts),
        )

    def collect_metrics(self) -> Registry:
        """Return the metrics, up to date."""
        accounts = self._accounts
        accounts.refresh_totals()
        revision = self._configuration.active_revision
        accounts.set_gauge(
            "cardamomtack_configuration_revision",
            "Revision in force.",
            revision.number if revision else REVISION_NONE,
        )
        accounts.set_gauge(
            "cardamomtack_requests_in_flight",
            "Requests that are not answered yet.",
            self._handler.in_flight,
        )
        accounts.set_gauge(
            "cardamomtack_claims_keys",
            "Keys in the claims table.",
            len(self._claims.table.entries),
        )
        accounts.set_gauge(
            "cardamomtack_measuring_probes",
            "Health probes sent.",
            self._probing.probes,
        )
        accounts.set_gauge(
            "cardamomtack_measuring_report_bytes",
            "Bytes of load reports sent to peers.",
            self._router.report_bytes,
        )
        return accounts.registry

    async def async_run(self) -> None:
        """Run until a signal asks for a graceful shutdown and it is done."""
        async with create_task_group() as admin:
            # The admin port tells the balancer of the shutdown until its end.
            admin.start_soon(self._async_serve_admin)
            async with create_task_group() as tasks:
                self._keyed.tasks = tasks
                self._start_tasks(tasks)
                # What exists now stays; collections only look at what comes later.
                gc.collect()
                gc.freeze()
                gc.set_threshold(GC_THRESHOLD)
                await self._async_wait_for_signal()
                await self._async_shut_down()
                tasks.cancel_scope.cancel()
            self._stopped.set()

    def _start_tasks(self, tasks: TaskGroup) -> None:
        """Start all tasks but the admin port."""
        settings = self._settings
        tasks.start_soon(self._peers.async_serve, settings.address, settings.peer_port)
        tasks.start_soon(self._configuration_task.async_follow)
        tasks.start_soon(self._configuration_task.async_append_checkpoints)
        tasks.start_soon(self._claims_task.async_append)
        tasks.start_soon(self._claims_task.async_follow)
        tasks.start_soon(self._membership.async_follow)
        tasks.start_soon(self._probing.async_probe)
        tasks.start_soon(self._counts_task.async_report)
        tasks.start_soon(
            self._caller_server.async_serve, settings.address, settings.port
        )

    async def _async_serve_admin(self) -> None:
        """Serve the admin port until the daemon stops."""
        settings = self._settings
        await async_serve_admin(
            self, settings.address, settings.admin_port, self._stopped.wait
        )

    async def _async_wait_for_signal(self) -> None:
        """Wait for the signal that starts a graceful shutdown."""
        with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logger.bind(signal=number.name).info("graceful shutdown starts")
                return

    async def _async_shut_down(self) -> None:
        """Serve on until the balancer has noticed, and finish what is in flight."""
        self._is_leaving = True
        shutdown_s = self._settings.shutdown_ms_max / MS_PER_S
        with move_on_after(max(0.0, shutdown_s - EXIT_MARGIN_S)):
            await sleep(self._settings.balancer_notice_ms / MS_PER_S)
            self._caller_server.is_closing = True
            while self._handler.in_flight or self._keyed.running:
                await sleep(DRAIN_CHECK_S)
            # Answers that were just written leave with the next turn of the loop.
            await sleep(DRAIN_CHECK_S)
            await self._claims_task.async_flush()
            await self._counts_task.async_report_once()
        # What is still running gets an answer rather than a broken connection.
        self._handler.expire_all()
        await sleep(DRAIN_CHECK_S)
        logger.bind(left=self._handler.in_flight).info("graceful shutdown done")


async def async_run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon with the clock and network of the machine."""
    random = Random(settings.seed)
    limits = Limits(max_connections=LOG_CONNECTIONS_MAX)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(AsyncClient(limits=limits))
        tracer: Tracer = PropagatingTracer(random)
        if settings.trace_file is not None:
            path = Path(settings.trace_file)
            output = stack.enter_context(path.open("a", encoding="utf-8"))
            recording = RecordingTracer(settings.vm_id, output)
            stack.callback(recording.shut_down)
            tracer = recording
        await Daemon(settings, tracer, client, SystemClock(), random).async_run()
