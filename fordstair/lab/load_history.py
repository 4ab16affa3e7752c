"""Checks histories of loads under repeatability ids, as Jepsen's checkers do; pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal, TypeAlias

# ``ok``: the response says that the load has run. ``fail``: that it has not run by this request.
# ``unknown``: neither, or there was no response at all.
Result: TypeAlias = Literal["ok", "fail", "unknown"]


@dataclass(frozen=True, slots=True)
class Operation:
    """One request of a load through one member; times in seconds of one clock.

    ``after_faults``: it was sent after all faults had ended.
    """

    load_id: str
    member: str
    sent_s: float
    ended_s: float
    result: Result
    after_faults: bool = False


def find_violations(
    operations: Iterable[Operation],
    run_counts: Mapping[str, int],
    stored_outcomes: Mapping[str, Mapping[str, bytes]],
) -> list[str]:
    """Return what was broken; empty where every promise was kept.

    ``run_counts`` says how often engines began each load; ``stored_outcomes`` holds, by load, each replica's
    outcome.
    """
    by_load = defaultdict[str, list[Operation]](list)
    for operation in operations:
        by_load[operation.load_id].append(operation)
    violations = list[str]()
    for load_id in sorted(by_load.keys() | run_counts.keys()):
        violations += _violations_of_load(load_id, by_load[load_id], run_counts.get(load_id, 0))
    for load_id, outcomes in sorted(stored_outcomes.items()):
        if len(set(outcomes.values())) > 1:
            violations.append(f"{load_id}: copies differ at {', '.join(sorted(outcomes))}")
    return violations


def _violations_of_load(load_id: str, operations: Sequence[Operation], runs: int) -> Iterator[str]:
    if runs > 1:
        yield f"{load_id}: ran {runs} times"
    acknowledged = [operation for operation in operations if operation.result == "ok"]
    if acknowledged and not runs:
        yield f"{load_id}: told as run by {acknowledged[0].member}, and never ran"
    if runs and operations and all(operation.result == "fail" for operation in operations):
        yield f"{load_id}: ran, and all were told that it has not"
    first_acknowledged_s = min((operation.ended_s for operation in acknowledged), default=None)
    for operation in operations:
        if first_acknowledged_s is None or operation.sent_s <= first_acknowledged_s:
            continue
        if operation.result == "fail" and operation.after_faults:
            yield f"{load_id}: acknowledged, and {operation.member} would run it again"
