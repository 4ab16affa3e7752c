"""Runs one member's state machine on a UDP socket with trio, and writes its log lines and audit file."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import NamedTuple

import trio

from fordstair.budgets.audit_file import AuditFile
from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.lease_holder import Allotment
from fordstair.budgets.member import BudgetMember
from fordstair.budgets.plan import FleetBudgetsConfig
from fordstair.membership.messages import MAX_DATAGRAM_BYTES
from fordstair.runtime.clock import unix_now
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.udp_endpoint import UdpEndpoint, open_udp_endpoint

log = EventLog(__name__)

DEMAND_INTERVAL_MS = 50.0  # longest interval between two readings of the demand


def lease_clock_ms() -> float:
    """Return the time of the leases' clock, which never goes back and continues while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3


def audit_clock_ms(lease_ms: float) -> float:
    """Convert a time of the leases' clock to the audit clock; the two differ only in tests of clock drift."""
    return lease_ms


class AllotmentRow(NamedTuple):
    """One member's allotment of one limit, in threads or requests per second.

    Attributes:
        allotment: Allotment in force, floor included.
        in_use: Amount in use; known for this member only, 0 for the others.
        leased_until_ms: Unix time of the lease's expiry; 0 if nothing is leased.
        leader: The leader known to this member; empty if unknown.
        is_own: True if the row is about this member.
        leads: True if the row is about this member and it is certain to lead now.
    """

    member: str
    limit_name: str
    limit: float
    allotment: float
    floor: float
    in_use: float
    wanted: float
    leased_until_ms: float
    leader: str
    is_own: bool
    leads: bool


class _MemberAmounts(NamedTuple):
    """One member's amounts in units, by limit; ``leased_until_ms`` is by the leases' clock."""

    member: str
    allotment: Amounts
    floors: Amounts
    in_use: Amounts
    wanted: Amounts
    leased_until_ms: float


