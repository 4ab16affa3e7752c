"""The claimant's count of the replicas' votes, which decides whether its load may run; pure.

Majority consensus over fixed replicas (Thomas, "A majority consensus approach", TODS 1979, section 3): two
quorums share a replica, and a replica grants a key once. So at most one claim on a key gets a quorum.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from fordstair.replication.claim_entry import UNKNOWN_TOKEN
from fordstair.replication.replica_placement import quorum_size


class VoteStatus(Enum):
    """A replica's answer to a claim. The values go over the wire.

    Attributes:
        GRANTED: The replica has granted the key to this claim.
        TAKEN: Another claim has the grant; the vote holds its outcome if that is known.
        UNAVAILABLE: The replica grants nothing now: its entries may be incomplete or not on disk, or it holds
            the maximum number of them. A replica that does not respond counts as unavailable.
    """

    GRANTED = 0
    TAKEN = 1
    UNAVAILABLE = 2


@dataclass(frozen=True, slots=True)
class Vote:
    """A replica's vote; ``token`` and ``outcome`` are those of the other claim if the status is TAKEN."""

    status: VoteStatus
    token: str = ""
    outcome: bytes | None = None


class ClaimVerdict(Enum):
    """The result of a claim. The values are the suffixes of counters, for example "ledger.claims_run".

    Attributes:
        GRANTED: A quorum has granted the claim, so the load may run.
        ALREADY_RUN: The load has run, and its outcome is known.
        UNKNOWN: Another claim has the key, and it is not known whether its load has run.
        REJECTED: The load has not run by this claim, and a retry is harmless.
    """

    GRANTED = "run"
    ALREADY_RUN = "answer"
    UNKNOWN = "unknown"
    REJECTED = "refuse"


class ClaimQuorum:
    """The votes on one claim, from its first request to its verdict.

    Attributes:
        quorum: The number of grants that make a quorum.
        outcome: The outcome of the load if the verdict is ALREADY_RUN, otherwise None.
    """

    def __init__(self, key: str, token: str, replicas: Sequence[str]) -> None:
        self.key = key
        self.token = token
        self.replicas = tuple(replicas)
        self.quorum = quorum_size(len(self.replicas))
        self.votes: dict[str, Vote] = {}
        self.outcome: bytes | None = None

    def record_vote(self, replica: str, vote: Vote) -> ClaimVerdict | None:
        """Record a replica's vote and return the verdict, or None while it is undecided.

        Repeated votes and votes of members that are not replicas are ignored.
        """
        if replica in self.replicas and replica not in self.votes:
            self.votes[replica] = vote
        return self.verdict(final=False)

    def verdict(self, *, final: bool) -> ClaimVerdict | None:
        """Return the verdict, or None if it depends on outstanding votes.

        With ``final``, outstanding votes are not waited for, and there always is a verdict.
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
        """Return whether a claim named in some vote may have a quorum, and so may have run its load.

        Beside the grants that name it, such a claim may have those of replicas that did not vote or were
        unavailable, and the grants to an unknown claim. Only a claim that certainly has no quorum has
        certainly not run its load.
        """
        other_tokens = [vote.token for vote in self.votes.values() if vote.status is VoteStatus.TAKEN]
        if not other_tokens:
            return False
        missing = len(self.replicas) - len(self.votes)
        undetermined = missing + self._count(VoteStatus.UNAVAILABLE) + other_tokens.count(UNKNOWN_TOKEN)
        known_tokens = set(other_tokens) - {UNKNOWN_TOKEN}
        max_grants = max((other_tokens.count(token) for token in known_tokens), default=0)
        return max_grants + undetermined >= self.quorum

    def _count(self, status: VoteStatus) -> int:
        return sum(vote.status is status for vote in self.votes.values())
