"""Parses decimal integers in text received from peers."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r"[0-9]{1,15}", re.ASCII)


def decimal_number(text: str) -> int | None:
    """Return the integer if the text is 1 to 15 decimal digits, else None."""
    return int(text) if _DECIMAL.fullmatch(text) else None
