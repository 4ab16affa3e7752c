"""The Prefer header of OData requests (RFC 7240, and OData 4.01 Protocol, 8.2.8)."""

from __future__ import annotations

import re
from collections.abc import Mapping

_WAIT_SECONDS_PATTERN = re.compile(r"(?:^|[,;\s])wait=(\d{1,6})(?:$|[,;\s])")
_MAX_PAGE_SIZE_PATTERN = re.compile(r"(?:odata\.)?maxpagesize=(\d{1,6})")


class Preferences:
    """The preferences of one request."""

    def __init__(self, headers: Mapping[str, str]) -> None:
        self._text = headers.get("prefer", "")

    @property
    def wait_ms(self) -> float | None:
        """How long the client waits for its response; None if not given."""
        match = _WAIT_SECONDS_PATTERN.search(self._text)
        return float(match[1]) * 1000.0 if match else None

    @property
    def max_page_rows(self) -> int | None:
        """The maximum number of rows of a page; None if not given, 0 for no limit of the client's own."""
        match = _MAX_PAGE_SIZE_PATTERN.search(self._text)
        return int(match[1]) if match else None

    @property
    def minimal_response(self) -> bool:
        """Whether the response to a load is to omit the entity."""
        return "return=minimal" in self._text

    @property
    def continue_on_error(self) -> bool:
        """Whether a batch continues after a failed request."""
        return "continue-on-error=false" not in self._text
