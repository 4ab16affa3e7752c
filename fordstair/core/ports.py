"""The interfaces of the core: the fronts before it and the engine transports behind it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.decisions.events import NoteKind, Status
from fordstair.runtime.clock import UnixMs


@dataclass(slots=True, frozen=True)
class Query:
    """One request of a client, in the form of no wire."""

    transaction_id: str
    class_name: str  # the class, by name
    class_index: int
    tenant_index: int
    timeout_ms: float  # how long the client waits, from its send
    statement: bytes
    table_group: float = 0.0  # 0: none
    cost_ms: float = 0.0  # estimated thread-milliseconds; 0: no estimate
    memory_mb: float = 0.0  # estimated; 0: no estimate
    read_delay_ms: float = 0.0  # part of the timeout that passed before the request was read here
    idempotency_key: str = ""  # of a class with keys; the same in each retry of the client
    ordering_key: str = ""  # as the client names it: requests with the same one keep their order
    from_new_client: bool = False  # the first one on its connection


@dataclass(slots=True)
class Engine:
    """One engine as discovery last listed it."""

    entry: EngineEntry
    address: str  # host:port
    protocol: str = "rest"
    started_at: UnixMs | None = None  # start of its process, by discovery; None: long past
    cordoned: bool = False  # by an operator
    zone_ejected: bool = False  # its zone is out of reach

    @property
    def ready(self) -> bool:
        """Whether new work may go there."""
        return self.entry.state is EngineState.READY and not (self.cordoned or self.zone_ejected)

    @property
    def notified_entry(self) -> EngineEntry:
        """The entry as the decision module gets it: an engine that takes nothing new counts as draining."""
        if self.ready or self.entry.state is not EngineState.READY:
            return self.entry
        return replace(self.entry, state=EngineState.DRAINING)


class Reply(Protocol):
    """The way back to a client: takes the one final answer of its request, at once, and raises nothing."""

    async def drain_input(self) -> None:
        """Wait until what the client has sent by now is read: it may cancel the request."""

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with all rows, in order, as text with tabs and line feeds."""

    def rejected(self, retry_after_ms: float) -> None:
        """Answer that a retry is harmless, best after that long; 0: no advice."""

    def failed(self, reason: str) -> None:
        """Answer that it failed; nothing is promised about the effect."""


@dataclass(slots=True, frozen=True)
class QueryProgress:
    """An engine's answer on a query: still running, perhaps with a note, or its first page."""

    running: bool
    rows: bytes = b""
    note: tuple[NoteKind, float] | None = None
    load_report: tuple[float, ...] = ()


class AttemptFailedError(Exception):
    """An attempt has ended without its result; the status says what that proves.

    Attributes:
        status: how it ended.
        load_report: the engine's load report, empty where its answer had none.
        reachable: whether anything at the engine's address has answered at all.
        may_connect_late: whether its connection may come up yet.
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
    """One attempt at one engine, in the transport's own protocol."""

    async def start(self) -> QueryProgress:
        """Send the query; raise AttemptFailedError when it ends badly."""

    async def poll(self) -> QueryProgress:
        """Ask for its state; to be called again and again without a long gap. Errors as in ``start``."""

    async def next_page(self) -> bytes | None:
        """Fetch the next page of the result; None when there are no more. Errors as in ``start``."""

    async def abandon(self) -> bool:
        """Give the query up at the engine, if it may have got there; never takes long.

        Return False where it may begin yet, or still run: it was sent completely, but nothing shows that the
        engine has read it, or has cancelled it.
        """

    async def set_priority(self, priority: int) -> None:
        """Set a new priority, 0 to 3, of running work."""


async def _always() -> bool:
    return True


@dataclass(slots=True)
class AttemptRequest:
    """What a transport needs for one attempt; it may take ``timeout_ms`` in all."""

    query: Query
    engine: Engine
    priority: int
    timeout_ms: float
    may_send: Callable[[], Awaitable[bool]] = _always  # called right before bytes go out


class Transport(Protocol):
    """Carries attempts to engines."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt; nothing is sent yet."""

    def forget(self, engine: Engine) -> None:
        """Close the connections to an engine that has gone or started anew."""
