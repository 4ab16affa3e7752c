"""When a claimant may run its load: its count of the replicas' votes; pure.

Majority consensus over fixed replicas (Thomas, "A majority consensus approach", TODS 1979, section 3): two
quorums meet in one replica, and a replica grants a key once. So at most one claim on a key gets a quorum.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from fordstair.replication.claim_entry import UNKNOWN_TOKEN
from fordstair.replication.replica_placement import quorum_size


class VoteStatus(Enum):
    """What a replica answers to a claim; the values are those on the wire."""

    GRANTED = 0
    TAKEN = 1  # by another claim; with its outcome where that is known
    UNAVAILABLE = 2  # this replica may not grant now: its memory or its disk is in doubt


@dataclass(frozen=True, slots=True)
class Vote:
    """A replica's vote; ``token`` and ``outcome`` go with TAKEN."""

    status: VoteStatus
    token: str = ""
    outcome: bytes | None = None


class ClaimVerdict(Enum):
    """What a claimant may do; the values are those in the names of counters."""

    GRANTED = "run"  # counter ledger.claims_run: a quorum has granted it: the load may run
    ALREADY_RUN = "answer"  # ledger.claims_answer: the load has run, and its outcome is known
    UNKNOWN = (
        "unknown"  # ledger.claims_unknown: another claim has the key, and whether its load ran is not known
    )
    REJECTED = "refuse"  # ledger.claims_refuse: it has not run by this claim; a retry is harmless


class ClaimQuorum:
    """The votes on one claim, from its first request to its verdict."""

    def __init__(self, key: str, token: str, replicas: Sequence[str]) -> None:
        self.key = key
        self.token = token
        self.replicas = tuple(replicas)
        self.quorum = quorum_size(len(self.replicas))
        self.votes: dict[str, Vote] = {}
        self.outcome: bytes | None = None  # goes with ALREADY_RUN

    def record_vote(self, replica: str, vote: Vote) -> ClaimVerdict | None:
        """Count a replica's first vote; return the verdict once there is one."""
        if replica in self.replicas and replica not in self.votes:
            self.votes[replica] = vote
        return self.verdict(final=False)

    def verdict(self, *, final: bool) -> ClaimVerdict | None:
        """Return the verdict, or None where votes to come may still bring one.

        ``final``: no vote is waited for any more.
        """
        for vote in self.votes.values():
            if vote.status is VoteStatus.TAKEN and vote.outcome is not None:
                self.outcome = vote.outcome
                return ClaimVerdict.ALREADY_RUN
        granted = self._count(VoteStatus.GRANTED)
        if granted >= self.quorum:
            return ClaimVerdict.GRANTED
        missing = len(self.replicas) - len(self.votes)
        if final or granted + missing < self.quorum:
            return ClaimVerdict.UNKNOWN if self._another_may_have_quorum() else ClaimVerdict.REJECTED
        return None

    def _another_may_have_quorum(self) -> bool:
        """Return whether a claim that some vote names may have a quorum, and so may have run.

        It may have the grants that name it, those of replicas that were not heard or cannot tell, and those
        to an unknown claim. Only a claim that surely lacks a quorum has surely run nothing.
        """
        other_tokens = [vote.token for vote in self.votes.values() if vote.status is VoteStatus.TAKEN]
        if not other_tokens:
            return False
        missing = len(self.replicas) - len(self.votes)
        undetermined = missing + self._count(VoteStatus.UNAVAILABLE) + other_tokens.count(UNKNOWN_TOKEN)
        known_tokens = set(other_tokens) - {UNKNOWN_TOKEN}
        most_grants = max((other_tokens.count(token) for token in known_tokens), default=0)
        return most_grants + undetermined >= self.quorum

    def _count(self, status: VoteStatus) -> int:
        return sum(vote.status is status for vote in self.votes.values())
