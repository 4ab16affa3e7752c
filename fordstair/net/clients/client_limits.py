"""Bounds on clients' connections, and the rules on which of them ends: idle, stalled or shed for another.

Silent connections and endless messages would fill the capacity for clients, and answers that nobody reads the
memory.
"""

from __future__ import annotations

from enum import IntEnum

# The platform's front (MessagePack-RPC):
RPC_MESSAGE_TIMEOUT_MS = 2_000.0  # for a first message, or for the rest of one that has begun
RPC_MESSAGE_TIMEOUT_RETRY_MS = 250.0  # to the next check, where the connection may not be ended yet
RPC_WRITE_TIMEOUT_MS = 5_000.0  # for an answer to leave
RPC_MAX_OPEN_REQUESTS = 32  # of one connection
RPC_MAX_STATEMENT_BYTES = 256 * 1024
RPC_MESSAGE_OVERHEAD_BYTES = 4_096  # what a message holds beside its statement
RPC_MAX_UNSENT_BYTES = 256 * 1024  # above it a client is not read from, so that answers cannot pile up
RPC_UNSENT_CHECK_MS = 10.0  # between two checks of that
RPC_MESSAGES_PER_TURN = 32  # handled before other connections get their turn
# A client that sends invalid messages again and again is read from more slowly; answers are not delayed.
RPC_INVALID_MESSAGE_PAUSE_MS = 5.0  # for each one in a row
RPC_MAX_INVALID_MESSAGE_PAUSE_MS = 100.0

# The OData front (HTTP/1.1):
ODATA_REQUEST_TIMEOUT_MS = 5_000.0  # for a first request, or for the rest of one that has begun
ODATA_IDLE_TIMEOUT_MS = 30_000.0  # between two requests
ODATA_WRITE_TIMEOUT_MS = 10_000.0  # for an answer to leave
ODATA_MAX_BODY_BYTES = 256 * 1024

# Shedding, where a new client finds no capacity:
GREETING_MS = 300.0  # that a new connection has for its first message before it counts as silent
SHED_ORDER_VALID_MS = 50.0  # a flood of connections must not cost a sort each


class ShedRank(IntEnum):
    """Which connections are shed first; within a rank, the longest inactive."""

    SILENT = 0  # has sent nothing that could be used
    REQUESTED = 1  # has sent a request: clients that send one request and stay must not keep others out
    NEW = 2  # has had no time to send one


def shed_rank(*, has_requested: bool, last_activity_ms: float, now_ms: float) -> ShedRank:
    """Return when an idle connection is shed."""
    if has_requested:
        return ShedRank.REQUESTED
    return ShedRank.NEW if last_activity_ms > now_ms - GREETING_MS else ShedRank.SILENT


def message_timed_out(*, unread_bytes: bool, open_requests: int, writing: bool) -> bool:
    """Whether a client is disconnected whose message is not complete after RPC_MESSAGE_TIMEOUT_MS.

    Not while bytes have come unread, since then it is this program that is late; while requests are open,
    whose answers are owed and which may be cancelled; or while a client that has sent a request goes on
    writing the next.
    """
    return not (unread_bytes or open_requests or writing)
