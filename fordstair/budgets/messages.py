"""The budgets' messages: MessagePack arrays over UDP, every field checked; pure.

Every datagram carries the digest of the sender's plan, so that a member with another plan is refused. Amounts
are in the units of the plan's limits, in their order.
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
ElectionTerm: TypeAlias = Incarnation  # a number that grows with each candidacy


class MemberId(NamedTuple):
    """One process of a member: a restart is another one."""

    name: str
    incarnation: int


class _Message(WireMessage, frozen=True):
    plan_digest: Annotated[int, Meta(ge=0, lt=2**48)]
    sender: MemberName
    incarnation: Incarnation  # of the sender
    sequence: SequenceNumber  # of the request; its answer has the same

    @property
    def sender_id(self) -> MemberId:
        """Which process sent it."""
        return MemberId(self.sender, self.incarnation)


class VoteRequest(_Message, frozen=True, tag=1):
    """Asks for a promise to follow nobody else for a while."""

    term: ElectionTerm


class VoteReply(_Message, frozen=True, tag=2):
    """Answers a VoteRequest."""

    promised: bool
    term: ElectionTerm  # the request's own where promised, else the greatest that the voter has heard of
    leader: MemberName | None  # who has the voter's promise


class VoteWithdrawal(_Message, frozen=True, tag=3):
    """Gives a promise back: the candidacy has failed, or the leader steps down."""

    term: ElectionTerm


class LeaseRequest(_Message, frozen=True, tag=4):
    """Asks the leader for leases; the sender takes no answer to an earlier request from now on."""

    applied: SequenceNumber  # the request whose answer is in force; 0: none
    leased: Units  # what that answer granted; empty: nothing
    in_use: Units  # beyond the floor; may be more than is leased since the lease has shrunk
    needed: Units  # in use and waited for, beyond the floor
    wanted: Units  # could be used, beyond the floor
    leaving: bool  # the sender gives everything back


class LeaseGrant(_Message, frozen=True, tag=5):
    """The leader's answer: units for the plan's ``lease_ms``, counted from the sending of the request."""

    term: ElectionTerm
    units: Units


class LeaderRedirect(_Message, frozen=True, tag=6):
    """The reader of a LeaseRequest does not lead; ``leader`` does, as far as it knows."""

    leader: MemberName | None


Message: TypeAlias = VoteRequest | VoteReply | VoteWithdrawal | LeaseRequest | LeaseGrant | LeaderRedirect

_codec = MessageCodec[Message](Message, MAX_DATAGRAM_BYTES)

encode = _codec.encode
decode = _codec.decode  # raises MalformedMessageError
