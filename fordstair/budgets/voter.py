"""One voter's promises, which make a second leader impossible; pure, without storage on disk.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012,
sections 3 to 5): a promise expires by itself, the candidate counts it from the sending of its request, and a
voter that has just started votes for no candidate until every promise of an earlier process has expired.
Here is one round instead of two: a candidate without a majority releases its promises and retries later.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.budgets.messages import MemberId
from fordstair.budgets.plan import BudgetPlan


@dataclass(frozen=True, slots=True)
class Promise:
    """Promise to follow no other leader until a time (ms) of the voter's own clock."""

    leader: MemberId
    term: int
    until_ms: float


class Voter:
    """Grants promises to candidates.

    Invariant, one leader: a voter has at most one promise in force, and a leader needs those of a majority.

    Attributes:
        term: The greatest term promised.
        silent_until_ms: Until then this voter promises nothing.
    """

    def __init__(self, plan: BudgetPlan, now_ms: float) -> None:
        self.term = 0
        # An earlier process may have promised immediately before this start.
        self.silent_until_ms = now_ms + plan.promise_ms
        self._plan = plan
        self._promise: Promise | None = None

    def vote(self, now_ms: float, candidate: MemberId, term: int) -> bool:
        """Give or renew a promise.

        Return False if another candidate has the promise in force, or shortly after the start.
        """
        promise = self.promise(now_ms)
        if now_ms < self.silent_until_ms or (promise is not None and promise.leader != candidate):
            return False
        if promise is not None:  # a delayed older request must not lower the term of the promise
            term = max(term, promise.term)
        self.term = max(self.term, term)
        self._promise = Promise(candidate, term, now_ms + self._plan.promise_ms)
        return True

    def withdraw(self, candidate: MemberId, term: int) -> None:
        """Drop a promise at its candidate's request: it never led in this term, or no longer leads."""
        if self._promise is not None and (self._promise.leader, self._promise.term) == (candidate, term):
            self._promise = None

    def promise(self, now_ms: float) -> Promise | None:
        """Return the promise in force, or None."""
        if self._promise is not None and now_ms >= self._promise.until_ms:
            self._promise = None
        return self._promise
