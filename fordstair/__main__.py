"""Start one coordinator: read the configuration, wire the parts together, and run until SIGTERM."""

from __future__ import annotations

import argparse
import logging
import signal
import ssl
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from cairnhoist.interface import ListKind
from fordstair.config import Config, ConfigError, load
from fordstair.core.coordinator import Coordinator
from fordstair.core.counters import Counters
from fordstair.core.deadlines import Deadlines
from fordstair.core.ports import Engine, Transport
from fordstair.net.admin import Admin
from fordstair.net.http_client import Pool
from fordstair.net.identity import Identity, read_files
from fordstair.net.membership import Membership
from fordstair.net.msgpack_rpc import LARGEST_STATEMENT, RpcFront
from fordstair.net.odata_engine import ODataTransport
from fordstair.net.odata_front import ODataFront
from fordstair.net.odata_model import Operator, load_operator
from fordstair.net.rest_engine import RestTransport

log = logging.getLogger("fordstair")

# After SIGTERM new connections and requests still come for a while; SIGKILL comes after the longest deadline
# and KILL_MS. By then all must be answered: the module gives its word on what is open a moment before.
ACCEPT_MS, KILL_MS, LONGEST_MS, ANSWER_MS, FLUSH_MS = 700.0, 700.0, 3_000.0, 550.0, 300.0
SPARE_SOCKETS = 40  # the listeners, the channel, the console, standard streams and some room
# Usual clients hold at most a third of the sockets; the rest is for those that must be told so first.
CLIENTS_PART = 0.4
STATEMENTS_PART, SMALLEST_BOUND = 0.125, 16 * 1024


