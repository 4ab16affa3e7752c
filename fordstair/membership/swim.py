"""One member of a fleet: SWIM with Lifeguard, as a state machine without a clock or socket.

Das, Gupta, Motivala, "SWIM" (DSN 2002), sections 3.1 and 4.1 to 4.3; Dadgar, Phillips, Currey, "Lifeguard"
(DSN 2018), section IV. The driver passes events with the current time in milliseconds (``start``,
``receive``, ``tick``, ``leave``), sends the datagrams of ``outgoing``, reports ``changes``, and calls
``tick`` at ``next_due``.

Additions to the papers: a pause of this member does not count against other members (``_handle_stall``), an
isolated member suspects nobody (``LocalHealth``), and dead members and seeds are contacted periodically
(``PushPullSync``).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.context import MemberContext
from fordstair.membership.dissemination import Dissemination
from fordstair.membership.failure_detector import FailureDetector
from fordstair.membership.indirect_probes import ProbeRelay
from fordstair.membership.local_health import LocalHealth
from fordstair.membership.local_member import LocalMember
from fordstair.membership.member_table import Member, MemberChanged, MemberTable
from fordstair.membership.messages import (
    Ack,
    IndirectPing,
    MemberState,
    Message,
    Nack,
    Ping,
    PushPull,
    TablePart,
    Update,
    decode,
)
from fordstair.membership.outbox import Datagram, Outbox
from fordstair.membership.push_pull import PushPullSync
from fordstair.runtime.message_codec import MalformedMessageError

MAX_LEAVE_NOTICES = 32  # members notified of a leave; the others learn of it by gossip


class SwimMember:
    """The state machine of one member; not thread-safe, and calls must be in order of time."""

    def __init__(self, config: MembershipConfig, incarnation: int, seed: int) -> None:
        self.config = config
        self.context = MemberContext(config, Random(seed))
        self.local = LocalMember(config, incarnation)
        self.dissemination = Dissemination()
        self.table = MemberTable(self.context, self.local, self.dissemination)
        self.outbox = Outbox(self.context, self.table, self.dissemination)
        self.failure_detector = FailureDetector(self.context, self.table, self.outbox)
        self.probe_relay = ProbeRelay(self.context, self.outbox)
        self.push_pull = PushPullSync(self.context, self.local, self.table, self.outbox)

    @property
    def counts(self) -> Counter[str]:
        """The counters: probes, suspicions, refutations, deaths and others."""
        return self.context.counts

    @property
    def local_health(self) -> LocalHealth:
        """This member's estimate of its own health."""
        return self.context.local_health

    @property
    def members(self) -> dict[str, Member]:
        """The other members by name."""
        return self.table.members

    @property
    def next_due(self) -> float | None:
        """When to call ``tick`` next (ms); None before the start and after a leave."""
        return self.context.timers.next_due_ms

    def start(self, now_ms: float) -> None:
        """Join the fleet through the seeds, and start probing within one interval."""
        self.context.now_ms = now_ms
        self.dissemination.add(self.local.update)
        self.push_pull.join()
        self.failure_detector.start()
        self.push_pull.start()

    def preload(self, now_ms: float, updates: Iterable[Update]) -> None:
        """Add known members before the start, without disseminating or reporting them."""
        self.context.now_ms = now_ms
        for update in updates:
            self.apply(update)
            self.dissemination.discard(update.name)
        self.table.take_changes()

    def receive(self, now_ms: float, datagram: bytes, source: str) -> None:
        """Handle a datagram from an address; a malformed or foreign one is counted and dropped."""
        self.context.now_ms = now_ms
        if self.local.has_left:
            return
        try:
            message = decode(datagram)
        except MalformedMessageError:
            self.counts["malformed"] += 1
            return
        if message.cluster != self.config.cluster:
            self.counts["foreign"] += 1
            return
        if message.sender == self.config.name:  # an echo, or another member with the same name
            self.counts["own_name"] += 1
            return
        self.counts["received"] += 1
        self.failure_detector.message_received(message.sender)
        for update in message.updates:
            self.apply(update)
        self._handle_message(message, source)

    def tick(self, now_ms: float) -> None:
        """Run the timers that are due."""
        self.context.now_ms = now_ms
        due_ms = self.context.timers.next_due_ms
        if due_ms is not None and now_ms - due_ms > self.config.probe_timeout_ms:
            self._handle_stall(now_ms - due_ms)
        while (action := self.context.timers.pop_due(now_ms)) is not None:
            action()

    def leave(self, now_ms: float) -> None:
        """Notify other members that this one leaves; from then on, ignore datagrams and run no timers."""
        self.context.now_ms = now_ms
        self.local.has_left = True
        present = self.table.present
        notice = TablePart(self.config.cluster, self.config.name, (self.local.update,), False)
        for member in self.context.random.sample(present, min(MAX_LEAVE_NOTICES, len(present))):
            self.outbox.put(member.address, notice)
        self.failure_detector.stop()
        self.probe_relay.stop()
        self.context.timers.clear()

    def outgoing(self) -> list[Datagram]:
        """Return and clear the datagrams to send."""
        return self.outbox.take()

    def changes(self) -> list[MemberChanged]:
        """Return and clear the changes since the last call."""
        return self.table.take_changes()

    def apply(self, update: Update) -> None:
        """Apply one update, on this member or another."""
        if update.name == self.config.name:
            self._apply_to_self(update)
        elif self.table.apply(update):
            self.failure_detector.member_joined(update.name)

    def _apply_to_self(self, update: Update) -> None:
        """Refute a wrong update on this member with a greater incarnation (SWIM, section 4.2)."""
        if update.address != self.config.address and update.state == MemberState.ALIVE:
            self.counts["name_taken"] += 1
        if self.local.refute(update):
            self.counts["refutations"] += 1
            if update.state == MemberState.SUSPECT:
                self.local_health.add(1)
            self.table.disseminate_local_state()

    def _handle_message(self, message: Message, source: str) -> None:
        match message:
            case Ping():
                self._answer_ping(message, source)
            case Ack():
                self.probe_relay.receive_ack(message)
                self.failure_detector.receive_ack(message)
            case IndirectPing():
                self.probe_relay.receive_request(message, source)
            case Nack():
                self.failure_detector.receive_nack(message)
            case PushPull():
                self.push_pull.receive_push_pull(message, source)
            case TablePart():
                self.push_pull.receive_part(message, source)

    def _answer_ping(self, ping: Ping, source: str) -> None:
        if ping.target == self.config.name:
            ack = Ack(self.config.cluster, self.config.name, (), ping.sequence)
            self.outbox.put_with_gossip(source, ping.sender, ack)

    def _handle_stall(self, late_ms: float) -> None:
        """Compensate for a pause of this member, in which no answer or refutation could reach it."""
        self.counts["stalls"] += 1
        self.local_health.add(1)
        self.failure_detector.stop()
        self.table.postpone_suspicions(late_ms + self.config.probe_interval_ms)
