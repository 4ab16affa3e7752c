"""Messages of the membership protocol: MessagePack arrays, one per datagram, every field validated; pure.

Each message begins with the cluster's name, the sender's name and piggybacked updates on members (SWIM,
section 4.1).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeAlias

from msgspec import Meta

from fordstair.runtime.message_codec import MessageCodec, WireMessage

MAX_DATAGRAM_BYTES = 1_400  # below the usual path MTU, to avoid fragmentation
MAX_INCARNATION = 2**62
MAX_UPDATES_PER_MESSAGE = 64

Cluster: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
MemberName: TypeAlias = Annotated[str, Meta(pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z")]
Address: TypeAlias = Annotated[
    str, Meta(pattern=r"\A[^\s:/]+:[0-9]{1,5}\Z|\A\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}\Z", max_length=80)
]
Incarnation: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
SequenceNumber: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Digest: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]


class MemberState(IntEnum):
    """A member's state as other members see it; at equal incarnations the greater one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The state's name in logs and on the console."""
        return self.name.lower()


class Update(WireMessage, frozen=True):
    """One member's state at one incarnation, as reported by ``reporter``."""

    name: MemberName
    address: Address
    incarnation: Incarnation
    state: MemberState
    reporter: MemberName

    @property
    def precedence(self) -> tuple[int, int]:
        """The key by which updates are ordered: incarnation first, then alive < suspect < dead < left."""
        return self.incarnation, self.state


class _Message(WireMessage, frozen=True):
    cluster: Cluster
    sender: MemberName
    updates: Annotated[tuple[Update, ...], Meta(max_length=MAX_UPDATES_PER_MESSAGE)]

    @property
    def text_bytes(self) -> int:
        """The size in bytes of the strings that follow the updates."""
        return 0


class Ping(_Message, frozen=True, tag=1):
    """Asks ``target`` for an Ack with the same sequence number; any other recipient ignores it."""

    sequence: SequenceNumber
    target: MemberName

    @property
    def text_bytes(self) -> int:
        """The size in bytes of the target's name."""
        return len(self.target)


class Ack(_Message, frozen=True, tag=2):
    """Answers a Ping, or an IndirectPing whose target has answered the relay."""

    sequence: SequenceNumber


class IndirectPing(_Message, frozen=True, tag=3):
    """Asks the recipient to ping the target and to answer with Ack or Nack (SWIM's ping-req)."""

    sequence: SequenceNumber
    target: MemberName
    address: Address

    @property
    def text_bytes(self) -> int:
        """The size in bytes of the target's name and address."""
        return len(self.target) + len(self.address)


class Nack(_Message, frozen=True, tag=4):
    """Answers an IndirectPing whose target has not answered the relay in time (Lifeguard, section IV-A)."""

    sequence: SequenceNumber


class PushPull(_Message, frozen=True, tag=5):
    """Initiates a push-pull: a recipient whose table has another digest sends its table."""

    digest: Digest


class TablePart(_Message, frozen=True, tag=6):
    """A part of the sender's member table; with ``reply_requested`` the recipient returns its own table."""

    reply_requested: bool


Message: TypeAlias = Ping | Ack | IndirectPing | Nack | PushPull | TablePart

_codec = MessageCodec[Message](Message, MAX_DATAGRAM_BYTES)
_update_codec = MessageCodec[Update](Update, MAX_DATAGRAM_BYTES)

encode = _codec.encode
decode = _codec.decode  # raises MalformedMessageError


def encoded_bytes(update: Update) -> int:
    """Return the encoded size of an update."""
    return len(_update_codec.encode(update))
