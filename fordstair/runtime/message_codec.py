"""MessagePack messages between coordinators: array-like structs, all fields checked, sizes bounded; pure."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec
from msgspec import Struct

M = TypeVar("M")


class MalformedMessageError(Exception):
    """Bytes from a peer that are no message of the protocol; the text says what is wrong with them."""


class WireMessage(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base of all messages: on the wire an array of its fields in their order, after the subclass's tag."""


class MessageCodec(Generic[M]):
    """Encodes and decodes the messages of one protocol.

    ``messages`` is a struct or a union of tagged structs; ``max_bytes`` is the largest encoding that is read.
    """

    def __init__(self, messages: Any, max_bytes: int) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[M] = msgspec.msgpack.Decoder(messages)
        self._max_bytes = max_bytes

    def encode(self, message: M) -> bytes:
        """Return a message's encoding."""
        return self._encoder.encode(message)

    def decode(self, encoded: bytes | memoryview) -> M:
        """Return the message; raise MalformedMessageError for anything that breaks a bound or a type."""
        if len(encoded) > self._max_bytes:
            raise MalformedMessageError(f"{len(encoded)} bytes, of {self._max_bytes} allowed")
        try:
            return self._decoder.decode(encoded)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise MalformedMessageError(str(error)) from None
