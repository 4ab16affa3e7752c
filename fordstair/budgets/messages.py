"""What members say to each other about budgets: MessagePack arrays over UDP, every field checked; pure.

Every datagram names the cluster by the digest of its plan, so that a member whose file says otherwise is
refused. Units are those of the plan's budgets, in their order.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

from fordstair.budgets.whole import WHOLES_MOST
from fordstair.membership.messages import MAX_DATAGRAM_BYTES, Incarnation, MemberName, SequenceNumber
from fordstair.runtime.message_codec import MessageCodec

UNITS_MOST = 10**12

Unit: TypeAlias = Annotated[int, Meta(ge=0, le=UNITS_MOST)]
Units: TypeAlias = Annotated[tuple[Unit, ...], Meta(max_length=WHOLES_MOST)]


class _Message(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    plan: Annotated[int, Meta(ge=0, lt=2**48)]
    sender: MemberName
    incarnation: Incarnation  # of the sender's present life
    number: SequenceNumber  # of the question; its answer has the same


class Vote(_Message, frozen=True, tag=1):
    """Asks for a promise to follow nobody else for a term."""

    epoch: Incarnation


class Voted(_Message, frozen=True, tag=2):
    """Answers a Vote: promised, or to whom the promise was given."""

    ok: bool
    epoch: Incarnation  # where promised the vote's own, else the greatest that the voter has heard of
    leader: MemberName | None


class Unvote(_Message, frozen=True, tag=3):
    """Takes a candidacy back that has failed."""

    epoch: Incarnation


class Ask(_Message, frozen=True, tag=4):
    """Asks the leader for shares. From now on the sender takes no answer to an earlier question.

    ``applied`` is the question whose answer is in force, and ``has`` what that gave; 0 and nothing for none.
    ``uses`` is what is out beyond the floor, which may be more than was left to it since; ``needs`` is what
    is out and waits, ``wants`` what could be used, also beyond the floor.
    """

    applied: SequenceNumber
    has: Units
    uses: Units
    needs: Units
    wants: Units
    leaving: bool


class Granted(_Message, frozen=True, tag=5):
    """The leader's answer: shares for a term, counted from when the question was sent."""

    epoch: Incarnation
    units: Units


class Elsewhere(_Message, frozen=True, tag=6):
    """The reader of an Ask is not the leader; who is, as far as it knows."""

    leader: MemberName | None


Message: TypeAlias = Vote | Voted | Unvote | Ask | Granted | Elsewhere

_codec = MessageCodec[Message](Message, MAX_DATAGRAM_BYTES)


def encode(message: Message) -> bytes:
    """Return the datagram."""
    return _codec.encode(message)


def decode(datagram: bytes) -> Message:
    """Read a datagram; raise MalformedMessageError for all that is not wholly right."""
    return _codec.decode(datagram)
