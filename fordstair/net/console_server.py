"""Serves consoles on a Unix socket that only the program's own user may open.

A line of JSON goes in, a line comes back; after ``follow`` the line that comes back is the first of many
(see ``fordstair/feed``), and each is answered by a line feed. A console that stops costs one frame, and is
cut after SLOW_FOLLOWER_TIMEOUT_MS.
"""

from __future__ import annotations

import contextlib
import os
import pwd
import socket
import stat
import struct
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import trio
import ujson

from fordstair.configuration.errors import ConfigError
from fordstair.core.coordinator import Coordinator
from fordstair.overrides.register import (
    Cordon,
    Drain,
    Override,
    OverrideRegister,
    ProgramState,
    ProposalResult,
    SetConcurrencyLimit,
    Uncordon,
    Verdict,
)
from fordstair.runtime.clock import WallClock
from fordstair.runtime.event_log import EventLog
from fordstair.snapshots.collector import SnapshotCollector
from fordstair.snapshots.delta import delta_between, encode
from fordstair.snapshots.publishing import SLOW_FOLLOWER_TIMEOUT_MS, SnapshotSchedule
from fordstair.snapshots.snapshot import Snapshot
from fordstair.snapshots.views import TABLES, LogLineView

if TYPE_CHECKING:
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.membership.transport import Membership
    from fordstair.replication.service import ReplicationService

log = EventLog(__name__)

LARGEST_LINE = 4_096
CONNECTIONS_MOST = 32
IDLE_MS = 60_000.0  # a connection that asks nothing for so long is closed
SEND_BUFFER = 4_096  # what the kernel holds for a console that reads nothing: a few frames


class BadCommand(Exception):
    """A line that cannot be used; the text says why."""


class Taken:
    """How many frames a console says that it has taken: a line feed for each."""

    def __init__(self) -> None:
        self.count, self._more = 0, trio.Event()

    def add(self, count: int) -> None:
        """Count further ones."""
        self.count += count
        self._more.set()

    async def reach(self, count: int) -> None:
        """Wait until so many were taken."""
        while self.count < count:
            self._more = trio.Event()
            await self._more.wait()


