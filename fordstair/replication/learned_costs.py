"""What the decision module has learned of costs, as values to store and to replicate; pure.

Means go by the names of classes and table groups, so that members whose files list classes in another order
agree. A value is taken over only where the decision module has learned too little of its own.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from fordstair.decisions.cost_model import ClassStatistics
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.statistics import BoundedMeans, RunningMean

MIN_OUTCOMES = 5  # a mean of fewer says too little to be replicated
MAX_WEIGHT_OUTCOMES = 30  # that a value taken over counts as: it must not outlast what is seen here
MIN_LOG_CHANGE = 0.2  # of a value's natural logarithm, between two that are replicated: about a fifth
MAX_VALUE = 1e9

# The running means of a request class by their names in keys. Stored and replicated keys hold these names.
_CLASS_MEANS: dict[str, Callable[[ClassStatistics], RunningMean]] = {
    "mean": lambda statistics: statistics.cost,
    "memory": lambda statistics: statistics.memory_mb,
    "pace": lambda statistics: statistics.slowness,
}

_decoder: msgspec.msgpack.Decoder[tuple[float, int]] = msgspec.msgpack.Decoder(tuple[float, int])


def learned_values(gateway: Gateway) -> Iterator[tuple[str, bytes]]:
    """Yield by key what the decision module has learned from enough outcomes, to three figures."""
    learned = _learned_means(gateway)
    for name, class_statistics in zip(learned.class_names, learned.classes, strict=True):
        for figure, mean_of in _CLASS_MEANS.items():
            yield from _encode(f"class|{name}|{figure}", mean_of(class_statistics))
    for (class_index, group), mean in learned.table_groups.means.items():
        yield from _encode(f"group|{learned.class_names[class_index]}|{group:g}", mean)


def differs_enough(old: bytes | None, new: bytes) -> bool:
    """Return whether a value is worth replicating in place of the old one.

    Each member sees a little else: without a least difference they would go on overwriting one another.
    """
    before = _decode(old) if old is not None else None
    after = _decode(new)
    if after is None:
        return False
    return before is None or abs(math.log(after[0] / before[0])) > MIN_LOG_CHANGE


def restore_values(gateway: Gateway, values: Mapping[str, bytes]) -> int:
    """Take values over where too little was learned here; return how many."""
    learned = _learned_means(gateway)
    taken_over = 0
    for key in sorted(values):
        value = _decode(values[key])
        if value is None:
            continue
        mean = learned.mean_of_key(key)
        if mean is not None and mean.count < MIN_OUTCOMES:
            mean.value = value[0]
            mean.count = value[1]
            taken_over += 1
    return taken_over


@dataclass(frozen=True, slots=True)
class _LearnedMeans:
    """The running means inside the decision module, which change as it learns."""

    class_names: list[str]
    class_indexes: dict[str, int]
    classes: Sequence[ClassStatistics]  # in the order of ``class_names``
    table_groups: BoundedMeans

    def mean_of_key(self, key: str) -> RunningMean | None:
        """Return the mean that a key names, None for an unknown key.

        A table group not seen yet gets a new mean where there is room for one.
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
    """Return the decision module's means: the only access to its parts."""
    class_names = [spec.name for spec in gateway.settings.classes]
    class_indexes = {name: index for index, name in enumerate(class_names)}
    return _LearnedMeans(
        class_names, class_indexes, gateway.cost_model.classes, gateway.cost_model.table_groups
    )


def _encode(key: str, mean: RunningMean) -> Iterator[tuple[str, bytes]]:
    if mean.count >= MIN_OUTCOMES and math.isfinite(mean.value) and mean.value > 0.0:
        yield key, msgspec.msgpack.encode((float(f"{mean.value:.3g}"), min(mean.count, MAX_WEIGHT_OUTCOMES)))


def _decode(value: bytes) -> tuple[float, int] | None:
    """Return a mean and its weight in outcomes; None for bytes that are no such value."""
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
