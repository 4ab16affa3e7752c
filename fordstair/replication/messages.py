"""What members ask each other of the ledger: MessagePack frames over TCP, every field checked; pure."""

from __future__ import annotations

import struct
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta, Struct

from fordstair.replication.clock import Milliseconds
from fordstair.replication.engines import Roster
from fordstair.replication.ledger import OUTCOME_MOST, Entry
from fordstair.replication.ranges import RANGES
from fordstair.replication.registers import Register

LARGEST_FRAME = 256 * 1024
PAGE_BYTES = 64 * 1024
_LENGTH = struct.Struct(">I")

Number: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Text: TypeAlias = Annotated[str, Meta(min_length=1, max_length=512)]
Outcome: TypeAlias = Annotated[bytes, Meta(max_length=OUTCOME_MOST)]
Digest: TypeAlias = Annotated[int, Meta(ge=0, lt=2**56)]
Range: TypeAlias = Annotated[int, Meta(ge=0, lt=RANGES)]


class _Frame(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    number: Number  # of the question; its answer has the same


class Hello(_Frame, frozen=True, tag=0):
    """The first frame of whoever connects."""

    cluster: Text
    member: Text


class AskClaim(_Frame, frozen=True, tag=1):
    """Grant a key to a claim."""

    key: Text
    token: Text


class AskRelease(_Frame, frozen=True, tag=2):
    """Take a grant back; the claim has run nothing."""

    key: Text
    token: Text


class AskSettle(_Frame, frozen=True, tag=3):
    """Note how a claim ended."""

    key: Text
    token: Text
    outcome: Outcome


class AskDigests(_Frame, frozen=True, tag=4):
    """The digests of what is settled, by range, of the keys that both members hold."""


class AskRange(_Frame, frozen=True, tag=5):
    """A page of a range's entries after a key; with ``grants`` also what is not settled."""

    which: Range
    after: Annotated[str, Meta(max_length=512)]
    grants: bool


class AskValueDigests(_Frame, frozen=True, tag=6):
    """The digests of the values that converge, by range."""


class AskValues(_Frame, frozen=True, tag=7):
    """A page of a range's values after a key."""

    which: Range
    after: Annotated[str, Meta(max_length=512)]


class AskEngines(_Frame, frozen=True, tag=8):
    """The known engines, unless the asking member's have this digest."""

    digest: Digest


class Said(_Frame, frozen=True, tag=16):
    """A holder's word on a claim."""

    word: Annotated[int, Meta(ge=0, le=2)]
    token: Annotated[str, Meta(max_length=512)]
    outcome: Outcome | None


class Done(_Frame, frozen=True, tag=17):
    """A release or a settlement is on disk, or could not be written."""

    ok: bool


class Digests(_Frame, frozen=True, tag=18):
    """One digest for each range."""

    told: Annotated[list[Digest], Meta(min_length=RANGES, max_length=RANGES)]


class Page(_Frame, frozen=True, tag=19):
    """Entries by key, in order; ``more`` where others follow."""

    entries: Annotated[list[tuple[Text, Entry]], Meta(max_length=8_192)]
    more: bool
    doubted: bool  # the answering member's own memory is in doubt: what it does not know may have been
    new: bool  # its store was made by its start, on a fleet's first day as far as it knows


class Values(_Frame, frozen=True, tag=20):
    """Values by key, in order; ``more`` where others follow."""

    values: Annotated[list[tuple[Text, Register]], Meta(max_length=8_192)]
    more: bool


class Engines(_Frame, frozen=True, tag=21):
    """The engines that a member knows, where they differ; and when it last heard of a register's word."""

    roster: Roster | None
    heard_ms: Milliseconds


Ask: TypeAlias = (
    AskClaim | AskRelease | AskSettle | AskDigests | AskRange | AskValueDigests | AskValues | AskEngines
)
Told: TypeAlias = Said | Done | Digests | Page | Values | Engines
Frame: TypeAlias = Hello | Ask | Told


class Malformed(Exception):
    """Bytes that are no frame of this protocol."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return the bytes, with their length before them."""
    body = _encoder.encode(frame)
    return _LENGTH.pack(len(body)) + body


class Reader:
    """Takes bytes as they come, and returns the frames in them."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def take(self, chunk: bytes) -> list[Frame]:
        """Return what has come whole; raise Malformed for what cannot be a frame."""
        self._buffer += chunk
        frames = list[Frame]()
        while len(self._buffer) >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._buffer)[0]
            if length > LARGEST_FRAME:
                raise Malformed(f"{length} bytes")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            try:
                frames.append(_decoder.decode(memoryview(self._buffer)[_LENGTH.size : end]))
            except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
                raise Malformed(str(error)) from None
            del self._buffer[:end]
        return frames
