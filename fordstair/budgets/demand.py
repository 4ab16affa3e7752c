"""What one member uses and could use of the fleet's limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

Amounts: TypeAlias = tuple[int, ...]  # units, by limit


@dataclass(frozen=True, slots=True)
class Demand:
    """Units by limit, floors included."""

    wanted: Sequence[int]  # could be used
    needed: Sequence[int]  # in use and waited for
    in_use: Sequence[int]
