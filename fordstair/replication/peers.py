"""Requests to members by name, including this member itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from fordstair.replication.background_tasks import BackgroundTasks
from fordstair.replication.messages import Request, Response
from fordstair.replication.peer_connection import PeerConnection, PeerUnreachableError
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.request_handler import RequestHandler

T = TypeVar("T", bound=Response)


class Peers:
    """Sends requests to other members over connections, and to this member's own request handler directly."""

    def __init__(self, state: ReplicaState, handler: RequestHandler, tasks: BackgroundTasks) -> None:
        settings = state.settings
        self._member = settings.member
        self._counts = state.counts
        self._handler = handler
        self._tasks = tasks
        self._connections = {
            name: PeerConnection(settings.cluster, settings.member, address, settings.connect_from_host)
            for name, address in settings.members.items()
            if name != settings.member
        }

    @property
    def names(self) -> tuple[str, ...]:
        """The other members, in the order of the settings."""
        return tuple(self._connections)

    @property
    def sent_bytes(self) -> int:
        """The size of all requests sent to other members so far."""
        return sum(connection.sent_bytes for connection in self._connections.values())

    async def request(self, member: str, build: Callable[[int], Request], response_type: type[T]) -> T:
        """Send a member the request that ``build`` returns for its id, and return the response.

        Raise PeerUnreachableError if there is no valid response. If this is cancelled, the request may have
        been sent.
        """
        if member == self._member:
            response = await self._handler.handle(member, build(0)).when_written(self._counts)
            assert isinstance(response, response_type)
            return response
        nursery = self._tasks.running_nursery()
        try:
            return await self._connections[member].request(nursery, build, response_type)
        except PeerUnreachableError:
            self._counts["requests_unanswered"] += 1
            raise
