"""A crowd of clients in a process of its own, which reconnect when they are disconnected.

``python -m fordstair.lab.pressure.crowd FRONT PORT KIND CLIENTS STATEMENT_BYTES`` runs until it is killed.
"""

from __future__ import annotations

import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from itertools import count
from random import Random

import trio

from fordstair.lab.pressure.kinds import ClientKind, odata_pieces, rpc_pieces
from fordstair.net.clients.read_delay import peer_has_closed

RPC = "listens"
HOST = "127.0.0.1"
CONNECT_WITHIN_S = 0.5  # the first connections are spread over this time
RECONNECT_DELAY_S = (0.2, 0.6)
READ_BYTES = 65_536
TXNS_PER_CLIENT = 1 << 32


@asynccontextmanager
async def crowd(
    front: str, port: int, kind: ClientKind, clients: int, statement_bytes: int
) -> AsyncIterator[None]:
    """Run a process that keeps ``clients`` connections to a front open, as far as it accepts them."""
    arguments = [front, str(port), kind.value, str(clients), str(statement_bytes)]
    process = await trio.lowlevel.open_process([sys.executable, "-m", __name__, *arguments])
    try:
        yield
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


class CrowdClient:
    """One client: sends what its kind sends, once for each connection."""

    def __init__(self, front: str, port: int, kind: ClientKind, number: int, statement_bytes: int) -> None:
        self._front = front
        self._port = port
        self._kind = kind.of_client(number)
        self._statement_bytes = statement_bytes
        self._txns = count(1 + number * TXNS_PER_CLIENT)
        self._random = Random(number)
        self._ended = 0  # connections that were refused or reset

    async def run(self) -> None:
        """Connect again whenever the connection has ended, until cancelled."""
        await trio.sleep(self._random.uniform(0.0, CONNECT_WITHIN_S))
        while True:
            try:
                await self._connect_once()
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                self._ended += 1
            await trio.sleep(self._random.uniform(*RECONNECT_DELAY_S))

    async def _connect_once(self) -> None:
        async with (
            await trio.open_tcp_stream(HOST, self._port) as stream,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(self._send, stream)
            if self._kind.reads:
                while await stream.receive_some(READ_BYTES):
                    pass
            else:
                await self._wait_for_end(stream)
            nursery.cancel_scope.cancel()

    async def _send(self, stream: trio.SocketStream) -> None:
        if self._front == RPC:
            pieces = rpc_pieces(self._kind, self._txns, self._statement_bytes)
        else:
            pieces = odata_pieces(self._kind, self._txns)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            for piece in pieces:
                await stream.send_all(piece.data)
                await trio.sleep(piece.pause_s)

    async def _wait_for_end(self, stream: trio.SocketStream) -> None:
        """Wait until the coordinator has closed the connection, without reading from it."""
        while not peer_has_closed(stream):
            await trio.sleep(RECONNECT_DELAY_S[0])


async def _run(front: str, port: int, kind: ClientKind, clients: int, statement_bytes: int) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(CrowdClient(front, port, kind, number, statement_bytes).run)


def main() -> int:
    """Run the crowd until the process is killed."""
    front, port, kind, clients, statement_bytes = sys.argv[1:]
    trio.run(_run, front, int(port), ClientKind(kind), int(clients), int(statement_bytes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
