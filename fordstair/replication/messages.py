"""Frames between replicas: MessagePack arrays over TCP, with every field validated; pure.

Each frame is preceded by its length in four bytes, big endian. The tags and the order and types of the fields
go over the wire; the names do not.
"""

from __future__ import annotations

import struct
from typing import Annotated, TypeAlias

from msgspec import Meta

from fordstair.replication.claim_entry import MAX_OUTCOME_BYTES, ClaimEntry
from fordstair.replication.engine_set import EngineSetState
from fordstair.replication.hybrid_clock import UnixMilliseconds
from fordstair.replication.key_ranges import DIGEST_BITS, RANGE_COUNT
from fordstair.replication.register_map import Register
from fordstair.runtime.message_codec import MalformedMessageError, MessageCodec, WireMessage

MAX_FRAME_BYTES = 256 * 1024
# A page of entries ends once it is larger.
PAGE_BYTES = 64 * 1024
MAX_PAGE_ITEMS = 8_192
_LENGTH = struct.Struct(">I")

RequestId: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Text: TypeAlias = Annotated[str, Meta(min_length=1, max_length=512)]
AfterKey: TypeAlias = Annotated[str, Meta(max_length=512)]
Outcome: TypeAlias = Annotated[bytes, Meta(max_length=MAX_OUTCOME_BYTES)]
Digest: TypeAlias = Annotated[int, Meta(ge=0, lt=2**DIGEST_BITS)]
RangeNumber: TypeAlias = Annotated[int, Meta(ge=0, lt=RANGE_COUNT)]


class _Frame(WireMessage, frozen=True):
    # Unique among the pending requests of a connection; a response repeats that of its request.
    request_id: RequestId


class Hello(_Frame, frozen=True, tag=0):
    """The first frame on a connection, by which the connecting member identifies itself."""

    cluster: Text
    member: Text


class ClaimRequest(_Frame, frozen=True, tag=1):
    """Requests a grant of a key to a claim."""

    key: Text
    token: Text


class ReleaseRequest(_Frame, frozen=True, tag=2):
    """Requests the removal of a grant to a claim whose load has not run."""

    key: Text
    token: Text


class SettleRequest(_Frame, frozen=True, tag=3):
    """Requests that the outcome of a claim's load is stored."""

    key: Text
    token: Text
    outcome: Outcome


class ClaimDigestsRequest(_Frame, frozen=True, tag=4):
    """Requests the digest of each range over the settled entries of which both members are replicas."""


class ClaimPageRequest(_Frame, frozen=True, tag=5):
    """Requests a page of a range's entries after a key.

    With ``include_unsettled`` the page also contains grants without an outcome.
    """

    range_number: RangeNumber
    after_key: AfterKey
    include_unsettled: bool


class RegisterDigestsRequest(_Frame, frozen=True, tag=6):
    """Requests the digest of each range over the registers."""


class RegisterPageRequest(_Frame, frozen=True, tag=7):
    """Requests a page of a range's registers after a key."""

    range_number: RangeNumber
    after_key: AfterKey


class EngineSetRequest(_Frame, frozen=True, tag=8):
    """Requests the set of known engines, unless its digest equals that of the requesting member's set."""

    digest: Digest


class VoteResponse(_Frame, frozen=True, tag=16):
    """A replica's vote on a claim; ``status`` is the value of a VoteStatus."""

    status: Annotated[int, Meta(ge=0, le=2)]
    token: Annotated[str, Meta(max_length=512)]
    outcome: Outcome | None


class WrittenResponse(_Frame, frozen=True, tag=17):
    """Tells whether a release or an outcome was written to disk."""

    written: bool


class DigestsResponse(_Frame, frozen=True, tag=18):
    """One digest for each range."""

    digests: Annotated[list[Digest], Meta(min_length=RANGE_COUNT, max_length=RANGE_COUNT)]


class ClaimPageResponse(_Frame, frozen=True, tag=19):
    """A page of entries, ordered by key.

    Attributes:
        more: Whether the range has further entries.
        incomplete: Whether entries may be missing at the responding member.
        new_store: Whether that member created its store at its start, which is the fleet's first as far as it
            knows.
    """

    entries: Annotated[list[tuple[Text, ClaimEntry]], Meta(max_length=MAX_PAGE_ITEMS)]
    more: bool
    incomplete: bool
    new_store: bool


class RegisterPageResponse(_Frame, frozen=True, tag=20):
    """A page of registers, ordered by key; ``more`` is true if the range has further ones."""

    registers: Annotated[list[tuple[Text, Register]], Meta(max_length=MAX_PAGE_ITEMS)]
    more: bool


class EngineSetResponse(_Frame, frozen=True, tag=21):
    """A member's engine set.

    Attributes:
        state: The set, or None if the digests of both sets are equal.
        registry_contact_ms: The Unix time at which any member last received a message of its registry.
    """

    state: EngineSetState | None
    registry_contact_ms: UnixMilliseconds


Request: TypeAlias = (
    ClaimRequest
    | ReleaseRequest
    | SettleRequest
    | ClaimDigestsRequest
    | ClaimPageRequest
    | RegisterDigestsRequest
    | RegisterPageRequest
    | EngineSetRequest
)
Response: TypeAlias = (
    VoteResponse
    | WrittenResponse
    | DigestsResponse
    | ClaimPageResponse
    | RegisterPageResponse
    | EngineSetResponse
)
Frame: TypeAlias = Hello | Request | Response


_codec: MessageCodec[Frame] = MessageCodec(Frame, MAX_FRAME_BYTES)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoding of a frame, preceded by its length."""
    body = _codec.encode(frame)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[Frame]:
        """Return the frames that a chunk completes; raise MalformedMessageError for an invalid frame."""
        self._buffer += chunk
        frames = list[Frame]()
        while len(self._buffer) >= _LENGTH.size:
            length: int = _LENGTH.unpack_from(self._buffer)[0]
            if length > MAX_FRAME_BYTES:
                raise MalformedMessageError(f"frame of {length} bytes, of {MAX_FRAME_BYTES} allowed")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(_codec.decode(memoryview(self._buffer)[_LENGTH.size : end]))
            del self._buffer[:end]
        return frames
