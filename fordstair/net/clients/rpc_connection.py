"""One client's connection to the platform's front: MessagePack-RPC over TCP."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import msgpack
import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.invariants import Invariant
from fordstair.core.live_request import LiveRequest
from fordstair.net.clients.closing import linger, shut
from fordstair.net.clients.messagepack import Incomplete, Malformed, read
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.rpc_query import BadRequest, read_query
from fordstair.runtime.deadlines import Ticket
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

READ_BYTES = 65_536
OPEN_MOST = 32
HEAD_BYTES = 4_096  # what a message holds beside its statement
# A client that does not read its answers is not read from either, so that its answers cannot pile up.
UNSENT_MOST = 256 * 1024
TURN_MESSAGES = 32  # handled before others get their turn
# A first message must come whole within that time, and of a later one that has begun something must come:
# silent connections and endless messages would fill the room for clients. One that has asked may stay silent
# for good, and whose requests are open may write as slowly as it likes.
WHOLE_MS, UNREAD_MS = 2_000.0, 250.0
CATCH_UP_MS = 1.0  # between two looks whether what a client has written is read
ACCEPT_USUAL_MS = 20.0  # a connection that is accepted as soon has not brought a message that is late
WRITE_MS = 5_000.0  # for an answer to leave: a client that reads nothing is not kept for ever
# Who asks for what cannot be used, again and again, is read from more slowly; its answers are not delayed.
PAUSE_MS, PAUSE_MOST_MS = 5.0, 100.0
REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2


class RpcReply:
    """Answers one message."""

    def __init__(self, client: RpcClient, number: int) -> None:
        self.client, self.number = client, number

    async def caught_up(self) -> None:
        """Wait until what the client has written by now is read."""
        await self.client.caught_up()

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with all rows."""
        self.client.final(self.number, None, [b"".join(pages), {}])

    def refused(self, later_ms: float) -> None:
        """Answer that a retry is harmless, and when to make it."""
        fields = {"later": str(math.ceil(later_ms))} if later_ms > 0.0 else {}
        self.client.final(self.number, ["Overloaded", fields], None)

    def failed(self, reason: str) -> None:
        """Answer with an error that promises nothing."""
        self.client.final(self.number, ["Internal", {"reason": reason}], None)


