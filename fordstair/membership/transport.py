"""One member on a UDP socket: the state machine driven by trio, with its log lines and counters."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Mapping
from dataclasses import replace

import trio

from fordstair.membership.messages import DEAD, LARGEST, STATES
from fordstair.membership.swim import Changed, Fleet, Swim
from fordstair.runtime.clock import monotonic_now, unix_now
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

RECEIVE_BYTES = LARGEST + 1  # one more than is allowed, so that what is longer shows
BUFFER_BYTES = 1 << 20  # for what comes while this program is busy
LEAVE_MS = 50.0  # between the two times that a leave is told
_CANNOT_REACH = (
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EAGAIN,
    errno.ENOBUFS,
    errno.EINVAL,
    errno.EADDRNOTAVAIL,
)


class Membership:
    """The fleet as this coordinator sees it; ``listeners`` are called with each change."""

    def __init__(self, fleet: Fleet, bind: tuple[str, int], seed: int) -> None:
        self._told, self._bind, self._seed = fleet, bind, seed
        self.swim: Swim | None = None  # once the socket is open
        self.listeners: list[Callable[[Changed], None]] = []
        self._sock: trio.socket.SocketType | None = None
        self._wake = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; raise OSError where the address cannot be bound."""
        host, port = self._bind
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with trio.socket.socket(family, socket.SOCK_DGRAM) as self._sock:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            await self._sock.bind((host, port))
            bound = self._sock.getsockname()[:2]
            address = self._told.address or address_text(bound)
            # Greater than that of an earlier life, which is not stored, unless the wall clock was stepped
            # back meanwhile: then the others' word of the earlier life is refuted, with a greater one.
            self.swim = Swim(replace(self._told, address=address), int(unix_now().value), self._seed)
            log.info(
                "listening",
                name=self._told.name,
                front="fleet",
                host=bound[0],
                port=bound[1],
                cluster=self._told.cluster,
                address=address,
                seeds=",".join(self._told.seeds) or "none",
            )
            self.swim.start(monotonic_now())
            await self._carry_out(self.swim)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, self.swim, self._sock)
                nursery.start_soon(self._tick, self.swim)

    async def leave(self) -> None:
        """Tell the others that this member leaves, twice, since a datagram may be lost."""
        if self.swim is None or self.swim.left:
            return
        log.info("fleet.leaves", member=self._told.name)
        for again in (False, True):
            self.swim.leave(monotonic_now())
            await self._carry_out(self.swim)
            if not again:
                await trio.sleep(LEAVE_MS / 1000.0)

    @property
    def counts(self) -> Mapping[str, int]:
        """What was counted: probes, suspicions, refutations, deaths and the rest."""
        return self.swim.counts if self.swim is not None else {}

    async def _receive(self, swim: Swim, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                datagram, source = await sock.recvfrom(RECEIVE_BYTES)
            except OSError as error:  # a refusal that an earlier datagram met is told here
                if not cannot_reach(error):
                    raise
                swim.counts["unreachable"] += 1
                continue
            self._guarded(swim, lambda: swim.receive(monotonic_now(), datagram, address_text(source)))
            await self._carry_out(swim)

    async def _tick(self, swim: Swim) -> None:
        while True:
            self._wake = trio.Event()
            due = swim.next_due
            wait_ms = 60_000.0 if due is None else max(0.0, due - monotonic_now())
            with trio.move_on_after(wait_ms / 1000.0):
                await self._wake.wait()
            if not swim.left:
                self._guarded(swim, lambda: swim.tick(monotonic_now()))
                await self._carry_out(swim)

    def _guarded(self, swim: Swim, do: Callable[[], None]) -> None:
        """No peer's message, whatever is in it, ends this member."""
        try:
            do()
        except Exception:
            swim.counts["broke"] += 1
            log.exception("fleet.broke", member=self._told.name)

    async def _carry_out(self, swim: Swim) -> None:
        """Send what there is to send, and tell what has changed."""
        assert self._sock is not None
        for address, datagram in swim.outgoing():
            host, _, port = address.rpartition(":")
            try:
                await self._sock.sendto(datagram, (host.strip("[]"), int(port)))
            except (OSError, ValueError):
                swim.counts["unreachable"] += 1
        for change in swim.changes():
            self._tell(change)
        self._wake.set()

    def _tell(self, change: Changed) -> None:
        before = STATES[change.before] if change.before is not None else "unknown"
        write = log.warning if change.state == DEAD else log.info
        write(
            "fleet.member",
            name=change.name,
            state=STATES[change.state],
            before=before,
            incarnation=change.incarnation,
            by=change.by,
            address=change.address,
        )
        for listener in self.listeners:
            listener(change)


def cannot_reach(error: OSError) -> bool:
    """Whether an error on a UDP socket tells of one peer, or of a datagram that was sent, and of no more."""
    return error.errno in _CANNOT_REACH


def address_text(address: tuple[str, int]) -> str:
    """Return a socket's address in the form host:port."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
