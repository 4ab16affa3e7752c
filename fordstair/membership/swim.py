"""One member of a fleet: SWIM with Lifeguard, as a state machine without clock or socket.

Das, Gupta, Motivala, "SWIM" (DSN 2002), sections 3.1 and 4.1 to 4.3; Dadgar, Phillips, Currey, "Lifeguard"
(DSN 2018), section IV. The driver hands in what happens with its time in milliseconds (``start``,
``receive``, ``tick``, ``leave``), carries out what ``outgoing`` and ``changes`` return, and comes back at
``next_due``.

Beyond the papers: time in which this member did not run counts against nobody (``_handle_stall``), an
isolated member accuses nobody (``LocalHealth``), and dead members and seeds are tried from time to time
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

MAX_LEAVE_NOTICES = 32  # members told of a leave at once; the rest hear of it from them


class SwimMember:
    """One member. It is not thread-safe, and its calls must come in order of time."""

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
        """What was counted: probes, suspicions, refutations, deaths and the rest."""
        return self.context.counts

    @property
    def local_health(self) -> LocalHealth:
        """How healthy this member judges itself."""
        return self.context.local_health

    @property
    def members(self) -> dict[str, Member]:
        """The other members by name."""
        return self.table.members

    @property
    def next_due(self) -> float | None:
        """When ``tick`` is wanted next (ms); None before the start and after a leave."""
        return self.context.timers.next_due_ms

    def start(self, now_ms: float) -> None:
        """Join the fleet through the seeds, and begin to probe within one interval."""
        self.context.now_ms = now_ms
        self.dissemination.add(self.local.update)
        self.push_pull.join()
        self.failure_detector.start()
        self.push_pull.start()

    def preload(self, now_ms: float, updates: Iterable[Update]) -> None:
        """Take members as known before the start; nothing is spread and no change is reported."""
        self.context.now_ms = now_ms
        for update in updates:
            self.apply(update)
            self.dissemination.discard(update.name)
        self.table.take_changes()

    def receive(self, now_ms: float, datagram: bytes, source: str) -> None:
        """Take a datagram in from an address; a malformed or foreign one is counted and dropped."""
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
        if message.sender == self.config.name:  # an echo, or a second member of this name
            self.counts["own_name"] += 1
            return
        self.counts["received"] += 1
        self.failure_detector.heard_from(message.sender)
        for update in message.updates:
            self.apply(update)
        self._dispatch(message, source)

    def tick(self, now_ms: float) -> None:
        """Run the timers that are due."""
        self.context.now_ms = now_ms
        due_ms = self.context.timers.next_due_ms
        if due_ms is not None and now_ms - due_ms > self.config.probe_timeout_ms:
            self._handle_stall(now_ms - due_ms)
        while (action := self.context.timers.pop_due(now_ms)) is not None:
            action()

    def leave(self, now_ms: float) -> None:
        """Tell others that this member leaves; afterwards nothing is sent or taken in."""
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
        """Take out the datagrams to send."""
        return self.outbox.take()

    def changes(self) -> list[MemberChanged]:
        """Take out what has changed since the last call."""
        return self.table.take_changes()

    def apply(self, update: Update) -> None:
        """Take one update in, on this member or another."""
        if update.name == self.config.name:
            self._apply_to_self(update)
        elif self.table.apply(update):
            self.failure_detector.member_joined(update.name)

    def _apply_to_self(self, update: Update) -> None:
        """Refute what is wrong, with a greater incarnation (SWIM, section 4.2)."""
        if update.address != self.config.address and update.state == MemberState.ALIVE:
            self.counts["name_taken"] += 1
        if self.local.refutes(update):
            self.counts["refutations"] += 1
            if update.state == MemberState.SUSPECT:
                self.local_health.add(1)
            self.table.local_changed()

    def _dispatch(self, message: Message, source: str) -> None:
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
        """This member did not run for a while: nobody could have answered it or refuted anything to it."""
        self.counts["stalls"] += 1
        self.local_health.add(1)
        self.failure_detector.stop()
        self.table.postpone_suspicions(late_ms + self.config.probe_interval_ms)
