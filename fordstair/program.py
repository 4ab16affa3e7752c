"""One coordinator: its parts wired together, run until SIGTERM or the console's drain."""

from __future__ import annotations

import signal
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import Config
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import Engine, Transport
from fordstair.core.start_times import StartTimes
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.held_signals import deliver
from fordstair.net.clients.client_limits import RPC_MAX_STATEMENT_BYTES
from fordstair.net.clients.listener import ClientListener, Serve, open_listeners
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.net.engine_list_watch import EngineListWatch
from fordstair.net.engines.pool import ConnectionPool
from fordstair.net.engines.rest import RestTransport
from fordstair.runtime.clock import AnchoredClock, WallClock
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

if TYPE_CHECKING:  # what only an operator's file turns on is not loaded on the platform
    from fordstair.budgets.plan import FleetBudgetsConfig
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.core.admission_queue import AdmissionQueue
    from fordstair.membership.transport import Membership
    from fordstair.net.clients.odata_front import ODataFront
    from fordstair.net.clients.odata_model import Operator
    from fordstair.net.console_server import ConsoleServer
    from fordstair.net.identity import Identity
    from fordstair.replication.service import ReplicationService

log = EventLog("fordstair")

# After SIGTERM new connections and requests still come for a while; SIGKILL comes after the longest deadline
# and KILL_MS. By then all must be answered: the module gives its word on what is open a moment before.
ACCEPT_MS, KILL_MS, LONGEST_MS, ANSWER_MS, FLUSH_MS = 700.0, 700.0, 3_000.0, 550.0, 300.0
BACKLOG_MS = 500.0  # at most, for those that have connected and are not accepted yet
SPARE_SOCKETS = 40  # the listeners, the channel, the console, standard streams and some room
# Usual clients hold at most a third of the sockets; the rest is for those that must be told so first.
CLIENTS_PART = 0.4
SHARE_MS = 5_000.0  # between two looks at what was learned of costs
CLOCK_WATCH_MS = 1_000.0  # between two looks for a step of the wall clock
KEEP_MS = 5_000.0  # between two notes on disk that the register was heard
STATEMENTS_PART, SMALLEST_BOUND = 0.125, 16 * 1024


