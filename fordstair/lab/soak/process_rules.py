"""Rules for the coordinators' processes: they do not crash, start in time, and stay within their limits."""

from __future__ import annotations

import math

from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.plan import FaultKind
from fordstair.lab.soak.records import CoordinatorStart, SoakRecord

READY_TIMEOUT_S = 10.0
MIN_STARTS_PER_LATE_START = 10


def judge_processes(record: SoakRecord, judgement: Judgement) -> None:
    """Judge the exits, starts, logs and resources of all coordinators."""
    _judge_ends(record, judgement)
    _judge_starts(record, judgement)
    _judge_resources(record, judgement)


def _judge_ends(record: SoakRecord, judgement: Judgement) -> None:
    for _ in record.coordinators:
        judgement.count_judged("crash")
        judgement.count_judged("log")
    for end in record.exits:
        if not end.expected:
            judgement.add_violation(Violation("crash", end.at_s, f"{end.name} exited with {end.exit_code}"))
    for line in record.log_errors:
        judgement.add_violation(Violation("log", math.inf, line))


def _judge_starts(record: SoakRecord, judgement: Judgement) -> None:
    restarts = [start for start in record.starts if start.begun_s >= 0.0]
    judged = list[CoordinatorStart]()
    for start in restarts:
        if start.end_requested:
            judgement.count_excused("ready", "told to end while it started")
        else:
            judgement.count_judged("ready")
            judged.append(start)
    late = [start for start in judged if _start_duration_s(record, start) > READY_TIMEOUT_S]
    if len(late) * MIN_STARTS_PER_LATE_START > len(judged):
        names = ", ".join(f"{start.name} at {start.begun_s:.2f}" for start in late)
        judgement.add_violation(Violation("ready", late[0].begun_s, f"{len(late)} of {len(judged)}: {names}"))


def _start_duration_s(record: SoakRecord, start: CoordinatorStart) -> float:
    """Return how long a start took, not counting pauses."""
    pauses = record.active_spans(FaultKind.PAUSE, start.name)
    paused_s = sum(pause.overlap(start.begun_s, start.ready_s) for pause in pauses)
    return start.ready_s - start.begun_s - paused_s


def _judge_resources(record: SoakRecord, judgement: Judgement) -> None:
    for name, resources in record.resources.items():
        judgement.count_judged("descriptors")
        judgement.count_judged("memory")
        if resources.descriptors > record.descriptor_limit:
            description = f"{name}: {resources.descriptors} of {record.descriptor_limit}"
            judgement.add_violation(Violation("descriptors", math.inf, description))
        if resources.memory_mb > record.memory_limit_mb:
            description = f"{name}: {resources.memory_mb:.0f} of {record.memory_limit_mb:.0f} MB"
            judgement.add_violation(Violation("memory", math.inf, description))
