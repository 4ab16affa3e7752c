"""One member on a UDP socket: the state machine driven by trio, its log lines, counters and audit."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import NamedTuple, TextIO

import trio
import ujson

from fordstair.budgets.holding import Share
from fordstair.budgets.node import Node
from fordstair.budgets.whole import MILLI, Part
from fordstair.membership.messages import MAX_DATAGRAM_BYTES
from fordstair.runtime.clock import unix_now
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.udp_endpoint import UdpEndpoint, open_udp_endpoint

log = EventLog(__name__)

LOOK_MS = 50.0  # between two looks at demand
AUDIT_MOST = 1 << 26  # bytes of an audit, after which it is not continued


def lease_ms() -> float:
    """The clock of leases: it never goes back, and goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3


def right_ms(own: float) -> float:
    """The time of the audit for one of the leases' clock: the same, but in trials of clocks that drift."""
    return own


class Row(NamedTuple):
    """One member's share of one budget, in threads or requests a second; times are Unix milliseconds."""

    member: str
    budget: str
    whole: float
    share: float  # in force, floor included
    floor: float
    out: float
    wants: float
    until_ms: float  # when what goes beyond the floor runs out; 0: nothing does
    leader: str
    own: bool
    leads: bool  # of this member: it surely grants now


class FleetBudgets:
    """This coordinator's part in the fleet's budgets."""

    def __init__(self, part: Part, seed: int) -> None:
        self.plan, self._part = part.plan, part
        # An incarnation from the clock, so that answers to an earlier life are not taken for this one's.
        self.node = Node(part.plan, part.member, int(unix_now().value), part.addresses, seed)
        self.node.on_share = self._shared
        self.on_share: Callable[[], None] = lambda: None  # called when a share has changed
        self._endpoint: UdpEndpoint | None = None
        self._audit: TextIO | None = None
        self._wake = trio.Event()
        self._last: tuple[int, ...] = ()

    @property
    def counts(self) -> Mapping[str, int]:
        """What was counted: questions, grants, elections and the rest."""
        return self.node.counts

    def shares(self, now: float | None = None) -> tuple[int, ...]:
        """What may be used at this moment, whatever the time of the caller: a pause ends no lease late."""
        return self.node.shares(lease_ms())

    def rows(self, wall_ms: float) -> Iterator[Row]:
        """Yield this member's shares, and all others' where it leads."""
        now, node = lease_ms(), self.node
        leads = node.leads(now)
        told = [
            (
                node.name,
                self.shares(),
                node.holding.floor,
                node.uses(),
                node.wants(),
                node.holding.until_ms,
                True,
            )
        ]
        if leads and node.granter is not None:
            told += [
                (
                    name,
                    tuple(
                        floor + lent
                        for floor, lent in zip(self.plan.floor_of(name), client.granted, strict=True)
                    ),
                    self.plan.floor_of(name),
                    (0,) * len(client.granted),
                    client.wants,
                    max((lease.until_ms for lease in client.leases), default=0.0),
                    False,
                )
                for (name, _), client in node.granter.clients.items()
                if name != node.name
            ]
        for member, shares, floors, out, wants, until_ms, own in told:
            for index, whole in enumerate(self.plan.wholes):
                unit = 1.0 if whole.kind == "threads" else float(MILLI)
                yield Row(
                    member,
                    whole.name,
                    whole.units / unit,
                    shares[index] / unit,
                    floors[index] / unit,
                    out[index] / unit,
                    wants[index] / unit,
                    wall_ms + until_ms - now if until_ms > now else 0.0,
                    node.leader,
                    own,
                    own and leads,
                )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; raise OSError where the address or the audit's file cannot be had."""
        async with open_udp_endpoint(self._part.listen, MAX_DATAGRAM_BYTES) as endpoint:
            self._endpoint = endpoint
            endpoint.counts = self.node.counts
            if self._part.audit:
                self._audit = Path(self._part.audit).open("a", encoding="utf-8")
            bound = endpoint.bound
            log.info(
                "listening",
                name=self.node.name,
                front="budgets",
                host=bound[0],
                port=bound[1],
                wholes=len(self.plan.wholes),
                listed=self.node.name in self.plan.members,
            )
            self.node.start(lease_ms())
            task_status.started()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive, endpoint)
                    nursery.start_soon(self._tick)
            finally:
                if self._audit is not None:
                    self._audit.close()

    async def leave(self) -> None:
        """Give this member's share back."""
        if self._endpoint is not None and not self.node.left:
            self._guarded(lambda: self.node.leave(lease_ms()))
            await self._carry_out()
            now = lease_ms()
            self._write(Share(now, now, (0,) * len(self.plan.wholes)))

    async def _receive(self, endpoint: UdpEndpoint) -> None:
        while True:
            datagram, source = await endpoint.receive()
            self._guarded(lambda: self.node.receive(lease_ms(), datagram, source))
            await self._carry_out()

    async def _tick(self) -> None:
        while True:
            self._wake = trio.Event()
            due = self.node.next_due
            wait_ms = LOOK_MS if due is None else min(LOOK_MS, max(0.0, due - lease_ms()))
            with trio.move_on_after(wait_ms / 1e3):
                await self._wake.wait()
            now = lease_ms()
            self._guarded(lambda: self.node.demand(now))
            self._guarded(lambda: self.node.tick(now))
            await self._carry_out()
            if self._last and now >= self.node.holding.until_ms:
                log.warning("budgets.lapsed", member=self.node.name, leader=self.node.leader or "unknown")
                self._last = ()
                self.on_share()

    def _guarded(self, do: Callable[[], None]) -> None:
        """No peer's message, whatever is in it, ends this member."""
        try:
            do()
        except Exception:
            self.node.counts["broke"] += 1
            log.exception("budgets.broke", member=self.node.name)

    async def _carry_out(self) -> None:
        assert self._endpoint is not None
        await self._endpoint.send(self.node.outgoing())
        self._wake.set()

    def _shared(self, share: Share) -> None:
        self._write(share)
        if share.lent != self._last:
            told = {whole.name: held for whole, held in zip(self.plan.wholes, self.shares(), strict=True)}
            log.info("budgets.share", member=self.node.name, leader=self.node.leader, **told)
            self._last = share.lent
            self.on_share()

    def _write(self, share: Share) -> None:
        """Put a line into the audit, at once: a kill must not lose it."""
        if self._audit is None or self._audit.tell() > AUDIT_MOST:
            return
        try:
            told = {
                "member": self.node.name,
                "life": self.node.incarnation,
                "from_ms": right_ms(share.from_ms),
                "until_ms": right_ms(share.until_ms),
                "lent": share.lent,
            }
            self._audit.write(ujson.dumps(told) + "\n")
            self._audit.flush()
        except OSError as error:
            log.error("budgets.audit_ended", why=error)
            self._audit = None
