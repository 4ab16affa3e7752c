"""The interfaces between the core, the fronts that accept requests, and the engine transports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.decisions.events import NoteKind, Status
from fordstair.runtime.clock import UnixMs


class ClientActivity(Enum):
    """What a client has going on its connection when it sends a request."""

    NEW = "new"  # this is the first request on its connection
    KNOWN = "known"
    BUSY = "busy"  # several of its requests are open


@dataclass(slots=True, frozen=True)
class Query:
    """One request of a client, independent of the front's protocol.

    Attributes:
        class_name: name of the request class.
        timeout_ms: how long the client waits, counted from its send.
        table_group: number of the group of tables that the statement uses, 0 for none; None if the statement
            has not been searched for it.
        cost_ms: estimated thread-milliseconds; 0 for no estimate.
        memory_mb: estimated memory; 0 for no estimate.
        read_delay_ms: the part of ``timeout_ms`` that had passed when the request was read.
        idempotency_key: key of a request in a class with keys; the same in each of the client's retries.
        ordering_key: key that the client chose; requests with the same key keep their order.
        client_activity: what its client has going.
    """

    transaction_id: str
    class_name: str
    class_index: int
    tenant_index: int
    timeout_ms: float
    statement: bytes
    table_group: float | None = None
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    read_delay_ms: float = 0.0
    idempotency_key: str = ""
    ordering_key: str = ""
    client_activity: ClientActivity = ClientActivity.KNOWN


@dataclass(slots=True)
class Engine:
    """One engine as discovery last listed it.

    Attributes:
        address: its address, ``host:port``.
        started_at: when its process started, according to discovery; None if that is long past.
        cordoned: whether an operator has cordoned it.
        zone_ejected: whether its zone is ejected as unreachable.
    """

    entry: EngineEntry
    address: str
    protocol: str = "rest"
    started_at: UnixMs | None = None
    cordoned: bool = False
    zone_ejected: bool = False

    @property
    def ready(self) -> bool:
        """Whether new attempts may be sent to it."""
        return self.entry.state is EngineState.READY and not (self.cordoned or self.zone_ejected)

    @property
    def effective_entry(self) -> EngineEntry:
        """Its entry for the decision module, where a cordoned or zone-ejected engine counts as draining."""
        if self.ready or self.entry.state is not EngineState.READY:
            return self.entry
        return replace(self.entry, state=EngineState.DRAINING)


class Reply(Protocol):
    """Sends the one final answer of a request to its client; the answer methods neither block nor raise."""

    async def drain_input(self) -> None:
        """Wait until what the client has sent by now has been read, because that may cancel the request."""

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with the result: pages of rows in order, as text with tabs and line feeds."""

    def rejected(self, retry_after_ms: float) -> None:
        """Answer that a retry is safe, preferably after ``retry_after_ms``; 0 gives no advice."""

    def failed(self, reason: str) -> None:
        """Answer that the request failed, without a promise whether it has had an effect."""


@dataclass(slots=True, frozen=True)
class QueryProgress:
    """An engine's response about a query: that it still runs, perhaps with a note, or its first page."""

    running: bool
    rows: bytes = b""
    note: tuple[NoteKind, float] | None = None
    load_report: tuple[float, ...] = ()


class AttemptFailedError(Exception):
    """An attempt ended without a result; the status says whether it may have run.

    Attributes:
        status: how it ended.
        load_report: the engine's load report; empty if its response had none.
        reachable: whether anything at the engine's address has answered at all.
        may_connect_late: whether its connection may still be established.
    """

    def __init__(
        self,
        status: Status,
        reason: str,
        load_report: tuple[float, ...] = (),
        *,
        reachable: bool = True,
        may_connect_late: bool = False,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.load_report = load_report
        self.reachable = reachable
        self.may_connect_late = may_connect_late


class Call(Protocol):
    """One attempt at one engine, in the protocol of its transport."""

    async def start(self) -> QueryProgress:
        """Send the query; raise AttemptFailedError if the attempt fails."""

    async def poll(self) -> QueryProgress:
        """Ask for the query's state; to be called repeatedly without long gaps. Raises as ``start`` does."""

    async def remaining_pages(self, max_bytes: int) -> list[bytes]:
        """Fetch the pages after the first, in order.

        Raises as ``start`` does, and AttemptFailedError once they exceed ``max_bytes`` together.
        """

    async def abandon(self) -> bool:
        """Cancel the query at the engine if it may have arrived there; takes a bounded time.

        Return False if the query may still begin or run: it was sent completely, and nothing shows that the
        engine has read it or has cancelled it.
        """

    async def set_priority(self, priority: int) -> None:
        """Change the priority of the running query, 0 to 3."""


async def _always_allowed() -> bool:
    return True


async def _always_room(size: int) -> None:
    """Do nothing."""


def _ignore_end() -> None:
    """Do nothing."""


@dataclass(slots=True)
class AttemptRequest:
    """What a transport needs for one attempt.

    Attributes:
        timeout_ms: the time that the whole attempt may take.
        may_send: awaited right before the first byte is sent; if it returns False, nothing must be sent.
        reserve_result: awaited before so many more bytes of the result are fetched than the first page has;
            raises AttemptFailedError if there can be no room for them.
        query_finished: called when the engine has finished the query but its result is not checked yet; not
            every transport calls it, and one may call it more than once.
    """

    query: Query
    engine: Engine
    priority: int
    timeout_ms: float
    may_send: Callable[[], Awaitable[bool]] = _always_allowed
    reserve_result: Callable[[int], Awaitable[None]] = _always_room
    query_finished: Callable[[], None] = _ignore_end


class Transport(Protocol):
    """Sends attempts to engines in one protocol."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Create the call for one attempt; nothing is sent yet."""

    def close_connections(self, engine: Engine) -> None:
        """Close the connections to an engine that has gone or restarted."""
