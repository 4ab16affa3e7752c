"""Checks histories of loads under repeatability ids, as Jepsen's checkers do; does no I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal, TypeAlias

# ``ok``: the response says that the load has run. ``fail``: it says that this request did not run it.
# ``unknown``: it says neither, or there was no response.
Result: TypeAlias = Literal["ok", "fail", "unknown"]


@dataclass(frozen=True, slots=True)
class Operation:
    """One request of a load through one member; the times of all operations are from one clock.

    Attributes:
        after_faults: Whether the request was sent after all faults had ended.
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
    """Return a line for each violation; none if the history is valid.

    ``run_counts`` says how often engines started each load; ``stored_outcomes`` holds the outcome at each
    replica, by load and replica.
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
        yield f"{load_id}: acknowledged by {acknowledged[0].member}, but never ran"
    if runs and operations and all(operation.result == "fail" for operation in operations):
        yield f"{load_id}: ran, but every response says that it did not"
    first_acknowledged_s = min((operation.ended_s for operation in acknowledged), default=None)
    for operation in operations:
        if first_acknowledged_s is None or operation.sent_s <= first_acknowledged_s:
            continue
        if operation.result == "fail" and operation.after_faults:
            yield f"{load_id}: acknowledged, but {operation.member} would run it again"
