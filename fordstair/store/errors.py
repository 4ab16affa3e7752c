"""What may go wrong with a store."""

from __future__ import annotations


class StoreError(Exception):
    """The file cannot be opened, read or written; the text says why. Nothing of a failed write was stored."""


class StoreCorruptedError(StoreError):
    """The file is no store, or one of its pages cannot be understood: trying again does not help."""
