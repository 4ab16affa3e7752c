"""Serves consoles on a Unix socket that only the program's own user may open.

Each line of JSON is answered by one line; ``follow`` is answered by a stream of frames (see
``fordstair/snapshots``), each of which the console acknowledges with a line feed. A console that stops
acknowledging costs one frame, and is disconnected after SLOW_FOLLOWER_TIMEOUT_MS.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
import ujson

from fordstair.core.coordinator import Coordinator
from fordstair.net import console_socket
from fordstair.net.console_commands import (
    FOLLOW,
    Answer,
    ConsoleCommands,
    InvalidCommandError,
    read_command,
)
from fordstair.net.console_stream import SnapshotSource, SnapshotStream
from fordstair.overrides.register import OverrideRegister
from fordstair.runtime.clock import WallClock
from fordstair.runtime.event_log import EventLog
from fordstair.snapshots.collector import SnapshotCollector
from fordstair.snapshots.publishing import SLOW_FOLLOWER_TIMEOUT_MS
from fordstair.snapshots.views import LogLineView

if TYPE_CHECKING:
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.membership.transport import Membership
    from fordstair.replication.service import ReplicationService

log = EventLog(__name__)

MAX_LINE_BYTES = 4_096
MAX_CONNECTIONS = 32
IDLE_TIMEOUT_MS = 60_000.0
# Limits what the kernel buffers for a console that does not read to a few frames.
SEND_BUFFER_BYTES = 4_096


class ConsoleServer:
    """Answers commands, and streams snapshots to consoles that follow."""

    def __init__(
        self,
        name: str,
        coordinator: Coordinator,
        drain: Callable[[], None],
        wall_clock: WallClock,
        max_followers: int = 8,
        membership: Membership | None = None,
        shared: ReplicationService | None = None,
        budgets: FleetBudgets | None = None,
    ) -> None:
        overrides = OverrideRegister()
        self.coordinator = coordinator
        self.wall_clock = wall_clock
        self.collector = SnapshotCollector(
            name, coordinator, overrides, wall_clock, membership, shared, budgets
        )
        self._max_followers = max_followers
        self._source = SnapshotSource(self.collector, coordinator)
        self._commands = ConsoleCommands(coordinator, overrides, self.collector, wall_clock, drain)
        self._commands.on_override = self._source.mark_changed
        if membership is not None:
            membership.listeners.append(lambda _: self._source.mark_changed())
        self._connections = 0
        self._last_log_line = 0

    async def run(self, path: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled; raise ConfigError if the path cannot be used."""
        listener = await console_socket.listen(path)
        inode = console_socket.inode(path)
        self.coordinator.on_change = self._source.mark_changed
        task_status.started()
        try:
            await trio.serve_listeners(self.serve, [listener])
        finally:
            self.coordinator.on_change = lambda: None
            console_socket.remove(path, inode)

    def add_log_line(self, at_ms: float, level: str, text: str) -> None:
        """Add a line to the log that consoles show."""
        self._last_log_line += 1
        self.collector.log_lines.append(
            LogLineView(self._last_log_line, self.wall_clock.unix(at_ms).value, level, text)
        )
        self._source.mark_changed()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the lines of one connection; an internal error is logged and does not end the program."""
        if self._connections >= MAX_CONNECTIONS:
            self.coordinator.counters.add("console.rejected")
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            await self._answer_lines(stream, console_socket.peer_name(stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            log.exception("console.internal_error")
        finally:
            self._connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer_lines(self, stream: trio.SocketStream, who: str) -> None:
        buffer = bytearray()
        while chunk := await self._receive(stream):
            buffer += chunk
            while (end := buffer.find(b"\n")) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                if not await self._answer_line(stream, line, who):
                    return
            if len(buffer) > MAX_LINE_BYTES:
                return

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        """Return the next bytes; empty at the end of the connection, or after IDLE_TIMEOUT_MS without any."""
        chunk = b""
        with self.coordinator.deadlines.limit_for(IDLE_TIMEOUT_MS):
            chunk = bytes(await stream.receive_some(MAX_LINE_BYTES))
        return chunk

    async def _answer_line(self, stream: trio.SocketStream, line: bytes, who: str) -> bool:
        """Answer one line; return whether the connection can take another one."""
        try:
            command = read_command(line)
            if command.name == FOLLOW:
                await self._stream_snapshots(stream)
                return False
            answer = self._commands.answer(command, who)
        except InvalidCommandError as error:
            answer = {"error": str(error)}
        return await self._send(stream, answer)

    async def _stream_snapshots(self, stream: trio.SocketStream) -> None:
        if self.collector.followers >= self._max_followers:
            self.coordinator.counters.add("console.rejected")
            await self._send(stream, {"error": f"{self._max_followers} consoles follow already"})
            return
        self.collector.followers += 1
        try:
            await SnapshotStream(stream, self._source, self.coordinator).run()
        finally:
            self.collector.followers -= 1

    async def _send(self, stream: trio.SocketStream, answer: Answer) -> bool:
        """Send an answer; return False on timeout."""
        with self.coordinator.deadlines.limit_for(SLOW_FOLLOWER_TIMEOUT_MS) as limit:
            await stream.send_all(ujson.dumps(answer).encode() + b"\n")
        if limit.cancelled_caught:
            self.coordinator.counters.add("console.write_stalled")
            log.warning("console.write_stalled", after_ms=SLOW_FOLLOWER_TIMEOUT_MS)
        return not limit.cancelled_caught
