"""The dynamic timeout of a suspicion (Lifeguard, section IV-B); pure."""

from __future__ import annotations

import math


class Suspicion:
    """The suspicion of one member, which is declared dead at ``expires_ms`` unless it refutes before.

    The timeout shrinks from the longest to the shortest as independent members confirm the suspicion. With C
    of K expected confirmations it is max - (max - min) log(C + 1) / log(K + 1). All times are in ms.
    """

    def __init__(
        self,
        started_ms: float,
        accuser: str,
        min_timeout_ms: float,
        max_timeout_ms: float,
        expected_confirmations: int,
    ) -> None:
        self.accusers = {accuser}
        self._started_ms = started_ms
        self._min_timeout_ms = min_timeout_ms
        self._max_timeout_ms = max(min_timeout_ms, max_timeout_ms)
        self._expected_confirmations = expected_confirmations

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; return True if it is new and shortens the timeout."""
        if accuser in self.accusers or self.confirmations >= self._expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def postpone(self, by_ms: float) -> None:
        """Postpone the expiry by a time in which this member could not receive a refutation."""
        self._started_ms += by_ms

    @property
    def confirmations(self) -> int:
        """The number of accusers after the first."""
        return len(self.accusers) - 1

    @property
    def expires_ms(self) -> float:
        """When the suspicion expires (ms)."""
        if self._expected_confirmations < 1:
            return self._started_ms + self._min_timeout_ms
        shrunk = math.log(self.confirmations + 1) / math.log(self._expected_confirmations + 1)
        timeout_ms = self._max_timeout_ms - (self._max_timeout_ms - self._min_timeout_ms) * shrunk
        return self._started_ms + max(self._min_timeout_ms, timeout_ms)
