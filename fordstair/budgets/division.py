"""Divides a limit among members: weighted max-min fair, in quanta, with the surplus spread evenly; pure.

Max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, 2nd edition 1992, section
6.5.2), weighted by each member's demand: no allotment can grow without taking from one that covers no larger
fraction of its member's demand. So a team's requests are served alike, whichever coordinator receives them.
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
    """Return each member's allotment in units; the allotments sum to ``units`` unless there are no members.

    Args:
        units: Units to divide.
        needed: Units in use and waited for now, by member; served first, since there is work for them now.
        wanted: Units that each member expects to use, ``needed`` included; served next.
        quantum: Allotments are multiples of this as far as possible.
        order: All members; the first ones get what cannot be divided evenly, the very first the remainder.
        min_useful: Allotment of a member with demand that gets no quantum, as far as the units suffice, so
            that the smallest requests need not wait for an allotment to move.
    """
    if not order:
        return {}
    quanta = units // quantum
    while True:
        assigned = _divide_quanta(quanta, needed, wanted, quantum, order)
        unserved = [member for member in order if not assigned[member] and (needed[member] or wanted[member])]
        if not quanta or units - quanta * quantum >= min_useful * len(unserved):
            break
        quanta = max(0, min(quanta - 1, (units - min_useful * len(unserved)) // quantum))
    allotments = {member: assigned[member] * quantum for member in order}
    remainder = units - quanta * quantum
    for member in unserved:
        allotments[member] = min(min_useful, remainder)
        remainder -= allotments[member]
    allotments[order[0]] += remainder
    return allotments


def _divide_quanta(
    quanta: int, needed: Mapping[K, int], wanted: Mapping[K, int], quantum: int, order: Sequence[K]
) -> dict[K, int]:
    """Divide quanta by need, then by what is wanted beyond it; spread the surplus evenly."""
    weights = {member: max(1, wanted[member]) for member in order}
    assigned = _fill(quanta, {member: _quanta(needed[member], quantum) for member in order}, weights, order)
    beyond = {member: max(0, _quanta(wanted[member], quantum) - assigned[member]) for member in order}
    for member, extra in _fill(quanta - sum(assigned.values()), beyond, weights, order).items():
        assigned[member] += extra
    each, left_over = divmod(quanta - sum(assigned.values()), len(order))
    for position, member in enumerate(order):
        assigned[member] += each + (position < left_over)
    return assigned


def _quanta(units: int, quantum: int) -> int:
    """Return the number of quanta that cover a number of units."""
    return -(-max(0, units) // quantum)


def _fill(quanta: int, demand: Mapping[K, int], weights: Mapping[K, int], order: Sequence[K]) -> dict[K, int]:
    """Give quanta in proportion to the weights until each demand is met or no quantum is left."""
    given = dict.fromkeys(order, 0)
    waiting = sorted(
        (member for member in order if demand[member]), key=lambda member: demand[member] / weights[member]
    )
    weight = sum(weights[member] for member in waiting)
    for position, member in enumerate(waiting):
        # From here on no demand can be met in full.
        if demand[member] * weight > quanta * weights[member]:
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
    """Divide quanta in proportion to the weights; the remaining ones go by the largest remainders."""
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
