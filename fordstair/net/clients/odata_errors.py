"""Errors that the OData front answers with."""

from __future__ import annotations

from collections.abc import Mapping


class ODataError(Exception):
    """An error answer: HTTP status, OData code and message, with the headers that belong to it."""

    def __init__(
        self, status: int, code: str, message: str, headers: Mapping[str, str] | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.headers = dict(headers or {})


class ClientDisconnectedError(ODataError):
    """The client has left: nobody reads an answer, and nothing more is begun for it."""

    def __init__(self) -> None:
        super().__init__(499, "ClientLeft", "the client has left")
