"""Exceptions of the store."""

from __future__ import annotations


class StoreError(Exception):
    """The file cannot be opened, read or written, for the reason in the text.

    A write that raises it has stored none of its records, unless the method that raises it says otherwise.
    """


class StoreCorruptedError(StoreError):
    """The file is not a store, or one of its pages is unreadable; retrying does not help."""
