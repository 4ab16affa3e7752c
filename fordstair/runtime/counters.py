"""Counters of the events of the program, by name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Named integers that only increase; a name has the form ``area.event`` or ``area.event.class``."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._included: dict[str, Callable[[], Mapping[str, int]]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] += by

    def include(self, area: str, counts: Callable[[], Mapping[str, int]]) -> None:
        """Include the counts that ``counts`` returns in every snapshot, with ``area.`` before their names."""
        self._included[area] = counts

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Return all counts, sorted by name."""
        included = {
            f"{area}.{name}": count
            for area, counts in self._included.items()
            for name, count in counts().items()
        }
        return dict(sorted((self._counts | included).items()))
