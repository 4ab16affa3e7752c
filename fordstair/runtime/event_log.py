"""Log lines as events: one name and typed fields, whatever handler renders them.

The name is a fixed text such as ``client.idle_timeout``; all that varies is a field. On the platform the
standard library prints ``name field=value``; an appliance's log takes both apart again (``fordstair/logs``).
"""

from __future__ import annotations

import logging
from typing import Any

FIELDS = "fields"  # the attribute of a log record that holds an event's fields


class EventLog:
    """A logger of events, under a module's name."""

    __slots__ = ("_log",)

    def __init__(self, name: str) -> None:
        self._log = logging.getLogger(name)

    def debug(self, event: str, **fields: Any) -> None:
        """Log what only a search for a fault needs."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log what an operator may want to know."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log what an operator should look at."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log what did not work."""
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log an exception that was caught here, with its traceback; call it in the except block."""
        self._write(logging.ERROR, event, fields, exc_info=True)

    def _write(self, level: int, event: str, fields: dict[str, Any], exc_info: bool = False) -> None:
        if self._log.isEnabledFor(level):
            self._log.log(level, event, extra={FIELDS: fields}, exc_info=exc_info, stacklevel=3)


class PlainFormatter(logging.Formatter):
    """``LEVEL logger: event field=value ...``, on one line but for a traceback."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802 - the standard library calls it so
        """Return the line."""
        fields = "".join(f" {name}={_one_line(value)}" for name, value in getattr(record, FIELDS, {}).items())
        return f"{record.levelname} {record.name}: {record.getMessage()}{fields}"


def _one_line(value: object) -> str:
    text = str(value)
    return text if text.isprintable() and text and " " not in text else repr(text)
