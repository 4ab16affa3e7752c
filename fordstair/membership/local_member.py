"""This member's own state, and its refutation of wrong updates from others; pure."""

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
        """The update that other members receive on this member."""
        state = MemberState.LEFT if self.has_left else MemberState.ALIVE
        return Update(self._config.name, self._config.address, self.incarnation, state, self._config.name)

    def refute(self, update: Update) -> bool:
        """Refute an update on this member if it is wrong, and return whether it was.

        A refutation is an incarnation greater than that of the wrong update.
        """
        accused = update.state != MemberState.ALIVE and update.incarnation >= self.incarnation
        if self.has_left or not (accused or update.incarnation > self.incarnation):
            return False
        self.incarnation = min(MAX_INCARNATION, update.incarnation + 1)
        return True
