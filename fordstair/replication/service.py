"""One member's ledger at work: its holder on disk, links to the others, its server, claims and exchange."""

from __future__ import annotations

import contextlib
import itertools
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TypeVar

import trio

from fordstair.replication.clock import AHEAD_MOST_MS
from fordstair.replication.engines import EngineSet, Kept, Roster
from fordstair.replication.ledger import (
    OUTCOME_MOST,
    Answer,
    Claim,
    Entry,
    Holder,
    Verdict,
    Word,
    holders_of,
    weight,
)
from fordstair.replication.link import Link, Lost
from fordstair.replication.messages import (
    PAGE_BYTES,
    Ask,
    AskClaim,
    AskDigests,
    AskEngines,
    AskRange,
    AskRelease,
    AskSettle,
    AskValueDigests,
    AskValues,
    Digests,
    Done,
    Engines,
    Frame,
    Malformed,
    Page,
    Said,
    Told,
    Values,
)
from fordstair.replication.ranges import RANGES
from fordstair.replication.records import CLAIM, VALUE, Stored, of_entry, of_roster, of_value, read
from fordstair.replication.registers import Register, Registers
from fordstair.replication.server import Decided, Server
from fordstair.runtime.clock import AnchoredClock
from fordstair.runtime.event_log import EventLog
from fordstair.store.errors import StoreCorruptedError, StoreError
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile
from fordstair.store.writer import CommitBatch, GroupCommitWriter

log = EventLog(__name__)

T = TypeVar("T", bound=Told)

VALUES_KEPT_MS, VALUES_MOST = 7 * 86_400_000.0, 5_000  # since they were set; a module learns some hundred
SETTLE_S = 5.0  # in which holders are told of an outcome; those that do not hear it get it by exchange
RELEASE_S = 2.0
TELL_AGAIN_S = 0.2  # before a holder that has not heard either is told again
AGAIN_S = 1.0  # before a store that cannot be opened is tried again
EXCHANGE_S = 60.0  # for one exchange; the next one goes on where it was stopped
RANGES_AT_ONCE = 4  # that are taken in from one member
PAGE_S = 5.0  # for one page of entries; how long all of them take is bounded by bytes_per_s alone
FIRST_START_S = 60.0  # for which a member of a new fleet tells the others that its store is new as well


@dataclass(frozen=True, slots=True)
class Ledger:
    """What a member is told of the ledger; times in milliseconds."""

    cluster: str
    member: str
    holders: Mapping[str, str]  # every member that holds keys, by name, with its address; fixed
    listen: tuple[str, int]
    path: str  # the store's file
    replicas: int = 3
    claim_ms: float = 1_000.0  # in which a majority must have answered
    repeat_ms: float = 600_000.0
    exchange_ms: float = 5_000.0  # between two exchanges with another member
    bytes_per_s: float = 1_000_000.0  # that an exchange may bring
    entries_most: int = 50_000


@dataclass(frozen=True, slots=True)
class Begun:
    """A claim that may run; ``settle`` or ``release`` it."""

    key: str
    token: str
    holders: tuple[str, ...]


@dataclass(slots=True)
class Pulled:
    """What came of taking another member's entries in."""

    changed: int = 0
    doubted: bool = False  # whether a page came from a memory in doubt
    new: bool = True  # whether all came from stores that their start had made


