"""Limits on client connections, and the rules for when a connection times out or is shed.

Without them, silent connections and messages that never end would use up the capacity for clients, and
responses that a client doesn't read would use up memory.
"""

from __future__ import annotations

from enum import IntEnum

# The platform's front (MessagePack-RPC):
# Limits the wait for the first message, and for the rest of a message that has begun.
RPC_MESSAGE_TIMEOUT_MS = 2_000.0
# The delay until the check is repeated for a connection that was not allowed to time out yet.
RPC_MESSAGE_TIMEOUT_RETRY_MS = 250.0
# Limits the sending of one batch of queued responses.
RPC_WRITE_TIMEOUT_MS = 5_000.0
# Limits the open requests of one connection.
RPC_MAX_OPEN_REQUESTS = 32
# With this many open requests a client has to wait for others with fewer.
RPC_BUSY_OPEN_REQUESTS = 4
RPC_MAX_STATEMENT_BYTES = 256 * 1024
# The room in a message for everything but its statement.
RPC_MESSAGE_OVERHEAD_BYTES = 4_096
# The most that one read takes.
MAX_READ_BYTES = 64 * 1024
# What a connection may always read and hold of messages in progress; an ordinary request is shorter.
SMALL_MESSAGE_BYTES = 4 * 1024
SMALL_MESSAGE_BYTES_IF_SCARCE = 1024
# The memory that a larger message in progress takes, as a multiple of its length: its buffer grows.
INPUT_MEMORY_FACTOR = 1.6
# The memory that one connection takes, with its tasks and the input that it may always read.
RPC_CONNECTION_BYTES = 15 * 1024
# Above this backlog of unsent responses the connection is not read, so that responses cannot pile up.
RPC_MAX_UNSENT_BYTES = 256 * 1024
RPC_MAX_UNSENT_BYTES_IF_SCARCE = 16 * 1024
# The interval at which that backlog is checked again.
RPC_UNSENT_CHECK_MS = 10.0
# After this many messages in a row a connection lets other tasks run.
RPC_MESSAGES_PER_TURN = 32
# A connection is read more slowly after invalid messages, and after several that were refused for want of
# memory; responses to it are not delayed.
RPC_INVALID_MESSAGE_PAUSE_MS = 5.0  # multiplied by the number of consecutive invalid messages
RPC_MAX_INVALID_MESSAGE_PAUSE_MS = 100.0
RPC_REFUSED_MESSAGE_PAUSE_MS = 5.0  # multiplied by the number of consecutive refusals after the first few
RPC_MAX_REFUSED_MESSAGE_PAUSE_MS = 20.0

# The OData front (HTTP/1.1):
# Limits the wait for the first request to begin, and for the rest of a request that has begun.
ODATA_REQUEST_TIMEOUT_MS = 5_000.0
# Limits the wait between two requests.
ODATA_IDLE_TIMEOUT_MS = 30_000.0
# Limits the sending of one response.
ODATA_WRITE_TIMEOUT_MS = 10_000.0
ODATA_MAX_BODY_BYTES = 256 * 1024
# The memory that one connection takes, with its tasks and the input that it may always read; more over TLS.
ODATA_CONNECTION_BYTES = 20 * 1024
ODATA_TLS_BYTES = 64 * 1024
# What a result takes while its rows are turned into JSON, as a multiple of its size.
ODATA_RESULT_MEMORY_FACTOR = 5
# The interval at which a connection that is not read checks whether its client has left.
ODATA_CLOSE_CHECK_MS = 50.0
# Limits the lines of a request's head; parsed, a short field takes up to a hundred times its bytes.
ODATA_MAX_HEAD_LINES = 100

# Shedding of idle connections when a new client finds no capacity:
# A connection without a valid message counts as new for this long after its last activity, then as silent.
NEW_CONNECTION_GRACE_MS = 300.0
# The same where memory is short.
NEW_CONNECTION_GRACE_IF_SHORT_MS = 100.0
# A client counts as active for this long after its last valid request.
ACTIVE_CLIENT_GRACE_MS = 1_000.0
# At most so many connections are accepted in a turn of the event loop by shedding others.
MAX_SHED_PER_TURN = 16
# How long, how often and for how many a new connection's place is looked for before it is closed.
MAX_ADMISSION_WAIT_MS = 250.0
ADMISSION_RETRY_MS = 20.0
MAX_WAITING_CLIENTS = 16
# The shed order is reused for this long: sorting anew for each connection of a flood would cost too much.
SHED_ORDER_VALID_MS = 50.0


class ShedRank(IntEnum):
    """The order in which idle connections are shed: by rank, and the longest inactive first within a rank.

    Attributes:
        SILENT: the connection has sent no valid message.
        REQUESTED: it has sent a valid message. It is shed before a new connection, since clients that send
            one request and stay connected must not keep others out.
        NEW: it has not had time to send a message yet.
        ACTIVE: it has sent a valid message just now. It counts as REQUESTED where sockets are short.
    """

    SILENT = 0
    REQUESTED = 1
    NEW = 2
    ACTIVE = 3


def shed_rank(
    *, has_requested: bool, last_activity_ms: float, now_ms: float, keep_active: bool = False
) -> ShedRank:
    """Return the shed rank of an idle connection.

    ``keep_active`` is for a shortage of memory, which a crowd that never asks anything must not turn against
    clients in use.
    """
    if has_requested:
        active = keep_active and last_activity_ms > now_ms - ACTIVE_CLIENT_GRACE_MS
        return ShedRank.ACTIVE if active else ShedRank.REQUESTED
    return ShedRank.NEW if last_activity_ms > now_ms - NEW_CONNECTION_GRACE_MS else ShedRank.SILENT


def message_timed_out(*, has_unread_input: bool, open_requests: int, still_sending: bool) -> bool:
    """Return whether to disconnect a client whose message is incomplete after RPC_MESSAGE_TIMEOUT_MS.

    The client stays connected in three cases: input is unread, so that the delay is this program's; requests
    are open, since they are still to be answered and the client may cancel them; or a client that has sent a
    valid request is still sending the next one.
    """
    return not (has_unread_input or open_requests or still_sending)


def max_unsent_bytes(*, scarce: bool) -> int:
    """Return how many bytes of responses may be unsent before a connection is no longer read."""
    return RPC_MAX_UNSENT_BYTES_IF_SCARCE if scarce else RPC_MAX_UNSENT_BYTES


def read_pause_ms(consecutive_invalid: int, consecutive_refused: int) -> float:
    """Return for how long a connection is not read after invalid messages or several refusals."""
    invalid_ms = RPC_INVALID_MESSAGE_PAUSE_MS * consecutive_invalid
    refused_ms = RPC_REFUSED_MESSAGE_PAUSE_MS * max(0, consecutive_refused - RPC_BUSY_OPEN_REQUESTS)
    return max(
        min(RPC_MAX_INVALID_MESSAGE_PAUSE_MS, invalid_ms), min(RPC_MAX_REFUSED_MESSAGE_PAUSE_MS, refused_ms)
    )
