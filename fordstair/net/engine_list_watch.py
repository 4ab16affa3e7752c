"""Watches the engine list: follows the command channel, and passes each update on once."""

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

# A heartbeat comes each second: a longer silence means that the connection is dead without a sign.
SILENCE_TIMEOUT_MS = 2_200.0
CONNECT_TIMEOUT_MS = 1_000.0
RECONNECT_DELAY_MS = 100.0
READ_BYTES = 65_536
_CURSOR_BYTES = 8

Deliver = Callable[[ListUpdateKind, list[Engine]], None]


class WatchLostError(Exception):
    """The connection to the channel did not come up, has ended or fell silent."""


class EngineListWatch:
    """Keeps connected to the channel at ``address`` and delivers every update after ``cursor``, each once."""

    def __init__(
        self, address: str, cursor: int, deliver: Deliver, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.address = address  # host:port; empty: there is no channel
        self.cursor = cursor  # the number of the last update that was delivered
        self.last_received_ms = 0.0  # when the channel last sent anything; 0: never
        self._deliver = deliver
        self._deadlines = deadlines
        self._counters = counters
        self._scope = trio.CancelScope()

    def reconnect(self, address: str) -> None:
        """Follow another address from the same number; what the old one has sent stays in force.

        The connection is made again also where the address is the same: that brings the updates missed on a
        connection that died silently.
        """
        self.address = address
        self._scope.cancel()

    def apply(self, event: EngineListEvent) -> None:
        """Deliver an update, unless it was before: sent twice, or known from another source.

        A full list under the number at hand says how things stand there, and does no harm if it says nothing
        new; a delta under that number is a second copy.
        """
        repeats_full = event.number == self.cursor and event.kind is ListUpdateKind.FULL
        if event.number > self.cursor or repeats_full:
            self._deliver(event.kind, event.engines)
            self.cursor = event.number

    async def run(self) -> None:
        """Connect, read until the connection ends or falls silent, and connect again from the cursor."""
        while True:
            with trio.CancelScope() as self._scope:
                if not self.address:
                    await trio.sleep_forever()
                try:
                    await self._follow()
                except (
                    OSError,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    FrameError,
                    WatchLostError,
                ) as error:
                    log.info("channel.disconnected", address=self.address, why=error)
                except Exception:  # an update that breaks something here must not end the program with it
                    log.exception("channel.internal_error", address=self.address)
                self._counters.add("channel.disconnects")
                await self._deadlines.sleep(RECONNECT_DELAY_MS)

    async def _follow(self) -> None:
        """Read updates until the connection ends; raise WatchLostError, FrameError or an OSError."""
        with trio.socket.socket() as sock:
            await self._connect(sock)
            stream = trio.SocketStream(sock)
            await stream.send_all(self.cursor.to_bytes(_CURSOR_BYTES, "big"))
            buffer = b""
            while True:
                chunk = await self._receive(stream)
                buffer = self._handle(buffer + chunk if buffer else chunk)

    async def _connect(self, sock: trio.socket.SocketType) -> None:
        host, _, port = self.address.rpartition(":")
        with self._deadlines.limit_for(CONNECT_TIMEOUT_MS) as limit:
            await sock.connect((host, int(port)))
        if limit.cancelled_caught:
            raise WatchLostError("no connection")

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        chunk = b""
        with self._deadlines.limit_for(SILENCE_TIMEOUT_MS) as limit:
            chunk = bytes(await stream.receive_some(READ_BYTES))
        if limit.cancelled_caught:
            raise WatchLostError("silence")
        if not chunk:
            raise WatchLostError("closed")
        self.last_received_ms = self._deadlines.clock()
        return chunk

    def _handle(self, buffer: bytes) -> bytes:
        """Apply the complete frames in a buffer; return what follows them."""
        view = memoryview(buffer)
        at = 0
        while (frame := read_frame(view[at:])) is not None:
            at += frame.size_bytes
            # Records of an update that was delivered before are not even read.
            event = read_event(frame) if frame.number >= self.cursor else None
            if event is not None:
                self.apply(event)
        return buffer[at:]
