"""Writes lines to a file descriptor from a thread, so that a stalled reader does not block the program."""

from __future__ import annotations

import os
import threading
import time
from collections import deque

MAX_LINE_BYTES = 16_384  # longer lines are truncated
MAX_BATCH_LINES = 64
CLOSE_TIMEOUT_S = 0.5
CLOSE_POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.02  # while the descriptor would block


class Sink:
    """Queues up to ``max_lines`` lines without blocking the caller; drops and counts the lines beyond.

    Attributes:
        dropped: The number of lines dropped because the queue was full or the descriptor failed.
        closed: Whether writing to the descriptor has failed for good.
    """

    def __init__(self, descriptor: int, max_lines: int) -> None:
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.dropped = 0
        self.closed = False
        self._queue: deque[bytes] = deque()
        self._wake = threading.Condition()
        self._closing = False
        self._idle = True
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue one line without blocking."""
        data = line.encode("utf-8", "backslashreplace")[:MAX_LINE_BYTES] + b"\n"
        with self._wake:
            if self.closed or len(self._queue) >= self.max_lines:
                self.dropped += 1
                return
            self._queue.append(data)
            self._wake.notify()

    def close(self) -> None:
        """Write the queued lines, waiting at most CLOSE_TIMEOUT_S."""
        until = time.monotonic() + CLOSE_TIMEOUT_S
        with self._wake:
            self._closing = True
            self._wake.notify()
            while (self._queue or not self._idle) and not self.closed and time.monotonic() < until:
                self._wake.wait(CLOSE_POLL_INTERVAL_S)

    def _run(self) -> None:
        reported_dropped = 0
        while batch := self._next_batch():
            newly_dropped = self.dropped - reported_dropped
            reported_dropped += newly_dropped
            if newly_dropped:
                batch.append(b"log.dropped lines=%d\n" % newly_dropped)
            if not self._write_all(b"".join(batch)):
                return

    def _next_batch(self) -> list[bytes]:
        """Wait for lines; return an empty list once ``close`` was called and the queue is empty."""
        with self._wake:
            self._idle = True
            while not self._queue:
                if self._closing:
                    return []
                self._wake.notify_all()
                self._wake.wait()
            self._idle = False
            return [self._queue.popleft() for _ in range(min(MAX_BATCH_LINES, len(self._queue)))]

    def _write_all(self, data: bytes) -> bool:
        """Write all data; return False if the descriptor is closed or its reader has gone."""
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                time.sleep(RETRY_INTERVAL_S)
            except OSError:  # closed, or the reader has gone: the program continues without a log
                self._stop()
                return False
        return True

    def _stop(self) -> None:
        with self._wake:
            self.closed = True
            self.dropped += len(self._queue)
            self._queue.clear()
            self._wake.notify_all()
