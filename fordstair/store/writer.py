"""Group commit: the writes of several tasks share a commit.

Commits run one at a time in a worker thread, so that no task blocks on the disk.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from fordstair.runtime.event_log import EventLog
from fordstair.store.errors import StoreError
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile

log = EventLog(__name__)

# Further writes are rejected immediately.
MAX_QUEUED_WRITES = 4_096
REOPEN_INTERVAL_S = 1.0
# Size of the record that must be written before the file counts as writable again.
PROBE_BYTES = 4_096


class CommitBatch:
    """The records of one commit.

    Attributes:
        write_count: The number of calls of ``GroupCommitWriter.add`` that share the commit.
    """

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.write_count = 0
        self._finished = trio.Event()
        self._error = ""

    async def written(self) -> None:
        """Wait for the commit; raise StoreError if it failed, though its records may still be on disk."""
        await self._finished.wait()
        if self._error:
            raise StoreError(self._error)

    def finish(self, error: str = "") -> None:
        """Wake all tasks in ``written``; with an error, they raise StoreError."""
        self._error = error
        self._finished.set()


class GroupCommitWriter:
    """Queues the writes of tasks and commits them in batches.

    Attributes:
        unavailable_reason: Why nothing can be written at the moment; empty if the file is writable.
    """

    def __init__(self, file: RecordFile) -> None:
        self.file = file
        self.unavailable_reason = ""
        self._next_batch = CommitBatch()
        self._work_added = trio.Event()

    def add(self, records: Sequence[Record]) -> CommitBatch:
        """Queue records, which are written in the order of these calls, and return their batch.

        Raise StoreError if the file is not writable or the queue is full.
        """
        if self.unavailable_reason or self._next_batch.write_count >= MAX_QUEUED_WRITES:
            raise StoreError(self.unavailable_reason or "too many writes are queued for the next commit")
        self._next_batch.records += records
        self._next_batch.write_count += 1
        self._work_added.set()
        return self._next_batch

    async def put(self, records: Sequence[Record]) -> None:
        """Write records and return once they are on disk.

        Raise StoreError if they may not be on disk. If this is cancelled, they may still be written.
        """
        await self.add(records).written()

    async def run(self) -> None:
        """Commit the queued records batch by batch, until cancelled."""
        while True:
            await self._work_added.wait()
            self._work_added = trio.Event()
            batch = self._next_batch
            self._next_batch = CommitBatch()
            try:
                # Cancellation waits for a commit that is in progress.
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(self.file.write, batch.records)
            except StoreError as error:
                await self._recover(batch, str(error))
            else:
                batch.finish()

    async def _recover(self, failed_batch: CommitBatch, reason: str) -> None:
        """Finish both batches with the error, and reject writes until the file is writable again."""
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
        """Reopen the file and write a probe record to it; raise StoreError if that fails."""
        self.file.close()
        self.file.open()
        # A new file has lost the granted claims, which only a restart recovers.
        if self.file.newly_created:
            raise StoreError(f"{self.file.path}: was taken away")
        self.file.write([Record("store", b"probe", b"x" * PROBE_BYTES, 1)])
