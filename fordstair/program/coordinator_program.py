"""Composition root of one coordinator: wires its components and runs them until it has drained."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from fordstair.blocked_signals import unblock_signals
from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import Config
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import Transport
from fordstair.core.start_times import StartTimes
from fordstair.net.clients.listener import ClientHandler
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay, TimedStream
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.net.engine_list_watch import EngineListWatch
from fordstair.net.engines.pool import ConnectionPool
from fordstair.net.engines.rest import RestTransport
from fordstair.program.configuration_reload import keep_fixed_fields, try_load_config
from fordstair.program.engine_list_intake import EngineListIntake
from fordstair.program.fronts import FrontAcceptor
from fordstair.program.graceful_shutdown import GracefulShutdown
from fordstair.program.memory_watch import MemoryWatch
from fordstair.program.optional_parts import (
    add_zone_watch,
    build_admission_queue,
    build_console_server,
    build_fleet_budgets,
    build_identity,
    build_ledger,
    build_membership,
    build_odata_front,
)
from fordstair.program.resource_limits import divide_resources
from fordstair.program.signal_arrivals import recording_arrivals
from fordstair.program.stop_request import StopRequest
from fordstair.runtime.clock import AnchoredClock, WallClock
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryBudget

if TYPE_CHECKING:
    import ssl

    from fordstair.configuration.operator_options import OperatorOptions
    from fordstair.net.clients.odata_front import ODataFront
    from fordstair.replication.service import ReplicationService

log = EventLog("fordstair")

WALL_CLOCK_CHECK_INTERVAL_MS = 1_000.0


class Program:
    """The components of one coordinator.

    Args:
        config: The configuration from the platform or from the operator's file.
        operator: The components that an operator's file enables; None on the platform.
        load_config: Reads the configuration again for a reload; may raise ConfigError.

    Raises:
        ConfigError: If a component cannot be built as configured.
    """

    def __init__(
        self, config: Config, operator: OperatorOptions | None, load_config: Callable[[], Config]
    ) -> None:
        self.config = config
        self.operator = operator
        self.load_config = load_config
        self.deadlines = Deadlines()
        self.counters = Counters()
        self.memory = MemoryBudget()
        self.memory_watch = MemoryWatch(self.memory, self.deadlines)
        self.counters.include("memory", self.memory.figures)
        self.stop_request = StopRequest()
        self.anchored_clock = AnchoredClock()
        self.wall_clock = WallClock()
        self.identity = build_identity(operator, self.deadlines, self.counters)
        self.pool = self._build_pool()
        self.transports = self._build_transports()
        self.coordinator = Coordinator(
            config.settings, config.seed, self.transports, self.deadlines, self.counters, self.memory
        )
        self.pool.on_connect_timeout = self.coordinator.engine_unreachable
        self.admission_queue = build_admission_queue(config, self.coordinator)
        add_zone_watch(operator, self.coordinator)
        self.budgets = build_fleet_budgets(operator, config, self.coordinator, self.admission_queue)
        self.poll_watch = PollWatch()
        self.rpc = RpcFront(self.coordinator, self.poll_watch)
        self.odata = build_odata_front(operator, self.coordinator, self.identity)
        self.ledger = build_ledger(operator, config, self.odata, self.counters)
        self.membership = build_membership(operator, config, self.counters)
        self.console_server = build_console_server(
            operator,
            config,
            self.coordinator,
            self._stop_from_console,
            self.wall_clock,
            self.membership,
            self.ledger,
            self.budgets,
        )
        self.intake = EngineListIntake(
            self.coordinator, StartTimes(), operator.engines if operator is not None else {}
        )
        self.engine_list_watch = EngineListWatch(
            config.channel, config.cursor, self.intake.apply_from_discovery, self.deadlines, self.counters
        )
        self.acceptor = FrontAcceptor(config.name, self.poll_watch, self.deadlines, self.counters)
        self.shutdown = GracefulShutdown(self.coordinator, self.deadlines, self.acceptor, self.rpc)
        self._apply_limits()

    @property
    def listeners(self) -> list[trio.SocketListener]:
        """The listening sockets of all fronts."""
        return self.acceptor.listeners

    async def run(self, *, limit_memory: bool = False) -> None:
        """Run until SIGTERM, SIGINT or the console requests a stop and the drain is over.

        ``limit_memory`` applies the configured limit to the whole process, which must then run nothing else.
        Raise ConfigError if an address or path of the configuration cannot be used, or if that limit is less
        than what the process needs alone.
        """
        self.intake.apply_configured(self.config.known)
        if limit_memory:
            self.memory_watch.begin(self.config.memory_mb)
            self._apply_limits()
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope(shield=True)
            await nursery.start(self._run_services, scope)
            try:
                await self._run_components()
            finally:
                scope.cancel()
        log.info("counters", **self.counters.snapshot())

    async def _run_services(
        self, scope: trio.CancelScope, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the deadlines and the connection pool until the scope is cancelled.

        The last tasks of a drain still need both: deadlines bound them, and they connect to engines to
        abandon their queries.
        """
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.deadlines.run)
                await nursery.start(self.pool.run)
                task_status.started()

    async def _run_components(self) -> None:
        async with trio.open_nursery() as nursery:
            await self._start_core(nursery)
            await self._start_optional_components(nursery)
            accepting = self._start_fronts(nursery)
            if self.identity is not None:
                self.identity.watch()
            await self.stop_request.wait()
            await self.shutdown.drain(accepting, self.stop_request.earliest_ms)
            if self.membership is not None:
                await self.membership.leave()
            if self.budgets is not None:
                await self.budgets.leave()
            nursery.cancel_scope.cancel()

    def reload(self) -> None:
        """Read and validate the configuration, then apply what may change; an invalid one changes nothing."""
        loaded = try_load_config(self.load_config)
        if loaded is None:
            self.counters.add("config.rejected")
            return
        self.config = keep_fixed_fields(self.config, loaded)
        self._apply_limits()
        for event in loaded.known:
            self.engine_list_watch.apply(event)
        self.engine_list_watch.reconnect(loaded.channel)
        if self.admission_queue is not None and loaded.budgets is not None:
            shares = dict(loaded.budgets.shares)
            self.admission_queue.scheduler.set_quotas(shares, self.deadlines.clock())
        self.counters.add("config.reloads")
        log.info("configuration.reloaded", channel=loaded.channel or "none")

    def _build_pool(self) -> ConnectionPool:
        return ConnectionPool(
            self.deadlines,
            self.counters,
            tls_context_of=self._tls_context,
            check_peer=self.identity.check_engine if self.identity else lambda *_: None,
            memory=self.memory,
        )

    def _tls_context(self, address: str) -> ssl.SSLContext | None:
        """Return the TLS context for an engine's address; only OData engines use TLS."""
        if self.identity is None:
            return None
        engines = self.coordinator.engines.values()
        secured = {engine.address for engine in engines if engine.protocol == "odata"}
        return self.identity.client if address in secured else None

    def _build_transports(self) -> dict[str, Transport]:
        fields = self.config.settings.load_report_fields
        transports: dict[str, Transport] = {"rest": RestTransport(self.pool, self.deadlines, fields)}
        if self.operator is not None:
            from fordstair.net.engines.odata import ODataTransport  # saves memory on the platform

            transports["odata"] = ODataTransport(self.pool, self.deadlines, fields)
        return transports

    def _apply_limits(self) -> None:
        """Apply the limits on sockets and memory, and the timeouts of the connection pool."""
        self.memory_watch.apply_limit(self.config.memory_mb)
        limits = divide_resources(
            self.config.sockets, self.config.memory_mb, with_odata=self.odata is not None
        )
        self.pool.resize(limits.engine_connections)
        self.pool.connect_timeout_ms = self.config.connect_timeout_ms
        self.pool.idle_timeout_ms = self.config.idle_ms
        self.rpc.max_clients = limits.rpc_clients
        self.rpc.max_statement_bytes = limits.max_statement_bytes
        if self.odata is not None:
            self.odata.max_clients = limits.odata_clients

    async def _start_core(self, nursery: trio.Nursery) -> None:
        await nursery.start(self._handle_signals)
        nursery.start_soon(self._watch_clock)
        nursery.start_soon(self.memory_watch.run)
        nursery.start_soon(self.poll_watch.run)
        await nursery.start(self.coordinator.run)
        nursery.start_soon(self.engine_list_watch.run)

    async def _start_optional_components(self, nursery: trio.Nursery) -> None:
        if self.membership is not None:
            await _start_listening(nursery, self.membership.run, "fleet.listen")
        if self.ledger is not None:
            await _start_listening(nursery, self.ledger.run, "fleet.ledger")
            self._start_persistence(nursery, self.ledger)
        if self.budgets is not None:
            await _start_listening(nursery, self.budgets.run, "fleet.budgets")
        if self.operator is not None and self.console_server is not None:
            await nursery.start(self.console_server.run, self.operator.console_socket)

    def _start_persistence(self, nursery: trio.Nursery, ledger: ReplicationService) -> None:
        # Imported here because they import the ledger's modules, which the platform does not need.
        from fordstair.program.cost_sharing import CostSharing
        from fordstair.program.engine_list_persistence import EngineListPersistence

        persistence = EngineListPersistence(
            ledger, self.intake, self.coordinator, self.engine_list_watch, self.anchored_clock, self.deadlines
        )
        nursery.start_soon(persistence.run)
        nursery.start_soon(CostSharing(ledger, self.coordinator.gateway, self.deadlines).run)

    def _start_fronts(self, nursery: trio.Nursery) -> list[trio.CancelScope]:
        """Accept clients at all fronts; return the cancel scopes that stop accepting."""
        scopes = [trio.CancelScope()]
        nursery.start_soon(
            self.acceptor.run,
            "listens",
            self.config.listen,
            self.rpc.serve,
            lambda: self.rpc.capacity,
            scopes[0],
        )
        if self.odata is not None and self.operator is not None and self.operator.listen is not None:
            scopes.append(trio.CancelScope())
            odata, listen = self.odata, self.operator.listen
            serve = self._make_odata_handler(odata)
            nursery.start_soon(self.acceptor.run, "odata", listen, serve, lambda: odata.capacity, scopes[1])
        return scopes

    def _make_odata_handler(self, odata: ODataFront) -> ClientHandler:
        """Return the handler of OData clients."""

        async def serve(stream: trio.SocketStream, accept_delay_ms: float) -> None:
            read_delay = ReadDelay(stream, self.poll_watch, self.deadlines, accept_delay_ms)
            timed = TimedStream(stream, read_delay)
            try:
                await odata.serve_client(timed, read_delay)
            except Exception:  # one client's failure must not end the others' connections
                log.exception("odata.internal_error")

        return serve

    async def _watch_clock(self) -> None:
        """Log and count steps of the wall clock, which make the times in logs jump."""
        while True:
            await self.deadlines.sleep(WALL_CLOCK_CHECK_INTERVAL_MS)
            if step_ms := self.wall_clock.follow_step():
                self.counters.add("clock.steps")
                log.warning("clock.stepped", by_ms=round(step_ms))

    async def _handle_signals(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Reload the configuration on SIGHUP, log the counters on SIGUSR1, and drain on SIGTERM or SIGINT."""
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        earliest_arrival_ms = self.poll_watch.earliest_arrival_ms
        with (
            trio.open_signal_receiver(*handled) as signals,
            recording_arrivals(handled, earliest_arrival_ms) as arrivals,
        ):
            unblock_signals()
            task_status.started()
            async for number in signals:
                arrival_ms = arrivals.take(number)
                if number == signal.SIGHUP:
                    self.reload()
                elif number == signal.SIGUSR1:
                    log.info("counters", **self.counters.snapshot())
                else:
                    self.stop_request.make(arrival_ms)

    def _stop_from_console(self) -> None:
        """Request the drain that a console commands; the command may have waited unread during a pause."""
        self.stop_request.make(self.deadlines.clock() - self.poll_watch.max_delay_ms())


async def _start_listening(nursery: trio.Nursery, run: Callable[..., Awaitable[None]], field: str) -> None:
    """Start a component that listens for other members; raise ConfigError naming the field if that fails."""
    try:
        await nursery.start(run)
    except OSError as error:
        raise ConfigError(f"{field}: {error}") from None
