"""An attempt at a modelled engine, in place of an engine transport's call."""

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
ABANDON_TIMEOUT_MS = 300.0  # for the answer to a DELETE
REPEAT_MS = 20.0  # between two polls of a silent engine
TRANSIT_MS = (0.3, 1.5)  # least and most, one way between a coordinator and an engine


class ModelledCall:
    """One attempt, over the network between one coordinator and one engine; the ``Call`` of ports.py."""

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
        self.work_ms = work_ms  # by transaction id
        self.random = random
        self.run: EngineRun | None = None

    async def start(self) -> QueryProgress:
        """Send the query."""
        if self.engine is None:
            raise AttemptFailedError(Status.CONNECT_FAILED, "refused")
        if self.engine.silent:
            await trio.sleep(CONNECT_TIMEOUT_MS / 1e3)
            raise AttemptFailedError(Status.CONNECT_FAILED, "nothing came up", reachable=False)
        await self._transit()
        if not await self.attempt_request.may_send():
            raise AttemptFailedError(Status.NOT_STARTED, "the engine takes nothing new")
        query = self.attempt_request.query
        spec = self.settings.classes[query.class_index]
        run = EngineRun(query.transaction_id, query.tenant_index, spec.threads, now_ms(), spec.is_load)
        self.engine.begin(run, self.work_ms[query.transaction_id], self.attempt_request.priority)
        self.run = run
        return await self.poll()

    async def poll(self) -> QueryProgress:
        """Poll the query, as the platform's transport does: each poll is answered within POLL_HOLD_MS."""
        run = self.run
        engine = self.engine
        assert run is not None
        assert engine is not None
        run.polled_ms = now_ms()
        with trio.move_on_after(POLL_HOLD_MS / 1e3):
            await run.ended.wait()
        while engine.silent:  # polled again and again, until the attempt is abandoned
            await trio.sleep(REPEAT_MS / 1e3)
        run.polled_ms = now_ms()
        await self._transit()
        report = tuple(engine.report().get(name, 0.0) for name in self.settings.load_report_fields)
        if run.ended.is_set():
            if run.served:
                return QueryProgress(False, b"1\n", None, report)
            raise AttemptFailedError(Status.ERROR, "given up", report)
        note = None
        if (
            now_ms() - run.noted_ms >= PROGRESS_INTERVAL_MS
            and (job := engine.machine.jobs.get(run.txn)) is not None
        ):
            run.noted_ms = now_ms()
            note = NoteKind.PROGRESS, job.share_done
        return QueryProgress(True, b"", note, report)

    async def next_page(self) -> bytes | None:
        """Return None: all is on the first page."""
        return None

    async def abandon(self) -> bool:
        """Cancel the query; return whether the engine is known to have stopped it."""
        if self.run is not None and self.engine is not None and not self.run.ended.is_set():
            with trio.CancelScope(shield=True):
                if self.engine.silent:
                    await trio.sleep(ABANDON_TIMEOUT_MS / 1e3)
                    return False
                await self._transit()
                self.engine.end(self.run, served=False)
        return True

    async def set_priority(self, priority: int) -> None:
        """Send a new priority."""
        await self._transit()
        if self.run is not None and self.engine is not None:
            self.engine.set_priority(self.run, priority)

    async def _transit(self) -> None:
        await trio.sleep(self.random.uniform(*TRANSIT_MS) / 1e3)
