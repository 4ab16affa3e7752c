"""Frames between replicas: MessagePack arrays over TCP, every field checked; pure.

Each frame is preceded by its length in four bytes, big endian. Tags, the order of fields and their types are
those on the wire; names are not sent.
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
PAGE_BYTES = 64 * 1024  # after which a page of entries ends
MAX_PAGE_ITEMS = 8_192
_LENGTH = struct.Struct(">I")

RequestId: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Text: TypeAlias = Annotated[str, Meta(min_length=1, max_length=512)]
AfterKey: TypeAlias = Annotated[str, Meta(max_length=512)]
Outcome: TypeAlias = Annotated[bytes, Meta(max_length=MAX_OUTCOME_BYTES)]
Digest: TypeAlias = Annotated[int, Meta(ge=0, lt=2**DIGEST_BITS)]
RangeNumber: TypeAlias = Annotated[int, Meta(ge=0, lt=RANGE_COUNT)]


class _Frame(WireMessage, frozen=True):
    request_id: RequestId  # of a request on its connection; the response has the same


class Hello(_Frame, frozen=True, tag=0):
    """The first frame of whoever connects."""

    cluster: Text
    member: Text


class ClaimRequest(_Frame, frozen=True, tag=1):
    """Grant a key to a claim."""

    key: Text
    token: Text


class ReleaseRequest(_Frame, frozen=True, tag=2):
    """Remove a grant; the claim has run nothing."""

    key: Text
    token: Text


class SettleRequest(_Frame, frozen=True, tag=3):
    """Store the outcome of a claim."""

    key: Text
    token: Text
    outcome: Outcome


class ClaimDigestsRequest(_Frame, frozen=True, tag=4):
    """The digests by range of the settled entries of which both members are replicas."""


class ClaimPageRequest(_Frame, frozen=True, tag=5):
    """A page of a range's entries after a key; with ``include_unsettled`` also grants without an outcome."""

    range_number: RangeNumber
    after_key: AfterKey
    include_unsettled: bool


class RegisterDigestsRequest(_Frame, frozen=True, tag=6):
    """The digests by range of the registers."""


class RegisterPageRequest(_Frame, frozen=True, tag=7):
    """A page of a range's registers after a key."""

    range_number: RangeNumber
    after_key: AfterKey


class EngineSetRequest(_Frame, frozen=True, tag=8):
    """The known engines, unless the requesting member's set has this digest."""

    digest: Digest


class VoteResponse(_Frame, frozen=True, tag=16):
    """A replica's vote on a claim; ``status`` is the value of a VoteStatus."""

    status: Annotated[int, Meta(ge=0, le=2)]
    token: Annotated[str, Meta(max_length=512)]
    outcome: Outcome | None


class WrittenResponse(_Frame, frozen=True, tag=17):
    """A release or an outcome is on disk, or could not be written."""

    written: bool


class DigestsResponse(_Frame, frozen=True, tag=18):
    """One digest for each range."""

    digests: Annotated[list[Digest], Meta(min_length=RANGE_COUNT, max_length=RANGE_COUNT)]


class ClaimPageResponse(_Frame, frozen=True, tag=19):
    """Entries by key, in order; ``more`` where others follow.

    ``incomplete``: entries may be missing at the responding member. ``new_store``: its store was made by its
    start, which is the fleet's first as far as it knows.
    """

    entries: Annotated[list[tuple[Text, ClaimEntry]], Meta(max_length=MAX_PAGE_ITEMS)]
    more: bool
    incomplete: bool
    new_store: bool


class RegisterPageResponse(_Frame, frozen=True, tag=20):
    """Registers by key, in order; ``more`` where others follow."""

    registers: Annotated[list[tuple[Text, Register]], Meta(max_length=MAX_PAGE_ITEMS)]
    more: bool


class EngineSetResponse(_Frame, frozen=True, tag=21):
    """The engines that a member knows, None where the sets are equal; when it last heard of a registry."""

    state: EngineSetState | None
    registry_heard_ms: UnixMilliseconds


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
    """Return the bytes of a frame, with their length before them."""
    body = _codec.encode(frame)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Takes bytes as they are received, and returns the frames in them."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[Frame]:
        """Return the frames completed by a chunk; raise MalformedMessageError for what cannot be a frame."""
        self._buffer += chunk
        frames = list[Frame]()
        while len(self._buffer) >= _LENGTH.size:
            length: int = _LENGTH.unpack_from(self._buffer)[0]
            if length > MAX_FRAME_BYTES:
                raise MalformedMessageError(f"{length} bytes")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(_codec.decode(memoryview(self._buffer)[_LENGTH.size : end]))
            del self._buffer[:end]
        return frames
