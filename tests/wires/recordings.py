"""Shared by the tests of wire formats: the recorded messages, and wrappers that record what is sent."""

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
from tests.standins import RawResponse, Response, RestEngine, Script

FOLDER = Path(__file__).parent.parent / "data" / "wires"
PORT = re.compile(r"127\.0\.0\.1:[0-9]+")


def recorded(wire: str) -> dict[str, str]:
    """Return the messages of a wire format by name, as sent before identifiers were renamed."""
    messages: dict[str, str] = ujson.loads((FOLDER / f"{wire}.json").read_text())
    return messages


class RecordingStream(trio.abc.Stream):
    """Passes all calls on to a stream and records what it receives."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.received = b""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data and record it."""
        chunk = bytes(await self.stream.receive_some(max_bytes))
        self.received += chunk
        return chunk

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send the data."""
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for the underlying stream."""
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the underlying stream."""
        await self.stream.aclose()


class RecordingEngine(RestEngine):
    """A fake engine that records the bytes of each request, in the order of their arrival."""

    def __init__(self, script: Script) -> None:
        super().__init__(self._record)
        self.answer_script = script
        self.requests: list[str] = []
        self._streams: list[RecordingStream] = []

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        recorder = RecordingStream(stream)
        self._streams.append(recorder)
        await super().serve(recorder)

    async def _record(
        self, engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | RawResponse | bytes | None:
        # One of the streams has received this request; it is not read again until the response is sent.
        for recorder in self._streams:
            if recorder.received:
                self.requests.append(PORT.sub("HOST", recorder.received.decode()))
                recorder.received = b""
        return await self.answer_script(engine, method, path, headers, body)


@asynccontextmanager
async def recording_engine(script: Script) -> AsyncIterator[RecordingEngine]:
    """Run a recording engine on its own port."""
    one = RecordingEngine(script)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, one.serve, 0, host="127.0.0.1"))
        one.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        yield one
        nursery.cancel_scope.cancel()


class DatagramRecorder:
    """Records what members on a network send: the first messages of each tag, and a digest of all.

    The digest also detects a field that changes its position or meaning although each message can still be
    decoded and encoded again.
    """

    MESSAGES_PER_TAG = 3

    def __init__(self, network: Network) -> None:
        self._digest = blake2b(digest_size=16)
        self._count = 0
        self._of_tag: dict[int, list[str]] = {}
        self._add = network.add
        network.add = self._add_recorded  # type: ignore[method-assign]  # Records each member from its start.

    def messages(self) -> dict[str, str]:
        """Return the recorded messages by name."""
        messages = {
            f"tag {tag}, {number}": text
            for tag, texts in sorted(self._of_tag.items())
            for number, text in enumerate(texts)
        }
        return messages | {"digest": f"{self._count} {self._digest.hexdigest()}"}

    def _add_recorded(self, name: str, node: Node) -> None:
        original_outgoing = node.outgoing

        def outgoing() -> list[tuple[str, bytes]]:
            outgoing_datagrams = list(original_outgoing())
            for to, datagram in outgoing_datagrams:
                self._record(f"{name}>{to}".encode(), datagram)
            return outgoing_datagrams

        node.outgoing = outgoing  # type: ignore[method-assign]  # The network calls it on the member.
        self._add(name, node)

    def _record(self, route: bytes, datagram: bytes) -> None:
        self._digest.update(route + b"|" + datagram + b"|")
        self._count += 1
        first = self._of_tag.setdefault(msgpack.unpackb(datagram)[0], [])
        if len(first) < self.MESSAGES_PER_TAG:
            first.append(datagram.hex())


def recorded_datagrams(wire: str) -> dict[str, bytes]:
    """Return the recorded messages of a wire format, without their digest."""
    return {name: bytes.fromhex(text) for name, text in recorded(wire).items() if name != "digest"}
