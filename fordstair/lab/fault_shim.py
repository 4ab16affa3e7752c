"""Runs the program with a stepped wall clock and failing system calls.

Run it as ``python -m fordstair.lab.fault_shim`` with the arguments of ``python -m fordstair``. The faults
are in the JSON file that ``FORDSTAIR_FAULTS`` names. They are read at the start and again at each SIGUSR2,
after which ``fault_shim: applied`` is written to standard error, so that a test can wait for that line.

    {"wall_step_ms": -3600000, "calls": {"connect": {"errno": "ENOBUFS", "chance": 0.2}}, "seed": 7}

``wall_step_ms`` is added to the wall clock only; the monotonic clock is never changed. ``calls`` names calls
of ``socket.socket`` (open, accept, connect, and recv and send of network sockets) that fail with an errno by
chance, as Linux documents for them; ``{"short": 3}`` makes recv and send handle at most that many bytes at a
time. ``interrupt_ms`` is the interval at which the process gets a signal that interrupts its system calls
(EINTR).

If ``FORDSTAIR_TIMED_LOG`` is set, the program also logs its debug events, and each event's name follows ``@``
and the monotonic clock in seconds, so that the events of several processes can be put in one order.
"""

from __future__ import annotations

import atexit
import errno
import logging
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import ujson

from fordstair.blocked_signals import block_signals

ENVIRONMENT_VARIABLE = "FORDSTAIR_FAULTS"
TIMED_LOG_VARIABLE = "FORDSTAIR_TIMED_LOG"
TIME_MARK = "@"  # Precedes the time in a log line.
APPLIED = "fault_shim: applied"
# The monotonic clock, the call and the port of the connection's peer follow.
FAILED = "fault_shim: failed"
# recv and send fail only in these: trio wakes itself through a Unix socket pair, which must not fail.
NETWORK_FAMILIES = (socket.AF_INET, socket.AF_INET6)


class FaultShim:
    """Replaces the wall clock and the socket calls of this process."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.wall_step_ms = 0.0
        self.calls: Mapping[str, Mapping[str, Any]] = {}
        self.random = random.Random(0)

    def load(self) -> None:
        """Read the faults from the file, and apply them from now on."""
        faults = ujson.loads(self.path.read_text())
        self.wall_step_ms = float(faults.get("wall_step_ms", 0.0))
        self.calls = faults.get("calls", {})
        self.random.seed(faults.get("seed", 0))
        interval_s = float(faults.get("interrupt_ms", 0.0)) / 1e3
        signal.setitimer(signal.ITIMER_REAL, interval_s, interval_s)

    def install(self) -> None:
        """Replace the calls, and handle SIGUSR2."""
        self._install_clock()
        self._install_sockets()
        signal.signal(signal.SIGUSR2, self._on_signal)
        # ``interrupt_ms`` sends SIGALRM.
        signal.signal(signal.SIGALRM, lambda *_: None)
        # The exiting interpreter no longer handles signals, so the timer must stop first.
        atexit.register(signal.setitimer, signal.ITIMER_REAL, 0.0)

    def _on_signal(self, *_: object) -> None:
        self.load()
        print(APPLIED, file=sys.stderr, flush=True)

    def _install_clock(self) -> None:
        original_time = time.time
        original_time_ns = time.time_ns
        time.time = lambda: original_time() + self.wall_step_ms / 1e3
        time.time_ns = lambda: original_time_ns() + int(self.wall_step_ms * 1e6)

    def _install_sockets(self) -> None:
        socket_class: Any = socket.socket
        original_init = socket_class.__init__
        original_accept = socket_class.accept
        original_recv = socket_class.recv
        original_send = socket_class.send

        def init(
            sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None:  # Otherwise the socket exists already, as from accept().
                self._maybe_fail("open")
            original_init(sock, family, type, proto, fileno)

        def recv(sock: Any, size: int, *flags: int) -> bytes:
            limit = self._shorten("recv", size, sock) if sock.family in NETWORK_FAMILIES else size
            return bytes(original_recv(sock, limit, *flags))

        def send(sock: Any, data: bytes, *flags: int) -> int:
            limit = self._shorten("send", len(data), sock) if sock.family in NETWORK_FAMILIES else len(data)
            return int(original_send(sock, memoryview(data)[:limit], *flags))

        socket_class.__init__ = init
        socket_class.accept = self._wrap("accept", original_accept)
        socket_class.connect = self._wrap("connect", socket_class.connect)
        socket_class.recv = recv
        socket_class.send = send

    def _wrap(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def wrapper(*arguments: Any) -> Any:
            self._maybe_fail(name)
            return call(*arguments)

        return wrapper

    def _maybe_fail(self, name: str) -> None:
        fault = self.calls.get(name)
        if fault and "errno" in fault and self.random.random() < fault.get("chance", 1.0):
            number = getattr(errno, fault["errno"])
            raise OSError(number, os.strerror(number))

    def _shorten(self, name: str, size: int, sock: socket.socket) -> int:
        try:
            self._maybe_fail(name)
        except OSError:
            print(f"{FAILED} {time.monotonic():.4f} {name} {_peer_port(sock)}", file=sys.stderr, flush=True)
            raise
        return min(size, int(self.calls.get(name, {}).get("short", size)))


def _peer_port(sock: socket.socket) -> int:
    try:
        return int(sock.getpeername()[1])
    except OSError:  # The socket is no longer connected.
        return 0


def enable_timed_log() -> None:
    """Log every event of the program, with the monotonic clock before its name."""
    make_record = logging.getLogRecordFactory()

    def make_timed_record(*arguments: Any, **fields: Any) -> logging.LogRecord:
        record = make_record(*arguments, **fields)
        record.msg = f"{TIME_MARK}{time.monotonic():.4f} {record.msg}"
        return record

    logging.setLogRecordFactory(make_timed_record)
    logging.getLogger("fordstair").setLevel(logging.DEBUG)


def main() -> int:
    """Install the faults, and run the program with this process's arguments."""
    block_signals()
    shim = FaultShim(Path(os.environ[ENVIRONMENT_VARIABLE]))
    shim.install()
    shim.load()
    if os.environ.get(TIMED_LOG_VARIABLE):
        enable_timed_log()
    from fordstair.__main__ import main as program  # Imported late: it must see only the replaced calls.

    return program()


if __name__ == "__main__":
    sys.exit(main())
