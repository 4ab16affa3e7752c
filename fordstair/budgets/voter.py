"""One voter's promises: the side of an election that makes a second leader impossible; pure, no disk.

PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012, sections 3 to 5): a
promise expires by itself, the candidate counts on it from before it asked, and a voter that has just started
votes for nobody until whatever an earlier process of it may have promised has expired. One round here instead
of two: a candidate without a majority gives its promises back and tries again later.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.budgets.messages import MemberId
from fordstair.budgets.plan import BudgetPlan


@dataclass(frozen=True, slots=True)
class Promise:
    """To follow nobody else until a time (ms) by the voter's own clock."""

    leader: MemberId
    term: int
    until_ms: float


class Voter:
    """Invariant, one leader: a voter has at most one promise in force, and a leader needs a majority's."""

    def __init__(self, plan: BudgetPlan, now_ms: float) -> None:
        self.term = 0  # the greatest promised
        self.silent_until_ms = now_ms + plan.promise_ms  # an earlier process may have promised just before
        self._plan = plan
        self._promise: Promise | None = None

    def vote(self, now_ms: float, candidate: MemberId, term: int) -> bool:
        """Promise, or renew a promise; False where another has it yet, or just after the start."""
        promise = self.promise(now_ms)
        if now_ms < self.silent_until_ms or (promise is not None and promise.leader != candidate):
            return False
        if promise is not None:  # an older request that comes late takes nothing off a later term's promise
            term = max(term, promise.term)
        self.term = max(self.term, term)
        self._promise = Promise(candidate, term, now_ms + self._plan.promise_ms)
        return True

    def withdraw(self, candidate: MemberId, term: int) -> None:
        """Drop a promise, as its candidate asks: it never led in this term, or leads no more."""
        if self._promise is not None and (self._promise.leader, self._promise.term) == (candidate, term):
            self._promise = None

    def promise(self, now_ms: float) -> Promise | None:
        """Return the promise that is in force."""
        if self._promise is not None and now_ms >= self._promise.until_ms:
            self._promise = None
        return self._promise
