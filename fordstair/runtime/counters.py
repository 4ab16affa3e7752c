"""Counters of what the program takes in, sends and answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Named whole numbers that only grow; a name is ``area.what`` or ``area.what.class``."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._others: dict[str, Callable[[], Mapping[str, int]]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count one more."""
        self._counts[name] += by

    def include(self, area: str, counts: Callable[[], Mapping[str, int]]) -> None:
        """Show counts that a part keeps by itself, under its area."""
        self._others[area] = counts

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Return all counts, by name in order."""
        others = {
            f"{area}.{name}": count
            for area, counts in self._others.items()
            for name, count in counts().items()
        }
        return dict(sorted((self._counts | others).items()))
