"""What the platform's protocol leaves to an engine, as the stand-in and the modelled engine have it."""

POLL_HOLD_MS = 250.0  # for which a poll of a running query is held open
ABANDONED_AFTER_MS = 2_000.0  # a query that nobody polls for so long is ended
PROGRESS_INTERVAL_MS = 500.0  # between two progress notes on one query
REPORT_INTERVAL_MS = 250.0  # by which a load report may be old
MIN_WORK_MS = 0.001  # of a query, so that every job takes time
IDLE_WAKE_MS = 500.0  # between two checks of an engine on which nothing is about to end
