"""Answers other members' questions over TCP; what they come to is decided elsewhere, in their order."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass

import trio

from fordstair.replication.link import no_delay
from fordstair.replication.messages import Frame, Hello, Malformed, Reader, Told, encode
from fordstair.runtime.event_log import EventLog
from fordstair.store.errors import StoreError
from fordstair.store.writer import CommitBatch

log = EventLog(__name__)

CLIENTS_MOST = 256
AT_ONCE = 64  # questions of one member that are worked on at a time; more wait on its connection
GREET_S = 5.0  # in which whoever connects must say who it is
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Decided:
    """An answer, the one to give where the disk fails, and what must be on disk before."""

    ok: Told
    failed: Told | None = None
    batch: CommitBatch | None | StoreError = None

    async def told(self, counts: Counter[str]) -> Told:
        """Wait for the disk; return the answer that may then be given."""
        try:
            if isinstance(self.batch, StoreError):
                raise self.batch
            if self.batch is not None:
                await self.batch.written()
        except StoreError:
            counts["writes_failed"] += 1
            assert self.failed is not None
            return self.failed
        return self.ok


class Server:
    """Serves connections. ``decide`` is called for each question as it is read, with the member that asks."""

    def __init__(
        self,
        cluster: str,
        members: Container[str],
        decide: Callable[[str, Frame], Decided],
        counts: Counter[str],
    ) -> None:
        self.cluster, self.members, self.decide, self.counts = cluster, members, decide, counts
        self._clients = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one member's questions; whatever is wrong with it ends its connection alone."""
        if self._clients >= CLIENTS_MOST:
            self.counts["turned_away"] += 1
            return await trio.aclose_forcefully(stream)
        self._clients += 1
        try:
            no_delay(stream)
            async with stream, trio.open_nursery() as nursery:
                await self._read(stream, nursery)
                nursery.cancel_scope.cancel()
        except* Malformed:
            self.counts["malformed"] += 1
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception:
            self.counts["broke"] += 1
            log.exception("ledger.broke")
        finally:
            self._clients -= 1

    async def _read(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        reader, room, sending, member = Reader(), trio.Semaphore(AT_ONCE), trio.Lock(), ""
        while True:
            with trio.move_on_after(math.inf if member else GREET_S) as late:
                chunk = await stream.receive_some(READ_BYTES)
            if late.cancelled_caught or not chunk:
                return
            for frame in reader.take(chunk):
                if not member:
                    member = self._greeted(frame)
                    continue
                await room.acquire()
                nursery.start_soon(self._answer, self.decide(member, frame), stream, sending, room)

    def _greeted(self, frame: Frame) -> str:
        if not isinstance(frame, Hello):
            raise Malformed("no greeting")
        if frame.cluster != self.cluster or frame.member not in self.members:
            self.counts["foreign"] += 1
            raise Malformed("a stranger")
        return frame.member

    async def _answer(
        self, decided: Decided, stream: trio.SocketStream, sending: trio.Lock, room: trio.Semaphore
    ) -> None:
        try:
            answer = await decided.told(self.counts)
            async with sending:
                await stream.send_all(encode(answer))
        finally:
            room.release()
