"""MessagePack encoding of messages between coordinators, with checked types and bounded sizes; no I/O."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec
from msgspec import Struct

M = TypeVar("M")


class MalformedMessageError(Exception):
    """Raised for bytes from a peer that are not a valid message of the protocol; the text says why."""


class WireMessage(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Base of all messages; encoded as an array of the subclass's tag, if any, and its fields in order."""


class MessageCodec(Generic[M]):
    """Encodes and decodes the messages of one protocol.

    Args:
        messages: a struct, or a union of tagged structs.
        max_bytes: largest encoding that ``decode`` accepts.
    """

    def __init__(self, messages: Any, max_bytes: int) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[M] = msgspec.msgpack.Decoder(messages)
        self._max_bytes = max_bytes

    def encode(self, message: M) -> bytes:
        """Encode a message."""
        return self._encoder.encode(message)

    def decode(self, encoded: bytes | memoryview) -> M:
        """Decode a message; raise MalformedMessageError if it is too large or does not match the types."""
        if len(encoded) > self._max_bytes:
            raise MalformedMessageError(
                f"message of {len(encoded)} bytes exceeds the limit of {self._max_bytes} bytes"
            )
        try:
            return self._decoder.decode(encoded)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise MalformedMessageError(str(error)) from None
