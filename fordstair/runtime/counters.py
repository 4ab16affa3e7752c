"""Counters of what the program takes in, sends and answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Named whole numbers that only grow; a name is ``area.what`` or ``area.what.class``."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._included: dict[str, Callable[[], Mapping[str, int]]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count some more, one unless ``by`` says otherwise."""
        self._counts[name] += by

    def include(self, area: str, counts: Callable[[], Mapping[str, int]]) -> None:
        """Include counts that another part keeps, under its area, in every snapshot."""
        self._included[area] = counts

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Return all counts, by name in order."""
        included = {
            f"{area}.{name}": count
            for area, counts in self._included.items()
            for name, count in counts().items()
        }
        return dict(sorted((self._counts | included).items()))
