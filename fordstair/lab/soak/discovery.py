"""A stand-in of the command channel, from the protocol page: numbered events, and a beat each second."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from functools import partial
from typing import Any

import trio

from fordstair.net.engine_list_wire import HEADER, RECORD

BEAT_S = 1.0
NOTHING = 0
CHANGES = 2
READY = 0
DRAINING = 1
_STATES = {READY: "ready", DRAINING: "draining"}


class DiscoveryStandIn:
    """Tells coordinators of engines, on two ports of which a coordinator may be told either."""

    def __init__(self, engines: Mapping[str, str]) -> None:
        self.engines = dict(engines)  # address by name
        self.states = dict.fromkeys(engines, READY)
        self.started_ms = dict.fromkeys(engines, 0)
        self.ports: list[int] = []
        self.number = 1
        self._changes: list[tuple[int, bytes]] = []
        self._streams: set[trio.SocketStream] = set()
        self._spoken = trio.Event()
        self._changed = trio.Event()
        self._spoken.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                listeners = await nursery.start(partial(trio.serve_tcp, self._serve, 0, host="127.0.0.1"))
                self.ports.append(listeners[0].socket.getsockname()[1])
            task_status.started()

    def announce(self, name: str, state: int) -> None:
        """Tell a new state of an engine."""
        self.states[name] = state
        self.number += 1
        self._changes.append((self.number, self._record(name)))
        self._changed.set()
        self._changed = trio.Event()

    def go_silent(self) -> None:
        """Say nothing more, on connections that stay open."""
        self._spoken = trio.Event()

    def speak_again(self) -> None:
        """Go on with what there is to tell."""
        self._spoken.set()

    async def reset(self) -> None:
        """End all connections."""
        for stream in list(self._streams):
            await trio.aclose_forcefully(stream)

    def known(self) -> dict[str, Any]:
        """Return what a coordinator that starts now is told in its configuration."""
        servers = [
            {
                "id": name,
                "addr": address,
                "zone": "hall-a",
                "kind": "std",
                "cell": 0,
                "weight": 1,
                "state": _STATES[self.states[name]],
                "started_ms": self.started_ms[name],
            }
            for name, address in self.engines.items()
        ]
        nodes = {"version": self.number, "full": True, "servers": servers}
        return {"cursor": self.number, "cmds": [{"cursor": self.number, "nodes": nodes}]}

    def _record(self, name: str) -> bytes:
        host, _, port = self.engines[name].rpartition(":")
        address = bytes(int(part) for part in host.split("."))
        return RECORD.pack(
            int(name[2:], 16), address, int(port), self.states[name], 0, 0, 0, 1_000, self.started_ms[name]
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            cursor = int.from_bytes(await stream.receive_some(8), "big")
            while True:
                await self._spoken.wait()
                for number, payload in self._changes:
                    if number > cursor:
                        await stream.send_all(_frame(number, CHANGES, payload))
                        cursor = number
                changed = self._changed
                with trio.move_on_after(BEAT_S):
                    await changed.wait()
                await self._spoken.wait()
                await stream.send_all(_frame(cursor, NOTHING, b""))
        except (trio.BrokenResourceError, trio.ClosedResourceError, struct.error):
            pass
        finally:
            self._streams.discard(stream)


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return HEADER.pack(HEADER.size - 4 + len(payload), number, kind) + payload
