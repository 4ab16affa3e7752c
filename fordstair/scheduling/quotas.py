"""Team accounts in thread-milliseconds: token buckets with a signed balance.

A team's quota is its fraction of the capacity. Its account earns at that rate, up to ``burst_ms`` of it, and
is charged the predicted cost of the team's requests, corrected once they have ended. A team with a negative
balance has borrowed capacity that others left idle: it is served after all teams in credit until it has
earned its debt back. Debt stops growing at ``debt_ms`` of the rate, so that capacity borrowed in an idle
period is repaid soon.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DEFAULT_BURST_MS = 1_000.0
DEFAULT_DEBT_MS = 4_000.0
MIN_CAPACITY_THREADS = 1e-9


@dataclass(slots=True)
class QuotaAccount:
    """One team's account; amounts are in thread-milliseconds.

    Attributes:
        quota: Fraction of the capacity.
        rate: Thread-milliseconds earned per millisecond.
        used: Total of all charges and refunds.
        forgiven_debt: Debt beyond the bound, written off since the account was last in credit.
    """

    quota: float
    rate: float = 0.0
    balance: float = 0.0
    updated_ms: float = 0.0
    used: float = 0.0
    forgiven_debt: float = 0.0

    def earn(self, now_ms: float, burst_ms: float) -> None:
        """Add what was earned since the last update; a clock that goes back earns nothing."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        if self.balance < self.rate * burst_ms:
            self.balance = min(self.rate * burst_ms, self.balance + self.rate * elapsed_ms)
        if self.balance >= 0.0:
            self.forgiven_debt = 0.0

    def charge(self, amount: float, burst_ms: float, debt_ms: float) -> None:
        """Subtract an amount from the balance, within the bounds on credit and debt; refund a negative one.

        A refund first reduces ``forgiven_debt``, and only the rest raises the balance.
        """
        self.used += amount
        if amount < 0.0:
            settled = min(self.forgiven_debt, -amount)
            self.forgiven_debt -= settled
            amount += settled
        self.balance = min(max(self.balance, self.rate * burst_ms), self.balance - amount)
        lowest = -self.rate * debt_ms
        if self.balance < lowest:
            self.forgiven_debt += lowest - self.balance
            self.balance = lowest


@dataclass(slots=True)
class Quotas:
    """The accounts of all teams.

    Attributes:
        quotas: Fraction of the capacity, by team.
        capacity: Threads that the engines run concurrently for this coordinator.
    """

    quotas: dict[int, float]
    capacity: float = 1.0
    burst_ms: float = DEFAULT_BURST_MS
    debt_ms: float = DEFAULT_DEBT_MS
    accounts: dict[int, QuotaAccount] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.set_quotas(self.quotas, 0.0)

    def set_quotas(self, quotas: dict[int, float], now_ms: float) -> None:
        """Apply new quotas, also under traffic; balances are clamped to their new bounds."""
        self.quotas = dict(quotas)
        for team, quota in quotas.items():
            account = self.accounts.setdefault(team, QuotaAccount(quota, updated_ms=now_ms))
            account.earn(now_ms, self.burst_ms)
            account.quota = quota
        self.resize(self.capacity)

    def resize(self, capacity: float) -> None:
        """Apply a new capacity in threads, and recompute each account's rate from it."""
        self.capacity = max(MIN_CAPACITY_THREADS, capacity)
        for account in self.accounts.values():
            account.rate = account.quota * self.capacity
            account.balance = min(
                max(account.balance, -account.rate * self.debt_ms), account.rate * self.burst_ms
            )

    def earn(self, now_ms: float) -> None:
        """Add to all accounts what they earned since their last update."""
        for account in self.accounts.values():
            account.earn(now_ms, self.burst_ms)

    def charge(self, team: int, amount: float) -> None:
        """Charge one team an amount in thread-milliseconds."""
        self.accounts[team].charge(amount, self.burst_ms, self.debt_ms)

    def is_within_quota(self, team: int) -> bool:
        """Return True if a team has a quota and its balance is not negative."""
        account = self.accounts[team]
        return account.rate > 0.0 and account.balance >= 0.0
