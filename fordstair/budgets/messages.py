"""Messages of the budgets protocol: MessagePack arrays over UDP, with every field validated; pure.

Every datagram carries the digest of the sender's plan, so that messages of a member with another plan are
dropped. Amounts are in the units of the plan's limits, in their order.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypeAlias

from msgspec import Meta

from fordstair.budgets.plan import MAX_LIMITS
from fordstair.membership.messages import MAX_DATAGRAM_BYTES, Incarnation, MemberName, SequenceNumber
from fordstair.runtime.message_codec import MessageCodec, WireMessage

MAX_UNITS = 10**12

Unit: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_UNITS)]
Units: TypeAlias = Annotated[tuple[Unit, ...], Meta(max_length=MAX_LIMITS)]
ElectionTerm: TypeAlias = Incarnation  # increases with each candidacy


class MemberId(NamedTuple):
    """One process of a member; a restart has a new incarnation."""

    name: str
    incarnation: int


class _Message(WireMessage, frozen=True):
    """Fields common to all messages.

    Attributes:
        incarnation: Incarnation of the sender.
        sequence: Sequence number of the request; an answer repeats its request's number.
    """

    plan_digest: Annotated[int, Meta(ge=0, lt=2**48)]
    sender: MemberName
    incarnation: Incarnation
    sequence: SequenceNumber

    @property
    def sender_id(self) -> MemberId:
        """The process that sent the message."""
        return MemberId(self.sender, self.incarnation)


class VoteRequest(_Message, frozen=True, tag=1):
    """Requests a promise to follow no other leader for ``promise_ms`` of the plan."""

    term: ElectionTerm


class VoteReply(_Message, frozen=True, tag=2):
    """Answers a VoteRequest.

    Attributes:
        term: The request's term if promised, else the greatest term that the voter has promised.
        leader: The member that has the voter's promise.
    """

    promised: bool
    term: ElectionTerm
    leader: MemberName | None


class VoteWithdrawal(_Message, frozen=True, tag=3):
    """Releases a promise: the candidacy has failed, or the leader steps down."""

    term: ElectionTerm


class LeaseRequest(_Message, frozen=True, tag=4):
    """Requests leases from the leader; the sender accepts no answer to an earlier request from now on.

    Attributes:
        applied: Sequence number of the request whose answer is in force; 0 if none is.
        leased: Units granted by that answer; empty if nothing is leased.
        in_use: Units in use beyond the floors; may exceed ``leased`` after the lease has shrunk.
        needed: Units in use and waited for, beyond the floors.
        wanted: Units that could be used, beyond the floors.
        leaving: True if the sender returns all leases.
    """

    applied: SequenceNumber
    leased: Units
    in_use: Units
    needed: Units
    wanted: Units
    leaving: bool


class LeaseGrant(_Message, frozen=True, tag=5):
    """Grants units for the ``lease_ms`` of the plan, counted from the sending of the request."""

    term: ElectionTerm
    units: Units


class LeaderRedirect(_Message, frozen=True, tag=6):
    """Answers a LeaseRequest to a member that does not lead; names the leader if that member knows it."""

    leader: MemberName | None


Message: TypeAlias = VoteRequest | VoteReply | VoteWithdrawal | LeaseRequest | LeaseGrant | LeaderRedirect

_codec = MessageCodec[Message](Message, MAX_DATAGRAM_BYTES)

encode = _codec.encode
decode = _codec.decode  # raises MalformedMessageError
