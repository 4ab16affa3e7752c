"""Sets the memory budget's limit, and compares the budget with the process's real size."""

from __future__ import annotations

import gc

from fordstair.configuration.errors import ConfigError
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryLimit
from fordstair.runtime.process_memory import resident_bytes, return_free_memory

log = EventLog("fordstair")

CHECK_INTERVAL_MS = 100.0
# Garbage in cycles is collected once this much of the real size is not explained by reservations, and again
# once the size has grown as much since.
COLLECT_ABOVE_BYTES = 256 * 1024


class MemoryWatch:
    """Keeps a memory budget true to the memory that the process really uses."""

    def __init__(self, budget: MemoryBudget, deadlines: Deadlines) -> None:
        self._budget = budget
        self._deadlines = deadlines
        self._base_bytes = 0
        self._collected_bytes = 0  # the real size after the latest collection

    def begin(self, memory_mb: float) -> None:
        """Take what the process uses now as its need without clients, and apply the limit in MB.

        Raise ConfigError if the process uses more already.
        """
        gc.collect()
        gc.freeze()  # what is loaded stays: later collections need not look at it
        self._base_bytes = resident_bytes()
        if memory_mb * BYTES_PER_MB < self._base_bytes:
            base_mb = self._base_bytes / BYTES_PER_MB
            raise ConfigError(f"limits.memory_mb: {memory_mb:g}, but the program alone uses {base_mb:.0f}")
        self.apply_limit(memory_mb)

    def apply_limit(self, memory_mb: float) -> None:
        """Apply a limit in MB; one that leaves too little for a few clients is named in the log.

        Without effect before ``begin``.
        """
        if not self._base_bytes:
            return
        limit = MemoryLimit(int(memory_mb * BYTES_PER_MB), self._base_bytes)
        if limit.total_bytes < limit.needed_bytes:
            needed_mb = round(limit.needed_bytes / BYTES_PER_MB, 1)
            log.warning("memory.tight", field="limits.memory_mb", told_mb=memory_mb, needed_mb=needed_mb)
        self._budget.set_limit(limit)

    async def run(self) -> None:
        """Compare the budget with the real size now and then until cancelled, once it has begun."""
        while self._base_bytes:
            await self._deadlines.sleep(CHECK_INTERVAL_MS)
            self._observe(resident_bytes())

    def _observe(self, size: int) -> None:
        """Compare the budget with the real size; collect garbage if that may help."""
        self._budget.observe_resident(size)
        grown = size > self._collected_bytes + COLLECT_ABOVE_BYTES
        if grown and self._budget.unexplained_bytes > COLLECT_ABOVE_BYTES:
            gc.collect()
            return_free_memory()
            self._collected_bytes = resident_bytes()
        self._collected_bytes = min(self._collected_bytes, size)