class Program:
    """The parts of one coordinator."""

    def __init__(self, config: Config, operator: Operator | None) -> None:
        self.config, self.operator = config, operator
        self.deadlines, self.counters = Deadlines(), Counters()
        self.identity: Identity | None = None
        if operator is not None and operator.identity:
            self.identity = Identity(read_files(operator.identity), self.deadlines, self.counters)
        self.pool = Pool(self.deadlines, self.counters, tls=self.tls,
                         accept=self.identity.check_engine if self.identity else lambda *_: None)
        transport = (self.pool, self.deadlines, config.settings.report_fields)
        transports: dict[str, Transport] = {
            "rest": RestTransport(*transport), "odata": ODataTransport(*transport)}
        self.coordinator = Coordinator(
            config.settings, config.seed, transports, self.deadlines, self.counters)
        self.rpc = RpcFront(self.coordinator)
        self.odata: ODataFront | None = None
        if operator is not None:
            team_of = self.identity.team_of if self.identity else lambda _: None
            self.odata = ODataFront(self.coordinator, operator, team_of)
        self.bound()
        self.membership = Membership(
            config.channel, config.cursor, self.members, self.deadlines, self.counters)
        self.stop = trio.Event()

    def tls(self, address: str) -> ssl.SSLContext | None:
        """Return the context for an engine's address; engines that speak OData are secured."""
        engines = self.coordinator.engines.values()
        secured = {engine.address for engine in engines if engine.protocol == "odata"}
        return self.identity.client if self.identity is not None and address in secured else None

    def members(self, kind: ListKind, engines: list[Engine]) -> None:
        """Pass the register's news on, with the protocols that the operator has set."""
        for engine in engines:
            if self.operator is not None:
                engine.protocol = self.operator.engines.get(engine.entry.engine, "rest")
        self.coordinator.members(kind, engines)

    async def run(self) -> None:
        """Run until SIGTERM, or the console's drain, has been followed by the last answer."""
        for _, kind, engines in self.config.known:
            self.members(kind, engines)
        self.pool.tidy()
        async with trio.open_nursery() as nursery:
            await nursery.start(self.signals)
            nursery.start_soon(self.deadlines.run)
            await nursery.start(self.coordinator.run)
            nursery.start_soon(self.membership.run)
            if self.operator is not None and self.operator.console:
                admin = Admin(self.config.name, self.coordinator, self.stop.set)
                await nursery.start(admin.run, self.operator.console)
            accepting = [trio.CancelScope()]
            nursery.start_soon(self.accept, "listens", self.config.listen, self.rpc.serve, accepting[0])
            if self.operator is not None and self.odata is not None:
                accepting.append(trio.CancelScope())
                nursery.start_soon(self.accept, "odata", self.operator.listen, self.serve_odata, accepting[1])
            if self.identity is not None:
                self.identity.watch()
            await self.stop.wait()
            await self.drain(accepting)
            nursery.cancel_scope.cancel()
        log.info("%s", self.counters.line())

    async def serve_odata(self, stream: trio.SocketStream) -> None:
        """Serve an OData client, after its handshake where there are identities."""
        assert self.odata is not None
        try:
            secured = stream if self.identity is None else await self.identity.secure(stream)
            if secured is not None:
                await self.odata.serve(secured)
        except Exception:  # one client's handshake must not end the others' connections
            log.exception("an OData connection broke")

    async def signals(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """SIGHUP reads the configuration anew, SIGUSR1 prints the counters, SIGTERM and SIGINT end it."""
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        with trio.open_signal_receiver(*wanted) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                elif number == signal.SIGUSR1:
                    log.info("%s", self.counters.line())
                else:
                    self.stop.set()

    def reload(self) -> None:
        """Read the configuration anew, check it whole, and apply what can change; a bad one changes none."""
        try:
            config = load()
        except Exception as error:  # whatever is wrong with a file must not end the program
            self.counters.add("config.refused")
            return log.error("the configuration stays as it was: %s", " ".join(str(error).split()))
        fixed = ("name", "listen", "settings")
        if lasting := [name for name in fixed if getattr(config, name) != getattr(self.config, name)]:
            log.warning("takes effect at the next start only: %s", ", ".join(lasting))
        self.config = replace(config, **{name: getattr(self.config, name) for name in fixed})
        self.bound()
        for event in config.known:
            self.membership.take(*event)
        self.membership.move(config.channel)
        self.counters.add("config.reloads")
        log.info("the configuration was read anew; command channel %s", config.channel or "none")

    def bound(self) -> None:
        """Share the limits on sockets and memory out, and set the times for connections."""
        clients_most = int(CLIENTS_PART * self.config.sockets)
        self.pool.resize(self.config.sockets - clients_most - SPARE_SOCKETS)
        self.pool.connect_ms, self.pool.idle_ms = self.config.connect_timeout_ms, self.config.idle_ms
        self.rpc.clients_most = clients_most if self.odata is None else clients_most // 2
        if self.odata is not None:
            self.odata.clients_most = clients_most - self.rpc.clients_most
        # all clients' half-sent statements together must not fill the memory
        held = STATEMENTS_PART * self.config.memory_mb * 2**20 / self.rpc.clients_most
        self.rpc.largest_statement = max(SMALLEST_BOUND, min(LARGEST_STATEMENT, int(held)))

    async def accept(self, name: str, listen: tuple[str, int],
                     serve: Callable[[trio.SocketStream], Awaitable[None]], scope: trio.CancelScope) -> None:
        """Accept clients until the scope is cancelled; their connections outlive it."""
        async with trio.open_nursery() as clients:
            with scope:
                listeners = await trio.open_tcp_listeners(listen[1], host=listen[0])
                log.info("%s: %s on %s:%d", self.config.name, name, *listeners[0].socket.getsockname()[:2])
                await trio.serve_listeners(serve, listeners, handler_nursery=clients)

    async def drain(self, accepting: list[trio.CancelScope]) -> None:
        """Go on for a while, then close what is idle, and answer all by the end."""
        deadlines, coordinator = self.deadlines, self.coordinator
        start, coordinator.draining = deadlines.clock(), True
        longest_ms = max(spec.give_up_ms for spec in self.config.settings.classes)
        kill_ms = start + min(LONGEST_MS, longest_ms) + KILL_MS
        await deadlines.sleep(ACCEPT_MS)
        for scope in accepting:
            scope.cancel()
        while deadlines.clock() < kill_ms - ANSWER_MS and coordinator.open:
            await deadlines.sleep(20.0)
        coordinator.close()
        for client in self.rpc.clients:
            client.close()
        while deadlines.clock() < kill_ms - ANSWER_MS + FLUSH_MS and (
                self.rpc.clients or coordinator.live or (self.odata is not None and not self.odata.idle)):
            await deadlines.sleep(10.0)


def main() -> int:
    """Run; 2 where the configuration cannot be used."""
    parser = argparse.ArgumentParser(prog="fordstair", description="Run one coordinator.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's file: OData, identities, console")
    told = parser.parse_args()
    logging.getLogger("odata_query").setLevel(logging.ERROR)  # it warns of each property without a type
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    try:
        program = Program(load(), load_operator(told.operator) if told.operator else None)
    except ConfigError as error:
        print(f"fordstair: {error}", file=sys.stderr)
        return 2
    trio.run(program.run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
