"""The replicated entry of a claimed key, and the merge of two copies of it; pure."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

MAX_OUTCOME_BYTES = 16 * 1024
# Token of a grant to a claim that can no longer be determined. Such a grant is never released.
UNKNOWN_TOKEN = "?"
# Encoded size of an entry without its key, token and outcome, approximately.
ENTRY_OVERHEAD_BYTES = 32


class ClaimEntry(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The grant of a key to a claim, and the outcome of the claim's load.

    Attributes:
        token: The claim, as its claimant's name, the start of the claimant's process and a number.
        granted_ms: The Unix time of the grant, by this replica's clock.
        outcome: The load's outcome; None if it is not known, empty if it was too large to be stored.
    """

    token: Annotated[str, Meta(min_length=1, max_length=512)]
    granted_ms: Annotated[int, Meta(ge=0, le=2**53)]
    outcome: Annotated[bytes, Meta(max_length=MAX_OUTCOME_BYTES)] | None = None


def merge_entries(one: ClaimEntry | None, other: ClaimEntry | None) -> ClaimEntry | None:
    """Return the join of two copies, in the order: none < grant < grants to two claims < outcome.

    Grants to two claims become a grant to an unknown claim, which cannot be released: either claim may have
    counted its grant in a quorum. Two outcomes with different tokens cannot occur: each would prove a quorum.
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
    """Return the approximate size of an entry on the wire."""
    return len(key) + len(entry.token) + len(entry.outcome or b"") + ENTRY_OVERHEAD_BYTES
