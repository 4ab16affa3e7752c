"""One member's part in the fleet's budgets: it holds a share, votes, and may lead; pure.

The time is handed in, in milliseconds of a clock that never goes back and goes on while the process is
stopped; what is to be sent is taken out with ``outgoing``. Nobody here relies on membership: two sides of a
partition may each hold the other for dead, and no share may grow for that.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from random import Random

from fordstair.budgets.granter import Granter
from fordstair.budgets.holding import Holding, Share
from fordstair.budgets.leadership import Candidacy, Voter
from fordstair.budgets.messages import (
    Ask,
    Elsewhere,
    Granted,
    Message,
    Unvote,
    Vote,
    Voted,
    decode,
    encode,
)
from fordstair.budgets.whole import Plan
from fordstair.runtime.message_codec import MalformedMessageError

ASKS_A_TERM = 5.0  # questions in a term: four may be lost before a share is
ASK_LEAST_MS = 100.0  # between two questions, however fast demand changes
ANSWER_PART, ANSWER_MOST = 0.05, 0.25  # of a term, after which another listed member is asked: first, most
ELECTION_PART = 0.4  # of a reign, in which a candidate must have its majority
RISE = 1.25  # a want this much over what was last told is told at once


class Node:
    """A member; ``addresses`` are those of the listed ones, by name."""

    def __init__(
        self, plan: Plan, name: str, incarnation: int, addresses: Mapping[str, str], seed: int
    ) -> None:
        self.plan, self.name, self.incarnation = plan, name, incarnation
        self.addresses, self.counts = dict(addresses), Counter[str]()
        self.holding = Holding(plan, name)
        self.voter: Voter | None = None
        self.candidacy: Candidacy | None = None
        self.granter: Granter | None = None  # while this member leads, or did until a moment ago
        self.leader = ""  # who was last heard to lead
        self.wants: Callable[[], Sequence[int]] = lambda: self._full  # asked before each question
        self.needs: Callable[[], Sequence[int]] = lambda: (0,) * len(plan.wholes)  # likewise
        self.uses: Callable[[], Sequence[int]] = lambda: (0,) * len(plan.wholes)  # likewise
        self.on_share: Callable[[Share], None] = lambda share: None
        self.left = False
        self._full = tuple(whole.units for whole in plan.wholes)
        self._random = Random(seed)
        self._out: list[tuple[str, bytes]] = []
        self._inner: deque[Message] = deque()  # to itself
        self._votes: dict[int, float] = {}  # questions to voters: when they were sent
        self._number = self._epoch = 0
        self._ask_at = self._answer_by = self._vote_at = self._elect_by = math.inf
        self._told = self.holding.wants + self.holding.needs
        self._next_voter = 0
        self._patience_ms = max(ASK_LEAST_MS, ANSWER_PART * plan.term_ms)

    # What the host sees

    def shares(self, now: float) -> tuple[int, ...]:
        """What this member may use at this moment, budget by budget."""
        return self.holding.shares(now)

    def leads(self, now: float) -> bool:
        """Whether this member surely leads now."""
        return self.candidacy is not None and self.granter is not None and now < self.candidacy.leads_until

    @property
    def next_due(self) -> float | None:
        """When ``tick`` is wanted next."""
        due = min(self._ask_at, self._answer_by, self._vote_at, self._elect_by)
        return None if self.left or math.isinf(due) else due

    def start(self, now: float) -> None:
        """Begin; a listed member votes for nobody until an earlier life's promises have run out."""
        if self.name in self.plan.members:
            self.voter = Voter(self.plan, now)
            self._vote_at = self.voter.silent_until + self._soon()
        self._ask_at = now + self._random.random() * ASK_LEAST_MS

    def leave(self, now: float) -> None:
        """Give all back; nothing more is used, asked or promised. Never reuse the object."""
        if not self.left:
            self._send_ask(now, leaving=True)
            self._settle(now)
            if self.candidacy is not None:  # the next leader learns what this one has granted
                self._give_up(now)
                self.granter = None
            self.left = True

    def demand(self, now: float) -> None:
        """Look whether more could be used than was told; then ask soon."""
        self.holding.want(self.wants(), self.needs(), self.uses())
        told = self.holding.wants + self.holding.needs
        if any(now_wanted > RISE * before for now_wanted, before in zip(told, self._told, strict=True)):
            self._ask_at = min(self._ask_at, max(now, self.holding.asked_ms + ASK_LEAST_MS))

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Take a datagram in; what is none of this plan's is counted and dropped."""
        try:
            message = decode(datagram)
        except MalformedMessageError:
            self.counts["malformed"] += 1
            return
        if message.plan != self.plan.digest:
            self.counts["other_plan"] += 1
            return
        if not self.left:
            self._take(now, message, source)
            self._settle(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.left:
            return
        if now >= self._elect_by:
            self._give_up(now)
        if now >= self._vote_at:
            self._campaign(now)
        if now >= self._answer_by:  # nobody has answered: another listed member may know who leads
            self.counts["unanswered"] += 1
            self.leader, self._answer_by, self._ask_at = "", math.inf, now
            # A way that is slow would never bring an answer to the last question.
            self._patience_ms = min(ANSWER_MOST * self.plan.term_ms, 2.0 * self._patience_ms)
        if now >= self._ask_at:
            self._send_ask(now)
        self._settle(now)

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take the datagrams to send, by address."""
        out, self._out = self._out, []
        return out

    # Holding

    def _send_ask(self, now: float, *, leaving: bool = False) -> None:
        self.holding.want(self.wants(), self.needs(), self.uses())
        self._told = self.holding.wants + self.holding.needs
        ask = self.holding.ask(now, self.incarnation, self.name, leaving=leaving)
        self._ask_at = now + self.plan.term_ms / ASKS_A_TERM * self._random.uniform(0.9, 1.1)
        if self.leads(now):
            to = self.name
        elif self.leader and self.leader != self.name:
            to = self.leader
        else:
            others = [name for name in self.plan.members if name != self.name]
            if not others:
                return
            self._next_voter += 1
            to = others[(self._next_voter + hash_of(self.name)) % len(others)]
        self._answer_by = now + self._patience_ms
        self.counts["asks"] += 1
        self._send(to, ask)

    def _granted(self, now: float, message: Granted) -> None:
        before = self.holding.lent if now < self.holding.until_ms else ()
        share = self.holding.granted(now, message.number, message.units)
        if share is None:
            self.counts["answers_late"] += 1
            return
        self.leader, self._answer_by = message.sender, math.inf
        self._patience_ms = min(
            ANSWER_MOST * self.plan.term_ms,
            max(ASK_LEAST_MS, ANSWER_PART * self.plan.term_ms, 3.0 * (now - self.holding.asked_ms)),
        )
        if any(new < old for new, old in zip(message.units, before, strict=False)):
            # What was given back is free once the leader hears that it is in force.
            self._ask_at = min(self._ask_at, now + ASK_LEAST_MS)
        self.on_share(share)

    # Voting and leading

    def _campaign(self, now: float) -> None:
        """Ask all voters for a promise, or to renew the one given."""
        assert self.voter is not None
        self._depose(now)
        if self.candidacy is None:
            if (held := self.voter.held(now)) is not None and held.leader != (self.name, self.incarnation):
                self._vote_at = held.until_ms + self._soon()
                return
            self._epoch = max(self._epoch, self.voter.epoch, int(now)) + 1
            self.candidacy, self._votes = Candidacy(self.plan, self._epoch), {}
            self._elect_by = now + self.plan.reign_ms * ELECTION_PART
            self.counts["candidacies"] += 1
        self._number = (self._number + 1) % 2**32
        self._votes = {number: at for number, at in self._votes.items() if now - at < self.plan.reign_ms}
        self._votes[self._number] = now
        for voter in self.plan.members:
            self._send(
                voter, Vote(self.plan.digest, self.name, self.incarnation, self._number, self.candidacy.epoch)
            )
        self._vote_at = now + self.plan.reign_ms / ASKS_A_TERM * self._random.uniform(0.9, 1.1)

    def _depose(self, now: float) -> None:
        """Lead no more once the promises may have run out, also if they are renewed a moment later.

        Another may have led meanwhile: whoever leads again learns again.
        """
        if self.granter is not None and self.candidacy is not None and now >= self.candidacy.leads_until:
            self.counts["deposed"] += 1
            self.candidacy = self.granter = None
            self._elect_by = math.inf

    def _voted(self, now: float, message: Voted) -> None:
        self._depose(now)
        asked_ms = self._votes.get(message.number)
        if self.candidacy is None or asked_ms is None or message.sender not in self.plan.members:
            return
        self._epoch = max(self._epoch, message.epoch)
        if message.ok:
            if message.epoch != self.candidacy.epoch:  # of an earlier candidacy, and taken back since
                return
            self.candidacy.promised(message.sender, asked_ms)
            if self.granter is None and now < self.candidacy.leads_until:
                self._elect_by = math.inf
                self.granter = Granter(self.plan, now)
                self.granter.counts = self.counts
                self.leader = self.name
                self._ask_at = now
                self.counts["elected"] += 1
        else:
            self.candidacy.refused.add(message.sender)
            self._heard_of(message.leader)
            if self.granter is None and len(self.candidacy.refused) >= self.candidacy.needed:
                self._give_up(now)

    def _give_up(self, now: float) -> None:
        """No majority: others may have the promises, and this one tries again later."""
        assert self.candidacy is not None
        for voter in self.plan.members:
            self._send(voter, Unvote(self.plan.digest, self.name, self.incarnation, 0, self.candidacy.epoch))
        self.candidacy, self._elect_by = None, math.inf
        self._vote_at = now + self._soon()

    def _soon(self) -> float:
        """When to try: spread, so that one of the candidates comes first."""
        return self.plan.reign_ms * self._random.uniform(0.05, 0.5)

    def _heard_of(self, leader: str | None) -> None:
        if leader and leader != self.name and leader in self.addresses:
            self.leader = leader

    # Messages

    def _take(self, now: float, message: Message, source: str) -> None:
        who = (message.sender, message.incarnation)
        match message:
            case Vote(number=number, epoch=epoch):
                if self.voter is None or message.sender not in self.plan.members:
                    return
                ok = self.voter.vote(now, who, epoch)
                held = self.voter.held(now)
                self._send(
                    message.sender,
                    Voted(
                        self.plan.digest,
                        self.name,
                        self.incarnation,
                        number,
                        ok,
                        epoch if ok else self.voter.epoch,
                        held.leader[0] if held is not None else None,
                    ),
                )
                if held is not None:
                    self._heard_of(held.leader[0])
            case Unvote(epoch=epoch):
                if self.voter is not None:
                    self.voter.unvote(who, epoch)
            case Voted():
                self._voted(now, message)
            case Ask(number=number):
                self._answer(now, who, message, source)
            case Granted(number=number):
                self._granted(now, message)
            case Elsewhere(leader=leader, number=number):
                if number == self.holding.number and self._answer_by < math.inf:
                    before = self.leader
                    self._heard_of(leader)
                    if self.leader and self.leader != before:
                        self._answer_by = math.inf
                        self._ask_at = min(self._ask_at, now + ASK_LEAST_MS)

    def _answer(self, now: float, who: tuple[str, int], ask: Ask, source: str) -> None:
        if not self.leads(now):
            held = self.voter.held(now) if self.voter is not None else None
            leader = held.leader[0] if held is not None and held.leader[0] != self.name else None
            self._reply(
                who[0], source, Elsewhere(self.plan.digest, self.name, self.incarnation, ask.number, leader)
            )
            return
        assert self.granter is not None
        assert self.candidacy is not None
        units = self.granter.ask(now, who, ask)
        if units is not None and not ask.leaving:
            self._reply(
                who[0],
                source,
                Granted(
                    self.plan.digest, self.name, self.incarnation, ask.number, self.candidacy.epoch, units
                ),
            )

    def _settle(self, now: float) -> None:
        """Take in what this member has said to itself."""
        while self._inner:
            self._take(now, self._inner.popleft(), "")

    def _send(self, to: str, message: Message) -> None:
        if to == self.name:
            self._inner.append(message)
        elif to in self.addresses:
            self._out.append((self.addresses[to], encode(message)))

    def _reply(self, to: str, source: str, message: Message) -> None:
        if to == self.name and not source:
            self._inner.append(message)
        elif source:
            self._out.append((source, encode(message)))


def hash_of(name: str) -> int:
    """A number that spreads members over the listed ones, the same at each start."""
    return sum(name.encode()) * 7_919
