"""Commits shared by all who come together, one at a time and in a thread: no task waits for a disk."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from fordstair.runtime.event_log import EventLog
from fordstair.store.disk import Disk, Record, StoreFailed

log = EventLog(__name__)

WAITING_MOST = 4_096  # writes that may wait; more are refused at once
AGAIN_S = 1.0  # after a failed commit, before the file is opened anew


class Batch:
    """Records that go into one commit."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.writes = 0
        self.done, self.error = trio.Event(), ""

    async def written(self) -> None:
        """Wait until they are on disk; raise StoreFailed where they surely are not, or may not be."""
        await self.done.wait()
        if self.error:
            raise StoreFailed(self.error)


class Writer:
    """The file as tasks use it: ``put`` returns once its records are on disk."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.broken = ""  # why nothing can be written just now; empty: it can
        self._next, self._wanted = Batch(), trio.Event()

    def add(self, records: Sequence[Record]) -> Batch:
        """Take records in, to be written in the order of these calls; raise StoreFailed if that is vain."""
        if self.broken or self._next.writes >= WAITING_MOST:
            raise StoreFailed(self.broken or "too many writes wait")
        self._next.records += records
        self._next.writes += 1
        self._wanted.set()
        return self._next

    async def put(self, records: Sequence[Record]) -> None:
        """Write records; raise StoreFailed where they are not surely on disk, and may be nevertheless."""
        await self.add(records).written()

    async def run(self) -> None:
        """Commit whatever waits, again and again, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            batch, self._next = self._next, Batch()
            try:
                with trio.CancelScope(shield=True):  # a commit is not left half-way
                    await trio.to_thread.run_sync(self.disk.write, batch.records)
            except StoreFailed as error:
                await self._mend(batch, str(error))
            else:
                batch.done.set()

    async def _mend(self, batch: Batch, why: str) -> None:
        """Tell all who wait, and refuse writes until the file can be written again."""
        self.broken = why
        log.error("store.cannot_write", why=why)
        for failed in (batch, self._next):
            failed.error = why
            failed.done.set()
        self._next = Batch()
        while self.broken:
            await trio.sleep(AGAIN_S)
            try:
                await trio.to_thread.run_sync(self._try)
                self.broken = ""
                log.info("store.writes_again", path=self.disk.path)
            except StoreFailed as error:
                self.broken = str(error)

    def _try(self) -> None:
        self.disk.close()
        self.disk.open()
        if self.disk.fresh:  # what was granted is not known any more: only a new start may say so
            raise StoreFailed(f"{self.disk.path}: was taken away")
        self.disk.write([Record("store", b"probe", b"x" * 4_096, 1)])
