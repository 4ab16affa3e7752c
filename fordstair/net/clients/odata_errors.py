"""Errors that the OData front sends to clients."""

from __future__ import annotations

from collections.abc import Mapping


class ODataError(Exception):
    """An error response: its HTTP status, OData error code, message and additional headers."""

    def __init__(
        self, status: int, code: str, message: str, headers: Mapping[str, str] | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.headers = dict(headers or {})


class ClientDisconnectedError(ODataError):
    """The client has disconnected: no response is sent, and no further statement is run for it."""

    def __init__(self) -> None:
        super().__init__(499, "ClientLeft", "the client has left")
