"""The table of all other members, with their states as this member sees them; pure."""

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

EXPECTED_CONFIRMATIONS = 3  # Lifeguard's K: accusers after the first, each shortening a suspicion
LINK_CUT_AFTER_ROUNDS = 3  # consecutive probe rounds answered through relays only

_COUNTER_BY_STATE = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspicions",
    MemberState.DEAD: "deaths",
    MemberState.LEFT: "leaves",
}


@dataclass(slots=True)
class Member:
    """Another member, as this member sees it.

    Attributes:
        changed_ms: When the state or the incarnation last changed.
        reporter: The member that reported the state.
        suspicion: The suspicion in progress, if the state is SUSPECT.
        timer: The timer of the suspicion's expiry, or of the removal from the table.
        indirect_rounds: The number of consecutive probe rounds answered through relays only.
    """

    name: str
    address: str
    incarnation: int
    state: MemberState
    changed_ms: float
    reporter: str
    suspicion: Suspicion | None = None
    timer: TimerHandle | None = None
    indirect_rounds: int = 0

    @property
    def is_present(self) -> bool:
        """Return whether the member is alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def link_cut(self) -> bool:
        """Return whether other members reach it, but this member does not reach it directly."""
        return self.indirect_rounds >= LINK_CUT_AFTER_ROUNDS

    @property
    def update(self) -> Update:
        """The update that other members receive on this member."""
        return Update(self.name, self.address, self.incarnation, self.state, self.reporter)


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A change of a member's state; ``previous_state`` is None for a new member."""

    name: str
    address: str
    previous_state: MemberState | None
    state: MemberState
    incarnation: int
    reporter: str
    at_ms: float


class MemberTable:
    """All other members by name; state transitions are disseminated and recorded as changes.

    Attributes:
        present_count: The number of present members, including this one.
    """

    def __init__(self, context: MemberContext, local: LocalMember, dissemination: Dissemination) -> None:
        self.members: dict[str, Member] = {}
        self.present_count = 1
        self._context = context
        self._local = local
        self._dissemination = dissemination
        self._changes: list[MemberChanged] = []
        self._digest: int | None = None

    @property
    def present(self) -> list[Member]:
        """The other members that are alive or suspected."""
        return [member for member in self.members.values() if member.is_present]

    @property
    def digest(self) -> int:
        """A checksum over the names, incarnations and states of the present members."""
        if self._digest is None:
            updates = [self._local.update, *(member.update for member in self.present)]
            lines = sorted(f"{update.name} {update.incarnation} {update.state:d}" for update in updates)
            self._digest = crc32("\n".join(lines).encode())
        return self._digest

    def is_alive(self, name: str) -> bool:
        """Return whether a member is known and its state is ALIVE."""
        member = self.members.get(name)
        return member is not None and member.state == MemberState.ALIVE

    def take_changes(self) -> list[MemberChanged]:
        """Return and clear the changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def apply(self, update: Update) -> bool:
        """Apply an update on another member if it takes precedence; return whether the member was added."""
        member = self.members.get(update.name)
        if member is None:
            return self._add_member(update)
        if update.precedence > member.update.precedence:
            self._transition(member, update)
        elif update.precedence == member.update.precedence:
            self._confirm_suspicion(member, update.reporter)
        return False

    def suspect(self, member: Member) -> None:
        """Suspect a member that did not answer, or confirm the suspicion in progress."""
        if member.suspicion is not None:
            self._confirm_suspicion(member, self._context.config.name)
        else:
            self._transition(member, self._local_report(member, MemberState.SUSPECT))

    def disseminate_local_state(self) -> None:
        """Disseminate this member's own state after a change."""
        self._digest = None
        self._dissemination.add(self._local.update)

    def postpone_suspicions(self, by_ms: float) -> None:
        """Extend all suspicions by a pause in which no refutation could arrive."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.postpone(by_ms)
                self._schedule_expiry(member, member.suspicion)

    def _add_member(self, update: Update) -> bool:
        """Add an unknown member if it is alive and the table has room; return whether it was added."""
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
        """Apply the state in the update to a member."""
        previous_state = member.state if known else None
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
            dead_retention_ms = self._context.config.dead_retention_ms
            member.timer = self._context.call_later(dead_retention_ms, partial(self._remove, member))
        if previous_state != member.state:
            self._record_change(member, previous_state)
        self._digest = None
        self._dissemination.add(update)

    def _record_change(self, member: Member, previous_state: MemberState | None) -> None:
        self._context.counts[_COUNTER_BY_STATE[member.state]] += 1
        self._changes.append(
            MemberChanged(
                member.name,
                member.address,
                previous_state,
                member.state,
                member.incarnation,
                member.reporter,
                self._context.now_ms,
            )
        )

    def _start_suspicion(self, member: Member) -> None:
        """Start Lifeguard's suspicion (section IV-B); its timeout grows with log10 of the fleet's size."""
        config = self._context.config
        min_timeout_ms = (
            config.suspicion_factor * max(1.0, math.log10(self.present_count)) * config.probe_interval_ms
        )
        max_timeout_ms = min_timeout_ms * config.max_suspicion_factor
        possible_accusers = self.present_count - 2  # without the first accuser and the suspect
        expected_confirmations = min(EXPECTED_CONFIRMATIONS, possible_accusers)
        member.suspicion = Suspicion(
            self._context.now_ms, member.reporter, min_timeout_ms, max_timeout_ms, expected_confirmations
        )
        self._schedule_expiry(member, member.suspicion)

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        """Add an accuser; if that shortens the suspicion, disseminate the accusation."""
        if member.suspicion is not None and member.suspicion.confirm(accuser):
            self._schedule_expiry(member, member.suspicion)
            self._dissemination.add(
                Update(member.name, member.address, member.incarnation, MemberState.SUSPECT, accuser)
            )

    def _schedule_expiry(self, member: Member, suspicion: Suspicion) -> None:
        self._context.timers.cancel(member.timer)
        due_ms = max(self._context.now_ms, suspicion.expires_ms)
        member.timer = self._context.timers.add(due_ms, partial(self._suspicion_expired, member))

    def _suspicion_expired(self, member: Member) -> None:
        """Declare a member dead; postponed while this member is isolated and no refutation could reach it."""
        if self._context.local_health.isolated:
            delay_ms = self._context.config.probe_interval_ms
            member.timer = self._context.call_later(delay_ms, partial(self._suspicion_expired, member))
            return
        self._transition(member, self._local_report(member, MemberState.DEAD))

    def _local_report(self, member: Member, state: MemberState) -> Update:
        return Update(member.name, member.address, member.incarnation, state, self._context.config.name)

    def _remove(self, member: Member) -> None:
        """Remove a member that is dead or has left."""
        del self.members[member.name]
        self._dissemination.discard(member.name)
