"""Requests and renews one member's leases; pure."""

from __future__ import annotations

import math
from collections.abc import Callable

from fordstair.budgets.context import MemberContext
from fordstair.budgets.demand import Demand
from fordstair.budgets.leader_election import LeaderElection
from fordstair.budgets.lease_holder import Allotment, LeaseHolder
from fordstair.budgets.messages import LeaderRedirect, LeaseGrant

REQUEST_JITTER_FACTORS = (0.9, 1.1)
# Shortest interval between a request and an early one, however fast demand changes.
MIN_REQUEST_INTERVAL_MS = 100.0
# Bounds of the answer timeout, as fractions of ``lease_ms``; after a timeout another voter is asked.
MIN_ANSWER_TIMEOUT_FACTOR = 0.05
MAX_ANSWER_TIMEOUT_FACTOR = 0.25
ROUND_TRIP_FACTOR = 3.0  # lowest timeout as a multiple of the last round trip
EARLY_REQUEST_GROWTH = 1.25  # growth factor of demand beyond which it is reported early


class LeaseClient:
    """Renews one member's leases with the leader; while the leader is unknown, asks the other voters in turn.

    Attributes:
        demand_source: Returns the present demand; every request reports it.
        on_allotment: Called with each new allotment.
    """

    def __init__(self, context: MemberContext, election: LeaderElection) -> None:
        plan = context.plan
        self.holder = LeaseHolder(plan, context.member)
        all_units = tuple(limit.units for limit in plan.limits)
        self.demand_source: Callable[[], Demand] = lambda: Demand(all_units, plan.zero_units, plan.zero_units)
        self.on_allotment: Callable[[Allotment], None] = lambda allotment: None
        self._context = context
        self._election = election
        self._request_due_ms = math.inf
        self._answer_timeout_ms = math.inf
        self._reported_demand = self.holder.wanted_and_needed
        self._min_timeout_ms = max(MIN_REQUEST_INTERVAL_MS, MIN_ANSWER_TIMEOUT_FACTOR * plan.lease_ms)
        self._timeout_ms = self._min_timeout_ms
        self._next_voter = 0

    @property
    def next_due_ms(self) -> float:
        """The time of the next due ``tick``; infinite if none is due."""
        return min(self._request_due_ms, self._answer_timeout_ms)

    def start(self, now_ms: float) -> None:
        """Schedule the first request within MIN_REQUEST_INTERVAL_MS."""
        self._request_due_ms = now_ms + self._context.random.random() * MIN_REQUEST_INTERVAL_MS

    def request_now(self, now_ms: float) -> None:
        """Make the next request due immediately."""
        self._request_due_ms = now_ms

    def observe_demand(self, now_ms: float) -> None:
        """Schedule an early request if demand has grown beyond EARLY_REQUEST_GROWTH since the last report."""
        self.holder.set_demand(self.demand_source())
        if any(
            present > EARLY_REQUEST_GROWTH * reported
            for present, reported in zip(self.holder.wanted_and_needed, self._reported_demand, strict=True)
        ):
            self._request_early(max(now_ms, self.holder.requested_ms + MIN_REQUEST_INTERVAL_MS))

    def tick(self, now_ms: float) -> None:
        """Handle an answer timeout, and send a request, if due."""
        if now_ms >= self._answer_timeout_ms:
            self._handle_answer_timeout(now_ms)
        if now_ms >= self._request_due_ms:
            self.send_request(now_ms)

    def send_request(self, now_ms: float, *, leaving: bool = False) -> None:
        """Send a request to the leader, or to a voter that may know the leader."""
        self.holder.set_demand(self.demand_source())
        self._reported_demand = self.holder.wanted_and_needed
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
        """Apply the leader's answer; one that is late, or not to the last request, is counted and dropped."""
        before = self.holder.leased if now_ms < self.holder.until_ms else ()
        allotment = self.holder.apply_grant(now_ms, grant.sequence, grant.units)
        if allotment is None:
            self._context.counts["grants_late"] += 1
            return
        self._context.known_leader = grant.sender
        self._answer_timeout_ms = math.inf
        round_trip_ms = now_ms - self.holder.requested_ms
        self._timeout_ms = self._capped_timeout_ms(
            max(self._min_timeout_ms, ROUND_TRIP_FACTOR * round_trip_ms)
        )
        if any(new < old for new, old in zip(grant.units, before, strict=False)):
            # The leader can grant the units given back once a request reports that this lease is in force.
            self._request_early(now_ms + MIN_REQUEST_INTERVAL_MS)
        self.on_allotment(allotment)

    def receive_redirect(self, now_ms: float, redirect: LeaderRedirect) -> None:
        """Follow a redirect if it names a leader not known before and the last request is unanswered."""
        if redirect.sequence != self.holder.sequence or math.isinf(self._answer_timeout_ms):
            return
        before = self._context.known_leader
        self._context.learn_leader(redirect.leader)
        if self._context.known_leader not in ("", before):
            self._answer_timeout_ms = math.inf
            self._request_early(now_ms + MIN_REQUEST_INTERVAL_MS)

    def _request_early(self, due_ms: float) -> None:
        self._request_due_ms = min(self._request_due_ms, due_ms)

    def _handle_answer_timeout(self, now_ms: float) -> None:
        """Retry at once with another voter, and double the timeout, since a slow path delays answers."""
        self._context.counts["requests_unanswered"] += 1
        self._context.known_leader = ""
        self._answer_timeout_ms = math.inf
        self._request_due_ms = now_ms
        self._timeout_ms = self._capped_timeout_ms(2.0 * self._timeout_ms)

    def _capped_timeout_ms(self, timeout_ms: float) -> float:
        return min(MAX_ANSWER_TIMEOUT_FACTOR * self._context.plan.lease_ms, timeout_ms)

    def _recipient(self, now_ms: float) -> str | None:
        """Return the known leader, or else the next of the other voters; None if there is no other voter."""
        own_name = self._context.member.name
        if self._election.leads(now_ms):
            return own_name
        if self._context.known_leader not in ("", own_name):
            return self._context.known_leader
        others = [voter for voter in self._context.plan.voters if voter != own_name]
        if not others:
            return None
        self._next_voter += 1
        return others[(self._next_voter + voter_offset(own_name)) % len(others)]


def voter_offset(name: str) -> int:
    """Return a number that spreads members over the voters; it is the same after each restart."""
    return sum(name.encode()) * 7_919
