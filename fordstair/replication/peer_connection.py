"""Requests to another member over one TCP connection, opened on demand and reopened after a loss."""

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
MAX_PENDING_REQUESTS = 256
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 1.0
# An abandoned request closes its connection if no byte has been received for longer than this.
SILENCE_TIMEOUT_S = 0.5
# Prevents a busy loop if connecting fails immediately.
RECONNECT_DELAY_S = 0.1
REQUEST_IDS = 2**32

T = TypeVar("T", bound=Response)


class PeerUnreachableError(Exception):
    """No valid response was received. The member may have carried out the request nevertheless."""


@dataclass(slots=True)
class _PendingRequest:
    """A request in flight. If ``finished`` is set without a response, the connection was lost."""

    finished: trio.Event = field(default_factory=trio.Event)
    response: Frame | None = None


class PeerConnection:
    """The connection to one member. It has no request timeout; callers set their own.

    Attributes:
        member: The name of the connecting member, which goes into its Hello.
        address: The host and port of the other member.
        sent_bytes: The size of all requests sent so far.
    """

    def __init__(self, cluster: str, member: str, address: str, connect_from_host: str) -> None:
        self.cluster = cluster
        self.member = member
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
        """Send the request that ``build`` returns for a new request id, and return the response.

        Raise PeerUnreachableError if the connection fails, the response is not of ``response_type``, or too
        many requests are pending. ``nursery`` runs the reader task of a new connection. If this is cancelled,
        the request may have been sent.
        """
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise PeerUnreachableError(f"{MAX_PENDING_REQUESTS} requests are already pending")
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
            # A host that has vanished sends no reset: after a silence, the next request connects again.
            silent_s = trio.current_time() - max(sent_at_s, self._received_at_s)
            if not pending.finished.is_set() and silent_s > SILENCE_TIMEOUT_S:
                self._disconnect(stream)
        if pending.response is None:
            raise PeerUnreachableError("the connection was lost before the response")
        if not isinstance(pending.response, response_type):
            raise PeerUnreachableError(f"response is not a {response_type.__name__}")
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
            raise PeerUnreachableError(str(error) or f"no connection within {CONNECT_TIMEOUT_S} s") from None
        return stream

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        try:
            async with self._send_lock:
                # Shielded, since a partly sent frame would corrupt the connection for other requests.
                with trio.move_on_after(SEND_TIMEOUT_S, shield=True) as timeout:
                    await stream.send_all(data)
                if timeout.cancelled_caught:
                    self._disconnect(stream)
                    raise PeerUnreachableError(f"request could not be sent within {SEND_TIMEOUT_S} s")
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
        """Close a connection and finish all requests that are pending on it."""
        if self._stream is stream:
            self._stream = None
            for pending in self._pending.values():
                pending.finished.set()
        stream.socket.close()
