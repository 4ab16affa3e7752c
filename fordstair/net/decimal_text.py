"""Whole numbers in what peers send as text."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r"[0-9]{1,15}", re.ASCII)


def decimal_number(text: str) -> int | None:
    """Return the number that a text consists of; None for anything else, and for over 15 digits."""
    return int(text) if _DECIMAL.fullmatch(text) else None