class FleetBudgets:
    """This coordinator's member of the fleet's budgets.

    Attributes:
        on_allotment: Called when the units that may be used have changed.
    """

    def __init__(self, config: FleetBudgetsConfig, seed: int) -> None:
        self.plan = config.plan
        # With Unix time as the incarnation, answers to an earlier process are not mistaken for this one's.
        incarnation = int(unix_now().value)
        self.member = BudgetMember(config.plan, config.member, incarnation, config.voter_addresses, seed)
        self.member.lease_client.on_allotment = self._allotment_changed
        self.on_allotment: Callable[[], None] = lambda: None
        self._config = config
        self._endpoint: UdpEndpoint | None = None
        self._audit: AuditFile | None = None
        self._wake = trio.Event()
        self._last_leased: Amounts = ()

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters of requests, grants, elections and other events."""
        return self.member.counts

    def set_demand_source(self, demand_source: Callable[[], Demand]) -> None:
        """Set the source of this coordinator's demand, which is called at least every DEMAND_INTERVAL_MS."""
        self.member.lease_client.demand_source = demand_source

    def allotment(self, _: float | None = None) -> Amounts:
        """Return the units that may be used now.

        The argument, the caller's time, is ignored: after a pause it may be outdated, and a lease would
        expire late.
        """
        return self.member.allotment(lease_clock_ms())

    def rows(self, unix_ms: float) -> Iterator[AllotmentRow]:
        """Yield this member's allotments, and all others' if it leads; ``unix_ms`` is the Unix time now."""
        now_ms = lease_clock_ms()
        leads = self.member.leads(now_ms)
        own = self._own_amounts()
        others = self._granted_amounts() if leads else ()
        for amounts in (own, *others):
            is_own = amounts is own
            until_ms = amounts.leased_until_ms
            for index, limit in enumerate(self.plan.limits):
                scale = float(limit.units_per_amount)
                yield AllotmentRow(
                    amounts.member,
                    limit.name,
                    limit.units / scale,
                    amounts.allotment[index] / scale,
                    amounts.floors[index] / scale,
                    amounts.in_use[index] / scale,
                    amounts.wanted[index] / scale,
                    unix_ms + until_ms - now_ms if until_ms > now_ms else 0.0,
                    self.member.known_leader,
                    is_own,
                    is_own and leads,
                )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the member until cancelled.

        Raise OSError if the address cannot be bound or the audit file cannot be opened.
        """
        async with open_udp_endpoint(self._config.listen, MAX_DATAGRAM_BYTES) as endpoint:
            self._endpoint = endpoint
            endpoint.counts = self.member.counts
            if self._config.audit_path:
                self._audit = AuditFile(Path(self._config.audit_path), self.member.id)
            host, port = endpoint.bound
            log.info(
                "listening",
                name=self.member.name,
                front="budgets",
                host=host,
                port=port,
                wholes=len(self.plan.limits),
                listed=self.member.name in self.plan.voters,
            )
            self.member.start(lease_clock_ms())
            task_status.started()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive, endpoint)
                    nursery.start_soon(self._tick, endpoint)
            finally:
                if self._audit is not None:
                    self._audit.close()

    async def leave(self) -> None:
        """Return this member's leases and promises; do nothing if it is not running or has left."""
        if self._endpoint is None or self.member.has_left:
            return
        try:
            self.member.leave(lease_clock_ms())
        except Exception:  # a fault here must not keep the program from stopping
            self._count_internal_error()
        await self._send_outgoing(self._endpoint)
        now_ms = lease_clock_ms()
        self._write_audit(Allotment(now_ms, now_ms, self.plan.zero_units))

    async def _receive(self, endpoint: UdpEndpoint) -> None:
        while True:
            datagram, source = await endpoint.receive()
            try:
                self.member.receive(lease_clock_ms(), datagram, source)
            except Exception:  # a peer's message must not stop this member
                self._count_internal_error()
            await self._send_outgoing(endpoint)

    async def _tick(self, endpoint: UdpEndpoint) -> None:
        while True:
            self._wake = trio.Event()
            due_ms = self.member.next_due
            wait_ms = DEMAND_INTERVAL_MS
            if due_ms is not None:
                wait_ms = min(wait_ms, max(0.0, due_ms - lease_clock_ms()))
            with trio.move_on_after(wait_ms / 1e3):
                await self._wake.wait()
            now_ms = lease_clock_ms()
            self._observe_and_tick(now_ms)
            await self._send_outgoing(endpoint)
            self._report_expiry(now_ms)

    def _observe_and_tick(self, now_ms: float) -> None:
        for step in (self.member.observe_demand, self.member.tick):
            try:
                step(now_ms)
            except Exception:  # a fault in one step must not stop this member
                self._count_internal_error()

    def _report_expiry(self, now_ms: float) -> None:
        """Log and report the fall back to the floors once the leases have expired."""
        if self._last_leased and now_ms >= self.member.lease_client.holder.until_ms:
            leader = self.member.known_leader or "unknown"
            log.warning("budgets.lease_expired", member=self.member.name, leader=leader)
            self._last_leased = ()
            self.on_allotment()

    def _count_internal_error(self) -> None:
        self.member.counts["internal_errors"] += 1
        log.exception("budgets.internal_error", member=self.member.name)

    async def _send_outgoing(self, endpoint: UdpEndpoint) -> None:
        await endpoint.send(self.member.outgoing())
        self._wake.set()

    def _allotment_changed(self, allotment: Allotment) -> None:
        self._write_audit(allotment)
        if allotment.leased != self._last_leased:
            names = [limit.name for limit in self.plan.limits]
            amounts = dict(zip(names, self.allotment(), strict=True))
            leader = self.member.known_leader
            log.info("budgets.allotment_changed", member=self.member.name, leader=leader, **amounts)
            self._last_leased = allotment.leased
            self.on_allotment()

    def _write_audit(self, allotment: Allotment) -> None:
        if self._audit is not None:
            from_ms = audit_clock_ms(allotment.from_ms)
            self._audit.write(from_ms, audit_clock_ms(allotment.until_ms), allotment.leased)

    def _own_amounts(self) -> _MemberAmounts:
        holder = self.member.lease_client.holder
        demand = self.member.lease_client.demand_source()
        return _MemberAmounts(
            self.member.name,
            self.allotment(),
            holder.floors,
            tuple(demand.in_use),
            tuple(demand.wanted),
            holder.until_ms,
        )

    def _granted_amounts(self) -> Iterator[_MemberAmounts]:
        """Yield the amounts that this member, as the leader, has granted to the others."""
        grants = self.member.election.grants
        if grants is None:
            return
        for member, lessee in grants.lessees.items():
            if member.name == self.member.name:
                continue
            floors = self.plan.floors_of(member.name)
            yield _MemberAmounts(
                member.name,
                tuple(floor + granted for floor, granted in zip(floors, lessee.granted, strict=True)),
                floors,
                self.plan.zero_units,
                lessee.wanted,
                max((lease.until_ms for lease in lessee.leases), default=0.0),
            )
