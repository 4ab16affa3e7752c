"""Group commit: tasks share commits, which run one at a time in a thread; no task blocks on the disk."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from fordstair.runtime.event_log import EventLog
from fordstair.store.errors import StoreError
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile

log = EventLog(__name__)

MAX_WAITING_WRITES = 4_096  # more are rejected at once
REOPEN_INTERVAL_S = 1.0  # from a failed commit to the next attempt to open the file
PROBE_BYTES = 4_096  # that must be written before the file counts as writable again


class CommitBatch:
    """Records that go into one commit."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.writes = 0  # calls of ``add`` that the batch holds
        self._finished = trio.Event()
        self._error = ""

    async def written(self) -> None:
        """Wait for the commit; raise StoreError where it failed, though its records may be on disk."""
        await self._finished.wait()
        if self._error:
            raise StoreError(self._error)

    def finish(self, error: str = "") -> None:
        """Wake up all who wait; an error is what they get."""
        self._error = error
        self._finished.set()


class GroupCommitWriter:
    """The file as tasks use it: ``put`` returns once its records are on disk.

    ``unavailable_reason`` says why nothing can be written at the moment; empty: it can.
    """

    def __init__(self, file: RecordFile) -> None:
        self.file = file
        self.unavailable_reason = ""
        self._next_batch = CommitBatch()
        self._work_added = trio.Event()

    def add(self, records: Sequence[Record]) -> CommitBatch:
        """Queue records, to be written in the order of these calls; raise StoreError if that is pointless."""
        if self.unavailable_reason or self._next_batch.writes >= MAX_WAITING_WRITES:
            raise StoreError(self.unavailable_reason or "too many writes wait")
        self._next_batch.records += records
        self._next_batch.writes += 1
        self._work_added.set()
        return self._next_batch

    async def put(self, records: Sequence[Record]) -> None:
        """Write records; raise StoreError where they are not surely on disk, though they may be."""
        await self.add(records).written()

    async def run(self) -> None:
        """Commit whatever waits, until cancelled."""
        while True:
            await self._work_added.wait()
            self._work_added = trio.Event()
            batch = self._next_batch
            self._next_batch = CommitBatch()
            try:
                with trio.CancelScope(shield=True):  # a commit is not abandoned half-way
                    await trio.to_thread.run_sync(self.file.write, batch.records)
            except StoreError as error:
                await self._recover(batch, str(error))
            else:
                batch.finish()

    async def _recover(self, failed_batch: CommitBatch, reason: str) -> None:
        """Fail all who wait, and reject writes until the file can be written again."""
        self.unavailable_reason = reason
        log.error("store.cannot_write", why=reason)
        for batch in (failed_batch, self._next_batch):
            batch.finish(reason)
        self._next_batch = CommitBatch()
        while self.unavailable_reason:
            await trio.sleep(REOPEN_INTERVAL_S)
            try:
                await trio.to_thread.run_sync(self._reopen)
            except StoreError as error:
                self.unavailable_reason = str(error)
            else:
                self.unavailable_reason = ""
                log.info("store.writes_again", path=self.file.path)

    def _reopen(self) -> None:
        """Open the file again, and prove that it can be written; raise StoreError where it cannot."""
        self.file.close()
        self.file.open()
        if self.file.newly_created:  # which claims were granted is forgotten: only a restart recovers them
            raise StoreError(f"{self.file.path}: was taken away")
        self.file.write([Record("store", b"probe", b"x" * PROBE_BYTES, 1)])
