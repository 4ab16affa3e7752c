"""The Prefer header of OData requests (RFC 7240, and OData 4.01 Protocol, 8.2.8)."""

from __future__ import annotations

import re
from collections.abc import Mapping

_WAIT_S = re.compile(r"(?:^|[,;\s])wait=(\d{1,6})(?:$|[,;\s])")
_PAGE_ROWS = re.compile(r"(?:odata\.)?maxpagesize=(\d{1,6})")


class Preferences:
    """What a client prefers."""

    def __init__(self, headers: Mapping[str, str]) -> None:
        self._text = headers.get("prefer", "")

    @property
    def wait_ms(self) -> float | None:
        """How long it waits for its answer; None where it does not say."""
        match = _WAIT_S.search(self._text)
        return float(match[1]) * 1000.0 if match else None

    @property
    def max_page_rows(self) -> int | None:
        """How many rows a page may have; None where it does not say, 0 sets no bound."""
        match = _PAGE_ROWS.search(self._text)
        return int(match[1]) if match else None

    @property
    def minimal_response(self) -> bool:
        """Whether it wants no entity back."""
        return "return=minimal" in self._text

    @property
    def continue_on_error(self) -> bool:
        """Whether a batch goes on after a request that has failed."""
        return "continue-on-error=false" not in self._text
