"""Each team's account in thread-milliseconds: what it may use, has borrowed, and pays back.

A budget is a rate, its share of the capacity. An account earns at that rate, up to ``burst_ms`` of it, and
is charged what its team's requests are predicted to hold, corrected once they have ended. A team whose
account is below zero has borrowed what others left idle: it is served after all teams in credit, until it
has earned its debt back. Debt stops growing at ``debt_ms`` of the rate, so that nobody pays for an idle
night all morning. Source: the operators' brief (shares), and the usual token account with a signed balance.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Account:
    """One team's account; amounts are thread-milliseconds, ``rate`` is those per millisecond."""

    share: float
    rate: float = 0.0
    balance: float = 0.0
    at_ms: float = 0.0
    used: float = 0.0  # all in all, settled
    forgiven: float = 0.0  # debt over the bound, since it was last in credit

    def earn(self, now_ms: float, burst_ms: float) -> None:
        """Bring the account up to date; a clock that goes back earns nothing."""
        elapsed = max(0.0, now_ms - self.at_ms)
        self.at_ms = now_ms
        if self.balance < self.rate * burst_ms:
            self.balance = min(self.rate * burst_ms, self.balance + self.rate * elapsed)
        if self.balance >= 0.0:
            self.forgiven = 0.0

    def charge(self, amount: float, burst_ms: float, debt_ms: float) -> None:
        """Take an amount off (or, where negative, give it back), within the bounds on credit and debt.

        What is given back of a charge whose debt was forgiven settles that first: it was never owed.
        """
        self.used += amount
        if amount < 0.0:
            settled = min(self.forgiven, -amount)
            self.forgiven -= settled
            amount += settled
        self.balance = min(max(self.balance, self.rate * burst_ms), self.balance - amount)
        least = -self.rate * debt_ms
        if self.balance < least:
            self.forgiven += least - self.balance
            self.balance = least


@dataclass(slots=True)
class Budgets:
    """All accounts. ``capacity`` is what the engines hold at a time for this coordinator, in threads."""

    shares: dict[int, float]
    capacity: float = 1.0
    burst_ms: float = 1_000.0
    debt_ms: float = 4_000.0
    accounts: dict[int, Account] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.set_shares(self.shares, 0.0)

    def set_shares(self, shares: dict[int, float], now_ms: float) -> None:
        """Take new shares over, under traffic; balances are kept within their new bounds."""
        self.shares = dict(shares)
        for team, share in shares.items():
            account = self.accounts.setdefault(team, Account(share, at_ms=now_ms))
            account.earn(now_ms, self.burst_ms)
            account.share = share
        self.resize(self.capacity)

    def resize(self, capacity: float) -> None:
        """Take a new capacity over: each rate is its share of it."""
        self.capacity = max(1e-9, capacity)
        for account in self.accounts.values():
            account.rate = account.share * self.capacity
            account.balance = min(
                max(account.balance, -account.rate * self.debt_ms), account.rate * self.burst_ms
            )

    def earn(self, now_ms: float) -> None:
        """Bring all accounts up to date."""
        for account in self.accounts.values():
            account.earn(now_ms, self.burst_ms)

    def charge(self, team: int, amount: float) -> None:
        """Charge one team."""
        self.accounts[team].charge(amount, self.burst_ms, self.debt_ms)

    def within(self, team: int) -> bool:
        """Whether a team is within its budget: in credit, with a budget at all."""
        account = self.accounts[team]
        return account.rate > 0.0 and account.balance >= 0.0
