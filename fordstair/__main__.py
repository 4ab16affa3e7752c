"""Start one coordinator: read the configuration, wire the parts together, and run until SIGTERM."""

from __future__ import annotations

import argparse
import logging
import signal
import ssl
import sys
from collections.abc import Awaitable, Callable

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
from fordstair.net.msgpack_rpc import RpcFront
from fordstair.net.odata_engine import ODataTransport
from fordstair.net.odata_front import ODataFront
from fordstair.net.odata_model import Operator, load_operator
from fordstair.net.rest_engine import RestTransport

log = logging.getLogger("fordstair")

# After SIGTERM new connections and requests still come for a while; all must be answered in the end.
ACCEPT_MS, ANSWER_MS, FLUSH_MS = 700.0, 2_700.0, 250.0
SPARE_SOCKETS = 40  # the listeners, the channel, the console, standard streams and some room


class Program:
    """The parts of one coordinator."""

    def __init__(self, config: Config, operator: Operator | None) -> None:
        self.config, self.operator = config, operator
        self.deadlines, self.counters = Deadlines(), Counters()
        self.identity: Identity | None = None
        if operator is not None and operator.identity:
            self.identity = Identity(read_files(operator.identity), self.deadlines, self.counters)
        clients_most = config.sockets // 3
        self.pool = Pool(self.deadlines, self.counters, size=config.sockets - clients_most - SPARE_SOCKETS,
                         connect_ms=config.connect_timeout_ms, idle_ms=config.idle_ms, tls=self.tls,
                         accept=self.identity.check_engine if self.identity else lambda *_: None)
        transport = (self.pool, self.deadlines, config.settings.report_fields)
        transports: dict[str, Transport] = {
            "rest": RestTransport(*transport), "odata": ODataTransport(*transport)}
        self.coordinator = Coordinator(
            config.settings, config.seed, transports, self.deadlines, self.counters)
        rpc_most = clients_most if operator is None else clients_most // 2
        self.rpc = RpcFront(self.coordinator, rpc_most)
        self.odata: ODataFront | None = None
        if operator is not None:
            team_of = self.identity.team_of if self.identity else lambda _: None
            self.odata = ODataFront(self.coordinator, operator, clients_most - rpc_most, team_of)
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
        for kind, engines in self.config.known:
            self.members(kind, engines)
        self.pool.tidy()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deadlines.run)
            await nursery.start(self.coordinator.run)
            if self.config.channel:
                nursery.start_soon(Membership(self.config.channel, self.config.cursor, self.members,
                                              self.deadlines, self.counters).run)
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
            nursery.start_soon(self.signals)
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

    async def signals(self) -> None:
        """SIGUSR1 prints the counters; SIGTERM and SIGINT end the program."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1) as signals:
            async for number in signals:
                if number == signal.SIGUSR1:
                    log.info("%s", self.counters.line())
                else:
                    self.stop.set()

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
        await deadlines.sleep(ACCEPT_MS)
        for scope in accepting:
            scope.cancel()
        while deadlines.clock() < start + ANSWER_MS and coordinator.open:
            await deadlines.sleep(20.0)
        coordinator.close()
        for client in self.rpc.clients:
            client.close()
        while deadlines.clock() < start + ANSWER_MS + FLUSH_MS and (
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
