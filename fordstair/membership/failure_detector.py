"""The failure detector's probe rounds (SWIM, section 3.1, with Lifeguard's local health); pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from fordstair.membership.context import MemberContext
from fordstair.membership.member_table import LINK_CUT_AFTER_ROUNDS, Member, MemberTable
from fordstair.membership.messages import Ack, IndirectPing, MemberState, Nack, Ping
from fordstair.membership.outbox import Outbox
from fordstair.membership.timers import TimerHandle

# Limits a direct probe's timeout to this share of the round, so that indirect probes can be answered in it.
MAX_TIMEOUT_FACTOR = 0.5


@dataclass(slots=True)
class _Probe:
    """The probe of one round.

    Attributes:
        nacks: The relays that answered, although the target did not answer them.
        direct: False once relays are asked, until the target itself answers.
        others_received: Whether a message came from a member other than the target.
    """

    sequence: int
    target: str
    relays_requested: int = 0
    nacks: set[str] = field(default_factory=set)
    answered: bool = False
    direct: bool = True
    others_received: bool = False
    timer: TimerHandle | None = None


class FailureDetector:
    """Probes one member per interval; suspects members that answer neither directly nor through relays."""

    def __init__(self, context: MemberContext, table: MemberTable, outbox: Outbox) -> None:
        self._context = context
        self._table = table
        self._outbox = outbox
        self._probe_order: list[str] = []  # targets left in this pass; the last one is next
        self._probe: _Probe | None = None

    def start(self) -> None:
        """Schedule the first round at a random time within one interval."""
        interval_ms = self._context.config.probe_interval_ms
        self._context.call_later(self._context.random.random() * interval_ms, self._begin_round)

    def stop(self) -> None:
        """Abandon the probe in flight without evaluating it."""
        if self._probe is not None:
            self._context.timers.cancel(self._probe.timer)
            self._probe = None

    def member_joined(self, name: str) -> None:
        """Insert a new member at a random position of this pass, so that not all members probe it at once."""
        self._probe_order.insert(self._context.random.randint(0, len(self._probe_order)), name)

    def message_received(self, sender: str) -> None:
        """Record that a message from a member has arrived."""
        if self._probe is not None and sender != self._probe.target:
            self._probe.others_received = True

    def receive_ack(self, ack: Ack) -> None:
        """Handle an Ack from the target, or from a relay that the target has answered."""
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence or probe.answered:
            return
        probe.answered = True
        self._context.timers.cancel(probe.timer)
        self._context.local_health.add(-1)
        probe.direct = probe.direct or ack.sender == probe.target

    def receive_nack(self, nack: Nack) -> None:
        """Handle a Nack from a relay that the target has not answered."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks.add(nack.sender)

    def _begin_round(self) -> None:
        """Evaluate the last round's probe, and probe the next target."""
        self._end_round()
        config = self._context.config
        health = self._context.local_health
        round_ms = health.scale(self._context.jittered(config.probe_interval_ms))
        self._context.call_later(round_ms, self._begin_round)
        target = self._next_target()
        if target is None:
            return
        probe = _Probe(self._context.next_sequence(), target.name)
        self._probe = probe
        self._context.counts["probes"] += 1
        self._ping(target, probe.sequence)
        timeout_ms = min(health.scale(config.probe_timeout_ms), MAX_TIMEOUT_FACTOR * round_ms)
        probe.timer = self._context.call_later(timeout_ms, partial(self._probe_indirectly, probe))

    def _next_target(self) -> Member | None:
        """Return the next target, round-robin over an order shuffled for each pass (SWIM, section 4.3)."""
        for _ in range(2):
            while self._probe_order:
                member = self._table.members.get(self._probe_order.pop())
                if member is not None and member.is_present:
                    return member
            self._probe_order = [member.name for member in self._table.present]
            self._context.random.shuffle(self._probe_order)
        return None

    def _ping(self, target: Member, sequence: int) -> None:
        config = self._context.config
        ping = Ping(config.cluster, config.name, (), sequence, target.name)
        self._outbox.put_with_gossip(target.address, target.name, ping)

    def _probe_indirectly(self, probe: _Probe) -> None:
        """Ask k relays to probe a target that has not answered in time, and ping it once more."""
        target = self._table.members.get(probe.target)
        if target is None:
            return
        self._context.counts["probes_indirect"] += 1
        probe.direct = False
        config = self._context.config
        candidates = [
            member
            for member in self._table.members.values()
            if member.state == MemberState.ALIVE and member is not target
        ]
        relays = self._context.random.sample(candidates, min(config.indirect_probes, len(candidates)))
        probe.relays_requested = len(relays)
        request = IndirectPing(config.cluster, config.name, (), probe.sequence, target.name, target.address)
        for relay in relays:
            self._outbox.put_with_gossip(relay.address, relay.name, request)
        self._ping(target, probe.sequence)

    def _end_round(self) -> None:
        """Evaluate the round's probe: update the local health, and suspect a target that did not answer."""
        probe = self._probe
        if probe is None:
            return
        self.stop()
        target = self._table.members.get(probe.target)
        if probe.answered or probe.nacks:
            self._context.local_health.record_answered_round()
        if probe.answered:
            self._record_path(target, direct=probe.direct)
            return
        self._context.counts["probes_failed"] += 1
        # Lifeguard, section IV-A: a missing Nack indicates a fault of this member, not of the target.
        missing_nacks = probe.relays_requested - len(probe.nacks)
        self._context.local_health.add(missing_nacks if probe.relays_requested else 1)
        if probe.relays_requested and not probe.nacks and probe.others_received:
            if self._context.local_health.record_unanswered_round():
                self._context.counts["isolations"] += 1
            return
        if target is not None and target.is_present:
            self._table.suspect(target)

    def _record_path(self, target: Member | None, *, direct: bool) -> None:
        """Count consecutive rounds answered through relays only, which indicate a cut of the direct link."""
        if target is None:
            return
        target.indirect_rounds = 0 if direct else target.indirect_rounds + 1
        cut_now = target.indirect_rounds == LINK_CUT_AFTER_ROUNDS
        self._context.counts["links_cut"] += int(cut_now)  # also adds 0, so that the counter is always listed
