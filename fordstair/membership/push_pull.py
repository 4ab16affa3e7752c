"""Anti-entropy: push-pull of the whole member table with random members, seeds and dead ones; pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fordstair.membership.context import MemberContext
from fordstair.membership.local_member import LocalMember
from fordstair.membership.member_table import MemberTable
from fordstair.membership.messages import (
    MAX_UPDATES,
    MemberState,
    PushPull,
    TablePart,
    Update,
    encoded_bytes,
)
from fordstair.membership.outbox import Outbox, update_space_bytes

ALONE_INTERVAL_FACTOR = 2.0  # probe intervals between attempts while no other member is present
MAX_DEAD_TRIED_ALONE = 32  # dead members tried at a time while no other is present


class PushPullSync:
    """Compares the table with another member's from time to time, so that partitions heal.

    SWIM's gossip alone would not: the two sides hold each other for dead and send each other nothing.
    """

    def __init__(
        self, context: MemberContext, local: LocalMember, table: MemberTable, outbox: Outbox
    ) -> None:
        self._context = context
        self._local = local
        self._table = table
        self._outbox = outbox

    def join(self) -> None:
        """Open a push-pull with every seed."""
        self._open(self._context.config.seeds)

    def start(self) -> None:
        """Begin the periodic push-pulls."""
        first_ms = ALONE_INTERVAL_FACTOR * self._context.config.probe_interval_ms
        self._context.after(self._context.jittered(first_ms), self._synchronise)

    def receive_push_pull(self, message: PushPull, source: str) -> None:
        """Answer with the table where it differs, or where the sender would not count as alive here."""
        if message.digest != self._table.digest or not self._table.is_alive(message.sender):
            self.send_table(source, reply_requested=True)

    def receive_part(self, message: TablePart, source: str) -> None:
        """Answer with the table where that is asked for; the updates have been applied already."""
        if message.reply_requested:
            self.send_table(source, reply_requested=False)

    def send_table(self, address: str, *, reply_requested: bool) -> None:
        """Send the whole table, in as many datagrams as it takes; only the last one asks for a reply."""
        config = self._context.config
        parts = list(self._parts())
        for number, part in enumerate(parts, 1):
            is_last = number == len(parts)
            message = TablePart(config.cluster, config.name, part, reply_requested and is_last)
            self._outbox.put(address, message)

    def _open(self, addresses: Iterable[str]) -> None:
        config = self._context.config
        for address in addresses:
            if address != config.address:
                message = PushPull(config.cluster, config.name, (self._local.update,), self._table.digest)
                self._outbox.put(address, message)

    def _parts(self) -> Iterator[tuple[Update, ...]]:
        """Divide the table into parts that fit on a datagram."""
        space_bytes = update_space_bytes(self._context.config)
        part: list[Update] = []
        left_bytes = space_bytes
        for update in (self._local.update, *(member.update for member in self._table.members.values())):
            update_bytes = encoded_bytes(update)
            if update_bytes > left_bytes or len(part) >= MAX_UPDATES:
                yield tuple(part)
                part = []
                left_bytes = space_bytes
            part.append(update)
            left_bytes -= update_bytes
        yield tuple(part)

    def _synchronise(self) -> None:
        """Push-pull with one member that is present and one that is not: a partition may have healed."""
        config = self._context.config
        present = self._table.present
        absent = self._absent_addresses({member.address for member in present})
        if present:
            self._open([self._context.random.choice(present).address])
            if absent:
                self._open([self._context.random.choice(absent)])
            interval_ms = config.push_pull_interval_ms
        else:
            self._open(config.seeds)
            self._open(absent[:MAX_DEAD_TRIED_ALONE])
            interval_ms = min(config.push_pull_interval_ms, ALONE_INTERVAL_FACTOR * config.probe_interval_ms)
        self._context.after(self._context.jittered(interval_ms), self._synchronise)

    def _absent_addresses(self, present_addresses: set[str]) -> list[str]:
        """Addresses of dead members, and of seeds at which no present member is."""
        config = self._context.config
        dead = [member.address for member in self._table.members.values() if member.state == MemberState.DEAD]
        seeds = [seed for seed in config.seeds if seed not in present_addresses and seed != config.address]
        return dead + seeds
