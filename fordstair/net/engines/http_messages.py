"""An HTTP request to an engine, and its response."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

Headers = Sequence[tuple[str, str]]

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_NO_CONTENT = 204
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One request, without the headers that the connection adds."""

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def has_content_length(self) -> bool:
        """Return whether Content-Length is sent, even if it is 0."""
        return bool(self.body) or self.method in _METHODS_WITH_BODY


@dataclass(slots=True)
class HttpResponse:
    """One response; header names are in lower case.

    Attributes:
        has_trailers: whether fields followed the last chunk of the body.
        surplus: bytes that followed the response although no further request had been sent, up to the end of
            their first line at least; filled in only where the end of the body is to be verified.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    has_trailers: bool = False
    surplus: bytes = b""

    def header(self, name: bytes, default: str = "") -> str:
        """Return the value of a header as text."""
        return self.headers.get(name, default.encode()).decode("latin-1")
