"""A relay on loopback that injects faults into UDP and TCP traffic, for each ordered pair of processes.

Each process has a front at the relay, which is the address that the others know, and its own address. A
datagram to A's front from B's own address is forwarded to A from B's front, so that both processes see only
fronts and a response takes the same path back. TCP clients are identified by their host, so each process that
uses TCP needs its own loopback host (127.0.0.2, 127.0.0.3 and so on).

Faults may change at any time, but data that is already delayed keeps its delay. The relay is deterministic by
seed as far as the operating system's scheduling is.
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
MAX_DELAYED_DATAGRAMS = 10_000  # further datagrams are dropped


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults on the path from one process to another.

    Attributes:
        drop: share of datagrams lost; has no effect on TCP.
        delay_ms: delay of all data.
        jitter_ms: maximum of a uniformly distributed additional delay, which alone reorders datagrams.
        duplicate: share of datagrams that arrive twice.
        reorder: share of datagrams delayed further, so that others overtake them.
        reorder_delay_ms: additional delay of reordered datagrams.
        cut: over UDP, all datagrams are lost; over TCP, data waits and connects hang.
        reset: share of TCP reads at which the connection is reset and the data read is lost.
    """

    drop: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_delay_ms: float = 20.0
    cut: bool = False
    reset: float = 0.0


NO_FAULTS = Faults()


class Relay:
    """All fronts of one test; its tasks run in the given nursery."""

    def __init__(self, nursery: trio.Nursery, seed: int = 1, host: str = "127.0.0.1") -> None:
        self.host = host
        self.counts = Counter[str]()
        self._nursery = nursery
        self._random = Random(seed)
        self._faults: dict[tuple[str, str], Faults] = {}
        self._front_sockets: dict[str, trio.socket.SocketType] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names_by_address: dict[tuple[str, int], str] = {}
        self._names_by_host: dict[str, str] = {}
        self._faults_changed = trio.Event()
        self._delayed = 0

    # Faults

    def set_faults(self, source: str, to: str, faults: Faults) -> None:
        """Set the faults from one process to another; ``*`` stands for all processes."""
        self._faults[(source, to)] = faults
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    def cut(self, source: str, to: str) -> None:
        """Cut the path from one process to another, in this direction only."""
        self.set_faults(source, to, Faults(cut=True))

    def partition(self, one: set[str], other: set[str]) -> None:
        """Cut all paths between two groups, in both directions."""
        for source in one:
            for to in other:
                self.cut(source, to)
                self.cut(to, source)

    def heal(self) -> None:
        """Remove all faults."""
        self._faults.clear()
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    def faults(self, source: str, to: str) -> Faults:
        """Return the faults from one process to another; those of the pair precede those set with ``*``."""
        for key in ((source, to), (source, "*"), ("*", to), ("*", "*")):
            if key in self._faults:
                return self._faults[key]
        return NO_FAULTS

    # UDP

    async def open_udp_front(self, name: str) -> str:
        """Open a UDP front for a process; return its address."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((self.host, 0))
        self._front_sockets[name] = sock
        self._nursery.start_soon(self._read_datagrams, name, sock)
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def set_address(self, name: str, own: str) -> None:
        """Set a process's own address, which may change when it restarts."""
        host, _, port = own.rpartition(":")
        if (old := self._addresses.get(name)) is not None:
            self._names_by_address.pop(old, None)
        self._addresses[name] = (host, int(port))
        self._names_by_address[(host, int(port))] = name

    async def _read_datagrams(self, to: str, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                datagram, address = await sock.recvfrom(READ_BYTES)
            except OSError:  # the ICMP error for a datagram to a process that has ended
                continue
            if (source := self._names_by_address.get(address)) is None:
                self.counts["stray"] += 1
                continue
            faults = self.faults(source, to)
            self.counts["taken"] += 1
            if faults.cut or self._random.random() < faults.drop or self._delayed >= MAX_DELAYED_DATAGRAMS:
                self.counts["dropped"] += 1
                continue
            copies = 2 if self._random.random() < faults.duplicate else 1
            for _ in range(copies):
                wait_ms = faults.delay_ms + self._random.random() * faults.jitter_ms
                if self._random.random() < faults.reorder:
                    wait_ms += faults.reorder_delay_ms
                if wait_ms > 0.0:
                    self._delayed += 1
                    self._nursery.start_soon(self._forward_delayed, wait_ms, source, to, datagram)
                else:
                    await self._forward_datagram(source, to, datagram)

    async def _forward_delayed(self, wait_ms: float, source: str, to: str, datagram: bytes) -> None:
        await trio.sleep(wait_ms / 1000.0)
        self._delayed -= 1
        await self._forward_datagram(source, to, datagram)

    async def _forward_datagram(self, source: str, to: str, datagram: bytes) -> None:
        if (own := self._addresses.get(to)) is None:
            return
        self.counts["passed"] += 1
        with contextlib.suppress(OSError):
            await self._front_sockets[source].sendto(datagram, own)

    # TCP

    async def open_tcp_front(self, name: str, own: str, host: str) -> str:
        """Open a TCP front for a process that listens at ``own`` and connects from ``host``."""
        self._names_by_host[host] = name
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        self._nursery.start_soon(
            partial(
                trio.serve_listeners,
                partial(self._handle_connection, name, own),
                listeners,
                handler_nursery=self._nursery,
            )
        )
        port = listeners[0].socket.getsockname()[1]
        return f"{self.host}:{port}"

    async def _handle_connection(self, to: str, own: str, client: trio.SocketStream) -> None:
        source = self._names_by_host.get(client.socket.getpeername()[0], "*")
        async with client:
            # While either direction is cut, the connect hangs, as one to an unreachable machine does.
            await self._wait_until_restored(source, to)
            await self._wait_until_restored(to, source)
            host, _, port = own.rpartition(":")
            try:
                server = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_stream, source, to, client, server, nursery.cancel_scope)
                nursery.start_soon(self._forward_stream, to, source, server, client, nursery.cancel_scope)

    async def _wait_until_restored(self, source: str, to: str) -> None:
        while self.faults(source, to).cut:
            await self._faults_changed.wait()

    async def _forward_stream(
        self,
        source: str,
        to: str,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        """Forward data in one direction, delayed but in order; a cut holds it back."""
        forward_at = -math.inf
        try:
            while chunk := await reader.receive_some(READ_BYTES):
                faults = self.faults(source, to)
                if self._random.random() < faults.reset:
                    self.counts["resets"] += 1
                    for stream in (reader, writer):
                        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return scope.cancel()
                wait_ms = faults.delay_ms + self._random.random() * faults.jitter_ms
                forward_at = max(forward_at, trio.current_time() + wait_ms / 1000.0)
                await trio.sleep_until(forward_at)
                await self._wait_until_restored(source, to)
                await writer.send_all(chunk)
            await self._wait_until_restored(source, to)
            await writer.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