class Program:
    """The parts of one coordinator."""

    def __init__(self, config: Config, operator: Operator | None, load: Callable[[], Config]) -> None:
        self.config, self.operator, self.load = config, operator, load
        self.deadlines, self.counters, self.stop = Deadlines(), Counters(), trio.Event()
        self.anchor, self.wall_clock = AnchoredClock(), WallClock()
        self.start_times = StartTimes(self.anchor)
        self.listed = trio.Event()  # set by news of engines
        self.listeners: list[trio.SocketListener] = []
        self.identity: Identity | None = None
        self.odata: ODataFront | None = None
        self.console_server: ConsoleServer | None = None
        self.membership: Membership | None = None
        self.ledger: ReplicationService | None = None
        self.budgets: FleetBudgets | None = None
        self.admission_queue: AdmissionQueue | None = None
        if operator is not None and operator.identity:
            from fordstair.net.identity import Identity, read_files

            self.identity = Identity(read_files(operator.identity), self.deadlines, self.counters)
        self.pool = ConnectionPool(
            self.deadlines,
            self.counters,
            tls=self.tls,
            accept=self.identity.check_engine if self.identity else lambda *_: None,
        )
        transport = (self.pool, self.deadlines, config.settings.load_report_fields)
        self.transports: dict[str, Transport] = {"rest": RestTransport(*transport)}
        if operator is not None:
            from fordstair.net.engines.odata import ODataTransport

            self.transports["odata"] = ODataTransport(*transport)
        self.coordinator = Coordinator(
            config.settings, config.seed, self.transports, self.deadlines, self.counters
        )
        self.pool.unreached = self.coordinator.engine_unreachable
        if config.budgets is not None:
            from fordstair.core.admission_queue import AdmissionQueue
            from fordstair.scheduling.scheduler import Scheduler

            told = config.budgets
            scheduler = Scheduler(
                dict(told.shares),
                1.0,
                waiting_most=told.waiting_most,
                burst_ms=told.burst_ms,
                debt_ms=told.debt_ms,
            )
            self.admission_queue = AdmissionQueue(self.coordinator, scheduler, told.threads_a_core)
            self.coordinator.extensions.admission_queue = self.admission_queue
        if operator is not None and operator.eject_silent_zones:
            from fordstair.core.zone_watch import ZoneWatch

            self.coordinator.extensions.zone_watch = ZoneWatch(self.coordinator)
        if operator is not None and operator.shares is not None:
            self.share_budgets(operator.shares)
        self.poll_watch = PollWatch()
        self.rpc = RpcFront(self.coordinator, self.poll_watch)
        if operator is not None and operator.listen is not None:
            from fordstair.net.clients.odata_front import ODataFront

            team_of = self.identity.team_of if self.identity else lambda _: None
            self.odata = ODataFront(self.coordinator, operator, team_of)
        if operator is not None and operator.ledger is not None and self.odata is not None:
            from fordstair.net.clients.repeatable_requests import ReplicatedIdempotencyStore
            from fordstair.replication.service import ReplicationService

            named = replace(operator.ledger, member=operator.ledger.member or config.name)
            ledger = self.ledger = ReplicationService(named, config.seed)
            self.odata.idempotency_store = ReplicatedIdempotencyStore(ledger.claim_coordinator)
            self.counters.include("ledger", lambda: ledger.counts)
        if operator is not None and operator.fleet is not None:
            from fordstair.membership.transport import Membership

            fleet = replace(operator.fleet, name=operator.fleet.name or config.name)
            membership = self.membership = Membership(fleet, operator.fleet_listen, config.seed)
            self.counters.include("fleet", lambda: membership.counts)
        if operator is not None and operator.console:
            from fordstair.net.console_server import ConsoleServer

            self.console_server = ConsoleServer(
                config.name,
                self.coordinator,
                self.stop.set,
                self.wall_clock,
                operator.watchers,
                self.membership,
                self.ledger,
                self.budgets,
            )
        self.bound()
        self.command_channel = EngineListWatch(
            config.channel, config.cursor, self.announced, self.deadlines, self.counters
        )

    def share_budgets(self, fleet_budgets: FleetBudgetsConfig) -> None:
        """Take part in budgets that the fleet has together: what has its turn also needs this one's share."""
        from fordstair.budgets.local_limits import LocalLimits
        from fordstair.budgets.transport import FleetBudgets

        if (queue := self.admission_queue) is None:
            raise ConfigError("fleet.budgets: needs [budgets], in a file that tells of the whole site")
        named = replace(fleet_budgets, member=fleet_budgets.member or self.config.name)
        budgets = self.budgets = FleetBudgets(named, self.config.seed)
        settings = self.config.settings
        limits = queue.caps = LocalLimits(
            named.plan.limits,
            [each.name for each in settings.tenants] or [""],
            [each.name for each in settings.classes],
            budgets.allotment,
            named.plan.request_interval_ms,
        )
        budgets.set_demand_source(lambda: limits.demand(self.deadlines.clock()))
        budgets.on_allotment = queue.release
        self.counters.include("shares", lambda: budgets.counts)

    def tls(self, address: str) -> ssl.SSLContext | None:
        """Return the context for an engine's address; engines that speak OData are secured."""
        engines = self.coordinator.engines.values()
        secured = {engine.address for engine in engines if engine.protocol == "odata"}
        return self.identity.client if self.identity is not None and address in secured else None

    def announced(self, kind: ListUpdateKind, engines: list[Engine]) -> None:
        """Take news in as discovery tells it: what has changed has changed just now."""
        self.members(kind, engines, announced=kind is ListUpdateKind.DELTA)

    def members(self, kind: ListUpdateKind, engines: list[Engine], *, announced: bool = False) -> None:
        """Pass the register's news on, with the protocols that the operator has set."""
        for engine in engines:
            name = engine.entry.engine
            started_ms = self.start_times.moment(name, engine.started_at, announced=announced)
            engine.entry = replace(engine.entry, started_ms=started_ms)
            if engine.entry.state is EngineState.GONE:
                self.start_times.forget(name)
            if self.operator is not None:
                engine.protocol = self.operator.engines.get(engine.entry.engine, engine.protocol)
        self.coordinator.update_engines(kind, engines)
        self.listed.set()

    async def keep_engines(self, ledger: ReplicationService) -> None:
        """Keep the engines that the register lists on disk and with the other members.

        Until it is heard, and where nobody else tells of any engine, go on with those that were kept, and
        with what other members hear.
        """
        from fordstair.replication.engine_restoration import EngineRestorer, replicated_engines

        restored = EngineRestorer(self.config.settings.slow_start_ms)

        def take_over() -> None:
            if told or self.command_channel.last_received_ms > 0.0:
                return
            engines = restored.engines(self.anchor.now().value, ledger.state.engine_set)
            here = {(each.entry, each.address) for each in self.coordinator.engines.values()}
            if engines and {(each.entry, each.address) for each in engines} != here:
                log.warning("engines.restored", engines=len(engines))
                self.members(ListUpdateKind.FULL, engines)

        await ledger.loaded.wait()
        heard_ms = self.deadlines.clock()
        told = bool(self.coordinator.engines)
        ledger.engine_set_sync.on_received = take_over
        take_over()
        while True:
            self.listed = trio.Event()
            heard_ms = max(heard_ms if told else 0.0, self.command_channel.last_received_ms)
            if (
                heard_ms > 0.0
                and self.coordinator.engines
                and not await ledger.engine_set_sync.update_from_registry(
                    self.anchor.unix(heard_ms).value, replicated_engines(self.coordinator.engines.values())
                )
            ):
                log.warning("engines.not_kept", why=ledger.state.writer.unavailable_reason)
            with self.deadlines.limit_for(KEEP_MS):
                await self.listed.wait()

    async def share_costs(self, ledger: ReplicationService) -> None:
        """Take over what others, or an earlier life, have learned of costs, and tell what is learned here."""
        from fordstair.replication.learned_costs import differs_enough, learned_values, restore_values

        gateway = self.coordinator.gateway

        def take_over() -> None:
            if taken := restore_values(gateway, ledger.register_sync.values()):
                log.info("costs.taken_over", values=taken)

        await ledger.loaded.wait()
        ledger.register_sync.on_received = take_over
        take_over()
        while True:
            await self.deadlines.sleep(SHARE_MS)
            values, known = list(learned_values(gateway)), ledger.register_sync.values()
            await ledger.register_sync.set_values(
                [(key, value) for key, value in values if differs_enough(known.get(key), value)]
            )

    async def run(self) -> None:
        """Run until SIGTERM, or the console's drain, has been followed by the last answer."""
        for _, kind, engines in self.config.known:
            self.members(kind, engines)
        async with trio.open_nursery() as nursery:
            await nursery.start(self.signals)
            nursery.start_soon(self.deadlines.run)
            nursery.start_soon(self.watch_clock)
            nursery.start_soon(self.poll_watch.run)
            await nursery.start(self.pool.run)
            await nursery.start(self.coordinator.run)
            nursery.start_soon(self.command_channel.run)
            if self.membership is not None:
                await self.join(nursery, self.membership.run, "fleet.listen")
            if self.ledger is not None:
                await self.join(nursery, self.ledger.run, "fleet.ledger")
                nursery.start_soon(self.keep_engines, self.ledger)
                nursery.start_soon(self.share_costs, self.ledger)
            if self.budgets is not None:
                await self.join(nursery, self.budgets.run, "fleet.budgets")
            if self.operator is not None and self.console_server is not None:
                await nursery.start(self.console_server.run, self.operator.console)
            accepting = [trio.CancelScope()]
            nursery.start_soon(self.accept, "listens", self.config.listen, self.rpc.serve, accepting[0])
            if self.operator is not None and self.odata is not None and self.operator.listen is not None:
                accepting.append(trio.CancelScope())
                nursery.start_soon(self.accept, "odata", self.operator.listen, self.serve_odata, accepting[1])
            if self.identity is not None:
                self.identity.watch()
            await self.stop.wait()
            await self.drain(accepting)
            if self.membership is not None:
                await self.membership.leave()
            if self.budgets is not None:
                await self.budgets.leave()
            nursery.cancel_scope.cancel()
        log.info("counters", **self.counters.snapshot())

    async def join(self, nursery: trio.Nursery, run: Callable[..., Awaitable[None]], told: str) -> None:
        """Run a part that others of the fleet reach, from now on."""
        try:
            await nursery.start(run)
        except OSError as error:
            raise ConfigError(f"{told}: {error}") from None

    async def watch_clock(self) -> None:
        """Log and count steps of the wall clock, for whoever reads times in logs."""
        while True:
            await self.deadlines.sleep(CLOCK_WATCH_MS)
            if step_ms := self.wall_clock.follow_step():
                self.counters.add("clock.steps")
                log.warning("clock.stepped", by_ms=round(step_ms))

    async def serve_odata(self, stream: trio.SocketStream, waited_ms: float) -> None:
        """Serve an OData client, after its handshake where there are identities."""
        assert self.odata is not None
        try:
            secured = stream if self.identity is None else await self.identity.secure(stream)
            if secured is not None:
                await self.odata.serve(secured)
        except Exception:  # one client's handshake must not end the others' connections
            log.exception("odata.internal_error")

    async def signals(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """SIGHUP reads the configuration anew, SIGUSR1 prints the counters, SIGTERM and SIGINT end it."""
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        with trio.open_signal_receiver(*wanted) as signals:
            deliver()
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                elif number == signal.SIGUSR1:
                    log.info("counters", **self.counters.snapshot())
                else:
                    self.stop.set()

    def reload(self) -> None:
        """Read the configuration anew, check it whole, and apply what can change; a bad one changes none."""
        try:
            config = self.load()
        except Exception as error:  # whatever is wrong with a file must not end the program
            self.counters.add("config.refused")
            return log.error("configuration.kept", why=" ".join(str(error).split()))
        fixed = ("name", "listen", "settings")
        if lasting := [name for name in fixed if getattr(config, name) != getattr(self.config, name)]:
            log.warning("configuration.at_next_start", fields=", ".join(lasting))
        self.config = replace(config, **{name: getattr(self.config, name) for name in fixed})
        self.bound()
        for event in config.known:
            self.command_channel.apply(event)
        self.command_channel.reconnect(config.channel)
        if self.admission_queue is not None and config.budgets is not None:
            shares = dict(config.budgets.shares)
            self.admission_queue.scheduler.set_shares(shares, self.deadlines.clock())
        self.counters.add("config.reloads")
        log.info("configuration.reloaded", channel=config.channel or "none")

    def bound(self) -> None:
        """Share the limits on sockets and memory out, and set the times for connections."""
        clients_most = int(CLIENTS_PART * self.config.sockets)
        self.pool.resize(self.config.sockets - clients_most - SPARE_SOCKETS)
        self.pool.connect_timeout_ms = self.config.connect_timeout_ms
        self.pool.idle_timeout_ms = self.config.idle_ms
        self.rpc.max_clients = clients_most if self.odata is None else clients_most // 2
        if self.odata is not None:
            self.odata.max_clients = clients_most - self.rpc.max_clients
        # all clients' half-sent statements together must not fill the memory
        held = STATEMENTS_PART * self.config.memory_mb * 2**20 / self.rpc.max_clients
        self.rpc.max_statement_bytes = max(SMALLEST_BOUND, min(RPC_MAX_STATEMENT_BYTES, int(held)))

    async def accept(self, name: str, listen: tuple[str, int], serve: Serve, scope: trio.CancelScope) -> None:
        """Accept clients until the scope is cancelled; their connections outlive it."""
        async with trio.open_nursery() as clients:
            with scope:
                try:
                    listeners = await open_listeners(*listen, self.deadlines)
                except OSError as error:
                    raise ConfigError(f"{name}: {listen[0]}:{listen[1]}: {error}") from None
                self.listeners += listeners
                host, port = listeners[0].socket.getsockname()[:2]
                log.info("listening", name=self.config.name, front=name, host=host, port=port)
                async with trio.open_nursery() as accepting:
                    for each in listeners:
                        accepting.start_soon(self._listener(each, serve).run, clients)

    def _listener(self, opened: trio.SocketListener, serve: Serve) -> ClientListener:
        return ClientListener(opened.socket, serve, self.poll_watch, self.deadlines, self.counters)

    async def drain(self, accepting: list[trio.CancelScope]) -> None:
        """Go on for a while, then close what is idle, and answer all by the end."""
        deadlines, coordinator = self.deadlines, self.coordinator
        start, coordinator.draining = deadlines.clock(), True
        longest_ms = max(spec.client_timeout_ms for spec in self.config.settings.classes)
        kill_ms = start + min(LONGEST_MS, longest_ms) + KILL_MS
        await deadlines.sleep(ACCEPT_MS)
        # Who has connected by now is accepted: closing the listener resets what waits at it, and what was
        # asked there with it.
        late_ms = deadlines.clock() + BACKLOG_MS
        while deadlines.clock() < late_ms and any(each.socket.is_readable() for each in self.listeners):
            await deadlines.sleep(1.0)
        for scope in accepting:
            scope.cancel()
        while deadlines.clock() < kill_ms - ANSWER_MS and coordinator.open_count:
            await deadlines.sleep(20.0)
        coordinator.withdraw_all()
        self.rpc.close()
        while deadlines.clock() < kill_ms - ANSWER_MS + FLUSH_MS and (
            self.rpc.clients or coordinator.live or (self.odata is not None and not self.odata.idle)
        ):
            await deadlines.sleep(10.0)
