"""What members say to each other: MessagePack arrays, every field checked, every datagram bounded; pure.

A datagram is one message. All carry the cluster's name first, the sender's name and news: updates on members,
piggybacked (SWIM, section 4.1).
"""

from __future__ import annotations

from typing import Annotated, TypeAlias, TypeVar

import msgspec
from msgspec import Meta, Struct

T = TypeVar("T")
LARGEST = 1_400  # bytes of a datagram: under the usual path's MTU, so that none is cut into fragments
LAST_INCARNATION = 2**62  # what is told beyond is malformed; refutations stop growing below

Cluster: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
Name: TypeAlias = Annotated[str, Meta(pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z")]
Address: TypeAlias = Annotated[
    str, Meta(pattern=r"\A[^\s:/]+:[0-9]{1,5}\Z|\A\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}\Z", max_length=80)
]
Incarnation: TypeAlias = Annotated[int, Meta(ge=0, le=LAST_INCARNATION)]
Number: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
State: TypeAlias = Annotated[int, Meta(ge=0, le=3)]

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")


class Update(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One member's state at one incarnation, as ``by`` says; of two, the greater ``order`` holds."""

    name: Name
    address: Address
    incarnation: Incarnation
    state: State
    by: Name

    @property
    def order(self) -> tuple[int, int]:
        """The rule for copies that differ: incarnation first, then alive < suspect < dead < left."""
        return self.incarnation, self.state


News: TypeAlias = Annotated[tuple[Update, ...], Meta(max_length=64)]


class _Message(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    cluster: Cluster
    sender: Name
    news: News


class Ping(_Message, frozen=True, tag=1):
    """Asks ``target`` for an Ack with the same number; any other member that reads it stays silent."""

    number: Number
    target: Name


class Ack(_Message, frozen=True, tag=2):
    """Answers a Ping, or a PingReq whose target has answered the helper."""

    number: Number


class PingReq(_Message, frozen=True, tag=3):
    """Asks the reader to ping the target, and to pass its Ack on or say Nack (Lifeguard, section IV-A)."""

    number: Number
    target: Name
    address: Address


class Nack(_Message, frozen=True, tag=4):
    """The helper is there and has asked, but has not been answered in time."""

    number: Number


class Sync(_Message, frozen=True, tag=5):
    """Opens a push-pull: a digest of the sender's view; one whose own differs answers with View messages."""

    digest: Number


class View(_Message, frozen=True, tag=6):
    """A part of the sender's view, as news; ``back`` asks for the reader's own view in return."""

    back: bool


Message: TypeAlias = Ping | Ack | PingReq | Nack | Sync | View


class Malformed(Exception):
    """A datagram that is no message of this protocol."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the datagram."""
    return _encoder.encode(message)


def size(update: Update) -> int:
    """Return how many bytes of a datagram an update takes."""
    return len(_encoder.encode(update))


def decode(datagram: bytes) -> Message:
    """Read a datagram; raise Malformed for all that is not wholly right."""
    return checked(_decoder, datagram)


def checked(decoder: msgspec.msgpack.Decoder[T], datagram: bytes) -> T:
    """Read a datagram of any protocol among members; raise Malformed for all that is not wholly right."""
    if len(datagram) > LARGEST:
        raise Malformed(f"{len(datagram)} bytes")
    try:
        return decoder.decode(datagram)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise Malformed(str(error)) from None
