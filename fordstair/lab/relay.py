"""Faults between processes: a relay on loopback for UDP and TCP, with faults for each ordered pair.

Each process has a front here, which is the address that the others know it by, and its own address behind it.
A datagram for A's front that comes from B's own address is passed on to A from B's front, so that both sides
see fronts alone and an answer takes the same way back. Over TCP a client is known by its host, so each
process there needs a loopback host of its own (127.0.0.2, 127.0.0.3 ...).

Faults may change at any time; what is on its way keeps the delay that it was given. Deterministic by seed as
far as the operating system's scheduling is.
"""

from __future__ import annotations

import contextlib
import math
import socket
import struct
from collections import Counter
from dataclasses import dataclass
from functools import partial
from random import Random

import trio

READ_BYTES = 65_536
MAX_DELAYED = 10_000  # datagrams on their way; more are dropped


@dataclass(frozen=True, slots=True)
class Faults:
    """What happens on the way from one process to another; times in milliseconds."""

    drop: float = 0.0  # share of datagrams lost; TCP loses nothing
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # on top, evenly drawn: over UDP this alone reorders
    duplicate: float = 0.0  # share of datagrams that arrive twice
    reorder: float = 0.0  # share of datagrams that others overtake ...
    overtaken_ms: float = 20.0  # ... by being held for so long
    cut: bool = False  # UDP: all is lost; TCP: what is sent waits, and connects hang
    reset: float = 0.0  # TCP: share of the pieces read at which the connection is reset, and they are lost


CLEAN = Faults()


class Relay:
    """All fronts of one test; runs inside the nursery that it is given."""

    def __init__(self, nursery: trio.Nursery, seed: int = 1, host: str = "127.0.0.1") -> None:
        self.host = host
        self.counts = Counter[str]()
        self._nursery = nursery
        self._random = Random(seed)
        self._faults: dict[tuple[str, str], Faults] = {}
        self._socks: dict[str, trio.socket.SocketType] = {}
        self._own: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._hosts: dict[str, str] = {}
        self._changed = trio.Event()
        self._delayed = 0

    # Faults

    def put(self, source: str, to: str, faults: Faults) -> None:
        """Put faults on the way from one process to another; ``*`` stands for all."""
        self._faults[(source, to)] = faults
        self._changed.set()
        self._changed = trio.Event()

    def cut(self, source: str, to: str) -> None:
        """Cut one way."""
        self.put(source, to, Faults(cut=True))

    def part(self, one: set[str], other: set[str]) -> None:
        """Cut all ways between two groups, in both directions."""
        for source in one:
            for to in other:
                self.cut(source, to)
                self.cut(to, source)

    def heal(self) -> None:
        """Take all faults away."""
        self._faults.clear()
        self._changed.set()
        self._changed = trio.Event()

    def faults(self, source: str, to: str) -> Faults:
        """Return what holds between two processes; the pair's own go before those of all."""
        for key in ((source, to), (source, "*"), ("*", to), ("*", "*")):
            if key in self._faults:
                return self._faults[key]
        return CLEAN

    # UDP

    async def front(self, name: str) -> str:
        """Open a UDP front for a process; return its address."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((self.host, 0))
        self._socks[name] = sock
        self._nursery.start_soon(self._read, name, sock)
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def behind(self, name: str, own: str) -> None:
        """Say which address a process itself has; a restarted one may have another."""
        host, _, port = own.rpartition(":")
        if (old := self._own.get(name)) is not None:
            self._names.pop(old, None)
        self._own[name] = (host, int(port))
        self._names[(host, int(port))] = name

    async def _read(self, to: str, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                datagram, address = await sock.recvfrom(READ_BYTES)
            except OSError:  # what was sent to a process that has ended is refused
                continue
            if (source := self._names.get(address)) is None:
                self.counts["stray"] += 1
                continue
            faults = self.faults(source, to)
            self.counts["taken"] += 1
            if faults.cut or self._random.random() < faults.drop or self._delayed >= MAX_DELAYED:
                self.counts["dropped"] += 1
                continue
            copies = 2 if self._random.random() < faults.duplicate else 1
            for _ in range(copies):
                wait_ms = faults.delay_ms + self._random.random() * faults.jitter_ms
                if self._random.random() < faults.reorder:
                    wait_ms += faults.overtaken_ms
                if wait_ms > 0.0:
                    self._delayed += 1
                    self._nursery.start_soon(self._pass_on_later, wait_ms, source, to, datagram)
                else:
                    await self._pass_on(source, to, datagram)

    async def _pass_on_later(self, wait_ms: float, source: str, to: str, datagram: bytes) -> None:
        await trio.sleep(wait_ms / 1000.0)
        self._delayed -= 1
        await self._pass_on(source, to, datagram)

    async def _pass_on(self, source: str, to: str, datagram: bytes) -> None:
        if (own := self._own.get(to)) is None:
            return
        self.counts["passed"] += 1
        with contextlib.suppress(OSError):
            await self._socks[source].sendto(datagram, own)

    # TCP

    async def tcp_front(self, name: str, own: str, host: str) -> str:
        """Open a TCP front for a process that listens at ``own`` and connects from ``host``."""
        self._hosts[host] = name
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        self._nursery.start_soon(
            partial(
                trio.serve_listeners,
                partial(self._connect, name, own),
                listeners,
                handler_nursery=self._nursery,
            )
        )
        port = listeners[0].socket.getsockname()[1]
        return f"{self.host}:{port}"

    async def _connect(self, to: str, own: str, client: trio.SocketStream) -> None:
        source = self._hosts.get(client.socket.getpeername()[0], "*")
        async with client:
            await self._open(source, to)  # a connect towards a lost machine hangs
            await self._open(to, source)
            host, _, port = own.rpartition(":")
            try:
                server = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with server, trio.open_nursery() as both:
                both.start_soon(self._pump, source, to, client, server, both.cancel_scope)
                both.start_soon(self._pump, to, source, server, client, both.cancel_scope)

    async def _open(self, source: str, to: str) -> None:
        while self.faults(source, to).cut:
            await self._changed.wait()

    async def _pump(
        self,
        source: str,
        to: str,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        """Pass bytes on, late as told and never out of order; a cut holds them back."""
        last = -math.inf
        try:
            while chunk := await reader.receive_some(READ_BYTES):
                faults = self.faults(source, to)
                if self._random.random() < faults.reset:
                    self.counts["resets"] += 1
                    for stream in (reader, writer):
                        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return scope.cancel()
                wait_ms = faults.delay_ms + self._random.random() * faults.jitter_ms
                last = max(last, trio.current_time() + wait_ms / 1000.0)
                await trio.sleep_until(last)
                await self._open(source, to)
                await writer.send_all(chunk)
            await self._open(source, to)
            await writer.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
