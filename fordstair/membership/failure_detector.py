"""The failure detector's probe rounds (SWIM, section 3.1, with Lifeguard's local health); pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from fordstair.membership.context import MemberContext
from fordstair.membership.member_table import LINK_CUT_AFTER_ROUNDS, Member, MemberTable
from fordstair.membership.messages import Ack, IndirectPing, MemberState, Nack, Ping
from fordstair.membership.outbox import Outbox
from fordstair.membership.timers import TimerHandle

MAX_TIMEOUT_FACTOR = 0.5  # of a round: indirect probes need time to be answered in it


@dataclass(slots=True)
class _Probe:
    """The probe of one round."""

    sequence: int
    target: str
    relays_asked: int = 0
    nacks: set[str] = field(default_factory=set)  # relays that answered, though the target did not
    answered: bool = False
    direct: bool = True  # no relay was needed
    others_heard: bool = False  # something came from a member beside the target
    timer: TimerHandle | None = None


class FailureDetector:
    """Probes one member in each interval; accuses those that answer neither directly nor through relays."""

    def __init__(self, context: MemberContext, table: MemberTable, outbox: Outbox) -> None:
        self._context = context
        self._table = table
        self._outbox = outbox
        self._order: list[str] = []  # targets of this pass, the next one last
        self._probe: _Probe | None = None

    def start(self) -> None:
        """Begin the first round at a random moment within one interval."""
        interval_ms = self._context.config.probe_interval_ms
        self._context.after(self._context.random.random() * interval_ms, self._begin_round)

    def stop(self) -> None:
        """Give up the probe that is under way, without a verdict."""
        if self._probe is not None:
            self._context.timers.cancel(self._probe.timer)
            self._probe = None

    def member_joined(self, name: str) -> None:
        """Give a new member a random place in this pass, so that not all members probe it at once."""
        self._order.insert(self._context.random.randint(0, len(self._order)), name)

    def heard_from(self, sender: str) -> None:
        """Note a message from a member."""
        if self._probe is not None and sender != self._probe.target:
            self._probe.others_heard = True

    def receive_ack(self, ack: Ack) -> None:
        """Take the answer of the target, or of a relay that the target has answered."""
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence or probe.answered:
            return
        probe.answered = True
        self._context.timers.cancel(probe.timer)
        self._context.local_health.add(-1)
        probe.direct = probe.direct or ack.sender == probe.target

    def receive_nack(self, nack: Nack) -> None:
        """Take the answer of a relay that the target has not answered."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks.add(nack.sender)

    def _begin_round(self) -> None:
        """End the last round's probe and begin the next."""
        self._end_round()
        config = self._context.config
        health = self._context.local_health
        round_ms = health.scale(self._context.jittered(config.probe_interval_ms))
        self._context.after(round_ms, self._begin_round)
        target = self._next_target()
        if target is None:
            return
        probe = _Probe(self._context.next_sequence(), target.name)
        self._probe = probe
        self._context.counts["probes"] += 1
        self._ping(target, probe.sequence)
        timeout_ms = min(health.scale(config.probe_timeout_ms), MAX_TIMEOUT_FACTOR * round_ms)
        probe.timer = self._context.after(timeout_ms, partial(self._probe_indirectly, probe))

    def _next_target(self) -> Member | None:
        """Round-robin over an order that is shuffled for each pass (SWIM, section 4.3)."""
        for _ in range(2):
            while self._order:
                member = self._table.members.get(self._order.pop())
                if member is not None and member.is_present:
                    return member
            self._order = [member.name for member in self._table.present]
            self._context.random.shuffle(self._order)
        return None

    def _ping(self, target: Member, sequence: int) -> None:
        config = self._context.config
        ping = Ping(config.cluster, config.name, (), sequence, target.name)
        self._outbox.put_with_gossip(target.address, target.name, ping)

    def _probe_indirectly(self, probe: _Probe) -> None:
        """The target has not answered in time: ask k relays, and the target once more."""
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
        probe.relays_asked = len(relays)
        request = IndirectPing(config.cluster, config.name, (), probe.sequence, target.name, target.address)
        for relay in relays:
            self._outbox.put_with_gossip(relay.address, relay.name, request)
        self._ping(target, probe.sequence)

    def _end_round(self) -> None:
        """Give the round's verdict on its target."""
        probe = self._probe
        if probe is None:
            return
        self.stop()
        target = self._table.members.get(probe.target)
        if probe.answered or probe.nacks:
            self._context.local_health.answered()
        if probe.answered:
            self._note_path(target, direct=probe.direct)
            return
        self._context.counts["probes_failed"] += 1
        # Lifeguard, section IV-A: a relay without even a Nack points to this member, not to the target.
        missing_nacks = probe.relays_asked - len(probe.nacks)
        self._context.local_health.add(missing_nacks if probe.relays_asked else 1)
        if probe.relays_asked and not probe.nacks and probe.others_heard:
            if self._context.local_health.unanswered():
                self._context.counts["isolations"] += 1
            return
        if target is not None and target.is_present:
            self._table.suspect(target)

    def _note_path(self, target: Member | None, *, direct: bool) -> None:
        """Count rounds in which a target answers through relays alone: the direct way may be cut."""
        if target is None:
            return
        target.indirect_rounds = 0 if direct else target.indirect_rounds + 1
        cut_now = target.indirect_rounds == LINK_CUT_AFTER_ROUNDS
        self._context.counts["links_cut"] += int(cut_now)  # shown among the counters at 0 too
