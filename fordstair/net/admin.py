"""The console's door: a Unix socket that only the program's own user may open; a line of JSON each way."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio
import ujson

from fordstair.core.coordinator import Coordinator

log = logging.getLogger(__name__)

LARGEST_LINE = 4_096
REQUESTS_MOST = 200


class Admin:
    """Answers status, engines, requests, counters and drain."""

    def __init__(self, name: str, coordinator: Coordinator, drain: Callable[[], None]) -> None:
        self.name, self.coordinator, self.drain = name, coordinator, drain
        self.started_ms = coordinator.deadlines.clock()

    async def run(self, path: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled."""
        with contextlib.suppress(FileNotFoundError):
            if Path(path).is_socket():  # left behind by an earlier run
                Path(path).unlink()
        sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(0o177)
        try:
            await sock.bind(path)
        finally:
            os.umask(mask)
        sock.listen(8)
        task_status.started()
        try:
            await trio.serve_listeners(self.serve, [trio.SocketListener(sock)])
        finally:
            with contextlib.suppress(OSError):
                Path(path).unlink()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer line after line."""
        buffer = b""
        try:
            async with stream:
                while chunk := await stream.receive_some(LARGEST_LINE):
                    *lines, buffer = (buffer + chunk).split(b"\n")
                    for line in lines:
                        await stream.send_all(ujson.dumps(self.answer(line)).encode() + b"\n")
                    if len(buffer) > LARGEST_LINE:
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except Exception:  # the console must not be able to end the program but by its drain
            log.exception("a console's connection broke")

    def answer(self, line: bytes) -> dict[str, Any]:
        """Return the answer to one line."""
        try:
            command = ujson.loads(line)["command"]
        except (ValueError, KeyError, TypeError):
            return {"error": "a line is an object with a command"}
        match command:
            case "status":
                return self.status()
            case "engines":
                return {"engines": self.engines()}
            case "requests":
                return {"requests": self.requests()}
            case "counters":
                return {"counters": self.coordinator.counters.snapshot()}
            case "drain":
                log.info("the console asks for the end")
                self.drain()
                return {"draining": True}
        return {"error": f"unknown command {str(command)[:40]!r}"}

    def status(self) -> dict[str, Any]:
        """Return how the program does."""
        coordinator = self.coordinator
        return {"name": self.name, "draining": coordinator.draining,
                "up_s": round((coordinator.deadlines.clock() - self.started_ms) / 1000.0, 1),
                "open": coordinator.open,
                "engines_ready": sum(engine.ready for engine in coordinator.engines.values()),
                "deadlines": len(coordinator.deadlines)}

    def engines(self) -> list[dict[str, Any]]:
        """Return what is known of each engine."""
        out = Counter(live.engine for live in self.coordinator.live.values() if live.call is not None)
        return [{"id": name, "address": engine.address, "protocol": engine.protocol,
                 "state": engine.entry.state.name.lower(), "out": out[name]}
                for name, engine in sorted(self.coordinator.engines.items())]

    def requests(self) -> list[dict[str, Any]]:
        """Return the oldest open requests."""
        now, tenants = self.coordinator.deadlines.clock(), self.coordinator.settings.tenants
        open_ones = [live for live in self.coordinator.live.values() if not live.over][:REQUESTS_MOST]
        return [{"txn": live.query.txn, "class": live.query.lane, "team": tenants[live.query.tenant].name,
                 "age_ms": round(now - live.taken_ms), "left_ms": round(live.deadline_ms - now),
                 "attempts": live.attempts, "engine": live.engine} for live in open_ones]
