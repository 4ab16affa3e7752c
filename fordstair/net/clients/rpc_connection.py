"""One client's connection to the platform's front: MessagePack-RPC over TCP."""

from __future__ import annotations

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.invariants import Invariant
from fordstair.core.live_request import LiveRequest
from fordstair.net.clients import client_limits, rpc_wire
from fordstair.net.clients.closing import half_close, linger
from fordstair.net.clients.message_buffer import MessageBuffer
from fordstair.net.clients.messagepack import MalformedMessageError
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.net.clients.response_writer import ResponseWriter
from fordstair.net.clients.rpc_query import InvalidRequestError, read_query
from fordstair.net.clients.rpc_reply import RpcReply
from fordstair.runtime.deadlines import DeadlineHandle
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

READ_BYTES = 65_536
CATCH_UP_CHECK_MS = 1.0  # between two checks whether what a client has written is read


class RpcConnection:
    """One client's connection.

    ``accept_delay_ms`` says how long at most the connection was there before it was accepted.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        coordinator: Coordinator,
        max_statement_bytes: int,
        poll_watch: PollWatch | None = None,
        accept_delay_ms: float = 0.0,
    ) -> None:
        self.stream = stream
        self.coordinator = coordinator
        self.deadlines = coordinator.deadlines
        self.max_statement_bytes = max_statement_bytes
        self.open_requests: dict[int, LiveRequest] = {}
        self.closing = False  # it ends once all that has come is answered, and every response has left
        self.half_closed = False  # this side is shut: what still comes is read and dropped
        self.has_requested = False  # it has sent a message that could be used
        self.last_activity_ms = self.deadlines.clock()  # of its last message or response
        self._received_ms = self.last_activity_ms  # when bytes last came
        self._message_began_ms = 0.0  # when the message that is half-sent began; 0: none is
        self._invalid_in_a_row = 0  # messages that could not be used
        self._last_number = -1  # the id that came last
        self._writer = ResponseWriter(stream, self.deadlines, client_limits.RPC_WRITE_TIMEOUT_MS)
        self._read_delay = ReadDelay(stream, poll_watch or PollWatch(), self.deadlines, accept_delay_ms)
        self._times_drained = 0  # how often all that had come was read and handled
        self._drained = False  # the last read left nothing behind
        self._handling = False  # something may have been read that is not handled
        self._waits_for_bytes: trio.CancelScope | None = None
        self._timed_out = False
        self._write_stalled = False
        self._message_timeout: DeadlineHandle | None = None
        self._scope = trio.CancelScope()

    @property
    def settled(self) -> bool:
        """Whether no request is open, and every response has left."""
        return not self.open_requests and self._writer.flushed

    @property
    def idle(self) -> bool:
        """Whether it is settled, has read nothing that is not handled, and is not in a message.

        A message without an end keeps no capacity for ever.
        """
        earliest_ms = self.deadlines.clock() - client_limits.RPC_MESSAGE_TIMEOUT_MS
        in_message = self.has_requested and self._message_began_ms > earliest_ms
        return self.settled and not (self._handling or in_message)

    @property
    def unread_bytes(self) -> bool:
        """Whether something has come that this program was too busy to read."""
        sock = self.stream.socket
        return sock.fileno() >= 0 and sock.is_readable()  # one that has just been closed is still listed

    async def run(self) -> None:
        """Serve the connection to its end; requests still open then have lost their client."""
        self._start_message_timeout(client_limits.RPC_MESSAGE_TIMEOUT_MS)
        try:
            with self._scope:
                await self._serve()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._stop_message_timeout()
            self._abandon_requests()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """End the connection once it is settled, and nothing has come that is not read."""
        self.closing = True
        self._writer.wake()

    async def drain_input(self) -> None:
        """Wait until all that has come by now is read: behind other messages may be a cancel, or the end.

        A client that is not read from, since it does not read itself, has nothing begun for it either.
        """
        # What is being handled now may have been read before the rest came: a second time it is all there.
        enough = self._times_drained + 2
        while (self._handling or self.unread_bytes) and self._times_drained < enough:
            await self.deadlines.sleep(CATCH_UP_CHECK_MS)

    def shed(self) -> None:
        """End the connection at once: what comes from now on must not be read and dropped."""
        if self.open_requests and not self._write_stalled:
            self._report_open_requests()
        self.stream.socket.close()
        self._scope.cancel()

    def finish(self, number: int, response: bytes) -> None:
        """Queue the one final response of a request that is open here."""
        if self.open_requests.pop(number, None) is None:
            self.coordinator.invariants.record_violation(Invariant.ONE_ANSWER, number=number)
        else:
            self._respond(response)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            await self._read()
            while not self.settled:
                await self._writer.wait_for_flush()
            nursery.cancel_scope.cancel()
        self.half_closed = True
        if self.open_requests:  # it was read to its end, and all that was open answered or abandoned
            self._report_open_requests()
        await linger(self.stream, self.deadlines)

    def _report_open_requests(self) -> None:
        self.coordinator.invariants.record_violation(
            Invariant.NO_CLOSE_WHILE_OPEN, open=len(self.open_requests)
        )

    def _respond(self, response: bytes) -> None:
        self.last_activity_ms = self.deadlines.clock()
        self._writer.queue(response)

    async def _write(self) -> None:
        """Send responses; a client that does not read them is disconnected."""
        while True:
            stalled_bytes = await self._writer.flush()
            if stalled_bytes:
                self.coordinator.counters.add("client.write_stalled")
                log.info("client.write_stalled", open=len(self.open_requests), unsent_bytes=stalled_bytes)
                self._write_stalled = True
                self.shed()
                return
            if self.closing and self._waits_for_bytes is not None:
                self._waits_for_bytes.cancel()
            await self._writer.wait_for_change()

    async def _receive(self) -> bytes:
        """Return what comes next; nothing once nothing more is to be read, or this side is shut.

        What has come before the shutdown is read, handled and answered: dropped, its client would wait in
        vain. Between the check for it and the shutdown nothing else may run, and nothing read may be on its
        way to being handled; so the task that reads does both. What comes later crosses the shutdown, and its
        client sends it again.
        """
        self._times_drained += self._drained
        self._drained = False
        while not self._timed_out:
            while self._writer.unsent_bytes > client_limits.RPC_MAX_UNSENT_BYTES:
                await self.deadlines.sleep(client_limits.RPC_UNSENT_CHECK_MS)
            if self.closing and self.settled and not self.unread_bytes:
                half_close(self.stream)
                break
            with trio.CancelScope() as scope:
                return await self._receive_chunk(scope)
        return b""

    async def _receive_chunk(self, scope: trio.CancelScope) -> bytes:
        """Wait for bytes and read them; the scope is cancelled where the wait should end without any."""
        self._waits_for_bytes = scope
        self._handling = False
        try:
            if isinstance(self.stream, trio.SocketStream):
                await trio.lowlevel.checkpoint_if_cancelled()  # shed() has closed the socket
                self._read_delay.begin_wait()
                await trio.lowlevel.wait_readable(self.stream.socket)
            self._read_delay.note_readable()
            self._handling = True  # from here to the next wait
            chunk = bytes(await self.stream.receive_some(READ_BYTES))
        finally:
            self._waits_for_bytes = None
            self._handling = True
        self._received_ms = self._read_delay.read_ms
        self._drained = self._read_delay.note_read(len(chunk))
        return chunk

    async def _read(self) -> None:
        """Handle what comes, until the client has gone or can no longer be understood."""
        buffer = MessageBuffer(self.max_statement_bytes + client_limits.RPC_MESSAGE_OVERHEAD_BYTES)
        while chunk := await self._receive():
            if not buffer.append(chunk):
                continue
            try:
                handled = await self._handle_messages(buffer)
            except MalformedMessageError as error:
                self._reject_rest(buffer.unhandled, str(error))
                return
            self._note_message_progress(handled=handled > 0, in_message=len(buffer.unhandled) > 0)
            buffer.discard_handled()
            if self._invalid_in_a_row:
                await self._give_turn()
        # Whoever has shut its side has gone: nothing is begun for it any more, and nothing gone on with.
        self._abandon_requests()

    async def _handle_messages(self, buffer: MessageBuffer) -> int:
        """Handle the complete messages at hand; return how many there were. Raise MalformedMessageError."""
        handled = 0
        for value in buffer.values():
            self._handle(rpc_wire.read_message(value))
            handled += 1
            if handled % client_limits.RPC_MESSAGES_PER_TURN == 0:
                await self._give_turn()
        return handled

    async def _give_turn(self) -> None:
        """Let other connections have their turn; after invalid messages wait longer for the next."""
        pause_ms = client_limits.RPC_INVALID_MESSAGE_PAUSE_MS * self._invalid_in_a_row
        await self.deadlines.sleep(min(client_limits.RPC_MAX_INVALID_MESSAGE_PAUSE_MS, pause_ms))

    def _note_message_progress(self, *, handled: bool, in_message: bool) -> None:
        """Time each message by itself."""
        if handled and self.has_requested:
            self._stop_message_timeout()
        if in_message and (handled or not self._message_began_ms):
            self._message_began_ms = self._received_ms
            if self._message_timeout is None:
                self._start_message_timeout(client_limits.RPC_MESSAGE_TIMEOUT_MS)

    def _start_message_timeout(self, ms: float) -> None:
        self._message_timeout = self.deadlines.after(ms, self._check_message_timeout)

    def _stop_message_timeout(self) -> None:
        self._message_began_ms = 0.0
        if self._message_timeout is not None:
            self.deadlines.cancel(self._message_timeout)
            self._message_timeout = None

    def _check_message_timeout(self) -> None:
        self._message_timeout = None
        earliest_ms = self.deadlines.clock() - client_limits.RPC_MESSAGE_TIMEOUT_MS
        wait_scope = self._waits_for_bytes
        if wait_scope is None or not client_limits.message_timed_out(
            unread_bytes=self.unread_bytes,
            open_requests=len(self.open_requests),
            writing=self.has_requested and self._received_ms > earliest_ms,
        ):
            self._start_message_timeout(client_limits.RPC_MESSAGE_TIMEOUT_RETRY_MS)
            return
        self.coordinator.counters.add("client.idle_timeout")
        log.debug("client.idle_timeout", has_requested=self.has_requested)
        self._timed_out = True
        wait_scope.cancel()

    def _abandon_requests(self) -> None:
        """Give up all that is open: its client has gone, or can no longer be understood."""
        for live in list(self.open_requests.values()):
            self.coordinator.client_disconnected(live)
        self.open_requests.clear()

    def _reject_rest(self, view: memoryview, why: str) -> None:
        """Answer a malformed message, if its id can be read; the bytes after it have lost their frame.

        What else is open is given up: the connection closes without waiting for it.
        """
        self.coordinator.counters.add("client.malformed")
        log.info("client.malformed", why=why, open=len(self.open_requests))
        number = rpc_wire.request_number(view)
        unanswered = number is not None and (number > self._last_number or number in self.open_requests)
        self._abandon_requests()
        if number is not None and unanswered:
            self._respond(rpc_wire.invalid_response(number, why))

    def _handle(self, message: rpc_wire.Message) -> None:
        match message:
            case rpc_wire.RequestMessage(number, method, params):
                self._note_number(number)
                self._handle_request(number, method, params)
            case rpc_wire.InvalidMessage(number):
                self._note_number(number)
                self._reject(number, "not a request")
            case rpc_wire.CancelMessage(number):
                if (live := self.open_requests.pop(number, None)) is not None:
                    self.coordinator.client_disconnected(live)
            case rpc_wire.UnknownNotification():
                pass

    def _note_number(self, number: int) -> None:
        """Take the id of a request; two responses under one id could not be told apart."""
        if number <= self._last_number:
            raise MalformedMessageError("an id that does not count up")
        self._last_number = number

    def _handle_request(self, number: int, method: str, params: object) -> None:
        if method == rpc_wire.HEALTH_CHECK_METHOD:
            self.has_requested = True
            self._respond(rpc_wire.health_response(number, accepting=not self.coordinator.draining))
            return
        if len(self.open_requests) >= client_limits.RPC_MAX_OPEN_REQUESTS:
            self._reject(number, f"over {client_limits.RPC_MAX_OPEN_REQUESTS} requests are open")
            return
        read_delay_ms = self._read_delay.last_ms + self.deadlines.clock() - self._received_ms
        try:
            query = read_query(
                method,
                params,
                self.coordinator,
                self.max_statement_bytes,
                read_delay_ms,
                from_new_client=not self.has_requested,
            )
        except InvalidRequestError as error:
            self._reject(number, str(error))
            return
        self.has_requested = True
        self._invalid_in_a_row = 0
        self.last_activity_ms = self.deadlines.clock()
        self.open_requests[number] = self.coordinator.submit(query, RpcReply(self, number))

    def _reject(self, number: int, why: str) -> None:
        self.coordinator.counters.add("client.invalid")
        self._invalid_in_a_row += 1
        self._respond(rpc_wire.invalid_response(number, why))
