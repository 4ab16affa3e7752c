"""Holds many idle and half-written client connections open, in a separate process.

``python -m fordstair.lab.soak.crowd HOST COUNT SEED PORT [PORT ...]`` keeps COUNT connections to each
port open, as far as the server accepts them, until the process is killed.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from random import Random

import msgpack
import trio

PARTIAL_REQUEST_SHARE = 0.4
RECONNECT_DELAY_S = (1.0, 4.0)  # after a connection was closed
READ_BYTES = 4_096
_PARTIAL_REQUEST = msgpack.packb([0, 1, "lookup", [{"txn": "0" * 16}, b"SELECT"]])[:20]


@asynccontextmanager
async def crowd(host: str, ports: Sequence[int], count: int, seed: int) -> AsyncIterator[None]:
    """Run a process that holds ``count`` connections to each port; start none if ``count`` is 0."""
    if not count:
        yield
        return
    arguments = [host, str(count), str(seed), *map(str, ports)]
    process = await trio.lowlevel.open_process([sys.executable, "-m", "fordstair.lab.soak.crowd", *arguments])
    try:
        yield
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


class Crowd:
    """Keeps ``count`` connections to one coordinator open, as far as it accepts them."""

    def __init__(self, host: str, port: int, count: int, seed: int) -> None:
        self._host = host
        self._port = port
        self._count = count
        self._random = Random(seed)

    async def run(self) -> None:
        """Hold the connections, and reopen those that are closed, until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._keep_connected)

    async def _keep_connected(self) -> None:
        while True:
            await trio.sleep(self._random.uniform(*RECONNECT_DELAY_S))
            await self._connect_once()

    async def _connect_once(self) -> None:
        try:
            stream = await trio.open_tcp_stream(self._host, self._port)
        except OSError:
            return
        async with stream:
            try:
                if self._random.random() < PARTIAL_REQUEST_SHARE:
                    await stream.send_all(_PARTIAL_REQUEST)
                while await stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


async def _run(host: str, count: int, seed: int, ports: Sequence[int]) -> None:
    async with trio.open_nursery() as nursery:
        for port in ports:
            nursery.start_soon(Crowd(host, port, count, seed).run)


def main() -> int:
    """Hold the connections until the process is killed."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.soak.crowd", description=__doc__)
    parser.add_argument("host")
    parser.add_argument("count", type=int)
    parser.add_argument("seed", type=int)
    parser.add_argument("ports", type=int, nargs="+")
    options = parser.parse_args()
    trio.run(_run, options.host, options.count, options.seed, options.ports)
    return 0


if __name__ == "__main__":
    sys.exit(main())
