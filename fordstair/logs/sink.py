"""Writes lines to a file descriptor from a thread of its own, so that a reader that stops stalls nobody."""

from __future__ import annotations

import os
import threading
import time
from collections import deque

MAX_LINE_BYTES = 16_384  # a longer line is cut
BATCH_LINES = 64  # written at once
CLOSE_TIMEOUT_S = 0.5
CLOSE_POLL_S = 0.05
RETRY_S = 0.02  # after the descriptor would have blocked


class Sink:
    """Takes lines at once; holds at most ``max_lines`` of them, and counts what it had to drop."""

    def __init__(self, descriptor: int, max_lines: int) -> None:
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.dropped = 0  # lines, because the queue was full or nobody can read any more
        self.closed = False  # the reader has gone
        self._waiting: deque[bytes] = deque()
        self._wake = threading.Condition()
        self._ending = False
        self._idle = True
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue one line; never waits for its reader."""
        data = line.encode("utf-8", "backslashreplace")[:MAX_LINE_BYTES] + b"\n"
        with self._wake:
            if self.closed or len(self._waiting) >= self.max_lines:
                self.dropped += 1
                return
            self._waiting.append(data)
            self._wake.notify()

    def close(self) -> None:
        """Write what waits, for CLOSE_TIMEOUT_S at most."""
        until = time.monotonic() + CLOSE_TIMEOUT_S
        with self._wake:
            self._ending = True
            self._wake.notify()
            while (self._waiting or not self._idle) and not self.closed and time.monotonic() < until:
                self._wake.wait(CLOSE_POLL_S)

    def _run(self) -> None:
        reported = 0
        while batch := self._next_batch():
            missing = self.dropped - reported
            reported += missing
            if missing:
                batch.append(b"log.dropped lines=%d\n" % missing)
            if not self._write_all(b"".join(batch)):
                return

    def _next_batch(self) -> list[bytes]:
        """Wait for lines; return none once the sink is closed and empty."""
        with self._wake:
            self._idle = True
            while not self._waiting:
                if self._ending:
                    return []
                self._wake.notify_all()
                self._wake.wait()
            self._idle = False
            return [self._waiting.popleft() for _ in range(min(BATCH_LINES, len(self._waiting)))]

    def _write_all(self, data: bytes) -> bool:
        """Write; return False where nobody can read any more."""
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                time.sleep(RETRY_S)
            except OSError:  # closed, or its reader has gone: the program goes on without a log
                self._stop()
                return False
        return True

    def _stop(self) -> None:
        with self._wake:
            self.closed = True
            self.dropped += len(self._waiting)
            self._waiting.clear()
            self._wake.notify_all()
