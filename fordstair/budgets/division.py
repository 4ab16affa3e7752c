"""One whole divided by demand: weighted max-min fair, in quanta, what nobody wants lent to all alike; pure.

Max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, 2nd edition 1992, section
6.5.2), weighted by what each could use: no share can grow without taking from one that is no larger a part of
what its member could use. A team's requests are entitled alike, wherever they come to.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence


def divide(
    whole: int,
    needs: Mapping[str, int],
    wants: Mapping[str, int],
    quantum: int,
    order: Sequence[str],
    least: int = 0,
) -> dict[str, int]:
    """Return each member's share; they sum to the whole, or to nothing where there are no members.

    Shares are quanta: what is out and waits (``needs``) goes before what is expected (``wants``), since a
    quantum that one expects to use is of more use to another that has work for it now; what nobody wants is
    lent to all alike. Whoever needs or wants anything and gets no quantum gets ``least``, as far as that goes
    round, so that the smallest requests need not wait for a share to move. ``order`` names all members; who
    comes first in it gets what cannot be divided evenly, and what is left of the whole beside its quanta.
    """
    if not order:
        return {}
    quanta = whole // quantum
    while True:
        lent = _lend(quanta, needs, wants, quantum, order)
        lacking = [name for name in order if not lent[name] and (needs[name] > 0 or wants[name] > 0)]
        if not quanta or whole - quanta * quantum >= least * len(lacking):
            break
        quanta = max(0, min(quanta - 1, (whole - least * len(lacking)) // quantum))
    given = {name: lent[name] * quantum for name in order}
    left = whole - quanta * quantum
    for name in lacking:
        given[name] = min(least, left)
        left -= given[name]
    given[order[0]] += left
    return given


def _lend(
    quanta: int, needs: Mapping[str, int], wants: Mapping[str, int], quantum: int, order: Sequence[str]
) -> dict[str, int]:
    """Divide quanta: what is needed, then what is wanted beyond that, then what is left to all alike."""
    weights = {name: max(1, wants[name]) for name in order}
    lent = _fill(quanta, {name: _quanta(needs[name], quantum) for name in order}, weights, order)
    more = {name: max(0, _quanta(wants[name], quantum) - lent[name]) for name in order}
    for name, extra in _fill(quanta - sum(lent.values()), more, weights, order).items():
        lent[name] += extra
    spare = quanta - sum(lent.values())
    for place, name in enumerate(order):  # called back when somebody wants it
        lent[name] += spare // len(order) + (place < spare % len(order))
    return lent


def _quanta(units: int, quantum: int) -> int:
    return -(-max(0, units) // quantum)


def _fill(
    quanta: int, needs: Mapping[str, int], weights: Mapping[str, int], order: Sequence[str]
) -> dict[str, int]:
    """Give to all in proportion to their weights until each has its need or nothing is left."""
    given = dict.fromkeys(order, 0)
    waiting = sorted((name for name in order if needs[name]), key=lambda name: needs[name] / weights[name])
    weight = sum(weights[name] for name in waiting)
    for place, name in enumerate(waiting):
        if needs[name] * weight > quanta * weights[name]:  # and so is it for all that follow
            parts = {each: divmod(quanta * weights[each], weight) for each in waiting[place:]}
            rest = quanta - sum(part for part, _ in parts.values())
            rank = {each: number for number, each in enumerate(order)}
            for each in sorted(parts, key=lambda each: (-parts[each][1], rank[each])):
                given[each] = min(needs[each], parts[each][0] + (rest > 0))
                rest -= rest > 0
            break
        given[name] = needs[name]
        quanta -= needs[name]
        weight -= weights[name]
    return given
