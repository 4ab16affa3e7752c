"""Implements ``Call`` of ports.py for an attempt at a modelled engine."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import trio

from fordstair.core.ports import AttemptFailedError, AttemptRequest, QueryProgress
from fordstair.decisions.events import NoteKind, Status
from fordstair.decisions.settings import Settings
from fordstair.lab.clockwork import now_ms
from fordstair.lab.engine_protocol import POLL_HOLD_MS, PROGRESS_INTERVAL_MS
from fordstair.lab.modelled_engine import EngineRun, ModelledEngine

CONNECT_TIMEOUT_MS = 250.0
CANCEL_RESPONSE_TIMEOUT_MS = 300.0
POLL_RETRY_INTERVAL_MS = 20.0
TRANSIT_RANGE_MS = (0.3, 1.5)  # one-way delay between a coordinator and an engine, minimum and maximum


class ModelledCall:
    """One attempt over the network between one coordinator and one engine.

    Attributes:
        engine: the modelled engine, or None if no engine listens at the address.
        work_ms: true work of each query, by transaction ID.
        run: the query at the engine, once it has been accepted there.
    """

    def __init__(
        self,
        engine: ModelledEngine | None,
        attempt_request: AttemptRequest,
        settings: Settings,
        work_ms: Mapping[str, float],
        random: Random,
    ) -> None:
        self.engine = engine
        self.attempt_request = attempt_request
        self.settings = settings
        self.work_ms = work_ms
        self.random = random
        self.run: EngineRun | None = None

    async def start(self) -> QueryProgress:
        """Send the query and return the first poll's response.

        Raises AttemptFailedError if the attempt ends without a result, as ``poll`` does.
        """
        if self.engine is None:
            raise AttemptFailedError(Status.CONNECT_FAILED, "connection refused")
        if self.engine.silent:
            await trio.sleep(CONNECT_TIMEOUT_MS / 1e3)
            raise AttemptFailedError(
                Status.CONNECT_FAILED,
                f"no response to connect within {CONNECT_TIMEOUT_MS:.0f} ms",
                reachable=False,
            )
        await self._delay_transit()
        if not await self.attempt_request.may_send():
            raise AttemptFailedError(Status.NOT_STARTED, "the engine accepts no new queries")
        query = self.attempt_request.query
        spec = self.settings.classes[query.class_index]
        run = EngineRun(query.transaction_id, query.tenant_index, spec.threads, now_ms(), spec.is_load)
        self.engine.begin(run, self.work_ms[query.transaction_id], self.attempt_request.priority)
        self.run = run
        return await self.poll()

    async def poll(self) -> QueryProgress:
        """Poll the query, as the platform's transport does; the engine responds within POLL_HOLD_MS."""
        run = self.run
        engine = self.engine
        assert run is not None
        assert engine is not None
        run.polled_ms = now_ms()
        with trio.move_on_after(POLL_HOLD_MS / 1e3):
            await run.ended.wait()
        # The transport repeats the poll of a silent engine until the attempt is abandoned.
        while engine.silent:
            await trio.sleep(POLL_RETRY_INTERVAL_MS / 1e3)
        run.polled_ms = now_ms()
        await self._delay_transit()
        report = tuple(engine.report().get(name, 0.0) for name in self.settings.load_report_fields)
        if run.ended.is_set():
            if run.served:
                return QueryProgress(False, b"1\n", None, report)
            raise AttemptFailedError(Status.ERROR, "the engine ended the query without a result", report)
        note = None
        if (
            now_ms() - run.progress_sent_ms >= PROGRESS_INTERVAL_MS
            and (job := engine.machine.jobs.get(run.txn)) is not None
        ):
            run.progress_sent_ms = now_ms()
            note = NoteKind.PROGRESS, job.progress
        return QueryProgress(True, b"", note, report)

    async def remaining_pages(self, max_bytes: int) -> list[bytes]:
        """Return none, since a modelled result has one page."""
        return []

    async def abandon(self) -> bool:
        """Cancel the query; return whether the engine is known to have stopped it.

        The cancellation of the caller is shielded until the engine responds or the timeout has passed.
        """
        if self.run is not None and self.engine is not None and not self.run.ended.is_set():
            with trio.CancelScope(shield=True):
                if self.engine.silent:
                    await trio.sleep(CANCEL_RESPONSE_TIMEOUT_MS / 1e3)
                    return False
                await self._delay_transit()
                self.engine.end(self.run, served=False)
        return True

    async def set_priority(self, priority: int) -> None:
        """Change the priority of the query at the engine."""
        await self._delay_transit()
        if self.run is not None and self.engine is not None:
            self.engine.set_priority(self.run, priority)

    async def _delay_transit(self) -> None:
        await trio.sleep(self.random.uniform(*TRANSIT_RANGE_MS) / 1e3)
