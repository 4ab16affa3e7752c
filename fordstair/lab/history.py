"""Checks histories of loads under repeat ids for what the ledger promises, as Jepsen's checkers do; pure.

An operation is a request through one member. ``ok``: it was answered that the load has run. ``fail``: that it
has not run by this request. ``unknown``: neither, or no answer at all.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

How = Literal["ok", "fail", "unknown"]


@dataclass(frozen=True, slots=True)
class Operation:
    """One request, from its sending to its answer; times in seconds of one clock."""

    id: str
    member: str
    invoked: float
    ended: float
    how: How
    final: bool = False  # asked after all faults had stopped


def check(
    operations: Iterable[Operation], runs: Mapping[str, int], copies: Mapping[str, Mapping[str, bytes]]
) -> list[str]:
    """Return what was broken; empty where every promise was kept.

    ``runs`` counts how often engines began the load of an id; ``copies`` holds, by id, each holder's outcome.
    """
    by_id = defaultdict[str, list[Operation]](list)
    for operation in operations:
        by_id[operation.id].append(operation)
    broken = list[str]()
    for name in sorted(by_id.keys() | runs.keys()):
        mine, ran = by_id[name], runs.get(name, 0)
        if ran > 1:
            broken.append(f"{name}: ran {ran} times")
        acknowledged = [each for each in mine if each.how == "ok"]
        if acknowledged and not ran:
            broken.append(f"{name}: told as run by {acknowledged[0].member}, and never ran")
        if ran and mine and all(each.how == "fail" for each in mine):
            broken.append(f"{name}: ran, and all were told that it has not")
        first = min((each.ended for each in acknowledged), default=None)
        for each in mine:
            if first is not None and each.invoked > first and each.how == "fail" and each.final:
                broken.append(f"{name}: acknowledged, and {each.member} would run it again")
    for name, told in sorted(copies.items()):
        if len(set(told.values())) > 1:
            broken.append(f"{name}: copies differ at {', '.join(sorted(told))}")
    return broken
