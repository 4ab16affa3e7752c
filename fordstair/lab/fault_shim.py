"""The program with a stepped wall clock and failing system calls.

Run it as ``python -m fordstair.lab.fault_shim`` with the arguments of ``python -m fordstair``. The faults
stand in the JSON file that ``FORDSTAIR_FAULTS`` names. They are read at the start and again at each
SIGUSR2, after which ``fault_shim: applied`` goes to standard error: a test can wait for that line.

    {"wall_step_ms": -3600000, "calls": {"connect": {"errno": "ENOBUFS", "chance": 0.2}}, "seed": 7}

``wall_step_ms`` is added to the wall clock alone; the monotonic clock is never touched. ``calls`` names calls
of ``socket.socket`` (open, accept, connect, and on the network recv and send) that fail with an errno by
chance, as Linux documents for them; ``{"short": 3}`` makes recv and send handle at most that many bytes at a
time. ``interrupt_ms`` sends the process a signal in that interval: its system calls are interrupted (EINTR).

Where ``FORDSTAIR_TIMED_LOG`` is set, the program logs its debug events too, each with ``@`` and the monotonic
clock in seconds before its name: what several processes did can be put in one order.
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
TIME_MARK = "@"  # before the time of a log line
APPLIED = "fault_shim: applied"
FAILED = "fault_shim: failed"  # then the monotonic clock, the call, and the port of the connection's peer
NETWORK_FAMILIES = (socket.AF_INET, socket.AF_INET6)  # trio wakes itself by a socket pair, which never fails


class FaultShim:
    """Puts itself before the clock and the socket calls of this process."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.wall_step_ms = 0.0
        self.calls: Mapping[str, Mapping[str, Any]] = {}
        self.random = random.Random(0)

    def load(self) -> None:
        """Read the faults that hold from now on."""
        faults = ujson.loads(self.path.read_text())
        self.wall_step_ms = float(faults.get("wall_step_ms", 0.0))
        self.calls = faults.get("calls", {})
        self.random.seed(faults.get("seed", 0))
        interval_s = float(faults.get("interrupt_ms", 0.0)) / 1e3
        signal.setitimer(signal.ITIMER_REAL, interval_s, interval_s)

    def install(self) -> None:
        """Replace the calls, and follow SIGUSR2."""
        self._install_clock()
        self._install_sockets()
        signal.signal(signal.SIGUSR2, self._on_signal)
        signal.signal(signal.SIGALRM, lambda *_: None)  # of ``interrupt_ms``
        atexit.register(signal.setitimer, signal.ITIMER_REAL, 0.0)  # a process that ends has no handler

    def _on_signal(self, *_: object) -> None:
        self.load()
        print(APPLIED, file=sys.stderr, flush=True)

    def _install_clock(self) -> None:
        true_time = time.time
        true_time_ns = time.time_ns
        time.time = lambda: true_time() + self.wall_step_ms / 1e3
        time.time_ns = lambda: true_time_ns() + int(self.wall_step_ms * 1e6)

    def _install_sockets(self) -> None:
        kind: Any = socket.socket
        true_init = kind.__init__
        true_accept = kind.accept
        true_recv = kind.recv
        true_send = kind.send

        def opened(
            sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None:  # else it is there already, as from accept()
                self._fail("open")
            true_init(sock, family, type, proto, fileno)

        def received(sock: Any, size: int, *flags: int) -> bytes:
            most = self._shorten("recv", size, sock) if sock.family in NETWORK_FAMILIES else size
            return bytes(true_recv(sock, most, *flags))

        def sent(sock: Any, data: bytes, *flags: int) -> int:
            most = self._shorten("send", len(data), sock) if sock.family in NETWORK_FAMILIES else len(data)
            return int(true_send(sock, memoryview(data)[:most], *flags))

        kind.__init__ = opened
        kind.accept = self._failing("accept", true_accept)
        kind.connect = self._failing("connect", kind.connect)
        kind.recv = received
        kind.send = sent

    def _failing(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def replaced(*arguments: Any) -> Any:
            self._fail(name)
            return call(*arguments)

        return replaced

    def _fail(self, name: str) -> None:
        fault = self.calls.get(name)
        if fault and "errno" in fault and self.random.random() < fault.get("chance", 1.0):
            number = getattr(errno, fault["errno"])
            raise OSError(number, os.strerror(number))

    def _shorten(self, name: str, size: int, sock: socket.socket) -> int:
        try:
            self._fail(name)
        except OSError:
            print(f"{FAILED} {time.monotonic():.4f} {name} {_peer_port(sock)}", file=sys.stderr, flush=True)
            raise
        return min(size, int(self.calls.get(name, {}).get("short", size)))


def _peer_port(sock: socket.socket) -> int:
    try:
        return int(sock.getpeername()[1])
    except OSError:  # its peer has gone
        return 0


def log_with_times() -> None:
    """Have every event of the program logged, with the monotonic clock before its name."""
    make_record = logging.getLogRecordFactory()

    def timed(*arguments: Any, **fields: Any) -> logging.LogRecord:
        record = make_record(*arguments, **fields)
        record.msg = f"{TIME_MARK}{time.monotonic():.4f} {record.msg}"
        return record

    logging.setLogRecordFactory(timed)
    logging.getLogger("fordstair").setLevel(logging.DEBUG)


def main() -> int:
    """Install the faults, and run the program on this command line."""
    block_signals()
    shim = FaultShim(Path(os.environ[ENVIRONMENT_VARIABLE]))
    shim.install()
    shim.load()
    if os.environ.get(TIMED_LOG_VARIABLE):
        log_with_times()
    from fordstair.__main__ import main as program  # only now: it must see the replaced calls alone

    return program()


if __name__ == "__main__":
    sys.exit(main())
