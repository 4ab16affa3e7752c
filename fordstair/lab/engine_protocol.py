"""Values that the platform's protocol leaves to the engine; the fake and the modelled engine share them."""

# How long a poll of a running query is held open.
POLL_HOLD_MS = 250.0
# A query that is not polled for so long is ended.
ABANDONED_AFTER_MS = 2_000.0
PROGRESS_INTERVAL_MS = 500.0
# The maximum age of a load report.
REPORT_INTERVAL_MS = 250.0
# Above 0, so that every job takes time.
MIN_WORK_MS = 0.001
# The longest wait between two checks for queries to end.
IDLE_WAKE_MS = 500.0
