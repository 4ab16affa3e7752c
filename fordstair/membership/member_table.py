"""What this member believes of all others: the member table and its state transitions; pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial
from zlib import crc32

from fordstair.membership.context import MemberContext
from fordstair.membership.dissemination import Dissemination
from fordstair.membership.local_member import LocalMember
from fordstair.membership.messages import MemberState, Update
from fordstair.membership.suspicion import Suspicion
from fordstair.membership.timers import TimerHandle

CONFIRMATIONS_WANTED = 3  # Lifeguard's K: accusers beside the first that shorten a suspicion
LINK_CUT_AFTER_ROUNDS = 3  # probe rounds in a row answered through relays alone

_COUNTER_OF_STATE = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspicions",
    MemberState.DEAD: "deaths",
    MemberState.LEFT: "leaves",
}


@dataclass(slots=True)
class Member:
    """Another member, as this one believes it to be."""

    name: str
    address: str
    incarnation: int
    state: MemberState
    changed_ms: float  # when its state changed
    reporter: str  # who reported the state
    suspicion: Suspicion | None = None
    timer: TimerHandle | None = None  # of the suspicion's end, or of its removal from the table
    indirect_rounds: int = 0  # probe rounds in a row that it answered through relays alone

    @property
    def is_present(self) -> bool:
        """Whether it is alive, or at most suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def link_cut(self) -> bool:
        """Whether others reach it, but this member does not on the direct way."""
        return self.indirect_rounds >= LINK_CUT_AFTER_ROUNDS

    @property
    def update(self) -> Update:
        """Its state, as others are told."""
        return Update(self.name, self.address, self.incarnation, self.state, self.reporter)


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's state has changed; ``before`` is None for a member that was not known."""

    name: str
    address: str
    before: MemberState | None
    state: MemberState
    incarnation: int
    reporter: str
    at_ms: float


class MemberTable:
    """All other members by name. A transition is spread to others and noted among the changes."""

    def __init__(self, context: MemberContext, local: LocalMember, dissemination: Dissemination) -> None:
        self.members: dict[str, Member] = {}
        self.present_count = 1  # members present, this one included
        self._context = context
        self._local = local
        self._dissemination = dissemination
        self._changes: list[MemberChanged] = []
        self._digest: int | None = None

    @property
    def present(self) -> list[Member]:
        """The other members that are alive, or at most suspected."""
        return [member for member in self.members.values() if member.is_present]

    @property
    def digest(self) -> int:
        """A checksum of the present members with incarnations and states; equal tables have equal ones."""
        if self._digest is None:
            updates = [self._local.update, *(member.update for member in self.present)]
            lines = sorted(f"{update.name} {update.incarnation} {update.state:d}" for update in updates)
            self._digest = crc32("\n".join(lines).encode())
        return self._digest

    def is_alive(self, name: str) -> bool:
        """Whether a member is known, and not even suspected."""
        member = self.members.get(name)
        return member is not None and member.state == MemberState.ALIVE

    def take_changes(self) -> list[MemberChanged]:
        """Take out what has changed since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def apply(self, update: Update) -> bool:
        """Apply an update on another member if its precedence is greater; return whether it was unknown."""
        member = self.members.get(update.name)
        if member is None:
            return self._join(update)
        if update.precedence > member.update.precedence:
            self._transition(member, update)
        elif update.precedence == member.update.precedence:
            self._confirm_suspicion(member, update.reporter)
        return False

    def suspect(self, member: Member) -> None:
        """Accuse a member that did not answer, or confirm the suspicion that there is."""
        if member.suspicion is not None:
            self._confirm_suspicion(member, self._context.config.name)
        else:
            self._transition(member, self._verdict(member, MemberState.SUSPECT))

    def local_changed(self) -> None:
        """Spread this member's own state, which has changed."""
        self._digest = None
        self._dissemination.add(self._local.update)

    def postpone_suspicions(self, by_ms: float) -> None:
        """Give suspected members more time, for a pause in which no refutation could be heard."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.postpone(by_ms)
                self._await_expiry(member, member.suspicion)

    def _join(self, update: Update) -> bool:
        """Add a member that was not known; only an alive one is added."""
        if update.state != MemberState.ALIVE:
            return False
        if len(self.members) >= self._context.config.max_members:
            self._context.counts["members_rejected"] += 1
            return False
        member = Member(
            update.name,
            update.address,
            update.incarnation,
            MemberState.DEAD,
            self._context.now_ms,
            update.reporter,
        )
        self.members[update.name] = member
        self._transition(member, update, known=False)
        return True

    def _transition(self, member: Member, update: Update, *, known: bool = True) -> None:
        """Change a member's state to the update's."""
        before = member.state if known else None
        was_present = known and member.is_present
        self._context.timers.cancel(member.timer)
        member.suspicion = None
        member.timer = None
        member.changed_ms = self._context.now_ms
        member.address = update.address
        member.incarnation = update.incarnation
        member.state = update.state
        member.reporter = update.reporter
        self.present_count += member.is_present - was_present
        if member.state == MemberState.SUSPECT:
            self._start_suspicion(member)
        elif not member.is_present:
            forget_after_ms = self._context.config.forget_after_ms
            member.timer = self._context.after(forget_after_ms, partial(self._forget, member))
        if before != member.state:
            self._note_change(member, before)
        self._digest = None
        self._dissemination.add(update)

    def _note_change(self, member: Member, before: MemberState | None) -> None:
        self._context.counts[_COUNTER_OF_STATE[member.state]] += 1
        self._changes.append(
            MemberChanged(
                member.name,
                member.address,
                before,
                member.state,
                member.incarnation,
                member.reporter,
                self._context.now_ms,
            )
        )

    def _start_suspicion(self, member: Member) -> None:
        """Begin Lifeguard's suspicion (section IV-B); its shortest timeout grows with log10 of the fleet."""
        config = self._context.config
        min_ms = config.suspicion_factor * max(1.0, math.log10(self.present_count)) * config.probe_interval_ms
        max_ms = min_ms * config.suspicion_max_factor
        possible_accusers = self.present_count - 2  # neither the first accuser nor the accused
        confirmations_wanted = min(CONFIRMATIONS_WANTED, possible_accusers)
        member.suspicion = Suspicion(
            self._context.now_ms, member.reporter, min_ms, max_ms, confirmations_wanted
        )
        self._await_expiry(member, member.suspicion)

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        """Count a further accuser, which shortens the suspicion and is spread."""
        if member.suspicion is not None and member.suspicion.confirm(accuser):
            self._await_expiry(member, member.suspicion)
            self._dissemination.add(
                Update(member.name, member.address, member.incarnation, MemberState.SUSPECT, accuser)
            )

    def _await_expiry(self, member: Member, suspicion: Suspicion) -> None:
        self._context.timers.cancel(member.timer)
        due_ms = max(self._context.now_ms, suspicion.expires_ms)
        member.timer = self._context.timers.add(due_ms, partial(self._suspicion_expired, member))

    def _suspicion_expired(self, member: Member) -> None:
        """Declare a member dead, but not while this one is isolated: no refutation could have reached it."""
        if self._context.local_health.isolated:
            delay_ms = self._context.config.probe_interval_ms
            member.timer = self._context.after(delay_ms, partial(self._suspicion_expired, member))
            return
        self._transition(member, self._verdict(member, MemberState.DEAD))

    def _verdict(self, member: Member, state: MemberState) -> Update:
        return Update(member.name, member.address, member.incarnation, state, self._context.config.name)

    def _forget(self, member: Member) -> None:
        """Drop a member that is dead or has left."""
        del self.members[member.name]
        self._dissemination.discard(member.name)
