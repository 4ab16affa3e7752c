"""The costs learned by the decision module, as values to store and to replicate; pure.

Means are keyed by the names of classes and table groups, so that members whose files list the classes in
different orders agree. A value is restored only where this decision module has learned too little itself.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from fordstair.decisions.cost_model import ClassStatistics
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.statistics import BoundedMeans, RunningMean

# A mean of fewer outcomes is not replicated, since it is too inaccurate.
MIN_OUTCOMES = 5
# A restored value counts as at most this many outcomes, so that it does not outweigh those observed here.
MAX_WEIGHT_OUTCOMES = 30
# The least change of a value's natural logarithm that is replicated, about a fifth of the value.
MIN_LOG_CHANGE = 0.2
MAX_VALUE = 1e9

# The running means of a request class, by the names that stored and replicated keys contain.
_CLASS_MEANS: dict[str, Callable[[ClassStatistics], RunningMean]] = {
    "mean": lambda statistics: statistics.cost,
    "memory": lambda statistics: statistics.memory_mb,
    "pace": lambda statistics: statistics.slowness,
}

_decoder: msgspec.msgpack.Decoder[tuple[float, int]] = msgspec.msgpack.Decoder(tuple[float, int])


def learned_values(gateway: Gateway) -> Iterator[tuple[str, bytes]]:
    """Yield the key and value of each mean over at least MIN_OUTCOMES, to three significant digits."""
    learned = _learned_means(gateway)
    for name, class_statistics in zip(learned.class_names, learned.classes, strict=True):
        for figure, mean_of in _CLASS_MEANS.items():
            yield from _encode(f"class|{name}|{figure}", mean_of(class_statistics))
    for (class_index, group), mean in learned.table_groups.means.items():
        yield from _encode(f"group|{learned.class_names[class_index]}|{group:g}", mean)


def differs_enough(old: bytes | None, new: bytes) -> bool:
    """Return whether a value differs enough from the old one to be replicated.

    Members observe slightly different costs. Without a minimum difference they would keep overwriting each
    other's values.
    """
    before = _decode(old) if old is not None else None
    after = _decode(new)
    if after is None:
        return False
    return before is None or abs(math.log(after[0] / before[0])) > MIN_LOG_CHANGE


def restore_values(gateway: Gateway, values: Mapping[str, bytes]) -> int:
    """Restore the values whose means have fewer than MIN_OUTCOMES here; return their number."""
    learned = _learned_means(gateway)
    restored = 0
    for key in sorted(values):
        value = _decode(values[key])
        if value is None:
            continue
        mean = learned.mean_of_key(key)
        if mean is not None and mean.count < MIN_OUTCOMES:
            mean.value = value[0]
            mean.count = value[1]
            restored += 1
    return restored


@dataclass(frozen=True, slots=True)
class _LearnedMeans:
    """The running means of the decision module, which it updates as it learns.

    Attributes:
        classes: The statistics of the request classes, in the order of ``class_names``.
    """

    class_names: list[str]
    class_indexes: dict[str, int]
    classes: Sequence[ClassStatistics]
    table_groups: BoundedMeans

    def mean_of_key(self, key: str) -> RunningMean | None:
        """Return the mean that a key names, or None for an unknown key.

        A new mean is added for an unknown table group if there is room.
        """
        kind, _, rest = key.partition("|")
        class_name, _, figure_or_group = rest.partition("|")
        class_index = self.class_indexes.get(class_name)
        if class_index is None:
            return None
        if kind == "class" and figure_or_group in _CLASS_MEANS:
            return _CLASS_MEANS[figure_or_group](self.classes[class_index])
        groups = self.table_groups
        if kind == "group" and len(groups.means) < groups.size:
            group = _finite_number(figure_or_group)
            if group is not None:
                return groups.means.setdefault((class_index, group), RunningMean(groups.step))
        return None


def _learned_means(gateway: Gateway) -> _LearnedMeans:
    """Return the decision module's means; only this function accesses the module's internals."""
    class_names = [spec.name for spec in gateway.settings.classes]
    class_indexes = {name: index for index, name in enumerate(class_names)}
    return _LearnedMeans(
        class_names, class_indexes, gateway.cost_model.classes, gateway.cost_model.table_groups
    )


def _encode(key: str, mean: RunningMean) -> Iterator[tuple[str, bytes]]:
    if mean.count >= MIN_OUTCOMES and math.isfinite(mean.value) and mean.value > 0.0:
        yield key, msgspec.msgpack.encode((float(f"{mean.value:.3g}"), min(mean.count, MAX_WEIGHT_OUTCOMES)))


def _decode(value: bytes) -> tuple[float, int] | None:
    """Return a mean and its weight in outcomes, or None if the bytes are not a valid value."""
    try:
        mean, outcomes = _decoder.decode(value)
    except msgspec.MsgspecError:
        return None
    if not math.isfinite(mean) or not 0.0 < mean < MAX_VALUE or outcomes <= 0:
        return None
    return mean, min(outcomes, MAX_WEIGHT_OUTCOMES)


def _finite_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
