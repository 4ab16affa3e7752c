"""Datagrams to send, each with the updates that fit on it; pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from msgspec.structs import replace

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.context import MemberContext
from fordstair.membership.dissemination import Dissemination
from fordstair.membership.member_table import MemberTable
from fordstair.membership.messages import MAX_DATAGRAM_BYTES, MemberState, Message, Update, encode

ENVELOPE_BYTES = 64  # of a message beside its texts and its updates, at most


class Datagram(NamedTuple):
    """An encoded message for an address, host:port."""

    address: str
    payload: bytes


class Outbox:
    """Collects what one member sends until its driver takes it."""

    def __init__(self, context: MemberContext, table: MemberTable, dissemination: Dissemination) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination
        self._datagrams: list[Datagram] = []

    def take(self) -> list[Datagram]:
        """Take out the datagrams to send."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def put(self, address: str, message: Message) -> None:
        """Send a message as it is."""
        payload = encode(message)
        self._context.counts["sent"] += 1
        self._context.counts["sent_bytes"] += len(payload)
        self._datagrams.append(Datagram(address, payload))

    def put_with_gossip(self, address: str, recipient: str, message: Message) -> None:
        """Send a message with queued updates; ``recipient`` is a member's name, or empty where not known.

        A recipient that is suspected or considered dead is notified of that first: it can refute at once
        (Lifeguard's buddy system, section IV-C).
        """
        first: Iterable[Update] = ()
        member = self._table.members.get(recipient)
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            first = (member.update,)
        space_bytes = update_space_bytes(self._context.config) - len(recipient) - message.text_bytes
        updates = self._dissemination.select(self._table.present_count, space_bytes, first)
        self.put(address, replace(message, updates=updates))


def update_space_bytes(config: MembershipConfig) -> int:
    """Return how many bytes of a datagram are left for updates."""
    return MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - len(config.cluster) - len(config.name)