class Service:
    """The ledger of one member. A key is what a client calls its load, with the team's name before it."""

    def __init__(self, told: Ledger, seed: int) -> None:
        self.told, self._random = told, random.Random(seed)
        self._clock = AnchoredClock()  # steps of the wall clock neither forget nor keep anything
        self.counts: Counter[str] = Counter()
        self.holder = Holder(told.member, told.holders, told.replicas, told.repeat_ms, told.entries_most)
        self.holder.doubted = "the store is not read yet"
        self.values = Registers(told.member, VALUES_KEPT_MS, VALUES_MOST)
        self.on_values: Callable[[], None] = lambda: None  # called when values of others were taken in
        self.disk = RecordFile(told.path)
        self.writer = GroupCommitWriter(self.disk)
        self.writer.unavailable_reason = self.holder.doubted
        self.engines = EngineSet(told.member)
        self.on_engines: Callable[[], None] = lambda: None  # called when engines were taken in
        self.loaded = trio.Event()
        self.behind: dict[str, int] = {}  # ranges in which another member differed when last compared
        self._links = {
            name: Link(told.cluster, told.member, address, _host_of(told))
            for name, address in told.holders.items()
            if name != told.member
        }
        self._token = f"{told.member}:{int(self._now_ms())}:{seed & 0xffffff:x}"
        self._numbers = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._new_until = -math.inf
        self.port = 0

    def _now_ms(self) -> float:
        return self._clock.now().value

    # Claims

    async def begin(self, key: str) -> tuple[Verdict, Begun | None, bytes | None]:
        """Claim a key; return the verdict, and the claim to run under or the outcome of the load that ran."""
        holders = holders_of(key, self.holder.members, self.told.replicas)
        claim = Claim(key, f"{self._token}:{next(self._numbers)}", holders)
        self.counts["claims"] += 1
        try:
            verdict = await self._ask_all(claim)
        except BaseException:  # nobody waits for it any more: it has not run, and will not
            self.release_later(Begun(key, claim.token, holders))
            raise
        self.counts[f"claims_{verdict.name.lower()}"] += 1
        if verdict is Verdict.RUN:
            return verdict, Begun(key, claim.token, holders), None
        self.release_later(Begun(key, claim.token, holders))
        return verdict, None, claim.outcome

    async def _ask_all(self, claim: Claim) -> Verdict:
        """Ask all holders at once, until there is a verdict or the time is over."""
        send, receive = trio.open_memory_channel[tuple[str, Answer]](len(claim.holders))

        async def ask(holder: str) -> None:
            send.send_nowait((holder, await self._ask_claim(holder, claim)))

        with trio.move_on_after(self.told.claim_ms / 1000.0):
            async with trio.open_nursery() as nursery:
                for holder in claim.holders:
                    nursery.start_soon(ask, holder)
                while claim.heard(*await receive.receive()) is None:
                    pass
                nursery.cancel_scope.cancel()
        return claim.verdict(over=True) or Verdict.REFUSE

    async def _ask_claim(self, holder: str, claim: Claim) -> Answer:
        try:
            said = await self._ask(holder, lambda number: AskClaim(number, claim.key, claim.token), Said)
        except Lost:  # it may have granted: that is given back with the rest
            return Answer(Word.CANNOT)
        return Answer(Word(said.word), said.token, said.outcome)

    async def settle(self, begun: Begun, outcome: bytes) -> None:
        """Note how a load ended: on this disk where it holds the key, and with the other holders."""
        outcome = outcome if len(outcome) <= OUTCOME_MOST else b""
        await self._tell_holders(
            begun, lambda number: AskSettle(number, begun.key, begun.token, outcome), SETTLE_S
        )

    def settle_later(self, begun: Begun, outcome: bytes) -> None:
        """Settle in the background."""
        self._nursery_of().start_soon(self._guarded, self.settle, begun, outcome)

    async def release(self, begun: Begun) -> None:
        """Give a claim back that has run nothing, and never will.

        A grant that is not given back keeps its key from all for as long as it is remembered.
        """
        await self._tell_holders(begun, lambda number: AskRelease(number, begun.key, begun.token), RELEASE_S)

    def release_later(self, begun: Begun) -> None:
        """Release in the background."""
        self._nursery_of().start_soon(self._guarded, self.release, begun)

    async def _tell_holders(self, begun: Begun, question: Callable[[int], Ask], within_s: float) -> None:
        """Tell each holder, again and again until it is on its disk or the time is over."""

        async def tell(holder: str) -> None:
            while True:
                with contextlib.suppress(Lost):
                    if (await self._ask(holder, question, Done)).ok:
                        return
                await trio.sleep(TELL_AGAIN_S)

        with trio.move_on_after(within_s):
            async with trio.open_nursery() as nursery:
                for holder in begun.holders:
                    nursery.start_soon(tell, holder)

    async def _guarded(self, do: Callable[..., Awaitable[None]], *told: object) -> None:
        """A fault with one member or one claim ends nothing else."""
        try:
            await do(*told)
        except Exception:
            self.counts["broke"] += 1
            log.exception("ledger.broke")

    def _nursery_of(self) -> trio.Nursery:
        assert self._nursery is not None, "the ledger is not running"
        return self._nursery

    # The holder, on disk

    def _decide(self, member: str, frame: Frame) -> Decided:
        """Do in memory what a member asks, and return what must be on disk before it is told.

        Called in the order in which questions came, and hands its records to the writer at once: a release
        may not overtake its claim, in memory or on disk.
        """
        holder = self.holder
        match frame:
            case AskClaim(number, key, token):
                answer, entry = holder.claim(self._now_ms(), key, token)
                said = Said(number, answer.word.value, answer.token, answer.outcome)
                # Where the write fails nobody knows what is on disk: it stays granted, and is not said to be.
                return self._decided(said, Said(number, Word.CANNOT.value, "", None), key, entry)
            case AskRelease(number, key, token):
                gone = [Record(CLAIM, key.encode(), None)] if holder.release(key, token) else []
                return Decided(Done(number, True), Done(number, False), self._add(gone))
            case AskSettle(number, key, token, outcome):
                entry = holder.settle(self._now_ms(), key, token, outcome)
                return self._decided(Done(number, True), Done(number, False), key, entry)
            case AskDigests(number):
                holder.expire(self._now_ms())
                return Decided(Digests(number, list(holder.digests[member])))
            case AskRange(number, which, after, grants):
                page, more = holder.page(which, after, PAGE_BYTES, grants=grants)
                return Decided(Page(number, page, more, bool(holder.doubted), self.new))
            case AskValueDigests(number):
                self.values.expire(self._now_ms())
                return Decided(Digests(number, list(self.values.digests)))
            case AskValues(number, which, after):
                return Decided(Values(number, *self.values.page(which, after, PAGE_BYTES)))
            case AskEngines(number, digest):
                known = self.engines
                roster = known.roster if digest != known.digest else None
                return Decided(Engines(number, roster, known.heard_ms))
        raise Malformed("no question")

    def _decided(self, ok: Told, failed: Told, key: str, entry: Entry | None) -> Decided:
        kept = [of_entry(key, entry)] if entry is not None else []
        return Decided(ok, failed, self._add(kept))

    def _add(self, records: Sequence[Record]) -> CommitBatch | None | StoreError:
        """Hand records to the writer; None where there is nothing to wait for."""
        try:
            return self.writer.add(records) if records else None
        except StoreError as error:
            return error

    async def _put(self, records: Sequence[Record]) -> bool:
        try:
            await self.writer.put(records)
        except StoreError:
            self.counts["writes_failed"] += 1
            return False
        return True

    @property
    def unavailable_reason(self) -> str:
        """Why this member grants no claim at the moment; empty: it does."""
        return self.holder.doubted or self.writer.unavailable_reason

    @property
    def sent_bytes(self) -> int:
        """What was sent to other members so far, as questions."""
        return sum(link.sent_bytes for link in self._links.values())

    @property
    def new(self) -> bool:
        """Whether this store was made by this start, and nobody was there who could have known more."""
        return self._new_until > trio.current_time()

    async def _load(self) -> None:
        """Read the store, again and again until that can be done: the rest of the program goes on without."""
        while True:
            try:
                self.take_in(await trio.to_thread.run_sync(read, self.disk, self._now_ms()))
                return
            except StoreCorruptedError as error:
                log.error("store.damaged", why=error, kept_as=self.disk.quarantine())
            except StoreError as error:
                self.holder.doubted = self.writer.unavailable_reason = str(error)
                log.error("store.cannot_open", why=error)
                await trio.sleep(AGAIN_S)

    def take_in(self, told: Stored) -> None:
        """Go on with what the store has kept; what was heard meanwhile stays, by the rule for copies."""
        self.holder.load(told.entries)
        for key, value in told.values:
            self.values.take(self._now_ms(), key, value)
        if told.roster is not None:
            self.engines.merge(self._now_ms(), told.roster)
        self.counts["spoilt"] += told.spoilt
        if self.disk.newly_created:
            self._new_until = math.inf
        self.holder.doubted, self.writer.unavailable_reason = told.doubted, ""
        log.info(
            "ledger.loaded", path=self.told.path, entries=len(told.entries), doubted=told.doubted or "no"
        )

    # Running

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raise OSError where the address cannot be had."""
        try:
            async with trio.open_nursery() as self._nursery:
                listeners = await trio.open_tcp_listeners(self.told.listen[1], host=self.told.listen[0])
                self.port = listeners[0].socket.getsockname()[1]
                log.info(
                    "listening",
                    name=self.told.member,
                    front="ledger",
                    host=self.told.listen[0],
                    port=self.port,
                    holders=len(self.told.holders),
                )
                server = Server(self.told.cluster, self.told.holders, self._decide, self.counts)
                self._nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                task_status.started()
                await self._load()
                self._nursery.start_soon(self.writer.run)
                self.loaded.set()
                await self._exchange_all()
                await trio.sleep_forever()
        finally:
            self.disk.close()

    async def _ask(self, holder: str, question: Callable[[int], Ask], kind: type[T]) -> T:
        """Ask a holder, this member itself among them."""
        if holder == self.told.member:
            told = await self._decide(holder, question(0)).told(self.counts)
            assert isinstance(told, kind)
            return told
        try:
            return await self._links[holder].ask(self._nursery_of(), question, kind)
        except Lost:
            self.counts["lost"] += 1
            raise

    # Exchange

    async def _exchange_all(self) -> None:
        """Recover a memory in doubt, then compare with one member after the other, for good."""
        until = trio.current_time() + self.told.repeat_ms / 1000.0
        while self.holder.doubted:
            if await self._recover() or trio.current_time() >= until:
                log.info("ledger.recovered", entries=len(self.holder.entries), was=self.holder.doubted)
                self.holder.doubted = ""
                break
            await trio.sleep(self._random.uniform(0.3, 0.7))
        while self._links:
            for name in self._random.sample(sorted(self._links), len(self._links)):
                await self._forget()
                await trio.sleep(self.told.exchange_ms * self._random.uniform(0.8, 1.2) / 1000.0)
                with trio.move_on_after(EXCHANGE_S):
                    await self._guarded(self._exchange, name)

    async def _forget(self) -> None:
        """Take what has expired off the disk too."""
        self.holder.expire(self._now_ms())
        self.values.expire(self._now_ms())
        for kind, part in ((CLAIM, self.holder), (VALUE, self.values)):
            gone, part.gone = part.gone, []
            if gone and not await self._put([Record(kind, key.encode(), None) for key in gone]):
                part.gone = gone  # at the next turn, then

    # Values that converge

    async def set_values(self, values: Iterable[tuple[str, bytes]]) -> None:
        """Set values here and now; others get them by exchange. What cannot be written stays in memory."""
        now = self._now_ms()
        await self._keep(
            [(key, done) for key, value in values if (done := self.values.set(now, key, value)) is not None]
        )

    async def _keep(self, changed: Sequence[tuple[str, Register]]) -> None:
        if changed:
            await self._put([of_value(key, each, VALUES_KEPT_MS) for key, each in changed])

    async def _exchange_values(self, name: str) -> None:
        """Take in from a member what was set later than what is known here."""
        told = (await self._ask(name, lambda number: AskValueDigests(number), Digests)).told
        mine, taken = list(self.values.digests), 0
        for which in [which for which, digest in enumerate(told) if digest != mine[which]]:
            after, more = "", True
            while more:
                page = await self._ask(name, lambda number: AskValues(number, which, after), Values)
                changed = [
                    (key, value)
                    for key, theirs in page.values
                    if (value := self.values.take(self._now_ms(), key, theirs)) is not None
                ]
                await self._keep(changed)
                taken += len(changed)
                after, more = page.values[-1][0] if page.values else "", page.more and bool(page.values)
        if taken:
            self.counts["values_taken"] += taken
            self.on_values()

    # Known engines

    async def follow_engines(self, heard_ms: float, listed: Iterable[Kept]) -> bool:
        """Take in what the register lists here, and when it was heard; False where it is not on disk."""
        self.engines.follow(self._now_ms(), heard_ms, listed)
        return await self._put([of_roster(self.engines.roster)])

    async def _exchange_engines(self, name: str) -> None:
        told = await self._ask(name, lambda number: AskEngines(number, self.engines.digest), Engines)
        theirs = told.roster or Roster([], {}, told.heard_ms)
        heard_ms = self.engines.heard_ms
        if self.engines.merge(self._now_ms(), theirs):
            self.counts["engines_taken"] += 1
        elif self.engines.heard_ms == heard_ms:
            return
        await self._put([of_roster(self.engines.roster)])
        self.on_engines()

    async def _recover(self) -> bool:
        """Take in all that every other holder knows, grants too; False where that is not all there was.

        A grant that was lost here may have been counted in a majority with any one of them: each must be
        heard, and none may be in doubt itself, unless all stores are new, which is a fleet's first start.
        """
        pulled = Pulled(new=self.new)
        try:
            for name in self._links:
                await self._pull(name, range(RANGES), pulled, grants=True)
        except Lost:
            return False
        if pulled.doubted and not pulled.new:
            return False
        self._new_until = trio.current_time() + FIRST_START_S if pulled.new else -math.inf
        return True

    async def _exchange(self, name: str) -> None:
        """Take in from a member what it has settled and this one has not."""
        pulled, began = Pulled(), trio.current_time()
        try:
            told = (await self._ask(name, lambda number: AskDigests(number), Digests)).told
            self.holder.expire(self._now_ms())
            mine = self.holder.digests[name]
            differ = [which for which, digest in enumerate(told) if digest != mine[which]]
            self.behind[name] = len(differ)
            await self._pull(name, differ, pulled, grants=False)
            await self._exchange_values(name)
            await self._exchange_engines(name)
            self.counts["exchanges"] += 1
        except Lost:
            pass
        finally:
            if pulled.changed:
                self.counts["caught_up"] += pulled.changed
                log.info(
                    "ledger.caught_up",
                    member=name,
                    entries=pulled.changed,
                    seconds=round(trio.current_time() - began, 3),
                )

    async def _pull(self, name: str, ranges: Iterable[int], pulled: Pulled, *, grants: bool) -> None:
        """Take ranges in, some at a time, so that neither the disk nor the way to the member waits.

        What came is added to ``pulled``, also where this ends early; raise Lost where the member does not
        answer, or the disk does not take it.
        """
        left, lost = iter(ranges), list[Lost]()

        async def take(scope: trio.CancelScope) -> None:
            try:
                for which in left:
                    await self._pages(name, which, pulled, grants=grants)
            except Lost as error:
                lost.append(error)
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for _ in range(RANGES_AT_ONCE):
                nursery.start_soon(take, nursery.cancel_scope)
        if lost:
            raise lost[0]

    async def _pages(self, name: str, which: int, pulled: Pulled, *, grants: bool) -> None:
        """Take a range in page by page, bounded in bytes a second."""
        after, more = "", True
        while more:
            with trio.move_on_after(PAGE_S) as limit:
                page = await self._ask(name, lambda number: AskRange(number, which, after, grants), Page)
            if limit.cancelled_caught:
                raise Lost("no page in time")
            pulled.doubted, pulled.new = pulled.doubted or page.doubted, pulled.new and page.new
            # what is dated ahead of every clock would never be forgotten
            latest = self._now_ms() + AHEAD_MOST_MS
            changed = [
                (key, entry)
                for key, theirs in page.entries
                if theirs.granted_ms < latest
                and self._holds(key)
                and (entry := self.holder.take(key, theirs)) is not None
            ]
            pulled.changed += len(changed)
            records = [of_entry(key, entry) for key, entry in changed]
            if records and not await self._put(records):
                raise Lost("the store cannot be written")
            after, more = page.entries[-1][0] if page.entries else "", page.more and bool(page.entries)
            size = sum(weight(key, entry) for key, entry in page.entries)
            await trio.sleep(RANGES_AT_ONCE * size / self.told.bytes_per_s)

    def _holds(self, key: str) -> bool:
        return self.told.member in holders_of(key, self.holder.members, self.told.replicas)


def _host_of(told: Ledger) -> str:
    """Connections go out from the host that is listened on, unless that is any."""
    host = told.listen[0]
    return "" if host in ("0.0.0.0", "::", "") else host


@asynccontextmanager
async def running(told: Ledger, seed: int) -> AsyncIterator[Service]:
    """Run a ledger for the length of a block."""
    service = Service(told, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(service.run)
        yield service
        nursery.cancel_scope.cancel()
