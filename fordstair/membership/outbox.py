"""The queue of datagrams to send, with piggybacked updates; pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from msgspec.structs import replace

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.context import MemberContext
from fordstair.membership.dissemination import Dissemination
from fordstair.membership.member_table import MemberTable
from fordstair.membership.messages import MAX_DATAGRAM_BYTES, MemberState, Message, Update, encode

MAX_ENVELOPE_BYTES = 64  # of a message without its strings and its updates


class Datagram(NamedTuple):
    """An encoded message and its destination address (host:port)."""

    address: str
    payload: bytes


class Outbox:
    """Collects the datagrams of one member until its driver takes and sends them."""

    def __init__(self, context: MemberContext, table: MemberTable, dissemination: Dissemination) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination
        self._datagrams: list[Datagram] = []

    def take(self) -> list[Datagram]:
        """Return and clear the datagrams to send."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def put(self, address: str, message: Message) -> None:
        """Queue a message without piggybacked updates."""
        payload = encode(message)
        self._context.counts["sent"] += 1
        self._context.counts["sent_bytes"] += len(payload)
        self._datagrams.append(Datagram(address, payload))

    def put_with_gossip(self, address: str, recipient: str, message: Message) -> None:
        """Queue a message with piggybacked updates; ``recipient`` is a member's name, or empty if unknown.

        A recipient that is suspect or dead in the table gets that update first, so that it can refute it
        at once (Lifeguard's buddy system, section IV-C).
        """
        required: Iterable[Update] = ()
        member = self._table.members.get(recipient)
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            required = (member.update,)
        space_bytes = update_space_bytes(self._context.config) - len(recipient) - message.text_bytes
        updates = self._dissemination.select(self._table.present_count, space_bytes, required)
        self.put(address, replace(message, updates=updates))


def update_space_bytes(config: MembershipConfig) -> int:
    """Return the space for updates in one datagram, in bytes."""
    return MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES - len(config.cluster) - len(config.name)
