"""Structured logging: each record has a fixed event name and typed fields; a handler renders them.

The event name is a constant such as ``client.idle_timeout``; every variable value is a field. On the platform
PlainFormatter prints ``name field=value``. The handler for appliances (``fordstair/logs``) reads the event
name and the fields separately.
"""

from __future__ import annotations

import logging
from typing import Any

FIELDS = "fields"  # the attribute of a log record that holds an event's fields


class EventLog:
    """Logs events to the standard library's logger of a module."""

    __slots__ = ("_log",)

    def __init__(self, name: str) -> None:
        self._log = logging.getLogger(name)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that is only of use in debugging."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event that may interest an operator."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should look into."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log a failure."""
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log a failure with the traceback of the exception being handled; call it in an except block."""
        self._write(logging.ERROR, event, fields, exc_info=True)

    def _write(self, level: int, event: str, fields: dict[str, Any], exc_info: bool = False) -> None:
        if self._log.isEnabledFor(level):
            self._log.log(level, event, extra={FIELDS: fields}, exc_info=exc_info, stacklevel=3)


class PlainFormatter(logging.Formatter):
    """Formats a record as ``LEVEL logger: event field=value ...`` on one line, plus any traceback."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802 - overrides logging.Formatter
        """Return the line without a traceback."""
        fields = "".join(f" {name}={_one_line(value)}" for name, value in getattr(record, FIELDS, {}).items())
        return f"{record.levelname} {record.name}: {record.getMessage()}{fields}"


def _one_line(value: object) -> str:
    text = str(value)
    return text if text.isprintable() and text and " " not in text else repr(text)
