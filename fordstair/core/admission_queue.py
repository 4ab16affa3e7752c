"""The queue in which requests wait until the scheduler releases them to the decision module."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fordstair.core.live_request import LiveRequest
from fordstair.core.preemption_control import PreemptionControl
from fordstair.scheduling.fair_queues import QueuedRequest
from fordstair.scheduling.fleet_quotas import FleetQuota
from fordstair.scheduling.retry_after import RetryAfterSchedule
from fordstair.scheduling.scheduler import (
    ArrivingRequest,
    Capacity,
    QueueRejection,
    Scheduler,
    latest_useful_start_ms,
)

if TYPE_CHECKING:
    from fordstair.budgets.local_limits import LocalLimits
    from fordstair.core.coordinator import Coordinator

# Between checks while requests wait: capacity can return without a request ending, as engine load falls.
CHECK_INTERVAL_MS = 20.0
MIN_RETRY_AFTER_MS = 100.0


class AdmissionQueue:
    """Queues the requests of one coordinator in front of its decision module.

    Args:
        coordinator: the coordinator whose requests are queued.
        scheduler: decides on the order of release and on what is shed.
        threads_per_core: threads released to engines at a time for each of their cores.
        local_limits: this coordinator's quotas of the fleet's budgets; None if there are no budgets.
        seed: seed of the jitter of Retry-After times.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        scheduler: Scheduler,
        threads_per_core: float,
        local_limits: LocalLimits | None = None,
        seed: int = 1,
    ) -> None:
        self.coordinator = coordinator
        self.scheduler = scheduler
        self.threads_per_core = threads_per_core
        self.local_limits = local_limits
        self._retry_after = RetryAfterSchedule(seed)
        self._waiting: dict[int, LiveRequest] = {}
        self._check_scheduled = False
        self._preemption = PreemptionControl(coordinator, scheduler)

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, live: LiveRequest) -> None:
        """Wait until the request has been handed to the decision module, or is finished."""
        now = self._now()
        request = self._arriving_request(live, now)
        self._resize_quotas()
        admission = self.scheduler.admit(request, now)
        if self.local_limits is not None:
            self.local_limits.request_waiting(now, request.team, request.class_index, request.threads)
        if admission.rejection is not None:
            self._withdraw_demand(live)
            return self._reject(live, admission.rejection, admission.wait.likely_ms)
        if (evicted := admission.evicted) is not None:
            self._reject_waiting(evicted.id, QueueRejection.EVICTED)
        self._waiting[live.id] = live
        self.release()
        while live.id in self._waiting:
            live.wakeup = trio.Event()
            self._schedule_check()
            await live.wakeup.wait()

    def remove(self, live: LiveRequest) -> bool:
        """Remove a request from this queue and from the scheduler; return whether it was waiting here."""
        if self._waiting.pop(live.id, None) is None:
            return False
        self.scheduler.remove(live.id)
        self._withdraw_demand(live)
        return True

    def release(self) -> None:
        """Reject overdue requests, then release requests to the decision module while there is capacity.

        They are released one by one, because each takes up capacity.
        """
        now = self._now()
        for request in self.scheduler.pop_overdue(now):
            self._reject_waiting(request.id, QueueRejection.TOO_LATE)
        while (released := self.scheduler.release(now, self._capacity_for)) is not None:
            live = self._waiting.pop(released.id)
            if self.local_limits is not None:
                self.local_limits.request_started(
                    now, released.id, released.team, released.class_index, released.threads
                )
            self.coordinator.counters.add("admission_queue.released")
            self.coordinator.dispatch(self.coordinator.arrival_event(live))
            live.wakeup.set()

    def request_finished(self, live: LiveRequest) -> None:
        """Settle the usage of a request whose task has ended, and release others."""
        self.remove(live)
        now = self._now()
        if self.local_limits is not None:
            self.local_limits.request_ended(now, live.id)
        self.scheduler.finish(live.id, now, live.used_thread_ms)
        self.release()

    def withdraw(self, live: LiveRequest) -> bool:
        """Reject the request if it waits here, because the program ends; return whether it did."""
        if not self.remove(live):
            return False
        self._reject(live, QueueRejection.ENDING, 0.0)
        return True

    def expected_wait(self, team: int) -> tuple[int, float]:
        """Return how many requests of a team wait, and the expected wait in ms of one of the first class."""
        threads = self.coordinator.settings.classes[0].threads
        waiting = sum(live.query.tenant_index == team for live in self._waiting.values())
        return waiting, self.scheduler.expected_wait(team, 0, threads, self._now()).likely_ms

    def _now(self) -> float:
        return self.coordinator.deadlines.clock()

    def _arriving_request(self, live: LiveRequest, now: float) -> ArrivingRequest:
        """Return the scheduler's view of a request."""
        arrival = self.coordinator.arrival_event(live)
        spec = self.coordinator.settings.classes[arrival.class_index]
        predicted_cost = self.coordinator.gateway.predicted_cost(arrival)
        fleet_quotas: tuple[FleetQuota, ...] = ()
        if self.local_limits is not None:
            fleet_quotas = self.local_limits.forecast(now, arrival.tenant, arrival.class_index)
        return ArrivingRequest(
            live.id,
            arrival.tenant,
            arrival.class_index,
            spec.threads,
            predicted_cost,
            latest_useful_start_ms(spec, predicted_cost, now, live.deadline_ms),
            fleet_quotas,
        )

    def _capacity_for(self, request: QueuedRequest) -> Capacity:
        """Return the capacity for a request now; checks the fleet's budgets first, then the engines."""
        if self.local_limits is not None and not self.local_limits.admits(
            self._now(), request.team, request.class_index, request.threads
        ):
            return Capacity.QUOTA_FULL
        gateway = self.coordinator.gateway
        if gateway.has_capacity(self.coordinator.arrival_event(self._waiting[request.id])):
            return Capacity.AVAILABLE
        limited = request.class_index in gateway.admission.concurrency_limits
        return Capacity.CLASS_FULL if limited else Capacity.FULL

    def _reject_waiting(self, request_id: int, reason: QueueRejection) -> None:
        """Reject a request that the scheduler has already removed."""
        if (live := self._waiting.pop(request_id, None)) is not None:
            self._withdraw_demand(live)
            self._reject(live, reason, self.scheduler.time_to_capacity().likely_ms)

    def _reject(self, live: LiveRequest, reason: QueueRejection, wait_ms: float) -> None:
        """Reject a request, of which nothing has run, with the time after which capacity is expected."""
        settings = self.coordinator.settings
        retry_after_ms = self._retry_after.next_ms(
            self._now(),
            max(MIN_RETRY_AFTER_MS, wait_ms),
            self.scheduler.releases_per_ms,
            settings.max_retry_after_ms,
        )
        self.coordinator.requests.reject(
            live, retry_after_ms if settings.sends_retry_after else 0.0, reason.value
        )

    def _withdraw_demand(self, live: LiveRequest) -> None:
        """Subtract a request that will not run from this coordinator's demand on the fleet's budgets."""
        if self.local_limits is not None:
            query = live.query
            threads = self.coordinator.settings.classes[query.class_index].threads
            self.local_limits.request_abandoned(query.tenant_index, query.class_index, threads)

    def _resize_quotas(self) -> None:
        """Set the scheduler's capacity from the cores of the engines that accept new work."""
        coordinator = self.coordinator
        cores = sum(engine.cores for engine in coordinator.gateway.selector.eligible(0))
        threads = max(1.0, cores * self.threads_per_core / coordinator.settings.instances)
        if threads != self.scheduler.quotas.capacity:
            self.scheduler.quotas.resize(threads)

    def _schedule_check(self) -> None:
        if not self._check_scheduled and self._waiting:
            self._check_scheduled = True
            self.coordinator.deadlines.after(CHECK_INTERVAL_MS, self._check)

    def _check(self) -> None:
        self._check_scheduled = False
        self._resize_quotas()
        self.release()
        self._preemption.check(self._waiting.values())
        self._schedule_check()
