"""The replicated state of one member and its store."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

import trio

from fordstair.replication.claim_replica import ClaimReplica
from fordstair.replication.engine_set import EngineSet
from fordstair.replication.register_map import RegisterMap
from fordstair.replication.settings import ReplicationSettings
from fordstair.replication.stored_records import LoadedState, load_state
from fordstair.runtime.clock import AnchoredClock
from fordstair.runtime.event_log import EventLog
from fordstair.store.errors import StoreCorruptedError, StoreError
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile
from fordstair.store.writer import CommitBatch, GroupCommitWriter

log = EventLog(__name__)

REGISTER_RETENTION_MS = 7 * 86_400_000.0
# A decision module learns some hundred values.
MAX_REGISTERS = 5_000
REOPEN_INTERVAL_S = 1.0
NOT_LOADED = "the store is not read yet"


class ReplicaState:
    """Claims, registers and engines in memory, with the file that they are written to.

    Its clock follows elapsed time, so that a step of the wall clock makes nothing expire earlier or later.

    Attributes:
        new_store_until_s: The time by trio's clock until which ``is_new_store`` is true.
    """

    def __init__(self, settings: ReplicationSettings, counts: Counter[str]) -> None:
        self.settings = settings
        self.counts = counts
        self.claim_replica = ClaimReplica(
            settings.member,
            settings.members,
            settings.replication_factor,
            settings.retention_ms,
            settings.max_entries,
        )
        self.claim_replica.incomplete_reason = NOT_LOADED
        self.register_map = RegisterMap(settings.member, REGISTER_RETENTION_MS, MAX_REGISTERS)
        self.engine_set = EngineSet(settings.member)
        self.file = RecordFile(settings.store_path)
        self.writer = GroupCommitWriter(self.file)
        self.writer.unavailable_reason = NOT_LOADED
        self.new_store_until_s = -math.inf
        self._clock = AnchoredClock()

    def now_ms(self) -> float:
        """Return the Unix time in milliseconds."""
        return self._clock.now().value

    @property
    def unavailable_reason(self) -> str:
        """Why this member grants no claims at the moment; empty if it does."""
        return self.claim_replica.incomplete_reason or self.writer.unavailable_reason

    @property
    def is_new_store(self) -> bool:
        """Whether this start has created the store, and no other member's store is known to be older."""
        return self.new_store_until_s > trio.current_time()

    # Writing

    def add_records(self, records: Sequence[Record]) -> CommitBatch | None | StoreError:
        """Queue records; return the commit to wait for, None if there are no records, or the error."""
        try:
            return self.writer.add(records) if records else None
        except StoreError as error:
            return error

    async def put_records(self, records: Sequence[Record]) -> bool:
        """Write records; return False if they may not be on disk."""
        try:
            await self.writer.put(records)
        except StoreError:
            self.counts["writes_failed"] += 1
            return False
        return True

    # Loading

    async def load(self) -> None:
        """Read the store, retrying until that succeeds; the rest of the program runs without it meanwhile."""
        while True:
            try:
                loaded = await trio.to_thread.run_sync(load_state, self.file, self.now_ms())
            except StoreCorruptedError as error:
                log.error("store.damaged", why=error, kept_as=self.file.quarantine())
            except StoreError as error:
                self.claim_replica.incomplete_reason = str(error)
                self.writer.unavailable_reason = str(error)
                log.error("store.cannot_open", why=error)
                await trio.sleep(REOPEN_INTERVAL_S)
            else:
                self.merge_loaded(loaded)
                return

    def merge_loaded(self, loaded: LoadedState) -> None:
        """Merge the state read from the store with that received while it was read."""
        self.claim_replica.load(loaded.entries)
        for key, register in loaded.registers:
            self.register_map.merge(self.now_ms(), key, register)
        if loaded.engine_set is not None:
            self.engine_set.merge(self.now_ms(), loaded.engine_set)
        self.counts["records_corrupted"] += loaded.corrupted_records
        if self.file.newly_created:
            self.new_store_until_s = math.inf
        self.claim_replica.incomplete_reason = loaded.incomplete_reason
        self.writer.unavailable_reason = ""
        log.info(
            "ledger.loaded",
            path=self.settings.store_path,
            entries=len(loaded.entries),
            doubted=loaded.incomplete_reason or "no",
        )
