"""How long a suspicion lasts: Lifeguard's dynamic timeout (section IV-B); pure."""

from __future__ import annotations

import math


class Suspicion:
    """One suspected member; its time shrinks from ``most`` to ``least`` as independent members confirm it.

    With C of K wanted confirmations it is most - (most - least) log(C + 1) / log(K + 1).
    """

    def __init__(self, since: float, accuser: str, least_ms: float, most_ms: float, wanted: int) -> None:
        self.since, self.wanted = since, wanted
        self.least_ms, self.most_ms = least_ms, max(least_ms, most_ms)
        self.accusers = {accuser}

    def confirm(self, accuser: str) -> bool:
        """Count an accusation; True where it is a new one that still shortens the time."""
        if accuser in self.accusers or len(self.accusers) > self.wanted:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def confirmations(self) -> int:
        """Accusers beside the first."""
        return len(self.accusers) - 1

    @property
    def until(self) -> float:
        """When the suspected member counts as dead, unless it refutes before."""
        if self.wanted < 1:
            return self.since + self.least_ms
        part = math.log(self.confirmations + 1) / math.log(self.wanted + 1)
        return self.since + max(self.least_ms, self.most_ms - (self.most_ms - self.least_ms) * part)
