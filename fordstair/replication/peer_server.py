"""The TCP server for other members' requests."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container

import trio

from fordstair.replication.messages import Frame, FrameDecoder, Hello, encode_frame
from fordstair.replication.request_handler import PendingResponse
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.message_codec import MalformedMessageError

log = EventLog(__name__)

MAX_CONNECTIONS = 256
# Further requests of a connection wait until one has been answered.
MAX_CONCURRENT_REQUESTS = 64
HELLO_TIMEOUT_S = 5.0
READ_CHUNK_BYTES = 65_536


class PeerServer:
    """Serves connections. ``handle`` is called with each request, in order, and the member that sent it."""

    def __init__(
        self,
        cluster: str,
        members: Container[str],
        handle: Callable[[str, Frame], PendingResponse],
        counts: Counter[str],
    ) -> None:
        self.cluster = cluster
        self.members = members
        self.handle = handle
        self.counts = counts
        self._connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection until it ends; an error closes only this connection."""
        if self._connections >= MAX_CONNECTIONS:
            self.counts["connections_rejected"] += 1
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            async with stream, trio.open_nursery() as nursery:
                await self._read(stream, nursery)
                nursery.cancel_scope.cancel()
        except* MalformedMessageError:
            self.counts["malformed"] += 1
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception:
            self.counts["internal_errors"] += 1
            log.exception("ledger.internal_error")
        finally:
            self._connections -= 1

    async def _read(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        decoder = FrameDecoder()
        capacity = trio.Semaphore(MAX_CONCURRENT_REQUESTS)
        send_lock = trio.Lock()
        member = ""
        while True:
            with trio.move_on_after(math.inf if member else HELLO_TIMEOUT_S) as timeout:
                chunk = await stream.receive_some(READ_CHUNK_BYTES)
            if timeout.cancelled_caught or not chunk:
                return
            for frame in decoder.feed(chunk):
                if not member:
                    member = self._member_of(frame)
                    continue
                await capacity.acquire()
                nursery.start_soon(self._respond, self.handle(member, frame), stream, send_lock, capacity)

    def _member_of(self, frame: Frame) -> str:
        """Return the member named in a connection's first frame.

        Raise MalformedMessageError if the frame is not a Hello of a member of this cluster.
        """
        if not isinstance(frame, Hello):
            raise MalformedMessageError("first frame is not a Hello")
        if frame.cluster != self.cluster or frame.member not in self.members:
            self.counts["foreign"] += 1
            raise MalformedMessageError(
                f"Hello of unknown member {frame.member!r} in cluster {frame.cluster!r}"
            )
        return frame.member

    async def _respond(
        self,
        pending: PendingResponse,
        stream: trio.SocketStream,
        send_lock: trio.Lock,
        capacity: trio.Semaphore,
    ) -> None:
        try:
            response = await pending.when_written(self.counts)
            async with send_lock:
                await stream.send_all(encode_frame(response))
        finally:
            capacity.release()
