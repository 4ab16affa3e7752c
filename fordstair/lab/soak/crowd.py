"""A crowd of connections that ask for nothing, idle ones and half-written ones, in a process of its own.

``python -m fordstair.lab.soak.crowd HOST COUNT SEED PORT [PORT ...]`` keeps that many connections to each
port, as far as it is let, until it is ended.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from random import Random

import msgpack
import trio

HALF_WRITTEN_SHARE = 0.4
RETURN_S = (1.0, 4.0)  # until one that was closed comes again
READ_BYTES = 4_096
_HALF_A_REQUEST = msgpack.packb([0, 1, "lookup", [{"txn": "0" * 16}, b"SELECT"]])[:20]


@asynccontextmanager
async def crowd(host: str, ports: Sequence[int], count: int, seed: int) -> AsyncIterator[None]:
    """Hold a crowd of so many connections to each port, none where ``count`` is 0."""
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
    """Keeps that many connections to a coordinator, as far as it lets them."""

    def __init__(self, host: str, port: int, count: int, seed: int) -> None:
        self._host = host
        self._port = port
        self._count = count
        self._random = Random(seed)

    async def run(self) -> None:
        """Hold the connections, and open those again that are closed, until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._hold)

    async def _hold(self) -> None:
        while True:
            await trio.sleep(self._random.uniform(*RETURN_S))
            await self._connect_once()

    async def _connect_once(self) -> None:
        try:
            stream = await trio.open_tcp_stream(self._host, self._port)
        except OSError:
            return
        async with stream:
            try:
                if self._random.random() < HALF_WRITTEN_SHARE:
                    await stream.send_all(_HALF_A_REQUEST)
                while await stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


async def _run(host: str, count: int, seed: int, ports: Sequence[int]) -> None:
    async with trio.open_nursery() as nursery:
        for port in ports:
            nursery.start_soon(Crowd(host, port, count, seed).run)


def main() -> int:
    """Hold the crowd until the process is ended."""
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
