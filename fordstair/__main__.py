"""Start one coordinator: read the configuration, wire the parts together, and run until SIGTERM."""

from __future__ import annotations

import logging
import signal
import sys

import trio

from fordstair.config import Config, ConfigError, load
from fordstair.core.coordinator import Coordinator
from fordstair.core.counters import Counters
from fordstair.core.deadlines import Deadlines
from fordstair.net.http_client import Pool
from fordstair.net.membership import Membership
from fordstair.net.msgpack_rpc import RpcFront
from fordstair.net.rest_engine import RestTransport

log = logging.getLogger("fordstair")

# After SIGTERM new connections and requests still come for a while; all must be answered in the end.
ACCEPT_MS, ANSWER_MS, FLUSH_MS = 700.0, 2_700.0, 250.0
SPARE_SOCKETS = 40  # the listener, the channel, the console, standard streams and some room


async def serve(config: Config) -> None:
    """Run one coordinator until SIGTERM has been followed by its last answer."""
    deadlines, counters = Deadlines(), Counters()
    clients_most = config.sockets // 3
    pool = Pool(deadlines, counters, size=config.sockets - clients_most - SPARE_SOCKETS,
                connect_ms=config.connect_timeout_ms, idle_ms=config.idle_ms)
    transports = {"rest": RestTransport(pool, deadlines, config.settings.report_fields)}
    coordinator = Coordinator(config.settings, config.seed, transports, deadlines, counters)
    front = RpcFront(coordinator, clients_most)
    for kind, engines in config.known:
        coordinator.members(kind, engines)
    pool.tidy()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(deadlines.run)
        await nursery.start(coordinator.run)
        if config.channel:
            membership = Membership(config.channel, config.cursor, coordinator.members, deadlines, counters)
            nursery.start_soon(membership.run)
        accepting = trio.CancelScope()
        nursery.start_soon(accept, config, front, accepting)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1) as signals:
            async for number in signals:
                if number != signal.SIGUSR1:
                    break
                log.info("%s", counters.line())
        await drain(coordinator, front, accepting)
        nursery.cancel_scope.cancel()
    log.info("%s", counters.line())


async def accept(config: Config, front: RpcFront, scope: trio.CancelScope) -> None:
    """Accept clients until the scope is cancelled; their connections outlive it."""
    host, port = config.listen
    async with trio.open_nursery() as clients:
        with scope:
            listeners = await trio.open_tcp_listeners(port, host=host)
            log.info("%s listens on %s:%d", config.name, *listeners[0].socket.getsockname()[:2])
            await trio.serve_listeners(front.serve, listeners, handler_nursery=clients)


async def drain(coordinator: Coordinator, front: RpcFront, accepting: trio.CancelScope) -> None:
    """Go on for a while, then close what is idle, and answer all by the end."""
    deadlines = coordinator.deadlines
    start, coordinator.draining = deadlines.clock(), True
    await deadlines.sleep(ACCEPT_MS)
    accepting.cancel()
    while deadlines.clock() < start + ANSWER_MS and coordinator.live:
        await deadlines.sleep(20.0)
    coordinator.close()
    for client in front.clients:
        client.close()
    while deadlines.clock() < start + ANSWER_MS + FLUSH_MS and front.clients:
        await deadlines.sleep(10.0)


def main() -> int:
    """Run; 2 where the configuration cannot be used."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", stream=sys.stderr)
    try:
        config = load()
    except ConfigError as error:
        print(f"fordstair: {error}", file=sys.stderr)
        return 2
    trio.run(serve, config)
    return 0


if __name__ == "__main__":
    sys.exit(main())
