"""Watches the engine list: reads updates from the command channel, and delivers each once."""

from __future__ import annotations

from collections.abc import Callable

import trio

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.net.engine_list_wire import EngineListEvent, FrameError, read_event, read_frame
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# The channel sends a heartbeat each second: a longer silence means that the connection died unnoticed.
SILENCE_TIMEOUT_MS = 2_200.0
CONNECT_TIMEOUT_MS = 1_000.0
RECONNECT_DELAY_MS = 100.0
READ_BYTES = 65_536
_CURSOR_BYTES = 8

Deliver = Callable[[ListUpdateKind, list[Engine]], None]


class ChannelConnectionError(Exception):
    """The connection to the channel was not established, was closed, or timed out."""


class EngineListWatch:
    """Stays connected to the channel at ``address`` and delivers every update after ``cursor`` once.

    Attributes:
        address: host:port; empty if there is no channel.
        cursor: the number of the last update that was delivered.
        last_received_ms: when the channel last sent anything; 0 if it never did.
    """

    def __init__(
        self, address: str, cursor: int, deliver: Deliver, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.address = address
        self.cursor = cursor
        self.last_received_ms = 0.0
        self._deliver = deliver
        self._deadlines = deadlines
        self._counters = counters
        self._scope = trio.CancelScope()

    def reconnect(self, address: str) -> None:
        """Connect to another address from the same cursor; updates from the old one stay in force.

        It reconnects even if the address is the same, which brings the updates that were missed on a
        connection that died unnoticed.
        """
        self.address = address
        self._scope.cancel()

    def apply(self, event: EngineListEvent) -> None:
        """Deliver an update unless it is a duplicate, sent twice or known from another source.

        A full list with the current number is delivered again: it states what holds at that number and is
        idempotent. A delta with that number is a duplicate.
        """
        repeats_full = event.number == self.cursor and event.kind is ListUpdateKind.FULL
        if event.number > self.cursor or repeats_full:
            self._deliver(event.kind, event.engines)
            self.cursor = event.number

    async def run(self) -> None:
        """Read updates until the connection is lost, then reconnect from the cursor, until cancelled."""
        while True:
            with trio.CancelScope() as self._scope:
                if not self.address:
                    await trio.sleep_forever()
                try:
                    await self._read_updates()
                except (
                    OSError,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    FrameError,
                    ChannelConnectionError,
                ) as error:
                    log.info("channel.disconnected", address=self.address, why=error)
                except Exception:  # An update that causes an internal error must not end the program.
                    log.exception("channel.internal_error", address=self.address)
                self._counters.add("channel.disconnects")
                await self._deadlines.sleep(RECONNECT_DELAY_MS)

    async def _read_updates(self) -> None:
        """Read updates until the connection ends.

        Raise ChannelConnectionError, FrameError, an OSError or a trio resource error.
        """
        with trio.socket.socket() as sock:
            await self._connect(sock)
            stream = trio.SocketStream(sock)
            await stream.send_all(self.cursor.to_bytes(_CURSOR_BYTES, "big"))
            buffer = b""
            while True:
                chunk = await self._receive(stream)
                buffer = self._apply_frames(buffer + chunk if buffer else chunk)

    async def _connect(self, sock: trio.socket.SocketType) -> None:
        host, _, port = self.address.rpartition(":")
        with self._deadlines.limit_for(CONNECT_TIMEOUT_MS) as limit:
            await sock.connect((host, int(port)))
        if limit.cancelled_caught:
            raise ChannelConnectionError(f"no connection within {CONNECT_TIMEOUT_MS:.0f} ms")

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        chunk = b""
        with self._deadlines.limit_for(SILENCE_TIMEOUT_MS) as limit:
            chunk = bytes(await stream.receive_some(READ_BYTES))
        if limit.cancelled_caught:
            raise ChannelConnectionError("silence")
        if not chunk:
            raise ChannelConnectionError("closed")
        self.last_received_ms = self._deadlines.clock()
        return chunk

    def _apply_frames(self, buffer: bytes) -> bytes:
        """Apply the complete frames in a buffer; return the bytes that follow them."""
        view = memoryview(buffer)
        offset = 0
        while (frame := read_frame(view[offset:])) is not None:
            offset += frame.size_bytes
            # The records of an update that precedes the cursor are not parsed.
            event = read_event(frame) if frame.number >= self.cursor else None
            if event is not None:
                self.apply(event)
        return buffer[offset:]
