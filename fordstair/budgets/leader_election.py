"""Leader elections as seen by a candidate or leader; pure."""

from __future__ import annotations

import math

from fordstair.budgets.context import MemberContext
from fordstair.budgets.lease_grants import LeaseGrants
from fordstair.budgets.messages import MemberId, VoteReply, VoteRequest, VoteWithdrawal
from fordstair.budgets.plan import BudgetPlan
from fordstair.budgets.voter import Voter

# Vote requests during ``leadership_ms``: four in a row may be lost before the leadership is.
RENEWALS_PER_LEADERSHIP = 5.0
RENEWAL_JITTER_FACTORS = (0.9, 1.1)
# A candidate must win its majority within this fraction of ``leadership_ms``.
ELECTION_TIMEOUT_FACTOR = 0.4
# Bounds of the random delay before the next candidacy, as fractions of ``leadership_ms``. The delays of two
# candidates differ, so that one is first.
RETRY_DELAY_FACTORS = (0.05, 0.5)


class Candidacy:
    """The promises that one candidate holds in one term. A renewed promise counts from its renewal."""

    def __init__(self, plan: BudgetPlan, term: int) -> None:
        self.term = term
        self.majority = len(plan.voters) // 2 + 1
        self.refusals: set[str] = set()
        self._plan = plan
        self._promised_until_ms: dict[str, float] = {}  # voter -> expiry by the candidate's clock

    def record_promise(self, voter: str, requested_ms: float) -> None:
        """Record a voter's promise; it counts from ``requested_ms``, when the answered request was sent."""
        until_ms = requested_ms + self._plan.leadership_ms
        self._promised_until_ms[voter] = max(self._promised_until_ms.get(voter, 0.0), until_ms)

    @property
    def leads_until_ms(self) -> float:
        """The time until which the promises of a majority are certain to hold; 0 without a majority."""
        times_ms = sorted(self._promised_until_ms.values(), reverse=True)
        return times_ms[self.majority - 1] if len(times_ms) >= self.majority else 0.0


