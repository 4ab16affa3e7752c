"""Questions to another member over one TCP connection, which is made when needed and made anew when lost."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TypeVar

import trio

from fordstair.replication.messages import Ask, Frame, Hello, Malformed, Reader, Told, encode

READ_BYTES = 65_536
OPEN_MOST = 256  # questions to one member that may wait for their answer
CONNECT_S, SEND_S = 1.0, 1.0
SILENT_S = 0.5  # without a byte, after which a question that is given up ends its connection
PAUSE_S = 0.1  # after a connect that failed, before the next: what fails at once must not spin

T = TypeVar("T", bound=Told)


class Lost(Exception):
    """No answer came, or none that could be read: the question may have been carried out."""


class Link:
    """The way to one member. A question's answer, or Lost; the caller bounds its time."""

    def __init__(self, cluster: str, own: str, address: str, host: str) -> None:
        self.cluster, self.own, self.address, self._host = cluster, own, address, host
        self._number = 0
        self._asked: dict[int, tuple[trio.Event, list[Frame]]] = {}
        self._stream: trio.SocketStream | None = None
        self._making = trio.Lock()
        self._sending = trio.Lock()
        self._failed_at = self._heard_at = -PAUSE_S
        self.sent_bytes = 0

    async def ask(self, nursery: trio.Nursery, question: Callable[[int], Ask], kind: type[T]) -> T:
        """Ask; raise Lost where no answer of that kind comes."""
        if len(self._asked) >= OPEN_MOST:
            raise Lost("too many questions are open")
        stream = await self._connected(nursery)
        self._number = (self._number + 1) % 2**32
        number, came, answer = self._number, trio.Event(), list[Frame]()
        self._asked[number], began = (came, answer), trio.current_time()
        try:
            await self._send(stream, encode(question(number)))
            await came.wait()
        finally:
            self._asked.pop(number, None)
            # A machine that vanished resets nothing: where all is silent, the next question connects anew.
            if not came.is_set() and trio.current_time() - max(began, self._heard_at) > SILENT_S:
                self._end(stream)
        if not answer or not isinstance(answer[0], kind):
            raise Lost("the connection ended" if not answer else "an answer of another kind")
        return answer[0]

    async def _connected(self, nursery: trio.Nursery) -> trio.SocketStream:
        async with self._making:
            if self._stream is not None:
                return self._stream
            await trio.sleep_until(self._failed_at + PAUSE_S)
            host, _, port = self.address.rpartition(":")
            stream: trio.SocketStream | None = None
            try:
                with trio.fail_after(CONNECT_S):
                    stream = await trio.open_tcp_stream(
                        host.strip("[]"), int(port), local_address=self._host or None
                    )
                    await stream.send_all(encode(Hello(0, self.cluster, self.own)))
            except BaseException as error:
                if stream is not None:
                    stream.socket.close()
                if not isinstance(error, OSError | trio.TooSlowError | trio.BrokenResourceError):
                    raise
                self._failed_at = trio.current_time()
                raise Lost(str(error) or "no connection in time") from None
            self._stream = stream
            nursery.start_soon(self._read, stream)
            return stream

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        try:
            async with self._sending:
                # Half a frame would spoil the connection for others, so its caller's end does not stop it.
                with trio.move_on_after(SEND_S, shield=True) as limit:
                    await stream.send_all(data)
                if limit.cancelled_caught:
                    self._end(stream)
                    raise Lost("the member does not read")
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise Lost(str(error)) from None
        self.sent_bytes += len(data)

    async def _read(self, stream: trio.SocketStream) -> None:
        reader = Reader()
        try:
            while chunk := await stream.receive_some(READ_BYTES):
                self._heard_at = trio.current_time()
                for frame in reader.take(chunk):
                    if (waiting := self._asked.get(frame.number)) is not None:
                        waiting[1].append(frame)
                        waiting[0].set()
        except (trio.BrokenResourceError, trio.ClosedResourceError, Malformed):
            pass
        finally:
            self._end(stream)

    def _end(self, stream: trio.SocketStream) -> None:
        """Close, and tell all who wait."""
        if self._stream is stream:
            self._stream = None
            for came, _ in self._asked.values():
                came.set()
        stream.socket.close()


def no_delay(stream: trio.SocketStream) -> None:
    """Send small frames at once."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
