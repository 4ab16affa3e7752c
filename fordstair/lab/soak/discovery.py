"""A stand-in of the command channel, from the protocol page: numbered events, and a beat each second."""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio

from fordstair.lab.soak.records import (
    DiscoveryConnection,
    SoakRecord,
    ToldOfDrain,
    ToldOfStart,
)
from fordstair.net.engine_list_wire import HEADER, RECORD
from fordstair.runtime.clock import unix_now

BEAT_S = 1.0
CURSOR_BYTES = 8
PORTS_EACH = 2  # of a coordinator
NOTHING = 0
CHANGES = 2
READY = 0
DRAINING = 1
_STATES = {READY: "ready", DRAINING: "draining"}


@dataclass(frozen=True, slots=True)
class EngineChange:
    """A numbered change of one engine, as it goes out."""

    number: int
    engine: str
    state: int
    payload: bytes
    start: bool  # it tells of a start


class DiscoveryStandIn:
    """Tells coordinators of engines, each on two ports of its own of which it may be told either.

    It writes down when it has told which coordinator of a drain.
    """

    def __init__(
        self,
        engines: Mapping[str, str],
        coordinators: Sequence[str],
        record: SoakRecord,
        now_s: Callable[[], float],
    ) -> None:
        self.engines = dict(engines)  # address by name
        self.states = dict.fromkeys(engines, READY)
        self.started_ms = dict.fromkeys(engines, 0)
        self.ports: dict[str, list[int]] = {name: [] for name in coordinators}
        self.number = 1
        self._record = record
        self._now_s = now_s
        self._changes: list[EngineChange] = []
        self._streams: set[trio.SocketStream] = set()
        self._spoken = trio.Event()
        self._changed = trio.Event()
        self._spoken.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in PORTS_EACH * list(self.ports):
                serve = partial(self._serve, name)
                listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
                self.ports[name].append(listeners[0].socket.getsockname()[1])
            task_status.started()

    def announce(self, name: str, state: int, *, start: bool = False) -> None:
        """Tell a new state of an engine."""
        self.states[name] = state
        self.number += 1
        self._changes.append(EngineChange(self.number, name, state, self._encode(name), start))
        self._changed.set()
        self._changed = trio.Event()

    def announce_start(self, name: str) -> None:
        """Tell that an engine's process was started anew just now."""
        self.started_ms[name] = int(unix_now().value)
        self.announce(name, self.states[name], start=True)

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

    def draining(self) -> list[str]:
        """Return the engines that drain now."""
        return [name for name, state in self.states.items() if state == DRAINING]

    def _encode(self, name: str) -> bytes:
        host, _, port = self.engines[name].rpartition(":")
        address = bytes(int(part) for part in host.split("."))
        return RECORD.pack(
            int(name[2:], 16), address, int(port), self.states[name], 0, 0, 0, 1_000, self.started_ms[name]
        )

    async def _serve(self, coordinator: str, stream: trio.SocketStream) -> None:
        connection = DiscoveryConnection(coordinator)
        self._streams.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                cursor = int.from_bytes(await stream.receive_some(CURSOR_BYTES), "big")
                for change in self._changes:
                    if change.number <= cursor:  # it says that it has read this, on another connection
                        self._note_told(change, connection)
                nursery.start_soon(self._tell, stream, connection, cursor)
                while await stream.receive_some(CURSOR_BYTES):
                    pass
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, struct.error):
            pass
        finally:
            connection.ended_s = self._now_s()
            self._streams.discard(stream)

    async def _tell(self, stream: trio.SocketStream, connection: DiscoveryConnection, cursor: int) -> None:
        """Write what has changed since the cursor, and a beat each second."""
        while True:
            await self._spoken.wait()
            for change in self._changes:
                if change.number > cursor:
                    await stream.send_all(_frame(change.number, CHANGES, change.payload))
                    cursor = change.number
                    self._note_told(change, connection)
            changed = self._changed
            with trio.move_on_after(BEAT_S):
                await changed.wait()
            await self._spoken.wait()
            await stream.send_all(_frame(cursor, NOTHING, b""))

    def _note_told(self, change: EngineChange, connection: DiscoveryConnection) -> None:
        if change.start:
            started = ToldOfStart(connection.coordinator, change.engine, self._now_s())
            self._record.told_starts.append(started)
        if change.state == DRAINING:
            told = ToldOfDrain(
                connection.coordinator, change.engine, self._now_s(), connection, change.number
            )
            self._record.told.append(told)


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return HEADER.pack(HEADER.size - 4 + len(payload), number, kind) + payload
