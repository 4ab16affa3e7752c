"""What the decision module has learned of costs, as values to keep and to copy; pure.

A class's means and a table group's go by names, so that members whose files list classes in another order
agree. A value is taken over only where the module has learned too little of its own, which goes first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping

import msgspec

from fordstair.decisions.cost_model import ClassStatistics
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.statistics import RunningMean

LEAST_OUTCOMES = 5  # fewer tell too little to be passed on
WEIGHT_MOST = 30  # outcomes that a value taken over counts as at most: it must not outlast what is seen
APART = 0.2  # of the logarithm: values a fifth apart
# A class's figures, by their names in stored and replicated keys.
FIGURES: dict[str, Callable[[ClassStatistics], RunningMean]] = {
    "mean": lambda statistics: statistics.cost,
    "memory": lambda statistics: statistics.memory_mb,
    "pace": lambda statistics: statistics.slowness,
}

_values: msgspec.msgpack.Decoder[tuple[float, int]] = msgspec.msgpack.Decoder(tuple[float, int])


def learned(gateway: Gateway) -> Iterator[tuple[str, bytes]]:
    """Yield what the module has learned from enough outcomes, to three figures."""
    names = [spec.name for spec in gateway.settings.classes]
    for name, of in zip(names, gateway.cost_model.classes, strict=True):
        for figure, mean_of in FIGURES.items():
            yield from _told(f"class|{name}|{figure}", mean_of(of))
    for (k, group), mean in gateway.cost_model.table_groups.means.items():
        yield from _told(f"group|{names[k]}|{group:g}", mean)


def is_news(old: bytes | None, new: bytes) -> bool:
    """Whether a value differs enough to be told: each member sees a little else, and would go on telling."""
    before, after = _read(old) if old is not None else None, _read(new)
    return after is not None and (before is None or abs(math.log(after[0] / before[0])) > APART)


def restore(gateway: Gateway, values: Mapping[str, bytes]) -> int:
    """Take values over where too little was learned here; return how many."""
    places = {spec.name: k for k, spec in enumerate(gateway.settings.classes)}
    taken = 0
    for key in sorted(values):
        kind, _, rest = key.partition("|")
        name, _, what = rest.partition("|")
        found = _read(values[key])
        if found is None or name not in places:
            continue
        of, groups = gateway.cost_model.classes[places[name]], gateway.cost_model.table_groups
        if kind == "class" and what in FIGURES:
            mean = FIGURES[what](of)
        elif kind == "group" and (group := _number(what)) is not None and len(groups.means) < groups.size:
            mean = groups.means.setdefault((places[name], group), RunningMean(groups.step))
        else:
            continue
        if mean.count < LEAST_OUTCOMES:
            mean.value, mean.count = found
            taken += 1
    return taken


def _told(key: str, mean: RunningMean) -> Iterator[tuple[str, bytes]]:
    if mean.count >= LEAST_OUTCOMES and math.isfinite(mean.value) and mean.value > 0.0:
        yield key, msgspec.msgpack.encode((float(f"{mean.value:.3g}"), min(mean.count, WEIGHT_MOST)))


def _read(value: bytes) -> tuple[float, int] | None:
    try:
        mean, n = _values.decode(value)
    except msgspec.MsgspecError:
        return None
    return (mean, min(n, WEIGHT_MOST)) if math.isfinite(mean) and 0.0 < mean < 1e9 and n > 0 else None


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
