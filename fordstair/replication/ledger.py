"""The ledger of repeat ids: a load runs only for whom a majority of its key's holders has granted it.

Majority consensus over fixed holders (Thomas, "A majority consensus approach", TODS 1979, section 3): two
majorities meet in one holder, and a holder grants a key once. ``Holder`` is what one member keeps and
answers; ``Claim`` is one claimant's count of the answers. Both are pure: no clock, no disk, no wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

from fordstair.replication.ranges import RANGES, Ranges, digest_of, range_of

REPLICAS = 3  # holders of a key
OUTCOME_MOST = 16 * 1024  # bytes of an answer that is kept
UNKNOWN_TOKEN = "?"  # of a grant that cannot be read any more: given to somebody, and never released


class Entry(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a holder knows of one key: who was granted it, and how it ended, if that is known."""

    token: Annotated[str, Meta(min_length=1, max_length=512)]  # the claim: claimant, its start, a number
    granted_ms: Annotated[int, Meta(ge=0, le=2**53)]  # when this holder granted it, by its own clock
    outcome: Annotated[bytes, Meta(max_length=OUTCOME_MOST)] | None = None


class Word(Enum):
    """What a holder answers to a claim."""

    GRANTED = 0
    TAKEN = 1  # another claim has it; with its outcome where that is known
    CANNOT = 2  # this holder may not grant now: its memory or its disk is in doubt


@dataclass(frozen=True, slots=True)
class Answer:
    """A holder's word; ``token`` and ``outcome`` go with TAKEN."""

    word: Word
    token: str = ""
    outcome: bytes | None = None


def merge(one: Entry | None, other: Entry | None) -> Entry | None:
    """The rule for copies that differ, a join: nothing < a grant < grants to two < an outcome.

    Grants to two claims become one to nobody who can still ask, since either may have counted it. Two
    outcomes under different tokens cannot be: each would prove a majority of its own.
    """
    if one is None or other is None:
        return one or other
    granted_ms = max(one.granted_ms, other.granted_ms)
    if one.outcome is None and other.outcome is None:
        return Entry(one.token if one.token == other.token else UNKNOWN_TOKEN, granted_ms)
    first = min(
        (each for each in (one, other) if each.outcome is not None),
        key=lambda each: (each.token, each.outcome),
    )
    return Entry(first.token, granted_ms, first.outcome)


class Holder:
    """One member's part of the ledger. What a call returns as changed must be on disk before it is answered.

    ``digests`` holds for each other member a digest by range of what is settled and held by both: equal
    entries have equal ones, in whatever order they came. The grants' times are left out: each holder has its
    own.
    """

    def __init__(self, own: str, members: Iterable[str], replicas: int, repeat_ms: float, most: int) -> None:
        self.own, self.members, self.replicas = own, tuple(members), replicas
        self.repeat_ms, self.most = repeat_ms, most
        self.entries: dict[str, Entry] = {}  # oldest first, but for copies: they are kept up to twice as long
        self.ranges: Ranges[Entry] = Ranges()
        self.digests = {name: [0] * RANGES for name in self.members if name != own}
        self.gone: list[str] = []  # forgotten, and still on disk
        self.doubted = ""  # why this holder may not grant; empty: it may

    def claim(self, now: float, key: str, token: str) -> tuple[Answer, Entry | None]:
        """Answer a claim; with GRANTED comes the entry to write."""
        self.expire(now)
        if (entry := self.entries.get(key)) is not None:
            if entry.token == token and entry.outcome is None:
                return Answer(Word.GRANTED), entry  # asked again: its first write may be under way yet
            return Answer(Word.TAKEN, entry.token, entry.outcome), None
        if self.doubted or len(self.entries) >= self.most:
            return Answer(Word.CANNOT), None
        entry = Entry(token, int(now))
        self._put(key, entry)
        return Answer(Word.GRANTED), entry

    def release(self, key: str, token: str) -> bool:
        """Take a grant back, as its own claimant asks that has run nothing; True where it was there."""
        entry = self.entries.get(key)
        if entry is None or entry.token != token or entry.outcome is not None:
            return False
        self._drop(key)
        return True

    def settle(self, now: float, key: str, token: str, outcome: bytes) -> Entry | None:
        """Note how a claim ended, which proves its majority; return the entry to write, if any."""
        before = self.entries.get(key)
        return self.take(key, Entry(token, before.granted_ms if before is not None else int(now), outcome))

    def take(self, key: str, entry: Entry) -> Entry | None:
        """Take another holder's copy in by the rule; return the entry to write where it has changed."""
        before = self.entries.get(key)
        after = merge(before, entry)
        if after is None or after == before:
            return None
        self._put(key, after)
        return after

    def load(self, entries: Iterable[tuple[str, Entry]]) -> None:
        """Take in what the store kept, beside what was heard while it was read."""
        for key, entry in sorted(entries, key=lambda each: each[1].granted_ms):
            self.take(key, entry)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if now - entry.granted_ms < self.repeat_ms:
                return
            self._drop(key)
            self.gone.append(key)

    def page(
        self, which: int, after: str, most_bytes: int, *, grants: bool
    ) -> tuple[list[tuple[str, Entry]], bool]:
        """Return entries of a range after a key, up to a size, and whether others follow."""
        return self.ranges.page(
            which,
            after,
            most_bytes,
            lambda key, entry: (weight(key, entry) if grants or entry.outcome is not None else None),
        )

    def _put(self, key: str, entry: Entry) -> None:
        self._mark(key)
        self.entries[key] = entry
        self.ranges.put(key, entry)
        self._mark(key)

    def _drop(self, key: str) -> None:
        self._mark(key)
        del self.entries[key]
        self.ranges.drop(key)

    def _mark(self, key: str) -> None:
        """Put a settled entry into the digests, or take it out: the same step."""
        entry = self.entries.get(key)
        if entry is None or entry.outcome is None:
            return
        digest = digest_of(key.encode(), entry.token.encode(), entry.outcome)
        for name in holders_of(key, self.members, self.replicas):
            if name != self.own:
                self.digests[name][range_of(key)] ^= digest


