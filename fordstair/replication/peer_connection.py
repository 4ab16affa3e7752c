"""Requests to another member over one TCP connection, made when needed and again when it was lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import trio

from fordstair.replication.messages import (
    Frame,
    FrameDecoder,
    Hello,
    Request,
    Response,
    encode_frame,
)
from fordstair.runtime.message_codec import MalformedMessageError

READ_CHUNK_BYTES = 65_536
MAX_PENDING_REQUESTS = 256  # to one member
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 0.5  # without a byte, after which a request that is abandoned ends its connection
RECONNECT_DELAY_S = 0.1  # after a failed connect: one that fails at once must not be repeated in a busy loop
REQUEST_IDS = 2**32

T = TypeVar("T", bound=Response)


class PeerUnreachableError(Exception):
    """No response came, or none that could be read: the request may have been carried out."""


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for its response; ``finished`` with none: the connection ended."""

    finished: trio.Event = field(default_factory=trio.Event)
    response: Frame | None = None


class PeerConnection:
    """The connection to one member; the caller bounds the time of its requests."""

    def __init__(self, cluster: str, member: str, address: str, connect_from_host: str) -> None:
        self.cluster = cluster
        self.member = member  # that connects
        self.address = address
        self.sent_bytes = 0
        self._connect_from_host = connect_from_host
        self._last_request_id = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._stream: trio.SocketStream | None = None
        self._connect_lock = trio.Lock()
        self._send_lock = trio.Lock()
        self._connect_failed_at_s = -RECONNECT_DELAY_S
        self._received_at_s = -RECONNECT_DELAY_S

    async def request(
        self, nursery: trio.Nursery, build: Callable[[int], Request], response_type: type[T]
    ) -> T:
        """Send a request, built for the id it gets, and return its response.

        Raise PeerUnreachableError where no response of that type comes. ``nursery`` runs the reader of a new
        connection.
        """
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise PeerUnreachableError("too many requests are pending")
        stream = await self._connected(nursery)
        self._last_request_id = (self._last_request_id + 1) % REQUEST_IDS
        request_id = self._last_request_id
        pending = _PendingRequest()
        self._pending[request_id] = pending
        sent_at_s = trio.current_time()
        try:
            await self._send(stream, encode_frame(build(request_id)))
            await pending.finished.wait()
        finally:
            self._pending.pop(request_id, None)
            # A machine that vanished resets nothing: where all is silent, the next request connects again.
            silent_s = trio.current_time() - max(sent_at_s, self._received_at_s)
            if not pending.finished.is_set() and silent_s > SILENCE_TIMEOUT_S:
                self._disconnect(stream)
        if pending.response is None:
            raise PeerUnreachableError("the connection ended")
        if not isinstance(pending.response, response_type):
            raise PeerUnreachableError("a response of another type")
        return pending.response

    async def _connected(self, nursery: trio.Nursery) -> trio.SocketStream:
        async with self._connect_lock:
            if self._stream is None:
                await trio.sleep_until(self._connect_failed_at_s + RECONNECT_DELAY_S)
                self._stream = await self._connect()
                nursery.start_soon(self._read, self._stream)
            return self._stream

    async def _connect(self) -> trio.SocketStream:
        host, _, port = self.address.rpartition(":")
        stream: trio.SocketStream | None = None
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    host.strip("[]"), int(port), local_address=self._connect_from_host or None
                )
                await stream.send_all(encode_frame(Hello(0, self.cluster, self.member)))
        except BaseException as error:
            if stream is not None:
                stream.socket.close()
            if not isinstance(error, OSError | trio.TooSlowError | trio.BrokenResourceError):
                raise
            self._connect_failed_at_s = trio.current_time()
            raise PeerUnreachableError(str(error) or "no connection in time") from None
        return stream

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        try:
            async with self._send_lock:
                # Half a frame would corrupt the connection for others: a cancelled caller does not stop it.
                with trio.move_on_after(SEND_TIMEOUT_S, shield=True) as timeout:
                    await stream.send_all(data)
                if timeout.cancelled_caught:
                    self._disconnect(stream)
                    raise PeerUnreachableError("the member does not read")
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnreachableError(str(error)) from None
        self.sent_bytes += len(data)

    async def _read(self, stream: trio.SocketStream) -> None:
        decoder = FrameDecoder()
        try:
            while chunk := await stream.receive_some(READ_CHUNK_BYTES):
                self._received_at_s = trio.current_time()
                for frame in decoder.feed(chunk):
                    self._finish(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError, MalformedMessageError):
            pass
        finally:
            self._disconnect(stream)

    def _finish(self, frame: Frame) -> None:
        pending = self._pending.get(frame.request_id)
        if pending is not None and not pending.finished.is_set():
            pending.response = frame
            pending.finished.set()

    def _disconnect(self, stream: trio.SocketStream) -> None:
        """Close a connection, and wake up all who wait for a response on it."""
        if self._stream is stream:
            self._stream = None
            for pending in self._pending.values():
                pending.finished.set()
        stream.socket.close()
