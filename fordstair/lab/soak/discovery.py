"""A fake discovery service on the command channel: numbered events, and a heartbeat each second."""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio

from fordstair.lab.soak.records import (
    DiscoveryConnection,
    DrainNotification,
    SoakRecord,
    StartNotification,
)
from fordstair.net.engine_list_wire import HEADER, RECORD
from fordstair.runtime.clock import unix_now

HEARTBEAT_INTERVAL_S = 1.0
CURSOR_BYTES = 8
PORTS_PER_COORDINATOR = 2
HEARTBEAT = 0
CHANGE = 2
READY = 0
DRAINING = 1
_STATES = {READY: "ready", DRAINING: "draining"}


@dataclass(frozen=True, slots=True)
class EngineChange:
    """A numbered change of one engine.

    Attributes:
        payload: The encoded record.
        is_start: True if it announces a restart.
    """

    number: int
    engine: str
    state: int
    payload: bytes
    is_start: bool


class FakeDiscovery:
    """Sends engine states to coordinators, and records when it has sent each a drain or a restart.

    Each coordinator has two ports of its own; its configuration names one of them.

    Attributes:
        engines: The address of each engine, by name.
        ports: The ports of each coordinator, by its name.
        number: The number of the latest event.
    """

    def __init__(
        self,
        engines: Mapping[str, str],
        coordinators: Sequence[str],
        record: SoakRecord,
        now_s: Callable[[], float],
    ) -> None:
        self.engines = dict(engines)
        self.states = dict.fromkeys(engines, READY)
        self.started_ms = dict.fromkeys(engines, 0)
        self.ports: dict[str, list[int]] = {name: [] for name in coordinators}
        self.number = 1
        self._record = record
        self._now_s = now_s
        self._changes: list[EngineChange] = []
        self._streams: set[trio.SocketStream] = set()
        self._resumed = trio.Event()
        self._changed = trio.Event()
        self._resumed.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in PORTS_PER_COORDINATOR * list(self.ports):
                serve = partial(self._serve, name)
                listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
                self.ports[name].append(listeners[0].socket.getsockname()[1])
            task_status.started()

    def announce(self, name: str, state: int, *, start: bool = False) -> None:
        """Send a new state of an engine to all coordinators."""
        self.states[name] = state
        self.number += 1
        self._changes.append(EngineChange(self.number, name, state, self._encode(name), start))
        self._changed.set()
        self._changed = trio.Event()

    def announce_start(self, name: str) -> None:
        """Announce that an engine's process has just restarted."""
        self.started_ms[name] = int(unix_now().value)
        self.announce(name, self.states[name], start=True)

    def suspend(self) -> None:
        """Send nothing more, but keep the connections open."""
        self._resumed = trio.Event()

    def resume(self) -> None:
        """Send again, beginning with what has changed meanwhile."""
        self._resumed.set()

    async def reset(self) -> None:
        """Close all connections forcefully."""
        for stream in list(self._streams):
            await trio.aclose_forcefully(stream)

    def known_engines(self) -> dict[str, Any]:
        """Return the engine list for the configuration of a coordinator that starts now."""
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
        """Return the engines that are draining."""
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
                    if change.number <= cursor:  # the coordinator has read this on another connection
                        self._record_notification(change, connection)
                nursery.start_soon(self._send_changes, stream, connection, cursor)
                while await stream.receive_some(CURSOR_BYTES):
                    pass
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, struct.error):
            pass
        finally:
            connection.ended_s = self._now_s()
            self._streams.discard(stream)

    async def _send_changes(
        self, stream: trio.SocketStream, connection: DiscoveryConnection, cursor: int
    ) -> None:
        """Send the changes after the cursor, and a heartbeat each second."""
        while True:
            await self._resumed.wait()
            for change in self._changes:
                if change.number > cursor:
                    await stream.send_all(_frame(change.number, CHANGE, change.payload))
                    cursor = change.number
                    self._record_notification(change, connection)
            changed = self._changed
            with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                await changed.wait()
            await self._resumed.wait()
            await stream.send_all(_frame(cursor, HEARTBEAT, b""))

    def _record_notification(self, change: EngineChange, connection: DiscoveryConnection) -> None:
        if change.is_start:
            start_notification = StartNotification(connection.coordinator, change.engine, self._now_s())
            self._record.start_notifications.append(start_notification)
        if change.state == DRAINING:
            drain_notification = DrainNotification(
                connection.coordinator, change.engine, self._now_s(), connection, change.number
            )
            self._record.drain_notifications.append(drain_notification)


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return HEADER.pack(HEADER.size - 4 + len(payload), number, kind) + payload
