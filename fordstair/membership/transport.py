"""One member on a UDP socket: the state machine driven by trio, with its log lines and counters."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

import trio

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.member_table import MemberChanged
from fordstair.membership.messages import MAX_DATAGRAM_BYTES, MemberState
from fordstair.membership.swim import SwimMember
from fordstair.runtime.clock import monotonic_now, unix_now
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.udp_endpoint import UdpEndpoint, address_text, open_udp_endpoint

log = EventLog(__name__)

LEAVE_NOTICES = 2  # a datagram may be lost
LEAVE_INTERVAL_MS = 50.0  # between them
IDLE_WAIT_MS = 60_000.0  # with no timer set


class Membership:
    """The fleet as this coordinator sees it; ``listeners`` are called with each change."""

    def __init__(self, config: MembershipConfig, bind: tuple[str, int], seed: int) -> None:
        self.swim: SwimMember | None = None  # once the socket is open
        self.listeners: list[Callable[[MemberChanged], None]] = []
        self._config = config
        self._bind = bind
        self._seed = seed
        self._endpoint: UdpEndpoint | None = None
        self._wake = trio.Event()

    @property
    def counts(self) -> Mapping[str, int]:
        """What was counted: probes, suspicions, refutations, deaths and the rest."""
        return self.swim.counts if self.swim is not None else {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; raise OSError where the address cannot be bound."""
        async with open_udp_endpoint(self._bind, MAX_DATAGRAM_BYTES) as endpoint:
            self._endpoint = endpoint
            swim = self._create_member(endpoint)
            self.swim = swim
            swim.start(monotonic_now())
            await self._carry_out(swim, endpoint)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, swim, endpoint)
                nursery.start_soon(self._tick, swim, endpoint)

    async def leave(self) -> None:
        """Tell the others that this member leaves."""
        swim = self.swim
        if swim is None or self._endpoint is None or swim.local.has_left:
            return
        log.info("fleet.leave_started", member=self._config.name)
        for notice in range(LEAVE_NOTICES):
            if notice:
                await trio.sleep(LEAVE_INTERVAL_MS / 1000.0)
            swim.leave(monotonic_now())
            await self._carry_out(swim, self._endpoint)

    def _create_member(self, endpoint: UdpEndpoint) -> SwimMember:
        bound = endpoint.bound
        address = self._config.address or address_text(bound)
        # Unix time is greater than the incarnation of an earlier process, which is not stored. If the clock
        # was stepped back, others' updates on the earlier process are refuted with a greater incarnation.
        incarnation = int(unix_now().value)
        swim = SwimMember(replace(self._config, address=address), incarnation, self._seed)
        endpoint.counts = swim.counts
        log.info(
            "listening",
            name=self._config.name,
            front="fleet",
            host=bound[0],
            port=bound[1],
            cluster=self._config.cluster,
            address=address,
            seeds=",".join(self._config.seeds) or "none",
        )
        return swim

    async def _receive(self, swim: SwimMember, endpoint: UdpEndpoint) -> None:
        while True:
            datagram, source = await endpoint.receive()
            try:
                swim.receive(monotonic_now(), datagram, source)
            except Exception:  # no peer's message may end this member
                self._count_internal_error(swim)
            await self._carry_out(swim, endpoint)

    async def _tick(self, swim: SwimMember, endpoint: UdpEndpoint) -> None:
        while True:
            self._wake = trio.Event()
            due = swim.next_due
            wait_ms = IDLE_WAIT_MS if due is None else max(0.0, due - monotonic_now())
            with trio.move_on_after(wait_ms / 1000.0):
                await self._wake.wait()
            if swim.local.has_left:
                continue
            try:
                swim.tick(monotonic_now())
            except Exception:  # a timer's fault may not end this member
                self._count_internal_error(swim)
            await self._carry_out(swim, endpoint)

    def _count_internal_error(self, swim: SwimMember) -> None:
        swim.counts["internal_errors"] += 1
        log.exception("fleet.internal_error", member=self._config.name)

    async def _carry_out(self, swim: SwimMember, endpoint: UdpEndpoint) -> None:
        """Send what there is to send, and report what has changed."""
        await endpoint.send(swim.outgoing())
        for change in swim.changes():
            self._report(change)
        self._wake.set()

    def _report(self, change: MemberChanged) -> None:
        write = log.warning if change.state == MemberState.DEAD else log.info
        write(
            "fleet.member_changed",
            name=change.name,
            state=change.state.label,
            before=change.before.label if change.before is not None else "unknown",
            incarnation=change.incarnation,
            by=change.reporter,
            address=change.address,
        )
        for listener in self.listeners:
            listener(change)
