"""Requests wait here for their turn, before the module hears of them; the order is the scheduler's."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fordstair.core.live_request import LiveRequest
from fordstair.scheduling.later import Places
from fordstair.scheduling.preemption import Preemption, Runs
from fordstair.scheduling.queues import Item
from fordstair.scheduling.scheduler import Refused, Room, Scheduler, Told, last_start

if TYPE_CHECKING:
    from fordstair.budgets.caps import Caps
    from fordstair.core.coordinator import Coordinator

PREEMPT_MS = 200.0  # between two looks at who runs beyond a budget
TICK_MS = 20.0  # between two looks while something waits: room also comes without an end, as pressure falls
LATER_LEAST_MS = 100.0


class AdmissionQueue:
    """Puts a scheduler before one coordinator's module."""

    def __init__(
        self,
        coordinator: Coordinator,
        scheduler: Scheduler,
        threads_a_core: float,
        caps: Caps | None = None,
        seed: int = 1,
    ) -> None:
        self.coordinator, self.scheduler, self.threads_a_core = coordinator, scheduler, threads_a_core
        self.caps, self.places = caps, Places(seed)  # this coordinator's part of a fleet's budgets, if any
        self._lives: dict[int, LiveRequest] = {}
        self._ticking = False
        self.preemption, self._preempted_ms = Preemption(), 0.0

    def __len__(self) -> int:
        return len(self._lives)

    async def wait(self, live: LiveRequest) -> None:
        """Wait until the module has been told of the request, or it is over."""
        told, now = self.coordinator.arrival_event(live), self.coordinator.deadlines.clock()
        gateway, spec = self.coordinator.gateway, self.coordinator.settings.classes[told.class_index]
        work_ms = gateway.predicted_cost(told)
        self._resize()
        caps = () if self.caps is None else self.caps.binding(now, told.tenant, told.class_index)
        admission = self.scheduler.arrive(
            Told(
                live.id,
                told.tenant,
                told.class_index,
                spec.threads,
                work_ms,
                last_start(spec, work_ms, now, live.deadline_ms),
                caps,
            ),
            now,
        )
        if self.caps is not None:
            self.caps.arrives(now, told.tenant, told.class_index, spec.threads)
        if admission.refused is not None:
            self._gives_up(live)
            return self._refuse(live, admission.refused, admission.wait.likely_ms)
        if (gone := admission.evicted) is not None and (victim := self._lives.pop(gone.id, None)) is not None:
            self._gives_up(victim)
            self._refuse(victim, Refused.MADE_ROOM, self.scheduler.wait_for_room().likely_ms)
        self._lives[live.id] = live
        self.release()
        while live.id in self._lives:
            live.wakeup = trio.Event()
            self._tick()
            await live.wakeup.wait()

    def remove(self, live: LiveRequest) -> bool:
        """Take a request out, in the table and in the queue alike; whether it waited here."""
        if self._lives.pop(live.id, None) is None:
            return False
        self.scheduler.leave(live.id)
        self._gives_up(live)
        return True

    def release(self) -> None:
        """Hand to the module what has its turn and fits, one by one: each takes room from the next."""
        now = self.coordinator.deadlines.clock()
        for item in self.scheduler.overdue(now):
            if (live := self._lives.pop(item.id, None)) is not None:
                self._gives_up(live)
                self._refuse(live, Refused.TOO_LATE, self.scheduler.wait_for_room().likely_ms)
        while (released := self.scheduler.release(now, self._room)) is not None:
            live = self._lives.pop(released.id)
            if self.caps is not None:
                self.caps.starts(now, released.id, released.team, released.class_index, released.threads)
            self.coordinator.counters.add("turns.released")
            self.coordinator.dispatch(self.coordinator.arrival_event(live))
            live.wakeup.set()

    def request_finished(self, live: LiveRequest) -> None:
        """A request is over: what it held is settled, and others may have their turn."""
        self.remove(live)
        if self.caps is not None:
            self.caps.ends(self.coordinator.deadlines.clock(), live.id)
        self.scheduler.ended(live.id, self.coordinator.deadlines.clock(), live.used_thread_ms)
        self.release()

    def withdraw(self, live: LiveRequest) -> bool:
        """The program ends: whether the request was waiting here, and is answered."""
        if not self.remove(live):
            return False
        self._refuse(live, Refused.ENDING, 0.0)
        return True

    def _gives_up(self, live: LiveRequest) -> None:
        if self.caps is not None:
            threads = self.coordinator.settings.classes[live.query.class_index].threads
            self.caps.gives_up(live.query.tenant_index, live.query.class_index, threads)

    def _room(self, item: Item) -> Room:
        gateway = self.coordinator.gateway
        if self.caps is not None and not self.caps.fits(
            self.coordinator.deadlines.clock(), item.team, item.class_index, item.threads
        ):
            return Room.BUDGET_FULL
        if gateway.has_capacity(self.coordinator.arrival_event(self._lives[item.id])):
            return Room.FITS
        return Room.CLASS_FULL if item.class_index in gateway.admission.concurrency_limits else Room.FULL

    def _refuse(self, live: LiveRequest, why: Refused, later_ms: float) -> None:
        """Answer at once, with the time from which there is room: nothing of it ever ran."""
        settings = self.coordinator.settings
        later = self.places.next(
            self.coordinator.deadlines.clock(),
            max(LATER_LEAST_MS, later_ms),
            self.scheduler.turns_a_ms,
            settings.max_retry_after_ms,
        )
        self.coordinator.reject(live, later if settings.sends_retry_after else 0.0, why.value)

    def _resize(self) -> None:
        """Follow the engines that take new work."""
        cores = sum(e.cores for e in self.coordinator.gateway.selector.eligible(0))
        capacity = max(1.0, cores * self.threads_a_core / self.coordinator.settings.instances)
        if capacity != self.scheduler.budgets.capacity:
            self.scheduler.budgets.resize(capacity)

    def _tick(self) -> None:
        if not self._ticking and self._lives:
            self._ticking = True
            self.coordinator.deadlines.after(TICK_MS, self._look)

    def _look(self) -> None:
        self._ticking = False
        self._resize()
        self.release()
        if (now := self.coordinator.deadlines.clock()) - self._preempted_ms >= PREEMPT_MS:
            self._preempted_ms = now
            self._preempt(now)
        self._tick()

    def _preempt(self, now: float) -> None:
        """Lower and raise what runs, as budgets and those that wait want it."""
        if not self.coordinator.settings.priorities:
            return
        live = {
            each.id: each
            for each in self.coordinator.live.values()
            if each.call is not None and not each.finished
        }
        waiting, groups = set[int](), dict[float, set[int]]()
        for each in self._lives.values():
            waiting.add(each.query.tenant_index)
            groups.setdefault(each.query.table_group, set()).add(each.query.tenant_index)
        accounts = self.scheduler.budgets.accounts
        within = {team for team in accounts if self.scheduler.budgets.within(team)}
        for id, lowered in self.preemption.decide(
            now, [self._runs(each, now) for each in live.values()], within, waiting, groups
        ):
            self.coordinator.set_deprioritized(live[id], lowered)

    def _runs(self, live: LiveRequest, now: float) -> Runs:
        """Return one attempt as pre-emption sees it."""
        coordinator, query = self.coordinator, live.query
        attempt = coordinator.gateway.attempts.get((live.id, live.attempt_count - 1))
        left_ms = attempt.sent_at + attempt.expected_latency_ms - now if attempt is not None else 0.0
        engine = coordinator.engines.get(live.engine)
        return Runs(
            live.id,
            query.tenant_index,
            query.table_group,
            coordinator.settings.classes[query.class_index].is_load,
            left_ms,
            engine is not None and engine.protocol != "odata",
        )

    def expected_wait(self, team: int) -> tuple[int, float]:
        """Return how many requests of a team wait, and how long one of the first class would, in ms."""
        spec, now = self.coordinator.settings.classes[0], self.coordinator.deadlines.clock()
        waiting = sum(each.query.tenant_index == team for each in self._lives.values())
        return waiting, self.scheduler.outlook(team, 0, spec.threads, now).likely_ms
