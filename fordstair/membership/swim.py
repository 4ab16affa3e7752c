"""One member of a fleet: SWIM with Lifeguard, as a state machine without clock, socket or wire.

Das, Gupta, Motivala, "SWIM" (DSN 2002), sections 3.1 and 4.1 to 4.3; Dadgar, Phillips, Currey, "Lifeguard"
(DSN 2018), section IV. Hand in what happens with its time in milliseconds (``start``, ``receive``, ``tick``,
``leave``); carry out what ``outgoing`` and ``changes`` return, and come back at ``next_due``.

Beyond the papers, for members that stall or are cut off on one side:

- Time in which this member did not run counts against nobody: timers found late by more than a probe's
  timeout end the probe without a verdict, and push suspicions back by as much.
- A member that hears others while neither target nor helper answers it is *mute*: it accuses nobody, and lets
  no suspicion run out, until it is answered again.
- Dead members and seeds are tried from time to time, so that the sides of a partition find each other again.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from fordstair.membership.awareness import Awareness
from fordstair.membership.dissemination import Dissemination
from fordstair.membership.messages import (
    ALIVE,
    DEAD,
    LARGEST,
    LAST_INCARNATION,
    LEFT,
    SUSPECT,
    Ack,
    Malformed,
    Message,
    Nack,
    News,
    Ping,
    PingReq,
    Sync,
    Update,
    View,
    decode,
    encode,
    size,
)
from fordstair.membership.suspicion import Suspicion
from fordstair.membership.timers import Ticket, Timers

JITTER = 0.1  # of each period, either way, so that no two members keep step
NACK_PART = 0.8  # of a probe's timeout that a helper waits before it says so
RELAYS_MOST = 256  # probes for others that may be under way
LEAVE_FAN = 32  # members that hear of a leave at once; the rest from them
CONFIRMATIONS = 3  # Lifeguard's K: accusers beside the first that shorten a suspicion
ROUNDABOUT = 3  # probes in a row answered through helpers alone, after which the link counts as cut
MUTE_ROUNDS = 3  # unanswered rounds, while others are heard, after which this member holds itself mute
ENVELOPE = 64  # bytes of a message beside its texts and its news


@dataclass(frozen=True, slots=True)
class Fleet:
    """What one member is told; times in milliseconds."""

    cluster: str
    name: str
    address: str  # host:port at which the others reach this member
    seeds: tuple[str, ...] = ()
    probe_ms: float = 1_000.0  # one member is probed in each such period
    timeout_ms: float = 300.0  # after which an unanswered probe is tried through others
    indirect: int = 3  # how many others: SWIM's k
    suspicion: float = 5.0  # Lifeguard's alpha: the shortest suspicion is this times log10(N) periods
    suspicion_most: float = 6.0  # Lifeguard's beta: the longest one over the shortest
    sync_ms: float = 10_000.0  # between push-pulls with one random member
    forget_ms: float = 3_600_000.0  # after which a member that is dead or has left is forgotten
    members_most: int = 2_000


@dataclass(slots=True)
class Member:
    """Another member, as this one believes it to be."""

    name: str
    address: str
    incarnation: int
    state: int
    since: float  # when its state changed
    by: str  # who said so
    suspicion: Suspicion | None = None
    timer: Ticket | None = None  # of its suspicion, or of its being forgotten
    roundabout: int = 0  # probes in a row that it answered through helpers alone

    @property
    def there(self) -> bool:
        """Whether it is alive, or only suspected of not being so."""
        return self.state in (ALIVE, SUSPECT)

    @property
    def cut_off(self) -> bool:
        """Whether it is there for others, but not on the way between it and this member."""
        return self.roundabout >= ROUNDABOUT

    @property
    def update(self) -> Update:
        """Its state as others are told."""
        return Update(self.name, self.address, self.incarnation, self.state, self.by)


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state has changed, at ``at``; ``before`` is None for one that was not known."""

    name: str
    address: str
    before: int | None
    state: int
    incarnation: int
    by: str
    at: float


