"""The input of one connection of the platform's front, within the memory for all messages in progress."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from fordstair.net.clients import rpc_wire
from fordstair.net.clients.client_limits import (
    INPUT_MEMORY_FACTOR,
    MAX_READ_BYTES,
    RPC_MESSAGE_OVERHEAD_BYTES,
    SMALL_MESSAGE_BYTES,
    SMALL_MESSAGE_BYTES_IF_SCARCE,
)
from fordstair.net.clients.message_buffer import SKIPPED, MessageBuffer
from fordstair.net.clients.messagepack import MalformedMessageError
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation


@dataclass(frozen=True, slots=True)
class SkippedRequest:
    """A request that was read to its end without being kept, since there was no room for it.

    Attributes:
        method: its method; empty if it cannot be read.
    """

    request_id: int
    method: str


class RpcInput:
    """Buffers the message in progress of one connection.

    A small message is always kept. For a larger one its whole length is reserved as soon as that is known; if
    there is no room, the message is skipped: its bytes are dropped as they arrive, so that it can be refused
    at its end. It is released as a context manager.

    Attributes:
        in_message: whether a message has begun and is not complete.
    """

    def __init__(self, max_statement_bytes: int, budget: MemoryBudget) -> None:
        self._buffer = MessageBuffer(max_statement_bytes + RPC_MESSAGE_OVERHEAD_BYTES)
        self._budget = budget
        self._reservation = Reservation(budget, MemoryUse.INPUT)
        self._skipped: SkippedRequest | None = None

    def __enter__(self) -> RpcInput:
        return self

    def __exit__(self, *_: object) -> None:
        self._reservation.release()

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self._buffer.has_unhandled or self._buffer.skipping

    @property
    def unhandled(self) -> memoryview:
        """The input after the last handled value: an incomplete or malformed value, or nothing."""
        return self._buffer.unhandled

    @property
    def read_limit(self) -> int:
        """How many bytes may be read next: the rest of the message in progress, or a few small ones."""
        wanted_bytes = max(self._buffer.needed_bytes, self._small_bytes) - self._buffer.unhandled_bytes
        return min(MAX_READ_BYTES, max(1, wanted_bytes))

    @property
    def _small_bytes(self) -> int:
        return SMALL_MESSAGE_BYTES_IF_SCARCE if self._budget.scarce else SMALL_MESSAGE_BYTES

    def append(self, chunk: bytes) -> bool:
        """Add input; return whether a message may be complete now."""
        return self._buffer.append(chunk)

    def messages(self) -> Iterator[Any | SkippedRequest]:
        """Yield each complete value, or what is known of a skipped request; raise MalformedMessageError."""
        for value in self._buffer.values():
            if value is SKIPPED:
                assert self._skipped is not None
                yield self._skipped
            else:
                yield value

    def keep_rest(self) -> None:
        """Drop what was handled and reserve the rest of the message in progress, or begin to skip it.

        Raise MalformedMessageError if there is no room and its request id cannot be read.
        """
        self._buffer.discard_handled()
        needed_bytes = 0 if self._buffer.skipping else self._buffer.needed_bytes
        if needed_bytes <= self._small_bytes:
            # The first part of it is in the memory of the connection.
            self._reservation.charge(max(0, self._buffer.unhandled_bytes - SMALL_MESSAGE_BYTES_IF_SCARCE))
        elif not self._reservation.try_resize(int(INPUT_MEMORY_FACTOR * needed_bytes)):
            self._skip()

    def _skip(self) -> None:
        start = rpc_wire.read_request_start(self._buffer.unhandled)
        if start is None:
            raise MalformedMessageError("no room for a message that is no request")
        self._skipped = SkippedRequest(start.request_id, start.method)
        self._buffer.skip()
        self._reservation.release()
