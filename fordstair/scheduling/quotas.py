"""Each team's account in thread-milliseconds: what it may use, has borrowed, and pays back.

A team's quota is its part of the capacity; its account earns at that rate, up to ``burst_ms`` of it, and is
charged what its team's requests are predicted to take, corrected once they have ended. A team whose account
is below zero has borrowed what others left idle: it is served after all teams in credit, until it has earned
its debt back. Debt stops growing at ``debt_ms`` of the rate, so that capacity borrowed in an idle time
is repaid soon. It is the usual token bucket, with a signed balance.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DEFAULT_BURST_MS = 1_000.0
DEFAULT_DEBT_MS = 4_000.0
MIN_CAPACITY_THREADS = 1e-9


@dataclass(slots=True)
class QuotaAccount:
    """One team's account; amounts are thread-milliseconds, ``rate`` is those per millisecond."""

    quota: float  # part of the capacity
    rate: float = 0.0
    balance: float = 0.0
    updated_ms: float = 0.0
    used: float = 0.0  # all in all, settled
    forgiven_debt: float = 0.0  # over the bound, since it was last in credit

    def earn(self, now_ms: float, burst_ms: float) -> None:
        """Bring the account up to date; a clock that goes back earns nothing."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        if self.balance < self.rate * burst_ms:
            self.balance = min(self.rate * burst_ms, self.balance + self.rate * elapsed_ms)
        if self.balance >= 0.0:
            self.forgiven_debt = 0.0

    def charge(self, amount: float, burst_ms: float, debt_ms: float) -> None:
        """Take an amount off (or, where negative, give it back), within the bounds on credit and debt.

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
    """All accounts. ``capacity`` is what the engines run at a time for this coordinator, in threads."""

    quotas: dict[int, float]  # parts of the capacity, by team
    capacity: float = 1.0
    burst_ms: float = DEFAULT_BURST_MS
    debt_ms: float = DEFAULT_DEBT_MS
    accounts: dict[int, QuotaAccount] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.set_quotas(self.quotas, 0.0)

    def set_quotas(self, quotas: dict[int, float], now_ms: float) -> None:
        """Apply new quotas, under traffic; balances are kept within their new bounds."""
        self.quotas = dict(quotas)
        for team, quota in quotas.items():
            account = self.accounts.setdefault(team, QuotaAccount(quota, updated_ms=now_ms))
            account.earn(now_ms, self.burst_ms)
            account.quota = quota
        self.resize(self.capacity)

    def resize(self, capacity: float) -> None:
        """Apply a new capacity in threads: each rate is its quota of it."""
        self.capacity = max(MIN_CAPACITY_THREADS, capacity)
        for account in self.accounts.values():
            account.rate = account.quota * self.capacity
            account.balance = min(
                max(account.balance, -account.rate * self.debt_ms), account.rate * self.burst_ms
            )

    def earn(self, now_ms: float) -> None:
        """Bring all accounts up to date."""
        for account in self.accounts.values():
            account.earn(now_ms, self.burst_ms)

    def charge(self, team: int, amount: float) -> None:
        """Charge one team, in thread-milliseconds."""
        self.accounts[team].charge(amount, self.burst_ms, self.debt_ms)

    def is_within_quota(self, team: int) -> bool:
        """Whether a team is within its quota: in credit, with a quota at all."""
        account = self.accounts[team]
        return account.rate > 0.0 and account.balance >= 0.0
