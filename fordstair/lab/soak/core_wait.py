"""How long a soak's processes were runnable without a core: a busy machine looks like a slow program."""

from __future__ import annotations

from fordstair.lab.soak.records import CoreWait, SoakRecord, Span

MIN_WAIT_S = 0.02  # between two samples; shorter waits explain nothing


class CoreWaitSampler:
    """Turns readings of ``/proc/PID/schedstat`` into the spans in which one coordinator waited for a core."""

    def __init__(self, name: str, record: SoakRecord) -> None:
        self._name = name
        self._record = record
        self._pid = 0
        self._at_s = 0.0
        self._waited_s = 0.0

    def sample(self, pid: int, at_s: float, waited_s: float) -> None:
        """Take one reading: the time of the run, and for how long the process has waited so far."""
        if pid == self._pid and waited_s - self._waited_s >= MIN_WAIT_S:
            wait = CoreWait(self._name, Span(self._at_s, at_s), waited_s - self._waited_s)
            self._record.core_waits.append(wait)
        self._pid, self._at_s, self._waited_s = pid, at_s, waited_s