class ConsoleServer:
    """Answers commands, judges adjustments, and feeds those that follow."""

    def __init__(
        self,
        name: str,
        coordinator: Coordinator,
        drain: Callable[[], None],
        wall_clock: WallClock,
        watchers_most: int = 8,
        membership: Membership | None = None,
        shared: ReplicationService | None = None,
        budgets: FleetBudgets | None = None,
    ) -> None:
        self.coordinator, self.deadlines, self.drain = coordinator, coordinator.deadlines, drain
        self.watchers_most, self.connections = watchers_most, 0
        self.ledger = OverrideRegister()
        self.wall_clock = wall_clock
        self.observer = SnapshotCollector(
            name, coordinator, self.ledger, wall_clock, membership, shared, budgets
        )
        if membership is not None:
            membership.listeners.append(lambda _: self.change())
        self.pace, self._changed, self._news = SnapshotSchedule(), True, trio.Event()
        self._frame: tuple[Snapshot, Snapshot, bytes] | None = None  # the last one encoded
        self._last_note = 0

    async def run(self, path: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled; raise ConfigError where the path cannot be had."""
        make_way(path)
        sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(0o177)
        try:
            await sock.bind(path)
        except OSError as error:
            raise ConfigError(f"console.socket: {path}: {error.strerror}") from None
        finally:
            os.umask(mask)
        mine = os.stat(path).st_ino
        sock.listen(16)
        self.coordinator.on_change = self.change
        task_status.started()
        try:
            await trio.serve_listeners(self.serve, [trio.SocketListener(sock)])
        finally:
            self.coordinator.on_change = lambda: None
            with contextlib.suppress(OSError):
                if os.stat(path).st_ino == mine:  # another program may have taken the path since
                    Path(path).unlink()

    def change(self) -> None:
        """Something has changed; those that follow are told at the next turn of their pace."""
        if not self._changed:
            self._changed = True
            self._news.set()

    def note(self, at_ms: float, level: str, text: str) -> None:
        """Take a line of the log for the pane."""
        self._last_note += 1
        self.observer.log_lines.append(
            LogLineView(self._last_note, self.wall_clock.unix(at_ms).value, level, text)
        )
        self.change()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer line after line; a fault here must not end the program."""
        if self.connections >= CONNECTIONS_MOST:
            self.coordinator.counters.add("console.turned_away")
            return await trio.aclose_forcefully(stream)
        self.connections += 1
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            await self._answer_lines(stream, peer(stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            log.exception("console.broke")
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer_lines(self, stream: trio.SocketStream, who: str) -> None:
        buffer = bytearray()
        while True:
            with self.deadlines.limit_for(IDLE_MS) as idle:
                chunk = await stream.receive_some(LARGEST_LINE)
            if idle.cancelled_caught or not chunk:
                return
            buffer += chunk
            while (end := buffer.find(b"\n")) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                try:
                    told = read_command(line)
                    if told["command"] == "follow":
                        return await self._feed(stream)
                    answer = self.answer(told, who)
                except BadCommand as error:
                    answer = {"error": str(error)}
                if not await self._send(stream, ujson.dumps(answer).encode() + b"\n"):
                    return
            if len(buffer) > LARGEST_LINE:
                return

    async def _send(
        self, stream: trio.SocketStream, data: bytes, taken: Taken | None = None, frames: int = 0
    ) -> bool:
        """Send, and wait until so many frames were taken where that is told; False where it is cut."""
        with self.deadlines.limit_for(SLOW_FOLLOWER_TIMEOUT_MS) as limit:
            await stream.send_all(data)
            if taken is not None:
                await taken.reach(frames)
        if limit.cancelled_caught:
            self.coordinator.counters.add("console.cut")
            log.warning("console.cut", after_ms=SLOW_FOLLOWER_TIMEOUT_MS)
        return not limit.cancelled_caught

    async def _feed(self, stream: trio.SocketStream) -> None:
        """Send the full picture and then changes; what happens while one is on its way waits as one."""
        if self.observer.followers >= self.watchers_most:
            self.coordinator.counters.add("console.turned_away")
            answer = {"error": f"{self.watchers_most} consoles follow already"}
            await self._send(stream, ujson.dumps(answer).encode() + b"\n")
            return
        self.observer.followers += 1
        taken = Taken()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pictures, stream, taken, nursery.cancel_scope)
                with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    while chunk := await stream.receive_some(LARGEST_LINE):
                        taken.add(chunk.count(b"\n"))
                nursery.cancel_scope.cancel()  # a console that leaves frees its place
        finally:
            self.observer.followers -= 1

    async def _send_pictures(self, stream: trio.SocketStream, taken: Taken, ended: trio.CancelScope) -> None:
        """Send frame after frame, each once the one before was taken, whatever the kernel would hold."""
        sent, sent_ms, frames = Snapshot(), 0.0, 0
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                picture = self.look()
                if picture.number > sent.number:
                    frames += 1
                    if not await self._send(stream, self._encoded(sent, picture), taken, frames):
                        break
                    self.coordinator.counters.add("console.frames")
                    sent, sent_ms = picture, self.deadlines.clock()
                await self._next_look(sent, sent_ms)
        ended.cancel()

    async def _next_look(self, sent: Snapshot, sent_ms: float) -> None:
        """Wait until the next picture is due, or another console has had it made."""
        while True:
            now = self.deadlines.clock()
            own_ms = sent_ms + self.pace.interval_ms - now  # no console is told more often than that
            wait_ms = self.pace.due_in_ms(now, self._changed)
            if self.observer.latest.number > sent.number:
                wait_ms = min(wait_ms, own_ms)
            if (wait_ms <= 0.0 and own_ms <= 0.0) or own_ms > 2.0 * self.pace.interval_ms:
                return
            self._news = self._news if not self._news.is_set() else trio.Event()
            with self.deadlines.limit(now + max(wait_ms, own_ms)):
                if self._changed:
                    await trio.sleep_forever()
                await self._news.wait()

    def look(self) -> Snapshot:
        """Return the latest picture, made anew where that is due; all who follow share it."""
        now = self.deadlines.clock()
        if self.pace.due_in_ms(now, self._changed) <= 0.0:
            self._changed = False
            picture = self.observer.collect(now)
            self.pace.record_collection(now, self.deadlines.clock() - now)
            return picture
        return self.observer.latest

    def _encoded(self, sent: Snapshot, picture: Snapshot) -> bytes:
        """Return the frame between two pictures; consoles that keep pace share one."""
        if self._frame is None or self._frame[0] is not sent or self._frame[1] is not picture:
            self._frame = (sent, picture, encode(delta_between(sent, picture)) + b"\n")
        return self._frame[2]

    def answer(self, told: dict[str, Any], who: str) -> dict[str, Any]:
        """Return the answer to one command other than follow."""
        command = told["command"]
        if command == "counters":
            return {"counters": self.coordinator.counters.snapshot()}
        if command == "status" or command in TABLES:
            picture = self.observer.collect(self.deadlines.clock())
            if command == "status":
                return {"at_ms": picture.at_ms, "status": msgspec.to_builtins(picture.site)}
            rows = [msgspec.to_builtins(row) for row in picture.rows(command)]
            return {"at_ms": picture.at_ms, command: rows}
        return self._adjust(read_change(told), told, who)

    def _adjust(self, change: Override, told: dict[str, Any], who: str) -> dict[str, Any]:
        seen = told.get("seen")
        ruling = self.ledger.propose(
            change,
            who,
            self.wall_clock.unix(self.deadlines.clock()).value,
            self.standing(),
            seen=seen if isinstance(seen, int) and not isinstance(seen, bool) else None,
            confirmed=told.get("confirmed") is True,
        )
        log.info(
            "adjustment",
            what=type(change).__name__,
            verdict=ruling.verdict.value,
            who=who,
            **{name: getattr(change, name) for name in change.__slots__},
            why=ruling.reason,
        )
        if ruling.verdict is Verdict.DONE:
            self.coordinator.counters.add("adjustments")
            self._carry_out(change)
            self.change()
        return ruled(ruling, self.ledger.revision)

    def _carry_out(self, change: Override) -> None:
        match change:
            case Cordon(engine):
                self.coordinator.set_cordoned(engine, True)
            case Uncordon(engine):
                self.coordinator.set_cordoned(engine, False)
            case SetConcurrencyLimit(class_name, threads):
                self.coordinator.set_concurrency_limit(self.coordinator.classes[class_name], threads)
            case Drain():
                self.drain()

    def standing(self) -> ProgramState:
        """Return what the ledger must know to judge."""
        coordinator = self.coordinator
        return ProgramState(
            frozenset(name for name, engine in coordinator.engines.items() if engine.ready),
            frozenset(coordinator.engines),
            {spec.name: spec.threads for spec in coordinator.settings.classes},
            coordinator.open_count,
            coordinator.draining,
        )


def read_command(line: bytes) -> dict[str, Any]:
    """Read one line; raise BadCommand for what is no object with a command."""
    try:
        told = ujson.loads(line)
    except ValueError:
        raise BadCommand("a line is an object with a command") from None
    if not isinstance(told, dict) or not isinstance(told.get("command"), str):
        raise BadCommand("a line is an object with a command")
    return told


def read_change(told: dict[str, Any]) -> Override:
    """Read an adjustment; raise BadCommand, naming what cannot be used."""

    def text(field: str) -> str:
        value = told.get(field)
        if not isinstance(value, str) or not 0 < len(value) <= 200:
            raise BadCommand(f"{field}: a text is wanted")
        return value

    match told["command"]:
        case "set-aside":
            return Cordon(text("engine"))
        case "bring-back":
            return Uncordon(text("engine"))
        case "limit":
            threads = told.get("threads")
            if threads is not None and (isinstance(threads, bool) or not isinstance(threads, int)):
                raise BadCommand("threads: a whole number, or null to lift the limit")
            return SetConcurrencyLimit(text("class"), threads)
        case "drain":
            return Drain()
    raise BadCommand(f"unknown command {told['command'][:40]!r}")


def ruled(ruling: ProposalResult, revision: int) -> dict[str, Any]:
    """Return a ruling as an answer."""
    made = ruling.override
    answer: dict[str, Any] = {"verdict": ruling.verdict.value, "why": ruling.reason, "revision": revision}
    if made is not None:
        answer |= {"target": made.target, "what": made.effect, "who": made.author, "at_ms": made.applied_ms}
    return answer


def make_way(path: str) -> None:
    """Remove a socket that an earlier run has left; raise ConfigError where the path is not ours to take."""
    where = f"console.socket: {path}"
    try:
        found = os.lstat(path)
    except FileNotFoundError:
        if not Path(path).parent.is_dir():
            raise ConfigError(f"{where}: the folder does not exist") from None
        return
    except OSError as error:
        raise ConfigError(f"{where}: {error.strerror}") from None
    if not stat.S_ISSOCK(found.st_mode):
        raise ConfigError(f"{where}: exists and is no socket; it is left alone")
    if found.st_uid != os.geteuid():
        raise ConfigError(f"{where}: belongs to another user; it is left alone")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            with contextlib.suppress(FileNotFoundError):
                Path(path).unlink()
            return
        except OSError as error:
            raise ConfigError(f"{where}: {error.strerror or error}") from None
    raise ConfigError(f"{where}: another program listens there")


def peer(stream: trio.SocketStream) -> str:
    """Return who is at the other end, by the kernel's word: user and process."""
    try:
        told = stream.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, uid, _ = struct.unpack("3i", told if isinstance(told, bytes) else b"")
    except (OSError, AttributeError, struct.error):
        return "unknown"
    try:
        name = pwd.getpwuid(uid).pw_name
    except KeyError:
        name = f"uid {uid}"
    return f"{name} (process {pid})"
