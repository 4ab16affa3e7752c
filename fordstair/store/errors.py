"""Exceptions of the store."""

from __future__ import annotations


class StoreError(Exception):
    """The file cannot be opened, read or written; the text gives the reason.

    ``RecordFile.write`` has written none of its records when it raises this.
    """


class StoreCorruptedError(StoreError):
    """The file is not a store, or one of its pages is unreadable; retrying does not help."""
