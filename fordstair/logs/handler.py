"""Renders the program's events with structlog, as JSON or human-readable lines, into one bounded sink."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog
from structlog.typing import EventDict, WrappedLogger

from fordstair.logs.repeat_filter import RepeatFilter
from fordstair.logs.sink import Sink
from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.event_log import FIELDS

MAX_KEY_CHARACTERS = 200  # of a field's value; lines that differ only beyond it count as repeats
MAX_LISTENER_CHARACTERS = 400
EVENT_COLUMN_CHARACTERS = 24  # width of the event's name in human-readable lines
_PLAIN_TYPES = (str, int, float, bool, type(None))
Listener = Callable[[float, str, str], None]  # monotonic time in ms, level, text


class _LineKey(NamedTuple):
    """The key by which repeated lines are recognized."""

    logger: str
    level: int
    event: str
    fields: tuple[tuple[str, str], ...]

    @classmethod
    def of(cls, record: logging.LogRecord) -> _LineKey:
        fields = tuple((name, str(value)[:MAX_KEY_CHARACTERS]) for name, value in _fields(record).items())
        return cls(record.name, record.levelno, record.getMessage(), fields)


class EventLogHandler(logging.Handler):
    """The only handler of an appliance's log; it suppresses and counts repeated lines.

    Attributes:
        listeners: Called with each line that is written.
    """

    def __init__(
        self, sink: Sink, line_format: str, window_ms: float, clock: Callable[[], float] = monotonic_now
    ) -> None:
        super().__init__()
        self.sink = sink
        self.clock = clock
        self.repeats = RepeatFilter(window_ms)
        self.listeners: list[Listener] = []
        self.setFormatter(_formatter(line_format))

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or count it as a repeat."""
        try:
            now = self.clock()
            for key, suppressed in self.repeats.take_ended(now):
                self._report_repeats(key, suppressed, now)
            if record.exc_info or self.repeats.admit(_LineKey.of(record), now):
                self._write(record, now)
        except Exception:  # noqa: BLE001 - a line that cannot be rendered must not break its caller
            self.sink.write(f"log.render_failed event={record.msg!r}")

    def close(self) -> None:
        """Report the suppressed repeats and close the sink."""
        for key, suppressed in self.repeats.take_all():
            self._report_repeats(key, suppressed, self.clock())
        self.sink.close()
        super().close()

    def _report_repeats(self, key: Any, suppressed: int, now: float) -> None:
        line: _LineKey = key
        record = logging.LogRecord(line.logger, line.level, "", 0, line.event, (), None)
        setattr(record, FIELDS, {**dict(line.fields), "repeated": suppressed})
        self._write(record, now)

    def _write(self, record: logging.LogRecord, now: float) -> None:
        self.sink.write(self.format(record))
        fields = (f"{name}={value}" for name, value in _fields(record).items())
        text = " ".join([record.getMessage(), *fields])
        for listener in self.listeners:
            listener(now, record.levelname.lower(), text[:MAX_LISTENER_CHARACTERS])


def start_logging(
    line_format: str, level: str, repeat_window_s: float, max_waiting_lines: int, descriptor: int = 2
) -> EventLogHandler:
    """Replace the root logger's handlers with one EventLogHandler; return it for the caller to close."""
    handler = EventLogHandler(Sink(descriptor, max_waiting_lines), line_format, repeat_window_s * 1000.0)
    root = logging.getLogger()
    for earlier in list(root.handlers):
        root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(level.upper())
    logging.raiseExceptions = False
    return handler


def _formatter(line_format: str) -> structlog.stdlib.ProcessorFormatter:
    before: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _add_fields,
    ]
    after: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if line_format == "json":
        after.append(structlog.processors.format_exc_info)
        after.append(structlog.processors.JSONRenderer(sort_keys=False))
    else:
        after.append(
            structlog.dev.ConsoleRenderer(colors=False, pad_event_to=EVENT_COLUMN_CHARACTERS, sort_keys=False)
        )
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=before, processors=after, keep_exc_info=True)


def _add_fields(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Copy the record's fields to the event; values of other than plain types are converted to text."""
    for name, value in _fields(event.get("_record")).items():
        free_name = name if name not in event else f"{name}_"
        event[free_name] = value if isinstance(value, _PLAIN_TYPES) else str(value)
    return event


def _fields(record: logging.LogRecord | None) -> dict[str, Any]:
    fields: dict[str, Any] = getattr(record, FIELDS, {})
    return fields
