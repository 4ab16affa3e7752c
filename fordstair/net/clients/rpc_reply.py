"""Sends the final response of a request to a client of the platform's front."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from fordstair.net.clients import rpc_wire


class ReplyingConnection(Protocol):
    """The connection that a request arrived on."""

    async def drain_input(self) -> None:
        """Wait until all input that has arrived by now is handled."""

    def finish(self, request_id: int, response: bytes) -> None:
        """Queue the final response of a request."""


class RpcReply:
    """Answers one request; implements ``fordstair.core.ports.Reply``."""

    def __init__(self, connection: ReplyingConnection, request_id: int) -> None:
        self._connection = connection
        self._request_id = request_id

    async def drain_input(self) -> None:
        """Wait until all input that has arrived by now is handled."""
        await self._connection.drain_input()

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with all rows."""
        self._connection.finish(self._request_id, rpc_wire.result_response(self._request_id, pages))

    def rejected(self, retry_after_ms: float) -> None:
        """Answer that a retry is harmless, and when to retry."""
        self._connection.finish(
            self._request_id, rpc_wire.overloaded_response(self._request_id, retry_after_ms)
        )

    def failed(self, reason: str) -> None:
        """Answer with an error that promises nothing about the request's effect."""
        self._connection.finish(self._request_id, rpc_wire.internal_error_response(self._request_id, reason))