class LeaderElection:
    """Runs the candidacies of one member, and holds its grants while it leads.

    Invariant, one leader: a member leads only while the promises of a majority of the voters are certain to
    hold. Its grants are dropped with its leadership, so that the next leadership learns the leases in force
    before it grants.

    Attributes:
        candidacy: The present candidacy, which continues during the leadership; None if there is none.
        grants: The leases granted; also set for a moment after the leadership has expired.
    """

    def __init__(self, context: MemberContext) -> None:
        self.candidacy: Candidacy | None = None
        self.grants: LeaseGrants | None = None
        self._context = context
        self._voter: Voter | None = None
        self._sequence = 0
        self._term = 0  # greatest term seen
        self._requested_ms: dict[int, float] = {}  # sequence number of a vote request -> time of sending
        self._campaign_due_ms = math.inf
        self._election_timeout_ms = math.inf

    @property
    def next_due_ms(self) -> float:
        """The time of the next due ``tick``; infinite if none is due."""
        return min(self._campaign_due_ms, self._election_timeout_ms)

    def leads(self, now_ms: float) -> bool:
        """Return True if this member is certain to lead now."""
        return (
            self.candidacy is not None and self.grants is not None and now_ms < self.candidacy.leads_until_ms
        )

    def start(self, voter: Voter) -> None:
        """Start for a member that is a voter; it becomes a candidate once it may vote itself."""
        self._voter = voter
        self._campaign_due_ms = voter.silent_until_ms + self._retry_delay_ms()

    def tick(self, now_ms: float) -> None:
        """Withdraw a candidacy that timed out, and request votes or renewals if due."""
        if now_ms >= self._election_timeout_ms:
            self._withdraw(now_ms)
        if now_ms >= self._campaign_due_ms:
            self._campaign(now_ms)

    def step_down(self, now_ms: float) -> None:
        """Withdraw the candidacy and release all promises; the next leader learns the leases granted here."""
        if self.candidacy is not None:
            self._withdraw(now_ms)
            self.grants = None

    def receive_vote(self, now_ms: float, reply: VoteReply) -> bool:
        """Handle a voter's reply; return True if this member becomes the leader."""
        self._end_expired_leadership(now_ms)
        requested_ms = self._requested_ms.get(reply.sequence)
        if self.candidacy is None or requested_ms is None or reply.sender not in self._context.plan.voters:
            return False
        self._term = max(self._term, reply.term)
        if not reply.promised:
            self._handle_refusal(now_ms, self.candidacy, reply)
            return False
        if reply.term != self.candidacy.term:  # promised to an earlier candidacy, withdrawn since
            return False
        self.candidacy.record_promise(reply.sender, requested_ms)
        if self.grants is not None or now_ms >= self.candidacy.leads_until_ms:
            return False
        self._begin_leadership(now_ms)
        return True

    def _campaign(self, now_ms: float) -> None:
        """Request promises or renewals from all voters, unless this voter has promised another member."""
        assert self._voter is not None
        self._end_expired_leadership(now_ms)
        if self.candidacy is None:
            promise = self._voter.promise(now_ms)
            if promise is not None and promise.leader != self._context.member:
                self._campaign_due_ms = promise.until_ms + self._retry_delay_ms()
                return
            self.candidacy = self._new_candidacy(now_ms)
        self._request_votes(now_ms, self.candidacy)
        renewal_ms = self._context.plan.leadership_ms / RENEWALS_PER_LEADERSHIP
        self._campaign_due_ms = now_ms + renewal_ms * self._context.random.uniform(*RENEWAL_JITTER_FACTORS)

    def _new_candidacy(self, now_ms: float) -> Candidacy:
        """Return a candidacy in a term above any seen; the clock exceeds the terms of earlier processes."""
        assert self._voter is not None
        self._term = max(self._term, self._voter.term, int(now_ms)) + 1
        self._requested_ms = {}
        self._election_timeout_ms = now_ms + self._context.plan.leadership_ms * ELECTION_TIMEOUT_FACTOR
        self._context.counts["candidacies"] += 1
        return Candidacy(self._context.plan, self._term)

    def _request_votes(self, now_ms: float, candidacy: Candidacy) -> None:
        leadership_ms = self._context.plan.leadership_ms
        self._sequence = (self._sequence + 1) % 2**32
        self._requested_ms = {
            sequence: at_ms
            for sequence, at_ms in self._requested_ms.items()
            if now_ms - at_ms < leadership_ms
        }
        self._requested_ms[self._sequence] = now_ms
        request = VoteRequest(*self._context.header(self._sequence), candidacy.term)
        for voter in self._context.plan.voters:
            self._context.outbox.send(voter, request)

    def _begin_leadership(self, now_ms: float) -> None:
        self._election_timeout_ms = math.inf
        self.grants = LeaseGrants(self._context.plan, now_ms, self._context.counts)
        self._context.known_leader = self._context.member.name
        self._context.counts["elected"] += 1

    def _end_expired_leadership(self, now_ms: float) -> None:
        """End the leadership once the promises may have expired, even if they are renewed right afterwards.

        Another member may have led in between, so a member that leads again must learn again.
        """
        if self.grants is not None and self.candidacy is not None and not self.leads(now_ms):
            self._context.counts["deposed"] += 1
            self.candidacy = None
            self.grants = None
            self._election_timeout_ms = math.inf

    def _handle_refusal(self, now_ms: float, candidacy: Candidacy, reply: VoteReply) -> None:
        candidacy.refusals.add(reply.sender)
        self._context.learn_leader(reply.leader)
        if self.grants is None and len(candidacy.refusals) >= candidacy.majority:
            self._withdraw(now_ms)

    def _withdraw(self, now_ms: float) -> None:
        """Release all promises, and schedule the next candidacy after a random delay."""
        assert self.candidacy is not None
        withdrawal = VoteWithdrawal(*self._context.header(0), self.candidacy.term)
        for voter in self._context.plan.voters:
            self._context.outbox.send(voter, withdrawal)
        self.candidacy = None
        self._election_timeout_ms = math.inf
        self._campaign_due_ms = now_ms + self._retry_delay_ms()

    def _retry_delay_ms(self) -> float:
        return self._context.plan.leadership_ms * self._context.random.uniform(*RETRY_DELAY_FACTORS)


def answer_vote_request(
    context: MemberContext, voter: Voter, now_ms: float, request: VoteRequest, candidate: MemberId
) -> None:
    """Vote on a request, and send the reply to the candidate."""
    promised = voter.vote(now_ms, candidate, request.term)
    promise = voter.promise(now_ms)
    leader = promise.leader.name if promise is not None else None
    term = request.term if promised else voter.term
    reply = VoteReply(*context.header(request.sequence), promised, term, leader)
    context.outbox.send(candidate.name, reply)
    context.learn_leader(leader)
