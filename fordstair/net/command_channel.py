"""The command channel: changes to the list of engines, in frames over one TCP connection."""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from typing import Any

import trio

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.runtime.clock import UnixMs
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# An empty frame comes each second: a longer silence means that the connection is dead without a sign.
SILENCE_MS = 2_200.0
CONNECT_MS = 1_000.0
AGAIN_MS = 100.0
LARGEST_FRAME = 4 * 1024 * 1024
HEADER = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
_STATES = (EngineState.READY, EngineState.DRAINING, EngineState.GONE)
_NAMES = {"ready": EngineState.READY, "draining": EngineState.DRAINING, "gone": EngineState.GONE}

Deliver = Callable[[ListUpdateKind, list[Engine]], None]


class FrameError(Exception):
    """A frame that cannot be read."""


def read_frame(view: memoryview) -> tuple[int, int, memoryview, int] | None:
    """Return number, kind, payload and length of the first frame; None where it is not whole yet."""
    if len(view) < 4:
        return None
    size = int.from_bytes(view[:4], "big")
    if not 9 <= size <= LARGEST_FRAME:
        raise FrameError(f"a frame of {size} bytes")
    if len(view) < 4 + size:
        return None
    _, number, kind = HEADER.unpack_from(view)
    return number, kind, view[HEADER.size : 4 + size], 4 + size


def read_records(payload: memoryview) -> list[Engine]:
    """Read the records of a whole list or of changes."""
    if len(payload) % RECORD.size:
        raise FrameError(f"{len(payload)} bytes of records")
    engines = []
    for name, host, port, state, zone, kind, cell, weight, started in RECORD.iter_unpack(payload):
        if state >= len(_STATES):
            raise FrameError(f"unknown state {state}")
        entry = EngineEntry(f"s-{name:08x}", _STATES[state], zone, cell, kind, weight=weight / 1000)
        address = f"{host[0]}.{host[1]}.{host[2]}.{host[3]}:{port}"
        engines.append(Engine(entry, address, started_at=_started(started)))
    return engines


def read_command(
    command: Mapping[str, Any], zones: list[str], kinds: list[str]
) -> tuple[int, ListUpdateKind, list[Engine]]:
    """Read one event of the configuration's ``known``; raise ValueError or KeyError where it cannot be."""
    nodes, engines = command["nodes"], []
    for line in nodes["servers"]:
        entry = EngineEntry(
            str(line["id"]),
            _NAMES[line["state"]],
            _position(zones, line.get("zone")),
            int(line.get("cell", 0)),
            _position(kinds, line.get("kind")),
            weight=float(line.get("weight", 1)),
        )
        engines.append(
            Engine(
                entry,
                str(line["addr"]),
                str(line.get("protocol", "rest")),
                _started(line.get("started_ms", 0)),
            )
        )
    kind = ListUpdateKind.FULL if nodes.get("full") else ListUpdateKind.DELTA
    return int(command.get("cursor", 0)), kind, engines


def _started(told: Any) -> UnixMs | None:
    """Read the Unix time of a start; 0 says that it is long past."""
    return UnixMs(float(told)) if float(told) > 0.0 else None


def _position(names: list[str], name: object) -> int:
    return names.index(name) if isinstance(name, str) and name in names else 0


class CommandChannel:
    """Keeps connected to the channel and passes every event on, each once."""

    def __init__(
        self, channel: str, cursor: int, deliver: Deliver, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.channel, self.cursor, self.deliver = channel, cursor, deliver
        self.deadlines, self.counters = deadlines, counters
        self.heard_ms = 0.0  # when the channel last said anything; 0: never
        self._scope = trio.CancelScope()

    def move(self, channel: str) -> None:
        """Follow another address from the same number; what the old one has told stays in force.

        The connection is made anew also where the address is the same: asking again brings what an
        address that has stopped without a sign holds back.
        """
        self.channel = channel
        self._scope.cancel()

    async def run(self) -> None:
        """Connect, read until the connection ends or falls silent, and connect again from the last number."""
        while True:
            with trio.CancelScope() as self._scope:
                if not self.channel:
                    await trio.sleep_forever()
                try:
                    await self._follow()
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, FrameError) as error:
                    log.info("channel.lost", address=self.channel, why=error)
                except Exception:  # news that breaks something here must not end the program with it
                    log.exception("channel.broke", address=self.channel)
                self.counters.add("channel.breaks")
                await self.deadlines.sleep(AGAIN_MS)

    async def _follow(self) -> None:
        host, _, port = self.channel.rpartition(":")
        with trio.socket.socket() as sock:
            with self.deadlines.limit_for(CONNECT_MS) as limit:
                await sock.connect((host, int(port)))
            if limit.cancelled_caught:
                raise OSError("no connection")
            stream = trio.SocketStream(sock)
            await stream.send_all(self.cursor.to_bytes(8, "big"))
            buffer = b""
            while True:
                with self.deadlines.limit_for(SILENCE_MS) as limit:
                    chunk = await stream.receive_some(65_536)
                if limit.cancelled_caught:
                    raise OSError("silence")
                if not chunk:
                    raise OSError("closed")
                self.heard_ms = self.deadlines.clock()
                buffer = buffer + chunk if buffer else bytes(chunk)
                view, at = memoryview(buffer), 0
                while (frame := read_frame(view[at:])) is not None:
                    number, kind, payload, size = frame
                    at += size
                    self._take(number, kind, payload)
                buffer = buffer[at:]

    def _take(self, number: int, kind: int, payload: memoryview) -> None:
        if kind in (1, 2) and number >= self.cursor:
            self.take(
                number, ListUpdateKind.FULL if kind == 1 else ListUpdateKind.DELTA, read_records(payload)
            )

    def take(self, number: int, kind: ListUpdateKind, engines: list[Engine]) -> None:
        """Pass an event on, unless it was told before: written twice, or known from another source.

        A whole list under the number at hand says how things stand there, and does no harm if it says nothing
        new; a change under that number is a second copy.
        """
        if number > self.cursor or (number == self.cursor and kind is ListUpdateKind.FULL):
            self.deliver(kind, engines)
            self.cursor = number
