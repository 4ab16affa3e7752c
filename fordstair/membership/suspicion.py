"""How long a suspicion lasts: Lifeguard's dynamic timeout (section IV-B); pure."""

from __future__ import annotations

import math


class Suspicion:
    """The suspicion of one member, which becomes a death at ``expires_ms`` unless it is refuted before.

    Its timeout shrinks from the longest to the shortest as independent members confirm it: with C of K wanted
    confirmations it is max - (max - min) log(C + 1) / log(K + 1). All times are in milliseconds.
    """

    def __init__(
        self, started_ms: float, accuser: str, min_ms: float, max_ms: float, confirmations_wanted: int
    ) -> None:
        self.accusers = {accuser}
        self._started_ms = started_ms
        self._min_ms = min_ms
        self._max_ms = max(min_ms, max_ms)
        self._confirmations_wanted = confirmations_wanted

    def confirm(self, accuser: str) -> bool:
        """Count an accusation; True where it is a new one that still shortens the timeout."""
        if accuser in self.accusers or self.confirmations >= self._confirmations_wanted:
            return False
        self.accusers.add(accuser)
        return True

    def postpone(self, by_ms: float) -> None:
        """Let it begin later, for time in which this member could not have heard a refutation."""
        self._started_ms += by_ms

    @property
    def confirmations(self) -> int:
        """Accusers beside the first."""
        return len(self.accusers) - 1

    @property
    def expires_ms(self) -> float:
        """When the suspected member counts as dead, unless it refutes before."""
        if self._confirmations_wanted < 1:
            return self._started_ms + self._min_ms
        shrunk = math.log(self.confirmations + 1) / math.log(self._confirmations_wanted + 1)
        timeout_ms = self._max_ms - (self._max_ms - self._min_ms) * shrunk
        return self._started_ms + max(self._min_ms, timeout_ms)
