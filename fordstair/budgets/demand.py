"""One member's present and possible use of the fleet's limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

Amounts: TypeAlias = tuple[int, ...]  # units of each limit, in the plan's order


@dataclass(frozen=True, slots=True)
class Demand:
    """Units of each limit, floors included.

    Attributes:
        wanted: Units that could be used.
        needed: Units in use and waited for.
        in_use: Units in use.
    """

    wanted: Sequence[int]
    needed: Sequence[int]
    in_use: Sequence[int]
