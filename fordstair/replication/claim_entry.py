"""What a replica knows of one key, and how two copies of it are merged; pure."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

MAX_OUTCOME_BYTES = 16 * 1024  # of an answer that is stored
UNKNOWN_TOKEN = "?"  # of a grant that cannot be read any more: given to some claim, and never released
ENTRY_OVERHEAD_BYTES = 32  # of an entry on a wire, beside its key, token and outcome


class ClaimEntry(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """To which claim a key was granted, and the outcome of its load, if that is known.

    ``token`` names the claim by its claimant, the claimant's start and a number. ``granted_ms`` is the Unix
    time at which this replica granted it, by its own clock. An empty outcome was too large to be stored.
    """

    token: Annotated[str, Meta(min_length=1, max_length=512)]
    granted_ms: Annotated[int, Meta(ge=0, le=2**53)]
    outcome: Annotated[bytes, Meta(max_length=MAX_OUTCOME_BYTES)] | None = None


def merge_entries(one: ClaimEntry | None, other: ClaimEntry | None) -> ClaimEntry | None:
    """Merge two copies, a join: nothing < a grant < grants to two claims < an outcome.

    Grants to two claims become a grant to an unknown claim, which nobody can release, since either may have
    counted its grant in a quorum. Two outcomes under different tokens cannot be: each would prove a quorum.
    """
    if one is None or other is None:
        return one or other
    granted_ms = max(one.granted_ms, other.granted_ms)
    if one.outcome is None and other.outcome is None:
        return ClaimEntry(one.token if one.token == other.token else UNKNOWN_TOKEN, granted_ms)
    settled = [entry for entry in (one, other) if entry.outcome is not None]
    first = min(settled, key=lambda entry: (entry.token, entry.outcome))
    return ClaimEntry(first.token, granted_ms, first.outcome)


def entry_size_bytes(key: str, entry: ClaimEntry) -> int:
    """Return about how many bytes an entry takes on a wire."""
    return len(key) + len(entry.token) + len(entry.outcome or b"") + ENTRY_OVERHEAD_BYTES
