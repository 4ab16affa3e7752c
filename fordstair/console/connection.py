"""The client side of the console's Unix socket: sends commands, or follows the snapshots."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from typing import Any

import ujson

from fordstair.snapshots.delta import SnapshotDelta, SnapshotDeltaError, apply_delta, decode
from fordstair.snapshots.snapshot import Snapshot

ANSWER_TIMEOUT_S = 5.0
MAX_FRAME_BYTES = 16 * 1024 * 1024
FOLLOW_COMMAND = b'{"command":"follow"}\n'
# Acknowledges a frame; the program sends the next frame only after it.
ACKNOWLEDGEMENT = b"\n"


class ConsoleConnectionError(Exception):
    """The program cannot be reached, or its answer is an error or cannot be decoded. The text is one line."""


class ConsoleConnection:
    """A blocking connection, for commands or one snapshot; raises ConsoleConnectionError if it fails."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._sock.settimeout(ANSWER_TIMEOUT_S)
        try:
            self._sock.connect(path)
        except (OSError, ValueError) as error:
            self._sock.close()
            raise ConsoleConnectionError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
        self._file = self._sock.makefile("rb")

    def send_command(self, command: str, **fields: Any) -> dict[str, Any]:
        """Send one command and return the answer; raise ConsoleConnectionError if it is an error."""
        try:
            self._sock.sendall(ujson.dumps({"command": command, **fields}).encode() + b"\n")
            line = self._file.readline(MAX_FRAME_BYTES)
        except OSError as error:
            raise ConsoleConnectionError(f"{self.path}: {error.strerror or error}") from None
        if not line:
            raise ConsoleConnectionError(f"{self.path}: the program has closed the connection")
        try:
            answer = ujson.loads(line)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            raise ConsoleConnectionError(f"{self.path}: the answer cannot be read")
        if "error" in answer:
            raise ConsoleConnectionError(f"{self.path}: {answer['error']}")
        return answer

    def first_snapshot(self) -> Snapshot:
        """Follow, and return the first snapshot, which is a full one; read no further."""
        try:
            self._sock.sendall(FOLLOW_COMMAND)
            return apply_delta(Snapshot(), _decode_frame(self._file.readline(MAX_FRAME_BYTES)))
        except (OSError, SnapshotDeltaError) as error:
            raise ConsoleConnectionError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._sock.close()

    def __enter__(self) -> ConsoleConnection:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def send_command(path: str, command: str, **fields: Any) -> dict[str, Any]:
    """Send one command on its own connection; return the answer or raise ConsoleConnectionError."""
    with ConsoleConnection(path) as connection:
        return connection.send_command(command, **fields)


async def follow_snapshots(path: str) -> AsyncIterator[Snapshot]:
    """Yield each snapshot as it arrives; raise ConsoleConnectionError when the connection fails or ends."""
    try:
        reader, writer = await asyncio.open_unix_connection(path, limit=MAX_FRAME_BYTES)
    except (OSError, ValueError) as error:
        raise ConsoleConnectionError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    try:
        writer.write(FOLLOW_COMMAND)
        snapshot = Snapshot()
        while line := await reader.readline():
            snapshot = apply_delta(snapshot, _decode_frame(line))
            writer.write(ACKNOWLEDGEMENT)
            yield snapshot
    except (OSError, ValueError, SnapshotDeltaError) as error:
        raise ConsoleConnectionError(f"{path}: {error}") from None
    finally:
        writer.close()
    raise ConsoleConnectionError(f"{path}: the feed has ended")


def _decode_frame(line: bytes) -> SnapshotDelta:
    if line.startswith(b'{"error"'):
        raise SnapshotDeltaError(str(ujson.loads(line)["error"]))
    return decode(line)


def read_clocks() -> tuple[float, float]:
    """Return monotonic and Unix time (ms)."""
    return time.monotonic() * 1000.0, time.time() * 1000.0
