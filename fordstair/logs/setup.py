"""Puts structlog behind the program's events: JSON or human lines, repeats counted, one bounded sink."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog
from structlog.typing import EventDict, WrappedLogger

from fordstair.logs.repeats import Repeats
from fordstair.logs.sink import Sink
from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.event_log import FIELDS

_PLAIN = (str, int, float, bool, type(None))
Watcher = Callable[[float, str, str], None]  # monotonic time in ms, level, text


class Log(logging.Handler):
    """The one handler of an appliance's log."""

    def __init__(
        self, sink: Sink, form: str, window_ms: float, clock: Callable[[], float] = monotonic_now
    ) -> None:
        super().__init__()
        self.sink, self.clock, self.repeats = sink, clock, Repeats(window_ms)
        self.watchers: list[Watcher] = []
        renderer: Any = (
            structlog.processors.JSONRenderer(sort_keys=False)
            if form == "json"
            else structlog.dev.ConsoleRenderer(colors=False, pad_event_to=24, sort_keys=False)
        )
        chain: list[Any] = [
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _fields,
        ]
        last: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
        if form == "json":
            last.append(structlog.processors.format_exc_info)
        self.setFormatter(
            structlog.stdlib.ProcessorFormatter(
                foreign_pre_chain=chain, processors=[*last, renderer], keep_exc_info=True
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Show the record, or count it."""
        try:
            now = self.clock()
            self._tell_ended(now)
            key = (record.name, record.levelno, record.getMessage(), _key(record))
            if not record.exc_info and not self.repeats.show(key, now):
                return
            self._show(record, now)
        except Exception:  # a line that cannot be shown must not end what logs it
            self.sink.write(f"log.broke event={record.msg!r}")

    def close(self) -> None:
        """Tell what was counted, and let the sink empty."""
        for key, held in self.repeats.rest():
            self._tell(key, held, self.clock())
        self.sink.close()
        super().close()

    def _tell_ended(self, now: float) -> None:
        for key, held in self.repeats.ended(now):
            self._tell(key, held, now)

    def _tell(self, key: Any, held: int, now: float) -> None:
        name, level, event, fields = key
        record = logging.LogRecord(name, level, "", 0, event, (), None)
        setattr(record, FIELDS, {**dict(fields), "repeated": held})
        self._show(record, now)

    def _show(self, record: logging.LogRecord, now: float) -> None:
        self.sink.write(self.format(record))
        text = " ".join(
            [record.getMessage(), *(f"{name}={value}" for name, value in getattr(record, FIELDS, {}).items())]
        )
        for watcher in self.watchers:
            watcher(now, record.levelname.lower(), text[:400])


def _key(record: logging.LogRecord) -> tuple[tuple[str, Any], ...]:
    """What makes two lines equal besides their event: their fields, as shown."""
    return tuple((name, str(value)[:200]) for name, value in getattr(record, FIELDS, {}).items())


def _fields(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Take an event's own fields over from the record; what is no plain value is shown as text."""
    record = event.get("_record")
    for name, value in getattr(record, FIELDS, {}).items():
        name = name if name not in event else f"{name}_"
        event[name] = value if isinstance(value, _PLAIN) else str(value)
    return event


def start(form: str, level: str, repeat_s: float, lines_most: int, descriptor: int = 2) -> Log:
    """Send all events through one log; return it, to be closed at the end."""
    log = Log(Sink(descriptor, lines_most), form, repeat_s * 1000.0)
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(log)
    root.setLevel(level.upper())
    logging.raiseExceptions = False
    return log
