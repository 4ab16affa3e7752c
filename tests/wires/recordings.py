"""Shared by the tests of the wires: the recorded messages, and streams that note what passes through them."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from hashlib import blake2b
from pathlib import Path

import msgpack
import trio
import ujson

from fordstair.lab.virtual_network import Network, Node
from tests.standins import RestEngine, Script

FOLDER = Path(__file__).parent.parent / "data" / "wires"
PORT = re.compile(r"127\.0\.0\.1:[0-9]+")


def recorded(wire: str) -> dict[str, str]:
    """Return the messages of a wire by name, as the program sent them before the names were changed."""
    told: dict[str, str] = ujson.loads((FOLDER / f"{wire}.json").read_text())
    return told


class Tap(trio.abc.Stream):
    """Passes everything on, and keeps what was received."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.received = b""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive, and keep it."""
        chunk = bytes(await self.stream.receive_some(max_bytes))
        self.received += chunk
        return chunk

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send."""
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for the stream beneath."""
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the stream beneath."""
        await self.stream.aclose()


class TappedEngine(RestEngine):
    """A stand-in engine that keeps the bytes of each request, in the order of their arrival."""

    def __init__(self, script: Script) -> None:
        super().__init__(self._note)
        self.answers = script
        self.requests: list[str] = []
        self._taps: list[Tap] = []

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        tap = Tap(stream)
        self._taps.append(tap)
        await super().serve(tap)

    async def _note(
        self, engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes] | bytes | None:
        for tap in self._taps:  # one of them has brought this request, and is read again after its answer
            if tap.received:
                self.requests.append(PORT.sub("HOST", tap.received.decode()))
                tap.received = b""
        return await self.answers(engine, method, path, headers, body)


@asynccontextmanager
async def tapped_engine(script: Script) -> AsyncIterator[TappedEngine]:
    """A stand-in engine on a port of its own, whose requests are kept."""
    one = TappedEngine(script)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, one.serve, 0, host="127.0.0.1"))
        one.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        yield one
        nursery.cancel_scope.cancel()


class Datagrams:
    """Notes what members on a network send: the first few of each tag, and a digest of all.

    The digest also changes where a field changes its place or its meaning, and each message can still be read
    and written again.
    """

    FIRST = 3

    def __init__(self, network: Network) -> None:
        self._digest = blake2b(digest_size=16)
        self._count = 0
        self._of_tag: dict[int, list[str]] = {}
        self._add = network.add
        network.add = self._add_noted  # type: ignore[method-assign]  # each member is heard from its start on

    def messages(self) -> dict[str, str]:
        """Return them by name."""
        told = {
            f"tag {tag}, {number}": text
            for tag, texts in sorted(self._of_tag.items())
            for number, text in enumerate(texts)
        }
        return told | {"digest": f"{self._count} {self._digest.hexdigest()}"}

    def _add_noted(self, name: str, node: Node) -> None:
        take = node.outgoing

        def outgoing() -> list[tuple[str, bytes]]:
            out = list(take())
            for to, datagram in out:
                self._note(f"{name}>{to}".encode(), datagram)
            return out

        node.outgoing = outgoing  # type: ignore[method-assign]  # the network asks the member itself
        self._add(name, node)

    def _note(self, way: bytes, datagram: bytes) -> None:
        self._digest.update(way + b"|" + datagram + b"|")
        self._count += 1
        first = self._of_tag.setdefault(msgpack.unpackb(datagram)[0], [])
        if len(first) < self.FIRST:
            first.append(datagram.hex())


def datagrams(wire: str) -> dict[str, bytes]:
    """Return the recorded messages of a wire, without their digest."""
    return {name: bytes.fromhex(text) for name, text in recorded(wire).items() if name != "digest"}
