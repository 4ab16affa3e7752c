"""One member of the fleet's budgets, as a state machine without clock or socket.

The driver passes each event with its time, in milliseconds of a clock that never goes back and continues
while the process is stopped, and sends the datagrams that ``outgoing`` returns. Nothing here relies on the
membership protocol: the two sides of a partition may consider each other dead, and no allotment may grow
because of that.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from random import Random

from fordstair.budgets.context import MemberContext, Outbox
from fordstair.budgets.demand import Amounts
from fordstair.budgets.leader_election import LeaderElection, answer_vote_request
from fordstair.budgets.lease_client import LeaseClient
from fordstair.budgets.messages import (
    LeaderRedirect,
    LeaseGrant,
    LeaseRequest,
    MemberId,
    Message,
    VoteReply,
    VoteRequest,
    VoteWithdrawal,
    decode,
)
from fordstair.budgets.plan import BudgetPlan
from fordstair.budgets.voter import Voter
from fordstair.runtime.message_codec import MalformedMessageError


class BudgetMember:
    """A lease holder; a member that is a voter also votes, and may lead and grant leases.

    Attributes:
        voter: This member's voter once started; None if the member is no voter.
    """

    def __init__(
        self,
        plan: BudgetPlan,
        name: str,
        incarnation: int,
        voter_addresses: Mapping[str, str],
        seed: int,
    ) -> None:
        self.plan = plan
        self.id = MemberId(name, incarnation)
        self.has_left = False
        self.voter: Voter | None = None
        self._outbox = Outbox(name, voter_addresses)
        self._context = MemberContext(plan, self.id, self._outbox, Random(seed))
        self.election = LeaderElection(self._context)
        self.lease_client = LeaseClient(self._context, self.election)

    @property
    def name(self) -> str:
        """The member's name."""
        return self.id.name

    @property
    def counts(self) -> Counter[str]:
        """Counters of requests, grants, elections and other events."""
        return self._context.counts

    @property
    def known_leader(self) -> str:
        """The name of the last known leader; empty if unknown."""
        return self._context.known_leader

    @property
    def next_due(self) -> float | None:
        """The time of the next due ``tick`` (ms); None before the start and after a leave."""
        due_ms = min(self.lease_client.next_due_ms, self.election.next_due_ms)
        return None if self.has_left or math.isinf(due_ms) else due_ms

    def allotment(self, now_ms: float) -> Amounts:
        """Return the units of each limit that this member may use now."""
        return self.lease_client.holder.allotment(now_ms)

    def leads(self, now_ms: float) -> bool:
        """Return True if this member is certain to lead now."""
        return self.election.leads(now_ms)

    def start(self, now_ms: float) -> None:
        """Start; a voter votes for no candidate until the promises of an earlier process have expired."""
        if self.name in self.plan.voters:
            self.voter = Voter(self.plan, now_ms)
            self.election.start(self.voter)
        self.lease_client.start(now_ms)

    def leave(self, now_ms: float) -> None:
        """Return all leases and promises; this member requests, uses and promises nothing afterwards."""
        if not self.has_left:
            self.lease_client.send_request(now_ms, leaving=True)
            self._handle_looped_back(now_ms)
            self.election.step_down(now_ms)
            self.has_left = True

    def observe_demand(self, now_ms: float) -> None:
        """Schedule an early lease request if demand has grown much since the last report."""
        self.lease_client.observe_demand(now_ms)

    def receive(self, now_ms: float, datagram: bytes, source: str) -> None:
        """Handle a datagram from an address; count and drop one that is malformed or of another plan."""
        try:
            message = decode(datagram)
        except MalformedMessageError:
            self.counts["malformed"] += 1
            return
        if message.plan_digest != self.plan.digest:
            self.counts["other_plan"] += 1
            return
        if not self.has_left:
            self._dispatch(now_ms, message, source)
            self._handle_looped_back(now_ms)

    def tick(self, now_ms: float) -> None:
        """Run the due actions of the election and the lease client."""
        if not self.has_left:
            self.election.tick(now_ms)
            self.lease_client.tick(now_ms)
            self._handle_looped_back(now_ms)

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams to send, each with its address."""
        return self._outbox.take()

    def _handle_looped_back(self, now_ms: float) -> None:
        """Handle the messages that this member has sent to itself."""
        while (message := self._outbox.take_looped_back()) is not None:
            self._dispatch(now_ms, message, "")

    def _dispatch(self, now_ms: float, message: Message, source: str) -> None:
        """Handle a message; ``source`` is the sender's address, or empty for this member itself."""
        match message:
            case VoteRequest():
                if self.voter is not None and message.sender in self.plan.voters:
                    answer_vote_request(self._context, self.voter, now_ms, message, message.sender_id)
            case VoteReply():
                if self.election.receive_vote(now_ms, message):
                    self.lease_client.request_now(now_ms)
            case VoteWithdrawal():
                if self.voter is not None:
                    self.voter.withdraw(message.sender_id, message.term)
            case LeaseRequest():
                self._answer_lease_request(now_ms, message, source)
            case LeaseGrant():
                self.lease_client.receive_grant(now_ms, message)
            case LeaderRedirect():
                self.lease_client.receive_redirect(now_ms, message)

    def _answer_lease_request(self, now_ms: float, request: LeaseRequest, source: str) -> None:
        """Grant leases if this member leads; otherwise redirect to the leader."""
        header = self._context.header(request.sequence)
        candidacy = self.election.candidacy
        grants = self.election.grants
        if candidacy is None or grants is None or not self.leads(now_ms):
            self._outbox.reply(request.sender, source, LeaderRedirect(*header, self._promised_leader(now_ms)))
            return
        units = grants.grant(now_ms, request.sender_id, request)
        if units is not None and not request.leaving:
            self._outbox.reply(request.sender, source, LeaseGrant(*header, candidacy.term, units))

    def _promised_leader(self, now_ms: float) -> str | None:
        """Return the name of the other member that has this voter's promise, or None."""
        promise = self.voter.promise(now_ms) if self.voter is not None else None
        return promise.leader.name if promise is not None and promise.leader.name != self.name else None
