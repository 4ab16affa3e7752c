"""The evidence on whether an engine has read an attempt's POST, and the rules for what proves it."""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.decisions.events import Status

# A reachable engine has read the POST within this time of its first byte.
POST_READ_TIMEOUT_MS = 300.0
# HTTP status of a poll for a query that the engine does not know.
UNKNOWN_QUERY_STATUS = 500


@dataclass(slots=True)
class Delivery:
    """The evidence on one attempt; times are ms of the monotonic clock.

    Attributes:
        send_started_ms: when sending the POST began.
        sent_ms: when the POST had been sent completely; 0 if it has not.
        read_or_lost: whether the engine has read the POST, or its process has gone and never will.
        ended: whether nothing runs at the engine any more.
    """

    send_started_ms: float = 0.0
    sent_ms: float = 0.0
    read_or_lost: bool = False
    ended: bool = False

    @property
    def sent(self) -> bool:
        """Return whether the POST was sent completely; until then the engine cannot run it."""
        return self.sent_ms > 0.0

    def record_poll_status(self, status: int) -> None:
        """Record the status of a poll's response as evidence.

        An engine that does not know the query may still receive it: what was sent on another connection while
        its host was cut off can arrive later than this poll.
        """
        self.read_or_lost = self.read_or_lost or status != UNKNOWN_QUERY_STATUS

    def cannot_begin_later(self, now_ms: float) -> bool:
        """Return whether the query can no longer start at the engine; asked once the attempt is abandoned.

        False where the host has not responded for POST_READ_TIMEOUT_MS: it was cut off or hung, and may read
        the POST after a later request.
        """
        return self.read_or_lost or not self.sent or now_ms < self.send_started_ms + POST_READ_TIMEOUT_MS

    def should_poll_again(self, status: Status) -> bool:
        """Return whether to repeat the first poll after a reset, which ended with that status.

        An engine that hung finds the POST and the poll in its queue together, and may process the poll first:
        it then responds that it does not know the query.
        """
        return not self.read_or_lost and status is Status.ERROR