class RpcClient:
    """One client's connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        coordinator: Coordinator,
        largest_statement: int,
        poll_watch: PollWatch | None = None,
        waited_ms: float = 0.0,
    ) -> None:
        self._poll_watch = poll_watch or PollWatch()
        self._connected_ms = coordinator.deadlines.clock() - waited_ms  # at the earliest
        self._empty_ms = coordinator.deadlines.clock()  # when all that had come was read
        self._waited_ms = 0.0  # for which what was read last may have waited for that
        # Whether its first message was there as it was accepted; asked only where that was late.
        self._came_along = waited_ms > ACCEPT_USUAL_MS and stream.socket.is_readable()
        self.stream, self.coordinator, self.deadlines = stream, coordinator, coordinator.deadlines
        self.largest_statement = largest_statement
        self.open: dict[int, LiveRequest] = {}
        self.closing = False  # it ends once all that has come is answered, and every answer has left
        self.lingering = False  # this side is shut: what still comes is read and dropped
        self.asked = False  # it has sent a message that could be used
        self.since_ms = self.deadlines.clock()  # of its last message or answer
        self.heard_ms = self.since_ms  # when bytes last came
        self.began_ms = 0.0  # when the message that is half-sent began; 0: none is
        self._faults = 0  # messages in a row that could not be used
        self._last = -1  # the id that came last
        self._unsent, self._sending = bytearray(), False
        self._read_up = 0  # how often all that had come was read and taken
        self._stir, self._flushed = trio.Event(), trio.Event()
        self._scope = trio.CancelScope()
        self._waits: trio.CancelScope | None = None  # while it waits for bytes
        self._ended = self._short = self._reads = False
        self._stuck = False  # its client has read no answer for long
        self._due: Ticket | None = None

    @property
    def settled(self) -> bool:
        """Whether no request is open, and every answer has left."""
        return not (self.open or self._unsent or self._sending)

    @property
    def idle(self) -> bool:
        """Whether it is settled, and not in a message; one without an end keeps no room for ever."""
        half_sent = self.asked and self.began_ms > self.deadlines.clock() - WHOLE_MS
        return self.settled and not half_sent

    @property
    def unread(self) -> bool:
        """Whether something has come that this program was too busy to read."""
        sock = self.stream.socket
        return sock.fileno() >= 0 and sock.is_readable()  # one that has just been closed is still listed

    async def run(self) -> None:
        """Serve the connection to its end; requests still open then have lost their client."""
        self._expect(WHOLE_MS)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    while not self.settled:
                        self._flushed = trio.Event()
                        await self._flushed.wait()
                    nursery.cancel_scope.cancel()
                self.lingering = True
                if self.open:  # it was read to its end, and all that was open answered or given up
                    self.coordinator.invariants.violated(Invariant.NO_OPEN_CLOSED, open=len(self.open))
                await linger(self.stream, self.deadlines)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._whole()
            self._leave()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """End the connection once it is settled, and nothing has come that is not read."""
        self.closing = True
        self._stir.set()

    async def caught_up(self) -> None:
        """Wait until all that has come by now is read: behind other messages it may say that its client goes.

        A client that is not read from, since it does not read itself, has nothing begun for it either.
        """
        # What is being taken now may have been read before the rest came: a second time it is all there.
        read_up = self._read_up + 2
        while (self._reads or self.unread) and self._read_up < read_up:
            await self.deadlines.sleep(CATCH_UP_MS)

    def shed(self) -> None:
        """End the connection at once: what comes from now on must not be read and dropped."""
        if self.open and not self._stuck:
            self.coordinator.invariants.violated(Invariant.NO_OPEN_CLOSED, open=len(self.open))
        self.stream.socket.close()
        self._scope.cancel()

    def final(self, number: int, error: object, result: object) -> None:
        """Queue the one final answer of a request that is open here."""
        if self.open.pop(number, None) is None:
            return self.coordinator.invariants.violated(Invariant.ONE_ANSWER, number=number)
        self.answer(number, error, result)

    def answer(self, number: int, error: object, result: object) -> None:
        """Queue an answer; the writer sends it at once."""
        self.since_ms = self.deadlines.clock()
        self._unsent += msgpack.packb([RESPONSE, number, error, result], use_bin_type=True)
        self._stir.set()

    async def _write(self) -> None:
        while True:
            while self._unsent:
                out, self._unsent, self._sending = self._unsent, bytearray(), True
                with self.deadlines.limit_for(WRITE_MS) as limit:
                    await self.stream.send_all(out)
                if limit.cancelled_caught:
                    self.coordinator.counters.add("client.stuck")
                    log.info("client.stuck", open=len(self.open), unsent=len(out))
                    self._stuck = True
                    return self.shed()
            self._sending = False
            self._flushed.set()
            if self.closing and self._waits is not None:
                self._waits.cancel()
            self._stir = trio.Event()
            await self._stir.wait()

    async def _receive(self) -> bytes:
        """Return what comes next; nothing once nothing more is to be read, or this side is shut.

        What has come before the shutdown is read, taken and answered: dropped, its client would wait in vain.
        Between the look for it and the shutdown nothing else may run, and nothing read may be on its way to
        being taken; so the task that reads does both. What comes later crosses the shutdown, and its client
        sends it again.
        """
        self._read_up += self._short
        self._short = False
        while not self._ended:
            while len(self._unsent) > UNSENT_MOST:
                await self.deadlines.sleep(10.0)
            if self.closing and self.settled and not self.unread:
                shut(self.stream)
                break
            with trio.CancelScope() as scope:
                self._waits, self._reads = scope, False
                try:
                    if isinstance(self.stream, trio.SocketStream):
                        await trio.lowlevel.wait_readable(self.stream.socket)
                    self._note_wait()
                    self._reads = True  # from here to the next wait there may be something that is not taken
                    chunk = bytes(await self.stream.receive_some(READ_BYTES))
                finally:
                    self._waits, self._reads = None, True
                self.heard_ms, self._short = self.deadlines.clock(), len(chunk) < READ_BYTES
                if self._short:
                    self._empty_ms = self.heard_ms
                return chunk
        return b""

    def _note_wait(self) -> None:
        """Reckon for how long at most what is to be read now has been here."""
        if self._came_along:
            self._waited_ms, self._came_along = self.deadlines.clock() - self._connected_ms, False
        else:
            self._waited_ms = self._poll_watch.waited_ms(self._empty_ms)

    async def _read(self) -> None:
        """Take what comes, until the client has gone or can no longer be understood."""
        chunks, size, needed = list[bytes](), 0, 1
        while chunk := await self._receive():
            chunks.append(chunk)
            size += len(chunk)
            if size < needed:  # what is still incomplete is not read anew with every piece
                continue
            buffer = b"".join(chunks)
            view, at, needed, turn = memoryview(buffer), 0, 1, 0
            try:
                while at < len(view):
                    message, end = read(view, at)
                    self._take(message)
                    at, turn = end, turn + 1
                    if turn % TURN_MESSAGES == 0:
                        await self._yield()
            except Incomplete as rest:
                needed = rest.needed - at
                if needed > self.largest_statement + HEAD_BYTES:  # refused before it is buffered
                    return self._refuse_rest(view[at:], "the message is too large")
            except Malformed as error:
                return self._refuse_rest(view[at:], str(error))
            if turn and self.asked:  # the time runs for each message anew
                self._whole()
            if at < len(view) and (turn or not self.began_ms):
                self.began_ms = self.heard_ms
                if self._due is None:
                    self._expect(WHOLE_MS)
            chunks, size = ([buffer[at:]], len(buffer) - at) if at < len(buffer) else ([], 0)
            if self._faults:
                await self._yield()
        # Whoever has shut its side has gone: nothing is begun for it any more, and nothing gone on with.
        self._leave()

    async def _yield(self) -> None:
        """Let others have their turn; a client that sends what cannot be used waits longer for its next."""
        await self.deadlines.sleep(min(PAUSE_MOST_MS, PAUSE_MS * self._faults))

    def _expect(self, ms: float) -> None:
        self._due = self.deadlines.after(ms, self._overdue)

    def _whole(self) -> None:
        self.began_ms = 0.0
        if self._due is not None:
            self.deadlines.cancel(self._due)
            self._due = None

    def _overdue(self) -> None:
        """No message has come whole in time: the client is silent, or its message has no end.

        What is open is owed its answer all the same, and may be cancelled: it is read from until then.
        """
        self._due = None
        writes = self.asked and self.heard_ms > self.deadlines.clock() - WHOLE_MS
        if self._waits is None or self.unread or self.open or writes:  # or it is this program that is late
            return self._expect(UNREAD_MS)
        self.coordinator.counters.add("client.overdue")
        log.debug("client.overdue", asked=self.asked)
        self._ended = True
        self._waits.cancel()

    def _leave(self) -> None:
        """Give up all that is open: its client has gone, or can no longer be understood."""
        for live in list(self.open.values()):
            self.coordinator.leave(live)
        self.open.clear()

    def _refuse_rest(self, view: memoryview, why: str) -> None:
        """Answer a message that cannot be read, if its id can; the bytes after it have lost their frame.

        What else is open is given up: the connection closes without waiting for it.
        """
        self.coordinator.counters.add("client.malformed")
        kind, number = None, -1
        try:
            kind, at = read(view, 1)
            number, _ = read(view, at)
        except (Incomplete, Malformed):
            pass
        log.info("client.malformed", why=why, open=len(self.open))
        unanswered = _is_id(number) and (number > self._last or number in self.open)
        self._leave()
        if unanswered and view[0] == 0x94 and kind == REQUEST:
            self.answer(number, ["Invalid", {"reason": why}], None)

    def _take(self, message: Any) -> None:
        number: int
        method: memoryview
        match message:
            case [0, int(number), *_] if _is_id(number) and number <= self._last:
                # two answers under one id could not be told apart
                raise Malformed("an id that does not count up")
            case [0, int(number), memoryview() as method, params] if _is_id(number):
                self._last = number
                self._request(number, str(method, "utf-8", "replace"), params)
            case [0, int(number), *_] if _is_id(number):
                self._last = number
                self._invalid(number, "not a request")
            case [2, memoryview() as method, [int(number)]] if method == b"cancelRequest":
                if (live := self.open.pop(number, None)) is not None:
                    self.coordinator.leave(live)
            case [2, memoryview(), _]:
                pass  # a notification that is not known here asks for nothing
            case _:
                raise Malformed("neither a request nor a notification")

    def _request(self, number: int, method: str, params: Any) -> None:
        if method == "alive":
            self.asked = True
            self.answer(number, None, [not self.coordinator.draining, {}])
            return
        try:
            if len(self.open) >= OPEN_MOST:
                raise BadRequest(f"over {OPEN_MOST} requests are open")
            waited_ms = self._waited_ms + self.deadlines.clock() - self.heard_ms
            query = read_query(method, params, self.coordinator, self.largest_statement, waited_ms)
        except BadRequest as error:
            return self._invalid(number, str(error))
        self.asked, self._faults, self.since_ms = True, 0, self.deadlines.clock()
        self.open[number] = self.coordinator.take(query, RpcReply(self, number))

    def _invalid(self, number: int, why: str) -> None:
        self.coordinator.counters.add("client.invalid")
        self._faults += 1
        self.answer(number, ["Invalid", {"reason": why}], None)


def _is_id(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool) and 0 <= number < 2**32
