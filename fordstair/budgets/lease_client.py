"""When one member requests leases, of whom, and what it makes of the answers; pure."""

from __future__ import annotations

import math
from collections.abc import Callable

from fordstair.budgets.context import MemberContext
from fordstair.budgets.demand import Demand
from fordstair.budgets.leader_election import LeaderElection
from fordstair.budgets.lease_holder import Allotment, LeaseHolder
from fordstair.budgets.messages import LeaderRedirect, LeaseGrant

REQUEST_JITTER_FACTORS = (0.9, 1.1)
MIN_REQUEST_INTERVAL_MS = 100.0  # however fast demand changes
MIN_ANSWER_TIMEOUT_FACTOR = 0.05  # of a lease's time, after which another voter is asked
MAX_ANSWER_TIMEOUT_FACTOR = 0.25  # the same, after backoff
ROUND_TRIP_FACTOR = 3.0  # of the last round trip: the timeout is at least that
EARLY_REQUEST_GROWTH = 1.25  # demand that grew by more than this factor is reported early


class LeaseClient:
    """Renews one member's leases with the leader; where it is not known, other voters are asked in turn."""

    def __init__(self, context: MemberContext, election: LeaderElection) -> None:
        plan = context.plan
        self.holder = LeaseHolder(plan, context.member)
        full = tuple(limit.units for limit in plan.limits)
        self.demand_source: Callable[[], Demand] = lambda: Demand(full, plan.nothing, plan.nothing)
        self.on_allotment: Callable[[Allotment], None] = lambda allotment: None
        self._context = context
        self._election = election
        self._request_due_ms = math.inf
        self._answer_timeout_ms = math.inf  # when the last request counts as unanswered
        self._reported = self.holder.requirements
        self._min_timeout_ms = max(MIN_REQUEST_INTERVAL_MS, MIN_ANSWER_TIMEOUT_FACTOR * plan.lease_ms)
        self._timeout_ms = self._min_timeout_ms
        self._next_voter = 0

    @property
    def next_due_ms(self) -> float:
        """When ``tick`` is wanted next; infinite where it is not."""
        return min(self._request_due_ms, self._answer_timeout_ms)

    def start(self, now_ms: float) -> None:
        """Send the first request soon."""
        self._request_due_ms = now_ms + self._context.random.random() * MIN_REQUEST_INTERVAL_MS

    def request_now(self, now_ms: float) -> None:
        """Let the next request be due at once."""
        self._request_due_ms = now_ms

    def observe_demand(self, now_ms: float) -> None:
        """Look whether demand has grown much since it was reported; then request early."""
        self.holder.set_demand(self.demand_source())
        if any(
            present > EARLY_REQUEST_GROWTH * reported
            for present, reported in zip(self.holder.requirements, self._reported, strict=True)
        ):
            self._request_early(max(now_ms, self.holder.requested_ms + MIN_REQUEST_INTERVAL_MS))

    def tick(self, now_ms: float) -> None:
        """Do what is due."""
        if now_ms >= self._answer_timeout_ms:
            self._unanswered(now_ms)
        if now_ms >= self._request_due_ms:
            self.send_request(now_ms)

    def send_request(self, now_ms: float, *, leaving: bool = False) -> None:
        """Send a request to the leader, or to a voter that may know it."""
        self.holder.set_demand(self.demand_source())
        self._reported = self.holder.requirements
        request = self.holder.request(now_ms, leaving=leaving)
        jitter = self._context.random.uniform(*REQUEST_JITTER_FACTORS)
        self._request_due_ms = now_ms + self._context.plan.request_interval_ms * jitter
        recipient = self._recipient(now_ms)
        if recipient is None:
            return
        self._answer_timeout_ms = now_ms + self._timeout_ms
        self._context.counts["lease_requests"] += 1
        self._context.outbox.send(recipient, request)

    def receive_grant(self, now_ms: float, grant: LeaseGrant) -> None:
        """Take the leader's answer; one that is late, or not to the last request, is counted and dropped."""
        before = self.holder.leased if now_ms < self.holder.until_ms else ()
        allotment = self.holder.apply_grant(now_ms, grant.sequence, grant.units)
        if allotment is None:
            self._context.counts["grants_late"] += 1
            return
        self._context.known_leader = grant.sender
        self._answer_timeout_ms = math.inf
        round_trip_ms = now_ms - self.holder.requested_ms
        self._timeout_ms = self._bounded(max(self._min_timeout_ms, ROUND_TRIP_FACTOR * round_trip_ms))
        if any(new < old for new, old in zip(grant.units, before, strict=False)):
            # What was given back is free for others once the leader hears that this lease is in force.
            self._request_early(now_ms + MIN_REQUEST_INTERVAL_MS)
        self.on_allotment(allotment)

    def receive_redirect(self, now_ms: float, redirect: LeaderRedirect) -> None:
        """Follow a voter's word on who leads, where it is news and the last request is unanswered."""
        if redirect.sequence != self.holder.sequence or math.isinf(self._answer_timeout_ms):
            return
        before = self._context.known_leader
        self._context.heard_of_leader(redirect.leader)
        if self._context.known_leader not in ("", before):
            self._answer_timeout_ms = math.inf
            self._request_early(now_ms + MIN_REQUEST_INTERVAL_MS)

    def _request_early(self, due_ms: float) -> None:
        self._request_due_ms = min(self._request_due_ms, due_ms)

    def _unanswered(self, now_ms: float) -> None:
        """Ask another voter who leads, with a longer timeout: on a slow path answers come later."""
        self._context.counts["requests_unanswered"] += 1
        self._context.known_leader = ""
        self._answer_timeout_ms = math.inf
        self._request_due_ms = now_ms
        self._timeout_ms = self._bounded(2.0 * self._timeout_ms)

    def _bounded(self, timeout_ms: float) -> float:
        return min(MAX_ANSWER_TIMEOUT_FACTOR * self._context.plan.lease_ms, timeout_ms)

    def _recipient(self, now_ms: float) -> str | None:
        """Return whom to ask: the leader, or else the voters in turn; None where there is nobody else."""
        own_name = self._context.member.name
        if self._election.leads(now_ms):
            return own_name
        if self._context.known_leader not in ("", own_name):
            return self._context.known_leader
        others = [voter for voter in self._context.plan.voters if voter != own_name]
        if not others:
            return None
        self._next_voter += 1
        return others[(self._next_voter + spreading_number(own_name)) % len(others)]


def spreading_number(name: str) -> int:
    """Return a number that spreads members over the voters, the same at each start."""
    return sum(name.encode()) * 7_919
