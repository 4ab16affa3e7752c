"""The rule that divides a limit: weighted max-min fair, in quanta, the rest to all alike; pure.

Max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, 2nd edition 1992, section
6.5.2), weighted by each member's demand: no allotment can grow without taking from one that is no larger a
part of its member's demand. So a team's requests are served alike, whichever coordinator they come to.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping, Sequence
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def divide(
    units: int,
    needed: Mapping[K, int],
    wanted: Mapping[K, int],
    quantum: int,
    order: Sequence[K],
    min_useful: int = 0,
) -> dict[K, int]:
    """Return each member's allotment in units; they sum to ``units``, or there are no members.

    Args:
        units: What is divided.
        needed: Units in use and waited for now, by member; served first, since they have work at once.
        wanted: Units that each member expects to use, ``needed`` included; served next.
        quantum: Allotments are multiples of this, as far as they go.
        order: All members; the first ones get what cannot be divided evenly, the very first the remainder.
        min_useful: What a member with any demand gets where it gets no quantum, as far as the units go
            round, so that the smallest requests need not wait for an allotment to move.
    """
    if not order:
        return {}
    quanta = units // quantum
    while True:
        lent = _divide_quanta(quanta, needed, wanted, quantum, order)
        lacking = [member for member in order if not lent[member] and (needed[member] or wanted[member])]
        if not quanta or units - quanta * quantum >= min_useful * len(lacking):
            break
        quanta = max(0, min(quanta - 1, (units - min_useful * len(lacking)) // quantum))
    allotments = {member: lent[member] * quantum for member in order}
    remainder = units - quanta * quantum
    for member in lacking:
        allotments[member] = min(min_useful, remainder)
        remainder -= allotments[member]
    allotments[order[0]] += remainder
    return allotments


def _divide_quanta(
    quanta: int, needed: Mapping[K, int], wanted: Mapping[K, int], quantum: int, order: Sequence[K]
) -> dict[K, int]:
    """Divide quanta by what is needed, then by what is wanted beyond it; lend the rest to all alike."""
    weights = {member: max(1, wanted[member]) for member in order}
    lent = _fill(quanta, {member: _quanta(needed[member], quantum) for member in order}, weights, order)
    beyond = {member: max(0, _quanta(wanted[member], quantum) - lent[member]) for member in order}
    for member, extra in _fill(quanta - sum(lent.values()), beyond, weights, order).items():
        lent[member] += extra
    each, first_ones = divmod(quanta - sum(lent.values()), len(order))
    for position, member in enumerate(order):
        lent[member] += each + (position < first_ones)
    return lent


def _quanta(units: int, quantum: int) -> int:
    """Return how many quanta hold so many units."""
    return -(-max(0, units) // quantum)


def _fill(quanta: int, demand: Mapping[K, int], weights: Mapping[K, int], order: Sequence[K]) -> dict[K, int]:
    """Give quanta in proportion to the weights until each demand is met or nothing is left."""
    given = dict.fromkeys(order, 0)
    waiting = sorted(
        (member for member in order if demand[member]), key=lambda member: demand[member] / weights[member]
    )
    weight = sum(weights[member] for member in waiting)
    for position, member in enumerate(waiting):
        if demand[member] * weight > quanta * weights[member]:  # neither this demand nor a later one is met
            given |= _proportional(quanta, demand, weights, waiting[position:], order)
            break
        given[member] = demand[member]
        quanta -= demand[member]
        weight -= weights[member]
    return given


def _proportional(
    quanta: int,
    demand: Mapping[K, int],
    weights: Mapping[K, int],
    members: Sequence[K],
    order: Sequence[K],
) -> dict[K, int]:
    """Divide quanta in proportion to the weights, the rest one each by the largest remainder."""
    weight = sum(weights[member] for member in members)
    parts = {member: divmod(quanta * weights[member], weight) for member in members}
    rest = quanta - sum(part for part, _ in parts.values())
    position = {member: number for number, member in enumerate(order)}
    given: dict[K, int] = {}
    for member in sorted(parts, key=lambda member: (-parts[member][1], position[member])):
        extra = 1 if rest > 0 else 0
        given[member] = min(demand[member], parts[member][0] + extra)
        rest -= extra
    return given
