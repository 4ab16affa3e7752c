"""The way back to a client of the platform's front."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from fordstair.net.clients import rpc_wire


class ReplyingConnection(Protocol):
    """The connection on which a request came."""

    async def drain_input(self) -> None:
        """Wait until what the client has written by now is read."""

    def finish(self, number: int, response: bytes) -> None:
        """Queue the one final response of a request."""


class RpcReply:
    """Answers one request."""

    def __init__(self, connection: ReplyingConnection, number: int) -> None:
        self._connection = connection
        self._number = number

    async def drain_input(self) -> None:
        """Wait until what the client has written by now is read."""
        await self._connection.drain_input()

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with all rows."""
        self._connection.finish(self._number, rpc_wire.result_response(self._number, pages))

    def rejected(self, retry_after_ms: float) -> None:
        """Answer that a retry is harmless, and when to make it."""
        self._connection.finish(self._number, rpc_wire.overloaded_response(self._number, retry_after_ms))

    def failed(self, reason: str) -> None:
        """Answer with an error that promises nothing."""
        self._connection.finish(self._number, rpc_wire.internal_error_response(self._number, reason))
