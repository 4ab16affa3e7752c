"""Which waiting request goes to the decision module next, and what those that wait may expect.

The order, at each release:

1. Each AGE_EVERY-th release goes to the request that has waited longest, of whatever team. This bounds every
   wait: of a request with n older ones waiting when it came, at most AGE_EVERY * (n + 1) releases go before
   its own, since each run of AGE_EVERY releases takes one of those n, or itself.
2. Else teams within their budget go before those that borrow; among each, by start tags (``queues.py``).

Nothing is released beyond ``capacity`` threads, past which engines do less work, nor unless the decision
module has room for it: the module still decides on engine, further attempts and refusal. What cannot be
answered in time any more is given back at once.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from fordstair.decisions.settings import RequestClass
from fordstair.scheduling.budgets import Budgets
from fordstair.scheduling.queues import Item, Queues
from fordstair.scheduling.shedding import Shedding
from fordstair.scheduling.waits import Calibration, Cap, Inflow, Meter, Rate, Wait, fluid

AGE_EVERY = 16
TURNS = 2  # times that a forecast takes in what will come during the wait that it found
RUN_SLACK = 1.3  # times its work that a request is taken to run
RATIO_STEP, RATIO_MOST = 0.05, 20.0  # what requests hold over what was predicted, by class
RUNNING_MOST = 100_000


class Room(Enum):
    """Whether the decision module has room for a request."""

    FITS = "fits"
    CLASS_FULL = "class full"  # not for this class: others may pass
    BUDGET_FULL = "budget full"  # not for this class of this team: others may pass
    FULL = "full"


class Refused(Enum):
    """Why a request does not wait."""

    QUEUE_FULL = "the queue is full"
    MADE_ROOM = "made room for a team within its budget"
    TOO_LATE = "it could not be reached in time"
    TOO_COSTLY = "too costly while others wait"
    ENDING = "the program ends"


@dataclass(frozen=True, slots=True)
class Told:
    """What a scheduler is told of a request."""

    id: int
    team: int
    class_index: int
    threads: int
    work_ms: float  # the module's prediction, in thread-milliseconds
    last_start_ms: float
    caps: tuple[Cap | Meter, ...] = ()  # this coordinator's shares of the fleet's budgets that it needs


@dataclass(slots=True)
class Running:
    """A released request, until it has ended."""

    team: int
    class_index: int
    charged: float
    predicted: float  # without the class's ratio
    since_ms: float
    threads: int


@dataclass(slots=True)
class Admission:
    """What came of an arrival: it waits, with an estimate; or it does not, with when to come back."""

    wait: Wait
    refused: Refused | None = None
    evicted: Item | None = None  # that has to make room for it, and is answered now


def last_start(spec: RequestClass, work_ms: float, now_ms: float, deadline_ms: float) -> float:
    """Return the last moment at which a start is still worth it.

    A start that comes too late for the wanted time earns the class's late worth alone, and holds up others
    that could still be in time: unless half of the worth is left then, the wanted time is what counts.
    """
    run_ms = RUN_SLACK * work_ms / spec.threads
    aim_ms = now_ms + spec.latency_objective_ms + spec.latency_objective_work_factor * work_ms / spec.threads
    return (deadline_ms if spec.late_weight >= 0.5 else min(deadline_ms, aim_ms)) - run_ms


class Scheduler:
    """All of it; every method is told the time, in milliseconds, which may even go back."""

    def __init__(
        self,
        shares: dict[int, float],
        capacity: float,
        *,
        waiting_most: int = 10_000,
        burst_ms: float = 1_000.0,
        debt_ms: float = 4_000.0,
    ) -> None:
        self.budgets = Budgets(shares, capacity, burst_ms, debt_ms)
        self.queues = Queues(shares)
        self.waiting_most = waiting_most
        self.running: dict[int, Running] = {}
        self.rate, self.calibration, self.shedding = Rate(), Calibration(), Shedding()
        self.ratio: dict[int, float] = {}  # by class: what is held over what was predicted
        self.releases = 0
        self.threads = 0  # of what is released and has not ended
        self.inflow: dict[tuple[int, int], Inflow] = {}  # by team and class
        self.hold_ms = 0.0  # how long a released request runs, as a mean that forgets
        self._forecast: dict[int, float] = {}  # raw, by waiting request
        self._aged = 0  # releases since the last one by age

    def arrive(self, told: Told, now_ms: float) -> Admission:
        """Take a request in, or say why it need not wait."""
        cost = max(0.01, told.work_ms * self.ratio.get(told.class_index, 1.0))
        item = Item(told.id, told.team, told.class_index, cost, now_ms, told.last_start_ms, told.threads)
        forecast = self.forecast(item, now_ms, told.caps)
        wait = self.calibration.correct(told.class_index, forecast)
        within, victim = self.budgets.within(told.team), None
        if len(self.queues) >= self.waiting_most:
            victim = (
                self.queues.last_of(team for team in self.budgets.accounts if not self.budgets.within(team))
                if within
                else None
            )
            if victim is None:
                return Admission(self.wait_for_room(), Refused.QUEUE_FULL)
        if now_ms + wait.likely_ms > told.last_start_ms:
            return Admission(
                Wait(now_ms + wait.likely_ms - told.last_start_ms, wait.at_most_ms), Refused.TOO_LATE
            )
        self.shedding.see(told.class_index, told.work_ms)
        if self.shedding.too_costly(
            told.class_index, told.work_ms, wait.likely_ms, told.last_start_ms - now_ms, within
        ):
            return Admission(wait, Refused.TOO_COSTLY)
        self._forecast[told.id] = forecast
        self.inflow.setdefault((told.team, told.class_index), Inflow()).add(now_ms, cost)
        if victim is not None:
            self.leave(victim.id)
        self.queues.push(item)
        return Admission(wait, evicted=victim)

    def release(self, now_ms: float, room: Callable[[Item], Room]) -> Item | None:
        """Return the one request that is to be handed to the decision module now; None where none is.

        To be called again once the module was told of it, since it has taken room from the next.
        """
        self.budgets.earn(now_ms)
        shut = set[tuple[int | None, int]]()  # by team and class, or by class for all teams
        while (item := self._next(shut)) is not None:
            if self.threads and self.threads + item.threads > self.budgets.capacity:
                return None
            fits = room(item)
            if fits is Room.FULL:
                return None
            if fits is not Room.FITS:
                shut.add((None if fits is Room.CLASS_FULL else item.team, item.class_index))
                continue
            self._aged = 0 if self._aged + 1 >= AGE_EVERY else self._aged + 1
            self.releases += 1
            busy = len(self.queues) > 1
            self.queues.serve(item)
            self._start(item, now_ms)
            if self.rate.add(now_ms, item.cost, busy):
                self.calibration.shifted()
            return item
        return None

    def leave(self, id: int) -> bool:
        """A client has left, or was answered: whether its request was waiting."""
        self._forecast.pop(id, None)
        return self.queues.pop(id) is not None

    def overdue(self, now_ms: float) -> list[Item]:
        """Return those that can no longer be answered in time; they wait no more."""
        gone = list(self.queues.overdue(now_ms))
        for item in gone:
            self._forecast.pop(item.id, None)
        return gone

    def ended(self, id: int, now_ms: float, held_ms: float | None) -> None:
        """A released request has ended; ``held_ms``: the thread-milliseconds it held, None where unknown."""
        if (run := self.running.pop(id, None)) is None:
            return
        self.threads -= run.threads
        self.hold_ms += (max(0.0, now_ms - run.since_ms) - self.hold_ms) * RATIO_STEP
        if held_ms is None:
            held_ms = run.charged
        self.budgets.charge(run.team, held_ms - run.charged)  # what was underestimated is charged now
        if run.predicted > 0.0 and held_ms > 0.0:
            seen = min(RATIO_MOST, max(1.0 / RATIO_MOST, held_ms / run.predicted))
            before = self.ratio.get(run.class_index, 1.0)
            self.ratio[run.class_index] = before + (seen - before) * RATIO_STEP

    def set_shares(self, shares: dict[int, float], now_ms: float) -> None:
        """Take new budgets over, under traffic; whatever waits goes on waiting."""
        self.budgets.set_shares(shares, now_ms)
        self.queues.set_weights(shares)

    def outlook(self, team: int, class_index: int, threads: int, now_ms: float) -> Wait:
        """Return what a request of a team and class may expect if it comes now."""
        item = Item(-1, team, class_index, 0.0, now_ms, now_ms, threads)
        return self.calibration.correct(class_index, self.forecast(item, now_ms))

    @property
    def turns_a_ms(self) -> float:
        """How many requests are given their turn in a millisecond, while something waits."""
        waiting = len(self.queues)
        total = sum(flow.cost for flow in self.queues.teams.values())
        return self.rate.slow * waiting / total if waiting and total > 0.0 else 0.0

    def wait_for_room(self) -> Wait:
        """Return the time until an eighth of the queue has drained: when to come back."""
        total = sum(flow.cost for flow in self.queues.teams.values())
        ms = total / 8.0 / self.rate.value(self.budgets.capacity * 0.05)
        return Wait(ms, 2.0 * ms)

    def forecast(self, item: Item, now_ms: float, caps: Sequence[Cap | Meter] = ()) -> float:
        """Return the raw forecast of the wait of an item that comes now, in ms.

        Flows that compete also grow while it waits: the wait is found, what comes in during it is added to
        the competing flows, and it is found again.
        """
        slot = wait = self._slot_ms(item)
        if not len(self.queues):
            return max([wait, *(cap.wait_ms(item.threads, 0.0, 0.0, 0.0) for cap in caps)])
        teams = self.queues.teams
        team = teams[item.team]
        flow = team.classes.get(item.class_index)
        ahead = flow.cost if flow is not None else 0.0
        within = self.budgets.within(item.team)  # then those that borrow come after it
        rivals = [name for name in teams if name == item.team or not within or self.budgets.within(name)]
        rate, shared = self.rate.value(self.budgets.capacity * 0.05), 0.0
        inflow = {key: each.at(now_ms) for key, each in self.inflow.items()}
        for _ in range(TURNS):
            costs = {
                class_index: each.cost + wait * inflow.get((item.team, class_index), 0.0)
                for class_index, each in team.classes.items()
            }
            work = fluid(
                ahead,
                item.class_index,
                costs,
                {class_index: 1.0 for class_index in {*costs, item.class_index}},
            )
            totals = {
                name: teams[name].cost + wait * sum(part for (of, _), part in inflow.items() if of == name)
                for name in rivals
            }
            shared = fluid(work, item.team, totals, {name: each.weight for name, each in teams.items()})
            wait = (
                max([shared / rate + slot, *(cap.wait_ms(item.threads, ahead, work, shared) for cap in caps)])
                - slot
            )
        return wait + slot

    def _slot_ms(self, item: Item) -> float:
        """Return how long it takes until threads are free for an item, were it the first to go."""
        over = self.threads + item.threads - self.budgets.capacity
        return max(0.0, over) / max(1, self.threads) * self.hold_ms

    def _next(self, shut: set[tuple[int | None, int]]) -> Item | None:
        """Return the item whose turn it is, past what has no room."""

        def is_open(item: Item) -> bool:
            return (None, item.class_index) not in shut and (item.team, item.class_index) not in shut

        if self._aged + 1 >= AGE_EVERY and (oldest := self.queues.oldest()) is not None and is_open(oldest):
            return oldest
        later: Item | None = None
        for team in self.queues.waiting():
            for head in self.queues.heads(team):
                if not is_open(head):
                    continue
                if self.budgets.within(team):
                    return head
                later = later or head
                break
        return later

    def _start(self, item: Item, now_ms: float) -> None:
        predicted = item.cost / max(1e-9, self.ratio.get(item.class_index, 1.0))
        self.running[item.id] = Running(
            item.team, item.class_index, item.cost, predicted, now_ms, item.threads
        )
        self.threads += item.threads
        if len(self.running) > RUNNING_MOST:  # whoever forgets to tell an end must not fill the memory
            self.threads -= self.running.pop(next(iter(self.running))).threads
        self.budgets.charge(item.team, item.cost)
        forecast = self._forecast.pop(item.id, None)
        if forecast is not None:
            self.calibration.learn(item.class_index, forecast, now_ms - item.at_ms)
