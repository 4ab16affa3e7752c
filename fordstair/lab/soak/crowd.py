"""A crowd of connections that ask for nothing: idle ones, and some that are half-written."""

from __future__ import annotations

from random import Random

import msgpack
import trio

from fordstair.lab.soak.coordinators import HOST, SoakCoordinator

HALF_WRITTEN_SHARE = 0.4
RETURN_S = (1.0, 4.0)  # until one that was closed comes again
READ_BYTES = 4_096
_HALF_A_REQUEST = msgpack.packb([0, 1, "lookup", [{"txn": "0" * 16}, b"SELECT"]])[:20]


class Crowd:
    """Keeps that many connections to a coordinator, as far as it lets them."""

    def __init__(self, coordinator: SoakCoordinator, count: int, seed: int) -> None:
        self._coordinator = coordinator
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
            if self._coordinator.accepts:
                await self._connect_once()

    async def _connect_once(self) -> None:
        try:
            stream = await trio.open_tcp_stream(HOST, self._coordinator.port)
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
