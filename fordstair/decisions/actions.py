"""Actions that the decision module returns for an event; its host executes them in order."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from fordstair.decisions.engine_list import EngineId


class RejectionReason(StrEnum):
    """Reason for a final answer to a request that is not served; the texts go to clients and consoles."""

    OVER_QUOTA = "over the team's share"
    OVER_CONCURRENCY_LIMIT = "over the limit set here"
    NO_CAPACITY = "threads are full"
    TOO_COSTLY = "too costly under pressure"
    ORDERING_QUEUE_TOO_LONG = "its key's line is too long"
    NO_ELIGIBLE_ENGINE = "no engine is open"
    NO_FURTHER_ATTEMPT = "no further attempt"
    ATTEMPT_MAY_STILL_RUN = "an attempt may begin yet"
    TOO_LATE = "too late"
    SHUTTING_DOWN = "the program ends"


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request's next attempt.

    Attributes:
        limit_ms: Time limit of the attempt; 0, all that the gateway sets, means the client's deadline.
        begin_by: Latest time at which the attempt may begin; after it, engines may have forgotten an earlier
            run of the request.
    """

    request: int
    engine: EngineId
    limit_ms: float = 0.0
    begin_by: float = math.inf


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Give the final answer "rejected"; a retry by the client is safe."""

    request: int
    retry_after_ms: float = 0.0
    reason: RejectionReason | str = ""


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Give the final answer "failed"; the request may or may not have had its effect."""

    request: int
    reason: RejectionReason | str = ""


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetQueryResources:
    """Set memory (0: the engine's choice) and priority (0 to 3) of the next attempt and of running ones."""

    request: int
    memory_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Request a TimerFired event after the delay."""

    token: int
    delay_ms: float


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an engine."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close idle connections to an engine."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to another coordinator, or to all of them where peer is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Log a line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchEngineList:
    """Start or stop watching the engine list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEngineList:
    """Fetch the full engine list once."""


Action: TypeAlias = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetQueryResources
    | StartTimer
    | CheckHealth
    | CloseIdleConnections
    | SendPeerMessage
    | LogMessage
    | WatchEngineList
    | FetchEngineList
)
