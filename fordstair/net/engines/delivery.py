"""What is known of whether an engine has read an attempt's POST: the rules on what proves it."""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.decisions.events import Status

# From the first byte of the POST: an engine that is there has read it by then.
PROMPT_MS = 300.0
UNKNOWN_QUERY_STATUS = 500  # HTTP status of a poll for a query that the engine does not know


@dataclass(slots=True)
class Delivery:
    """The evidence on one attempt; times are ms of the monotonic clock."""

    send_started_ms: float = 0.0  # when the POST began to go out
    sent_ms: float = 0.0  # when it had gone out completely; 0: it has not
    read_or_lost: bool = False  # the engine has read the POST, or its process has gone and never will
    ended: bool = False  # nothing runs at the engine any more

    @property
    def sent(self) -> bool:
        """Whether the POST went out completely; before that the engine cannot run it."""
        return self.sent_ms > 0.0

    def note_poll_status(self, status: int) -> None:
        """Take the status of a poll's response as evidence.

        An engine that does not know the query may get it yet: on another connection, what a machine that was
        cut off has been sent reaches it later than this poll.
        """
        self.read_or_lost = self.read_or_lost or status != UNKNOWN_QUERY_STATUS

    def cannot_begin_later(self, now_ms: float) -> bool:
        """Whether nothing begins at the engine after this moment; decided once the attempt is abandoned.

        False: a machine that said nothing for longer than PROMPT_MS was cut off, or hung, and perhaps reads
        the POST after a later request.
        """
        return self.read_or_lost or not self.sent or now_ms < self.send_started_ms + PROMPT_MS

    def poll_again_after(self, status: Status) -> bool:
        """Whether the first poll after a reset, which ended with that status, is made a second time.

        An engine that hung has the POST and the poll before it at once, and may take up the poll first: it
        then says that it does not know the query.
        """
        return not self.read_or_lost and status is Status.ERROR