class Verdict(Enum):
    """What a claimant may do."""

    RUN = 0  # a majority has granted it
    ANSWER = 1  # it has run: its outcome is known
    UNKNOWN = 2  # another claim has it, and how it ended is not known
    REFUSE = 3  # it has not run and will not, by this claim: trying again is harmless


class Claim:
    """One claim, from its first question to its verdict."""

    def __init__(self, key: str, token: str, holders: Sequence[str]) -> None:
        self.key, self.token, self.holders = key, token, tuple(holders)
        self.needed = len(self.holders) // 2 + 1
        self.answers: dict[str, Answer] = {}
        self.outcome: bytes | None = None

    def heard(self, holder: str, answer: Answer) -> Verdict | None:
        """Take a holder's word; return the verdict once there is one."""
        if holder in self.holders and holder not in self.answers:
            self.answers[holder] = answer
        return self.verdict(over=False)

    def verdict(self, *, over: bool) -> Verdict | None:
        """Return the verdict; ``over``: nobody is waited for any more."""
        told = list(self.answers.values())
        for answer in told:
            if answer.word is Word.TAKEN and answer.outcome is not None:
                self.outcome = answer.outcome
                return Verdict.ANSWER
        if sum(answer.word is Word.GRANTED for answer in told) >= self.needed:
            return Verdict.RUN
        left = len(self.holders) - len(told)
        if over or sum(answer.word is Word.GRANTED for answer in told) + left < self.needed:
            # Whoever is named by a majority may have run it. So may one who is named by fewer, with holders
            # that were not heard or do not know: only what surely has no majority is nobody's.
            others = [answer.token for answer in told if answer.word is Word.TAKEN]
            open_words = left + others.count(UNKNOWN_TOKEN) + sum(a.word is Word.CANNOT for a in told)
            named = max((others.count(token) for token in set(others) - {UNKNOWN_TOKEN}), default=0)
            return Verdict.UNKNOWN if others and named + open_words >= self.needed else Verdict.REFUSE
        return None


@lru_cache(maxsize=4_096)  # each change of a key asks several times in a row
def holders_of(key: str, members: tuple[str, ...], replicas: int = REPLICAS) -> tuple[str, ...]:
    """Return the members that hold a key, by rendezvous hashing (Thaler, Ravishankar 1998)."""

    def weight(member: str) -> bytes:
        return blake2b(f"{member}|{key}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=weight)[:replicas])


def weight(key: str, entry: Entry) -> int:
    """Return about how many bytes an entry takes on its way."""
    return len(key) + len(entry.token) + len(entry.outcome or b"") + 32
