"""This member's own state, and its refutation of what others wrongly believe; pure."""

from __future__ import annotations

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.messages import MAX_INCARNATION, MemberState, Update


class LocalMember:
    """Incarnation and state; only the member itself raises its incarnation (SWIM, section 4.2)."""

    def __init__(self, config: MembershipConfig, incarnation: int) -> None:
        self.incarnation = max(1, min(MAX_INCARNATION - 1, incarnation))
        self.has_left = False
        self._config = config

    @property
    def update(self) -> Update:
        """Its state, as it tells others."""
        state = MemberState.LEFT if self.has_left else MemberState.ALIVE
        return Update(self._config.name, self._config.address, self.incarnation, state, self._config.name)

    def refutes(self, update: Update) -> bool:
        """Take another member's belief about this one; True if it is wrong, and now refuted.

        A wrong belief is refuted by an incarnation greater than the one it names.
        """
        accused = update.state != MemberState.ALIVE and update.incarnation >= self.incarnation
        if self.has_left or not (accused or update.incarnation > self.incarnation):
            return False
        self.incarnation = min(MAX_INCARNATION, update.incarnation + 1)
        return True
