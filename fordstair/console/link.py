"""The console's end of the door: one command and its answer, or the feed, over the Unix socket."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from typing import Any

import ujson

from fordstair.snapshots.snapshot import Snapshot, SnapshotDelta, SnapshotDeltaError, apply_delta, decode

ANSWER_S = 5.0
FRAME_BYTES = 16 * 1024 * 1024
FOLLOW = b'{"command":"follow"}\n'
TAKEN = b"\n"  # answers each frame: the next one comes after it


class LinkError(Exception):
    """The program cannot be reached, or has answered what cannot be read; one line."""


class Link:
    """A connection for commands."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._sock.settimeout(ANSWER_S)
        try:
            self._sock.connect(path)
        except (OSError, ValueError) as error:
            self._sock.close()
            raise LinkError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
        self._file = self._sock.makefile("rb")

    def ask(self, command: str, **fields: Any) -> dict[str, Any]:
        """Ask one command; return the answer's object. An error that the program tells is a LinkError."""
        try:
            self._sock.sendall(ujson.dumps({"command": command, **fields}).encode() + b"\n")
            line = self._file.readline(FRAME_BYTES)
        except OSError as error:
            raise LinkError(f"{self.path}: {error.strerror or error}") from None
        if not line:
            raise LinkError(f"{self.path}: the program has closed the connection")
        try:
            answer = ujson.loads(line)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            raise LinkError(f"{self.path}: the answer cannot be read")
        if "error" in answer:
            raise LinkError(f"{self.path}: {answer['error']}")
        return answer

    def first_picture(self) -> Snapshot:
        """Return the full picture, and read no further."""
        try:
            self._sock.sendall(FOLLOW)
            return apply_delta(Snapshot(), _frame(self._file.readline(FRAME_BYTES)))
        except (OSError, SnapshotDeltaError) as error:
            raise LinkError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """End the connection."""
        self._file.close()
        self._sock.close()

    def __enter__(self) -> Link:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def ask(path: str, command: str, **fields: Any) -> dict[str, Any]:
    """Ask one command on a connection of its own."""
    with Link(path) as link:
        return link.ask(command, **fields)


async def pictures(path: str) -> AsyncIterator[Snapshot]:
    """Yield picture after picture; raise LinkError once the feed has ended."""
    try:
        reader, writer = await asyncio.open_unix_connection(path, limit=FRAME_BYTES)
    except (OSError, ValueError) as error:
        raise LinkError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        writer.write(FOLLOW)
        picture = Snapshot()
        while line := await reader.readline():
            picture = apply_delta(picture, _frame(line))
            writer.write(TAKEN)
            yield picture
    except (OSError, ValueError, SnapshotDeltaError) as error:
        raise LinkError(f"{path}: {error}") from None
    finally:
        writer.close()
    raise LinkError(f"{path}: the feed has ended")


def _frame(line: bytes) -> SnapshotDelta:
    if line.startswith(b'{"error"'):
        raise SnapshotDeltaError(str(ujson.loads(line)["error"]))
    return decode(line)


def clocks() -> tuple[float, float]:
    """Return monotonic and Unix time, in milliseconds."""
    return time.monotonic() * 1000.0, time.time() * 1000.0
