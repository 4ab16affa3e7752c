"""Runs one member's state machine on a UDP socket with trio; logs the changes and keeps the counters."""

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

LEAVE_NOTICE_COUNT = 2  # a datagram may be lost
LEAVE_NOTICE_INTERVAL_MS = 50.0
IDLE_WAIT_MS = 60_000.0  # while no timer is set


class Membership:
    """The fleet's membership as this coordinator sees it.

    Attributes:
        swim: The state machine; None until the socket is open.
        listeners: Called with each change of another member's state.
    """

    def __init__(self, config: MembershipConfig, bind: tuple[str, int], seed: int) -> None:
        self.swim: SwimMember | None = None
        self.listeners: list[Callable[[MemberChanged], None]] = []
        self._config = config
        self._bind = bind
        self._seed = seed
        self._endpoint: UdpEndpoint | None = None
        self._wake = trio.Event()

    @property
    def counts(self) -> Mapping[str, int]:
        """The counters: probes, suspicions, refutations, deaths and others."""
        return self.swim.counts if self.swim is not None else {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part in the membership until cancelled; raise OSError if the address cannot be bound."""
        async with open_udp_endpoint(self._bind, MAX_DATAGRAM_BYTES) as endpoint:
            self._endpoint = endpoint
            swim = self._create_member(endpoint)
            self.swim = swim
            swim.start(monotonic_now())
            await self._send_and_report(swim, endpoint)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, swim, endpoint)
                nursery.start_soon(self._tick, swim, endpoint)

    async def leave(self) -> None:
        """Notify other members that this one leaves; do nothing before the start or after a leave."""
        swim = self.swim
        if swim is None or self._endpoint is None or swim.local.has_left:
            return
        log.info("fleet.leave_started", member=self._config.name)
        for notice in range(LEAVE_NOTICE_COUNT):
            if notice:
                await trio.sleep(LEAVE_NOTICE_INTERVAL_MS / 1000.0)
            swim.leave(monotonic_now())
            await self._send_and_report(swim, self._endpoint)

    def _create_member(self, endpoint: UdpEndpoint) -> SwimMember:
        bound = endpoint.bound
        address = self._config.address or address_text(bound)
        # The incarnation of an earlier process is not stored, but Unix time is greater. If the clock was
        # stepped back, others' updates on the earlier process are refuted with a greater incarnation.
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
            except Exception:  # no message of a peer may end this member
                self._record_internal_error(swim)
            await self._send_and_report(swim, endpoint)

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
            except Exception:  # no fault of a timer may end this member
                self._record_internal_error(swim)
            await self._send_and_report(swim, endpoint)

    def _record_internal_error(self, swim: SwimMember) -> None:
        swim.counts["internal_errors"] += 1
        log.exception("fleet.internal_error", member=self._config.name)

    async def _send_and_report(self, swim: SwimMember, endpoint: UdpEndpoint) -> None:
        """Send the outgoing datagrams, and report the changes."""
        await endpoint.send(swim.outgoing())
        for change in swim.changes():
            self._report_change(change)
        self._wake.set()

    def _report_change(self, change: MemberChanged) -> None:
        write = log.warning if change.state == MemberState.DEAD else log.info
        write(
            "fleet.member_changed",
            name=change.name,
            state=change.state.label,
            before=change.previous_state.label if change.previous_state is not None else "unknown",
            incarnation=change.incarnation,
            by=change.reporter,
            address=change.address,
        )
        for listener in self.listeners:
            listener(change)
