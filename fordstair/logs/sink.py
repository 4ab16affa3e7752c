"""Writes lines to a file descriptor from a thread of its own, so that a reader that stops stalls nobody."""

from __future__ import annotations

import os
import threading
import time
from collections import deque

LINE_BYTES = 16_384  # a longer line is cut
CLOSE_S = 0.5


class Sink:
    """Takes lines at once; holds at most ``most`` of them, and counts what it had to drop."""

    def __init__(self, descriptor: int, most: int) -> None:
        self.descriptor, self.most = descriptor, most
        self.dropped = 0  # for want of room, or since nobody can read any more
        self.closed = False  # the reader has gone
        self._waiting: deque[bytes] = deque()
        self._wake = threading.Condition()
        self._ending = False
        self._idle = True
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue one line; never waits for its reader."""
        data = line.encode("utf-8", "backslashreplace")[:LINE_BYTES] + b"\n"
        with self._wake:
            if self.closed or len(self._waiting) >= self.most:
                self.dropped += 1
                return
            self._waiting.append(data)
            self._wake.notify()

    def close(self) -> None:
        """Give what waits a moment to leave."""
        until = time.monotonic() + CLOSE_S
        with self._wake:
            self._ending = True
            self._wake.notify()
            while (self._waiting or not self._idle) and not self.closed and time.monotonic() < until:
                self._wake.wait(0.05)

    def _run(self) -> None:
        told = 0
        while True:
            with self._wake:
                self._idle = True
                while not self._waiting:
                    if self._ending:
                        return
                    self._wake.notify_all()
                    self._wake.wait()
                self._idle = False
                batch = [self._waiting.popleft() for _ in range(min(64, len(self._waiting)))]
                missing, told = self.dropped - told, self.dropped
            if missing:
                batch.append(b"log.dropped lines=%d\n" % missing)
            if not self._put(b"".join(batch)):
                return

    def _put(self, data: bytes) -> bool:
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                time.sleep(0.02)
            except OSError:  # closed, or its reader has gone: the program goes on without a log
                with self._wake:
                    self.closed = True
                    self.dropped += len(self._waiting)
                    self._waiting.clear()
                    self._wake.notify_all()
                return False
        return True
