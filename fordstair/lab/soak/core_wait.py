"""Measures how long coordinators were runnable but had no core: a busy machine looks like a slow program."""

from __future__ import annotations

from fordstair.lab.soak.records import CoreWait, SoakRecord, Span

MIN_WAIT_S = 0.02  # between two samples; a shorter wait does not explain a late answer


class CoreWaitSampler:
    """Records the spans in which one coordinator waited for a core, from ``/proc/PID/schedstat`` readings."""

    def __init__(self, name: str, record: SoakRecord) -> None:
        self._name = name
        self._record = record
        self._pid = 0
        self._sampled_s = 0.0
        self._waited_s = 0.0

    def sample(self, pid: int, at_s: float, waited_s: float) -> None:
        """Take one reading of how long the process has waited for a core since its start.

        Args:
            pid: The process; another one than at the last reading starts a new series.
            at_s: The time of the reading, in seconds of the run.
            waited_s: The process's total wait so far.
        """
        if pid == self._pid and waited_s - self._waited_s >= MIN_WAIT_S:
            wait = CoreWait(self._name, Span(self._sampled_s, at_s), waited_s - self._waited_s)
            self._record.core_waits.append(wait)
        self._pid, self._sampled_s, self._waited_s = pid, at_s, waited_s
