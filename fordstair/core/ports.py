"""What the core asks of the fronts before it and of the engine transports behind it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.decisions.events import NoteKind, Status
from fordstair.runtime.clock import UnixMs


@dataclass(slots=True, frozen=True)
class Query:
    """One request of a client, in no wire's form."""

    transaction_id: str
    class_name: str  # the class, by name
    class_index: int
    tenant_index: int
    timeout_ms: float  # how long the client waits, from its send
    statement: bytes
    table_group: float = 0.0
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    read_delay_ms: float = 0.0  # of its limit, before it was read here


@dataclass(slots=True)
class Engine:
    """One engine as the membership last told of it."""

    entry: EngineEntry
    address: str  # host:port
    protocol: str = "rest"
    started_at: UnixMs | None = None  # its process, as discovery tells it; None: long past
    cordoned: bool = False  # an operator has set it aside
    zone_ejected: bool = False  # its hall is out of reach

    @property
    def ready(self) -> bool:
        """Whether new work may go there."""
        return self.entry.state is EngineState.READY and not (self.cordoned or self.zone_ejected)

    @property
    def notified_entry(self) -> EngineEntry:
        """The entry as the module is told it: what is set aside takes nothing new, as if it drained."""
        if self.ready or self.entry.state is not EngineState.READY:
            return self.entry
        return replace(self.entry, state=EngineState.DRAINING)


class Reply(Protocol):
    """The way back to a client: takes the one final answer of its request, at once, and raises nothing."""

    async def drain_input(self) -> None:
        """Wait until what the client has said by now is read: that it goes, perhaps."""

    def served(self, pages: Sequence[bytes]) -> None:
        """All rows, in order, as text with tabs and line feeds."""

    def rejected(self, retry_after_ms: float) -> None:
        """A retry is harmless, best after that long."""

    def failed(self, reason: str) -> None:
        """Nothing is promised about the effect."""


@dataclass(slots=True, frozen=True)
class QueryProgress:
    """An engine's word on a query: still running, with a note perhaps, or its first page."""

    running: bool
    rows: bytes = b""
    note: tuple[NoteKind, float] | None = None
    load_report: tuple[float, ...] = ()


class AttemptFailedError(Exception):
    """An attempt has ended without its result; the status says what that proves."""

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
        self.status, self.load_report = status, load_report
        self.reachable = reachable  # whether anything there has answered at all
        self.may_connect_late = may_connect_late  # its connection may come up yet


class Call(Protocol):
    """One attempt at one engine, in the transport's own protocol."""

    async def start(self) -> QueryProgress:
        """Send the query; raise AttemptFailedError when it ends badly."""

    async def poll(self) -> QueryProgress:
        """Ask how it stands, again and again without a long gap."""

    async def next_page(self) -> bytes | None:
        """Fetch the next page of the result; None when there are no more."""

    async def abandon(self) -> bool:
        """Give the query up at the engine, if it may have got there; never takes long.

        False where it may begin yet, or still run: it left whole, but nothing shows that the engine has read
        it, or that the engine has taken it back.
        """

    async def set_priority(self, priority: int) -> None:
        """Tell a new priority of running work."""


async def _always() -> bool:
    return True


@dataclass(slots=True)
class AttemptRequest:
    """What a transport is told of one attempt."""

    query: Query
    engine: Engine
    priority: int
    timeout_ms: float
    may_send: Callable[[], Awaitable[bool]] = _always  # asked right before bytes go out


class Transport(Protocol):
    """Carries attempts to engines."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt; nothing is sent yet."""

    def forget(self, engine: Engine) -> None:
        """Close what is kept open to an engine that has gone or started anew."""