@dataclass(slots=True)
class _Probe:
    """The probe of one period."""

    number: int
    target: str
    asked: int = 0  # helpers
    nacks: set[str] = field(default_factory=set)
    answered: bool = False
    direct: bool = True
    others_heard: bool = False  # since it began
    timer: Ticket | None = None


@dataclass(slots=True)
class _Relay:
    """A probe made for another member."""

    requester: str
    number: int
    timer: Ticket | None = None


class Swim:
    """One member. It is not thread-safe, and needs its calls in order of time."""

    def __init__(self, fleet: Fleet, incarnation: int, seed: int) -> None:
        self.fleet, self.random = fleet, Random(seed)
        self.incarnation = max(1, min(LAST_INCARNATION - 1, incarnation))
        self.members: dict[str, Member] = {}
        self.awareness = Awareness()
        self.counts: Counter[str] = Counter()
        self.mute, self.left = False, False
        self._timers, self._dissemination = Timers(), Dissemination()
        self._out: list[tuple[str, bytes]] = []
        self._changes: list[Changed] = []
        self._order: list[str] = []  # probe targets of this pass, the next one last (SWIM, section 4.3)
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._number, self._unanswered, self._now = self.random.getrandbits(24), 0, 0.0
        self._digest: int | None = None
        self._alive = 1

    # What the driver calls

    @property
    def next_due(self) -> float | None:
        """When ``tick`` is wanted next; None before the start and after a leave."""
        return self._timers.next_due

    def start(self, now: float) -> None:
        """Join: open a push-pull with every seed, and begin to probe within one period."""
        self._now = now
        self._dissemination.add(self.update)
        self._reach(self.fleet.seeds)
        self._timers.add(now + self.random.random() * self.fleet.probe_ms, self._round)
        self._timers.add(now + self._jitter(2.0 * self.fleet.probe_ms), self._synchronise)

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Take a datagram in from that address; what is malformed or foreign is counted and dropped."""
        self._now = now
        if self.left:
            return
        try:
            message = decode(datagram)
        except Malformed:
            self.counts["malformed"] += 1
            return
        if message.cluster != self.fleet.cluster:
            self.counts["foreign"] += 1
            return
        if message.sender == self.fleet.name:  # an echo, or another one of this name: its news is not heeded
            self.counts["own_name"] += 1
            return
        self.counts["received"] += 1
        if self._probe is not None and message.sender != self._probe.target:
            self._probe.others_heard = True
        for update in message.news:
            self._merge(update)
        match message:
            case Ping():
                if message.target == self.fleet.name:
                    self._send(source, message.sender, lambda news: Ack(*self._head, news, message.number))
            case Ack():
                self._answered(message)
            case PingReq():
                self._help(message, source)
            case Nack():
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.nacks.add(message.sender)
            case Sync():
                if message.digest != self.digest or self._doubted(message.sender):
                    self._tell_all(source, back=True)
            case View():
                if message.back:
                    self._tell_all(source, back=False)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._now = now
        due = self._timers.next_due
        if due is not None and now - due > self.fleet.timeout_ms:
            self._overslept(now - due)
        while (taken := self._timers.take(now)) is not None:
            taken[1](taken[0])

    def know(self, now: float, updates: Iterable[Update]) -> None:
        """Take members as known before the start, as kept of an earlier life; nothing is spread."""
        self._now = now
        for update in updates:
            self._merge(update)
            self._dissemination.forget(update.name)
        self._changes.clear()

    def leave(self, now: float) -> None:
        """Tell others that this member leaves; nothing is sent or heeded afterwards."""
        self._now, self.left = now, True
        update = Update(self.fleet.name, self.fleet.address, self.incarnation, LEFT, self.fleet.name)
        there = self._there
        for member in self.random.sample(there, min(LEAVE_FAN, len(there))):
            self._put(member.address, View(*self._head, (update,), False))
        self._timers, self._probe = Timers(), None
        self._relays.clear()

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take the datagrams to send, each with its address."""
        out, self._out = self._out, []
        return out

    def changes(self) -> list[Changed]:
        """Take what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # What others are told

    @property
    def update(self) -> Update:
        """This member's own state."""
        state = LEFT if self.left else ALIVE
        return Update(self.fleet.name, self.fleet.address, self.incarnation, state, self.fleet.name)

    @property
    def digest(self) -> int:
        """A checksum of who is there, with incarnations and states; equal views have equal ones."""
        if self._digest is None:
            updates = [self.update, *(each.update for each in self._there)]
            lines = sorted(f"{each.name} {each.incarnation} {each.state}" for each in updates)
            self._digest = crc32("\n".join(lines).encode())
        return self._digest

    @property
    def _there(self) -> list[Member]:
        """The others that are there as far as is known: alive, or only suspected."""
        return [each for each in self.members.values() if each.there]

    @property
    def _head(self) -> tuple[str, str]:
        return self.fleet.cluster, self.fleet.name

    def _send(self, address: str, to: str, message: Callable[[News], Message], texts: int = 0) -> None:
        """Send a message with news; a member that is doubted hears so first (Lifeguard, section IV-C)."""
        member = self.members.get(to)
        doubted = (member.update,) if member is not None and member.state in (SUSPECT, DEAD) else ()
        room = LARGEST - ENVELOPE - len(self.fleet.cluster) - len(self.fleet.name) - len(to) - texts
        self._put(address, message(self._dissemination.news(self._alive, room, doubted)))

    def _put(self, address: str, message: Message) -> None:
        datagram = encode(message)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(datagram)
        self._out.append((address, datagram))

    def _reach(self, addresses: Iterable[str]) -> None:
        """Open a push-pull with whoever is at these addresses."""
        for address in addresses:
            if address != self.fleet.address:
                self._put(address, Sync(*self._head, (self.update,), self.digest))

    def _tell_all(self, address: str, *, back: bool) -> None:
        """Send the whole view, in as many datagrams as it takes; only the last one asks back."""
        parts = list(self._parts())
        for number, part in enumerate(parts, 1):
            self._put(address, View(*self._head, part, back and number == len(parts)))

    def _parts(self) -> Iterator[tuple[Update, ...]]:
        room = LARGEST - ENVELOPE - len(self.fleet.cluster) - len(self.fleet.name)
        part, left = list[Update](), room
        for update in (self.update, *(each.update for each in self.members.values())):
            if size(update) > left or len(part) >= 64:
                yield tuple(part)
                part, left = [], room
            part.append(update)
            left -= size(update)
        yield tuple(part)

    def _doubted(self, name: str) -> bool:
        member = self.members.get(name)
        return member is None or member.state != ALIVE

    # What it believes

    def _merge(self, update: Update) -> None:
        """Take one update in: the greater order holds, whatever came first."""
        if update.name == self.fleet.name:
            return self._of_me(update)
        member = self.members.get(update.name)
        if member is None:
            if update.state == ALIVE and self._has_room():
                self._learn(update)
        elif update.order > member.update.order:
            self._set(member, update)
        elif update.order == member.update.order and member.suspicion is not None:
            self._confirm(member, update.by)

    def _of_me(self, update: Update) -> None:
        """Refute what is not so, with a greater incarnation (SWIM, section 4.2)."""
        if update.address != self.fleet.address and update.state == ALIVE:
            self.counts["name_taken"] += 1
        wrong = update.state != ALIVE and update.incarnation >= self.incarnation
        if not self.left and (wrong or update.incarnation > self.incarnation):
            self.incarnation = min(LAST_INCARNATION, update.incarnation + 1)
            self.counts["refutations"] += 1
            if update.state == SUSPECT:
                self.awareness.add(1)
            self._digest = None
            self._dissemination.add(self.update)

    def _has_room(self) -> bool:
        if len(self.members) < self.fleet.members_most:
            return True
        self.counts["members_refused"] += 1
        return False

    def _learn(self, update: Update) -> None:
        member = Member(update.name, update.address, update.incarnation, DEAD, self._now, update.by)
        self.members[update.name] = member
        self._set(member, update, known=False)
        # a newcomer takes a random place in this pass, so that members do not probe it all at once
        self._order.insert(self.random.randint(0, len(self._order)), update.name)

    def _set(self, member: Member, update: Update, *, known: bool = True) -> None:
        """Take a state over, and spread it."""
        before = member.state if known else None
        was_there = known and member.there
        self._timers.drop(member.timer)
        member.suspicion, member.timer, member.since = None, None, self._now
        member.address, member.incarnation = update.address, update.incarnation
        member.state, member.by = update.state, update.by
        self._alive += member.there - was_there
        if member.state == SUSPECT:
            least = self.fleet.suspicion * max(1.0, math.log10(self._alive)) * self.fleet.probe_ms
            member.suspicion = Suspicion(
                self._now,
                update.by,
                least,
                least * self.fleet.suspicion_most,
                min(CONFIRMATIONS, self._alive - 2),
            )
            self._await_end(member, member.suspicion)
        elif member.state in (DEAD, LEFT):
            member.timer = self._timers.add(self._now + self.fleet.forget_ms, lambda _: self._forget(member))
        if before != member.state:
            self.counts[("alive", "suspicions", "deaths", "leaves")[member.state]] += 1
            self._changes.append(
                Changed(
                    member.name,
                    member.address,
                    before,
                    member.state,
                    member.incarnation,
                    member.by,
                    self._now,
                )
            )
        self._digest = None
        self._dissemination.add(update)

    def _confirm(self, member: Member, accuser: str) -> None:
        """Count a further accuser, which shortens the suspicion and is passed on."""
        if member.suspicion is not None and member.suspicion.confirm(accuser):
            self._timers.drop(member.timer)
            self._await_end(member, member.suspicion)
            self._dissemination.add(Update(member.name, member.address, member.incarnation, SUSPECT, accuser))

    def _await_end(self, member: Member, suspicion: Suspicion) -> None:
        member.timer = self._timers.add(max(self._now, suspicion.until), lambda _: self._unrefuted(member))

    def _unrefuted(self, member: Member) -> None:
        """A suspicion has run out; a mute member would not have heard of a refutation by its own doing."""
        if self.mute:
            later = self._now + self.fleet.probe_ms
            member.timer = self._timers.add(later, lambda _: self._unrefuted(member))
            return
        self._set(member, self._verdict(member, DEAD))

    def _verdict(self, member: Member, state: int) -> Update:
        return Update(member.name, member.address, member.incarnation, state, self.fleet.name)

    def _forget(self, member: Member) -> None:
        del self.members[member.name]
        self._dissemination.forget(member.name)

    def _overslept(self, late_ms: float) -> None:
        """This member did not run for a while: nobody could have answered it or refuted anything to it."""
        self.counts["overslept"] += 1
        self.awareness.add(1)
        if self._probe is not None:
            self._timers.drop(self._probe.timer)
            self._probe = None
        for member in self.members.values():
            if member.suspicion is not None:
                self._timers.drop(member.timer)
                member.suspicion.since += late_ms + self.fleet.probe_ms
                self._await_end(member, member.suspicion)

    # Probing

    def _round(self, _: float) -> None:
        """End the last period's probe and begin the next (SWIM, section 3.1)."""
        self._judge()
        period = self.awareness.scale(self._jitter(self.fleet.probe_ms))
        self._timers.add(self._now + period, self._round)
        if (target := self._next_target()) is None:
            return
        probe = self._probe = _Probe(self._next_number(), target.name)
        self.counts["probes"] += 1
        self._ping(target, probe.number)
        timeout = min(self.awareness.scale(self.fleet.timeout_ms), 0.5 * period)
        probe.timer = self._timers.add(self._now + timeout, lambda _: self._ask_others(probe))

    def _next_target(self) -> Member | None:
        """Round-robin over a random order that is drawn anew for each pass (SWIM, section 4.3)."""
        for _ in range(2):
            while self._order:
                member = self.members.get(self._order.pop())
                if member is not None and member.there:
                    return member
            self._order = [each.name for each in self._there]
            self.random.shuffle(self._order)
        return None

    def _ping(self, target: Member, number: int) -> None:
        self._send(
            target.address,
            target.name,
            lambda news: Ping(*self._head, news, number, target.name),
            len(target.name),
        )

    def _ask_others(self, probe: _Probe) -> None:
        """No answer in time: ask k others, and the target once more."""
        target = self.members.get(probe.target)
        if probe.answered or probe is not self._probe or target is None:
            return
        self.counts["probes_indirect"] += 1
        probe.direct = False
        able = [each for each in self.members.values() if each.state == ALIVE and each is not target]
        helpers = self.random.sample(able, min(self.fleet.indirect, len(able)))
        probe.asked = len(helpers)
        for helper in helpers:
            self._send(
                helper.address,
                helper.name,
                lambda news: PingReq(*self._head, news, probe.number, target.name, target.address),
                len(target.name) + len(target.address),
            )
        self._ping(target, probe.number)

    def _answered(self, ack: Ack) -> None:
        if (relay := self._relays.pop(ack.number, None)) is not None:
            self._timers.drop(relay.timer)
            self._send(relay.requester, "", lambda news: Ack(*self._head, news, relay.number))
        probe = self._probe
        if probe is not None and probe.number == ack.number and not probe.answered:
            probe.answered = True
            self._timers.drop(probe.timer)
            self.awareness.add(-1)
            probe.direct = probe.direct or ack.sender == probe.target

    def _judge(self) -> None:
        """The verdict of a period."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        self._timers.drop(probe.timer)
        target = self.members.get(probe.target)
        if probe.answered or probe.nacks:
            self._unanswered, self.mute = 0, False
        if probe.answered:
            if target is not None:
                target.roundabout = 0 if probe.direct else target.roundabout + 1
                self.counts["links_cut"] += target.roundabout == ROUNDABOUT
            return
        self.counts["probes_failed"] += 1
        # Lifeguard: a helper that does not even say Nack points to this member rather than to the target.
        self.awareness.add(probe.asked - len(probe.nacks) if probe.asked else 1)
        if probe.asked and not probe.nacks and probe.others_heard:
            self._unanswered += 1
            if self._unanswered >= MUTE_ROUNDS and not self.mute:
                self.mute = True
                self.counts["mute"] += 1
            return
        if target is None or not target.there:
            return
        if target.suspicion is not None:
            self._confirm(target, self.fleet.name)
        else:
            self._set(target, self._verdict(target, SUSPECT))

    def _help(self, request: PingReq, source: str) -> None:
        """Probe for another member."""
        if len(self._relays) >= RELAYS_MOST:
            self.counts["relays_refused"] += 1
            return
        number = self._next_number()
        relay = self._relays[number] = _Relay(source, request.number)
        self._send(
            request.address,
            request.target,
            lambda news: Ping(*self._head, news, number, request.target),
            len(request.target),
        )
        relay.timer = self._timers.add(
            self._now + NACK_PART * self.fleet.timeout_ms, lambda _: self._in_vain(number)
        )

    def _in_vain(self, number: int) -> None:
        """Say Nack; an Ack that comes later is still passed on for the rest of a period."""
        relay = self._relays[number]
        self._send(relay.requester, "", lambda news: Nack(*self._head, news, relay.number))
        relay.timer = self._timers.add(self._now + self.fleet.probe_ms, lambda _: self._drop_relay(number))

    def _drop_relay(self, number: int) -> None:
        self._relays.pop(number, None)

    # Anti-entropy

    def _synchronise(self, _: float) -> None:
        """Push-pull with one member that is there, and try one that is not: a partition may have healed."""
        there = self._there
        addresses = {each.address for each in there}
        gone = [each.address for each in self.members.values() if each.state == DEAD]
        gone += [seed for seed in self.fleet.seeds if seed not in addresses and seed != self.fleet.address]
        if there:
            self._reach([self.random.choice(there).address])
            self._reach([self.random.choice(gone)] if gone else [])
        else:
            self._reach(self.fleet.seeds)
            self._reach(gone[:LEAVE_FAN])
        wait = self.fleet.sync_ms if there else min(self.fleet.sync_ms, 2.0 * self.fleet.probe_ms)
        self._timers.add(self._now + self._jitter(wait), self._synchronise)

    def _jitter(self, ms: float) -> float:
        return ms * self.random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def _next_number(self) -> int:
        self._number = (self._number + 1) % 2**32
        return self._number
