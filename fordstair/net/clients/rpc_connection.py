"""One client's connection to the platform's front: MessagePack-RPC over TCP."""

from __future__ import annotations

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.invariants import Invariant
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import ClientActivity
from fordstair.net.clients import client_limits, rpc_wire
from fordstair.net.clients.closing import half_close, linger
from fordstair.net.clients.message_timer import MessageTimer
from fordstair.net.clients.messagepack import MalformedMessageError
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.net.clients.read_pacer import ReadPacer
from fordstair.net.clients.response_writer import ResponseWriter
from fordstair.net.clients.rpc_input import RpcInput, SkippedRequest
from fordstair.net.clients.rpc_query import InvalidRequestError, read_query
from fordstair.net.clients.rpc_reply import RpcReply
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# The interval at which drain_input checks whether the input has been read.
DRAIN_CHECK_MS = 1.0


class RpcConnection:
    """One client's connection: reads its messages, submits its requests and sends its responses.

    ``accept_delay_ms`` is an upper bound on how long it had been connected before this object was created.

    Attributes:
        open_requests: the requests that are neither answered nor abandoned, by request id.
        closing: whether the connection is to end once all input is answered and every response is sent.
        half_closed: whether the sending side is shut down; any further input is discarded.
        has_requested: whether the client has sent a valid request or a health check.
        was_read: whether any input has been read.
        was_admitted: whether one of them was let in, and not refused for want of memory.
        connected_ms: when this object was created.
        last_activity_ms: the time of the latest valid request or response.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        coordinator: Coordinator,
        max_statement_bytes: int,
        poll_watch: PollWatch | None = None,
        accept_delay_ms: float = 0.0,
        read_pacer: ReadPacer | None = None,
    ) -> None:
        self.stream = stream
        self.coordinator = coordinator
        self.deadlines = coordinator.deadlines
        self.max_statement_bytes = max_statement_bytes
        self.open_requests: dict[int, LiveRequest] = {}
        self.closing = False
        self.half_closed = False
        self.has_requested = False
        self.was_admitted = False
        self.was_read = False
        self.connected_ms = self.last_activity_ms = self.deadlines.clock()
        self._last_read_ms = self.last_activity_ms
        self._consecutive_invalid = 0
        self._consecutive_refused = 0
        self._last_request_id = -1
        self._writer = ResponseWriter(
            stream, self.deadlines, client_limits.RPC_WRITE_TIMEOUT_MS, coordinator.memory
        )
        self._read_delay = ReadDelay(stream, poll_watch or PollWatch(), self.deadlines, accept_delay_ms)
        self._read_pacer = read_pacer or ReadPacer()
        # Whether input may have been read that is not handled yet:
        self._handling = False
        # Cancelling this scope ends the current wait for input; None while there is no wait.
        self._wait_scope: trio.CancelScope | None = None
        self._timed_out = False
        self._write_stalled = False
        self._message_timer = MessageTimer(self.deadlines, self._end_if_timed_out)
        self._scope = trio.CancelScope()

    @property
    def quiescent(self) -> bool:
        """Whether no request is open, and every response has been sent."""
        return not self.open_requests and self._writer.flushed

    @property
    def idle(self) -> bool:
        """Whether the connection is quiescent, has handled all it has read, and is not inside a message.

        An incomplete message counts only for RPC_MESSAGE_TIMEOUT_MS, so that one that never ends cannot hold
        capacity forever; before the first valid request it does not count at all.
        """
        earliest_ms = self.deadlines.clock() - client_limits.RPC_MESSAGE_TIMEOUT_MS
        in_message = self.has_requested and self._message_timer.began_ms > earliest_ms
        return self.quiescent and not (self._handling or in_message)

    @property
    def has_unread_input(self) -> bool:
        """Whether the socket has input, or its end, that has not been read yet.

        It is False for a closed socket: the front still lists a connection that has just been closed.
        """
        sock = self.stream.socket
        return sock.fileno() >= 0 and sock.is_readable()

    @property
    def _responses_unread(self) -> bool:
        """Whether so many responses are unsent that no further ones should be added."""
        max_bytes = client_limits.max_unsent_bytes(scarce=self.coordinator.memory.scarce)
        return self._writer.unsent_bytes > max_bytes

    async def run(self) -> None:
        """Serve the connection until it ends, then close it and abandon the requests that are still open."""
        self._message_timer.start()
        try:
            with self._scope:
                await self._serve()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._message_timer.stop()
            self._abandon_requests()
            self._writer.discard()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """End the connection as soon as it is quiescent and has no unread input."""
        self.closing = True
        self._writer.wake()

    async def drain_input(self) -> None:
        """Wait until all input is handled; a cancellation or its end may be in it.

        More of it may still be on its way here after the client has closed, so the wait goes on while there
        is any. No attempt begins meanwhile, nor while the client does not read its responses.
        """
        while self._handling or self.has_unread_input or self._responses_unread:
            await self.deadlines.sleep(DRAIN_CHECK_MS)

    def abort(self) -> None:
        """Close the connection at once, so that no further input is read and discarded."""
        if self.open_requests and not self._write_stalled:
            self._report_open_requests()
        self.stream.socket.close()
        self._scope.cancel()

    def finish(self, request_id: int, response: bytes) -> None:
        """Queue the final response of an open request; report a violation if the request is not open."""
        if self.open_requests.pop(request_id, None) is None:
            self.coordinator.invariants.record_violation(Invariant.ONE_ANSWER, number=request_id)
        else:
            self._respond(response)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            await self._read()
            while not self.quiescent:
                await self._writer.wait_for_flush()
            nursery.cancel_scope.cancel()
        self.half_closed = True
        # The input has ended by now, and every open request should have been answered or abandoned.
        if self.open_requests:
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
        """Send queued responses; disconnect a client that does not read them in time."""
        while True:
            stalled_bytes = await self._writer.flush()
            if stalled_bytes:
                self.coordinator.counters.add("client.write_stalled")
                log.info("client.write_stalled", open=len(self.open_requests), unsent_bytes=stalled_bytes)
                self._write_stalled = True
                self.abort()
                return
            if self.closing and self._wait_scope is not None:
                self._wait_scope.cancel()
            await self._writer.wait_for_change()

    async def _receive(self, max_bytes: int) -> bytes:
        """Wait for input and return it; return no bytes at its end or when the connection should end.

        All input that arrives before the half-close is read, handled and answered; its client would otherwise
        wait in vain. So no other task may run between the check for unread input and the half-close, and no
        input may have been read without being handled: the reading task does both. Input that arrives later
        has crossed the half-close, and its client sends it again.
        """
        while not self._timed_out:
            while self._responses_unread:
                await self.deadlines.sleep(client_limits.RPC_UNSENT_CHECK_MS)
            if self.closing and self.quiescent and not self.has_unread_input:
                half_close(self.stream)
                break
            with trio.CancelScope() as scope:
                return await self._receive_chunk(scope, max_bytes)
        return b""

    async def _receive_chunk(self, scope: trio.CancelScope, max_bytes: int) -> bytes:
        """Wait for input and read it; cancelling ``scope`` ends the wait without any."""
        self._wait_scope = scope
        self._handling = False
        try:
            if isinstance(self.stream, trio.SocketStream):
                await trio.lowlevel.checkpoint_if_cancelled()  # abort() closes the socket
                self._read_delay.begin_wait()
                await trio.lowlevel.wait_readable(self.stream.socket)
            if max_bytes > client_limits.SMALL_MESSAGE_BYTES:
                await self._read_pacer.wait()
                self._read_delay.begin_wait()  # the input may have arrived before the wait for the pacer
            self._read_delay.note_readable()
            self._handling = True
            chunk = bytes(await self.stream.receive_some(max_bytes))
        finally:
            self._wait_scope = None
            self._handling = True
        self.was_read = True
        self._last_read_ms = self._read_delay.last_read_ms
        self._read_delay.note_read(len(chunk))
        return chunk

    async def _read(self) -> None:
        """Handle messages until the end of input, a malformed message, a timeout or the half-close."""
        with RpcInput(self.max_statement_bytes, self.coordinator.memory) as received:
            while await self._read_once(received):
                pass
        # A client that has shut down its sending side counts as disconnected: its requests are not pursued.
        self._abandon_requests()

    async def _read_once(self, received: RpcInput) -> bool:
        """Read and handle input; return whether to go on. What was read is not kept beyond the call."""
        chunk = await self._receive(received.read_limit)
        if not chunk:
            return False
        if not received.append(chunk):
            return True
        try:
            handled = await self._handle_messages(received)
            received.keep_rest()
        except MalformedMessageError as error:
            self._reject_malformed(received.unhandled, str(error))
            return False
        self._update_message_timer(handled=handled > 0, in_message=received.in_message)
        if handled and self._read_pause_ms:
            await self._yield_to_others()
        return True

    @property
    def _read_pause_ms(self) -> float:
        return client_limits.read_pause_ms(self._consecutive_invalid, self._consecutive_refused)

    async def _handle_messages(self, received: RpcInput) -> int:
        """Handle the complete messages of the input; return how many. Raise MalformedMessageError."""
        handled = 0
        for value in received.messages():
            if isinstance(value, SkippedRequest):
                self._register_request_id(value.request_id)
                self._refuse(value.request_id, value.method)
            else:
                self._handle(rpc_wire.read_message(value))
            handled += 1
            if handled % client_limits.RPC_MESSAGES_PER_TURN == 0:
                await self._yield_to_others()
        return handled

    async def _yield_to_others(self) -> None:
        """Let other tasks run; pause for longer after consecutive invalid or refused messages."""
        await self.deadlines.sleep(self._read_pause_ms)

    def _update_message_timer(self, *, handled: bool, in_message: bool) -> None:
        """Time each message separately: stop the timer of a handled one, start it for an incomplete one."""
        if handled and self.has_requested:
            self._message_timer.stop()
        if in_message and (handled or not self._message_timer.began_ms):
            self._message_timer.begin_message(self._last_read_ms)

    def _end_if_timed_out(self, began_ms: float) -> bool:
        """End the connection if the message that began then may time out; return whether it was done."""
        wait_scope = self._wait_scope
        if wait_scope is None or not client_limits.message_timed_out(
            has_unread_input=self.has_unread_input,
            open_requests=len(self.open_requests),
            still_sending=self.has_requested and self._last_read_ms > began_ms,
        ):
            return False
        self.coordinator.counters.add("client.idle_timeout")
        log.debug("client.idle_timeout", has_requested=self.has_requested)
        self._timed_out = True
        wait_scope.cancel()
        return True

    def _abandon_requests(self) -> None:
        """Abandon all open requests: the client has disconnected, or the connection is ending."""
        for live in list(self.open_requests.values()):
            self.coordinator.client_disconnected(live)
        self.open_requests.clear()

    def _reject_malformed(self, view: memoryview, why: str) -> None:
        """Answer a malformed message if its request id can be read and is new or still open.

        The start of the next message cannot be found any more, so the connection ends. It does not wait for
        the open requests; they are abandoned.
        """
        self.coordinator.counters.add("client.malformed")
        log.info("client.malformed", why=why, open=len(self.open_requests))
        start = rpc_wire.read_request_start(view)
        unanswered = start is not None and (
            start.request_id > self._last_request_id or start.request_id in self.open_requests
        )
        self._abandon_requests()
        if start is not None and unanswered:
            self._respond(rpc_wire.invalid_response(start.request_id, why))

    def _handle(self, message: rpc_wire.Message) -> None:
        match message:
            case rpc_wire.RequestMessage(request_id, method, params):
                self._register_request_id(request_id)
                self._handle_request(request_id, method, params)
            case rpc_wire.InvalidMessage(request_id):
                self._register_request_id(request_id)
                self._reject(request_id, "not a request")
            case rpc_wire.CancelMessage(request_id):
                if (live := self.open_requests.pop(request_id, None)) is not None:
                    self.coordinator.client_disconnected(live)
            case rpc_wire.UnknownNotification():
                pass

    def _register_request_id(self, request_id: int) -> None:
        """Record a request id; raise MalformedMessageError unless it is greater than the one before.

        The client could not tell two responses under one id apart.
        """
        if request_id <= self._last_request_id:
            raise MalformedMessageError("an id that does not count up")
        self._last_request_id = request_id

    def _handle_request(self, request_id: int, method: str, params: object) -> None:
        if method == rpc_wire.HEALTH_CHECK_METHOD:
            self.has_requested = self.was_admitted = True
            self._respond(rpc_wire.health_response(request_id, accepting=not self.coordinator.draining))
            return
        if len(self.open_requests) >= client_limits.RPC_MAX_OPEN_REQUESTS:
            self._reject(request_id, f"over {client_limits.RPC_MAX_OPEN_REQUESTS} requests are open")
            return
        read_delay_ms = self._read_delay.last_delay_ms + self.deadlines.clock() - self._last_read_ms
        try:
            query = read_query(
                method,
                params,
                self.coordinator,
                self.max_statement_bytes,
                read_delay_ms,
                self._activity,
            )
        except InvalidRequestError as error:
            self._reject(request_id, str(error))
            return
        live = self.coordinator.try_submit(query, RpcReply(self, request_id))
        if live is None:
            self._refuse(request_id, method)
            return
        self.has_requested = self.was_admitted = True
        self._consecutive_invalid = self._consecutive_refused = 0
        self.last_activity_ms = self.deadlines.clock()
        self.open_requests[request_id] = live

    def _refuse(self, request_id: int, class_name: str) -> None:
        """Answer at once that there is no room, so that a retry is harmless."""
        if class_name not in self.coordinator.classes:
            self._reject(request_id, f"unknown class {class_name[:40]!r}")
            return
        self.has_requested = True
        self._consecutive_refused += 1
        self._respond(rpc_wire.overloaded_response(request_id, self.coordinator.refuse(class_name)))

    @property
    def _activity(self) -> ClientActivity:
        if len(self.open_requests) >= client_limits.RPC_BUSY_OPEN_REQUESTS:
            return ClientActivity.BUSY
        return ClientActivity.KNOWN if self.has_requested else ClientActivity.NEW

    def _reject(self, request_id: int, why: str) -> None:
        self.coordinator.counters.add("client.invalid")
        self._consecutive_invalid += 1
        self._respond(rpc_wire.invalid_response(request_id, why))
