"""Rules on the coordinators' processes: they stay up, start soon, and keep to their limits."""

from __future__ import annotations

import math

from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.plan import FaultKind
from fordstair.lab.soak.records import CoordinatorStart, SoakRecord

READY_WITHIN_S = 10.0
MAX_LATE_ONE_IN = 10  # restarts


def judge_processes(record: SoakRecord, judgement: Judgement) -> None:
    """Judge ends, starts, logs and resources of all coordinators."""
    _judge_ends(record, judgement)
    _judge_starts(record, judgement)
    _judge_resources(record, judgement)


def _judge_ends(record: SoakRecord, judgement: Judgement) -> None:
    for _ in record.coordinators:
        judgement.judge("crash")
        judgement.judge("log")
    for end in record.ends:
        if not end.wanted:
            judgement.violate(Violation("crash", end.at_s, f"{end.name} exited with {end.code}"))
    for line in record.log_faults:
        judgement.violate(Violation("log", math.inf, line))


def _judge_starts(record: SoakRecord, judgement: Judgement) -> None:
    restarts = [start for start in record.starts if start.begun_s >= 0.0]
    judged = list[CoordinatorStart]()
    for start in restarts:
        if start.signalled:
            judgement.excuse("ready", "told to end while it started")
        else:
            judgement.judge("ready")
            judged.append(start)
    late = [start for start in judged if _took_s(record, start) > READY_WITHIN_S]
    if len(late) * MAX_LATE_ONE_IN > len(judged):
        names = ", ".join(f"{start.name} at {start.begun_s:.2f}" for start in late)
        judgement.violate(Violation("ready", late[0].begun_s, f"{len(late)} of {len(judged)}: {names}"))


def _took_s(record: SoakRecord, start: CoordinatorStart) -> float:
    """Return how long a start took, without the pauses in it."""
    pauses = record.held(FaultKind.PAUSE, start.name)
    paused_s = sum(pause.overlap(start.begun_s, start.ready_s) for pause in pauses)
    return start.ready_s - start.begun_s - paused_s


def _judge_resources(record: SoakRecord, judgement: Judgement) -> None:
    for name, used in record.resources.items():
        judgement.judge("descriptors")
        judgement.judge("memory")
        if used.descriptors > record.descriptor_limit:
            what = f"{name}: {used.descriptors} of {record.descriptor_limit}"
            judgement.violate(Violation("descriptors", math.inf, what))
        if used.memory_mb > record.memory_limit_mb:
            what = f"{name}: {used.memory_mb:.0f} of {record.memory_limit_mb:.0f} MB"
            judgement.violate(Violation("memory", math.inf, what))
