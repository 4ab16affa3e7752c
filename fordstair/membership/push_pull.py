"""Anti-entropy: push-pull of the member table with random members, seeds and dead members; pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fordstair.membership.context import MemberContext
from fordstair.membership.local_member import LocalMember
from fordstair.membership.member_table import MemberTable
from fordstair.membership.messages import (
    MAX_UPDATES_PER_MESSAGE,
    MemberState,
    PushPull,
    TablePart,
    Update,
    encoded_bytes,
)
from fordstair.membership.outbox import Outbox, update_space_bytes

ALONE_INTERVAL_FACTOR = 2.0  # probe intervals between push-pulls while no other member is present
MAX_DEAD_CONTACTED_ALONE = 32  # dead members per push-pull while no other member is present


class PushPullSync:
    """Periodically exchanges tables with another member if they differ, so that partitions heal.

    SWIM's gossip alone does not heal them: each side considers the other dead and sends it nothing.
    """

    def __init__(
        self, context: MemberContext, local: LocalMember, table: MemberTable, outbox: Outbox
    ) -> None:
        self._context = context
        self._local = local
        self._table = table
        self._outbox = outbox

    def join(self) -> None:
        """Initiate a push-pull with every seed."""
        self._initiate(self._context.config.seeds)

    def start(self) -> None:
        """Schedule the periodic push-pulls."""
        first_ms = ALONE_INTERVAL_FACTOR * self._context.config.probe_interval_ms
        self._context.call_later(self._context.jittered(first_ms), self._run_round)

    def receive_push_pull(self, message: PushPull, source: str) -> None:
        """Send the table if the digests differ, or if the sender is not alive in it."""
        if message.digest != self._table.digest or not self._table.is_alive(message.sender):
            self.send_table(source, reply_requested=True)

    def receive_part(self, message: TablePart, source: str) -> None:
        """Send the table if a reply is requested; the part's updates are already applied."""
        if message.reply_requested:
            self.send_table(source, reply_requested=False)

    def send_table(self, address: str, *, reply_requested: bool) -> None:
        """Send the whole table in one or more datagrams; only the last one requests a reply."""
        config = self._context.config
        parts = list(self._table_parts())
        for number, part in enumerate(parts, 1):
            is_last = number == len(parts)
            message = TablePart(config.cluster, config.name, part, reply_requested and is_last)
            self._outbox.put(address, message)

    def _initiate(self, addresses: Iterable[str]) -> None:
        config = self._context.config
        for address in addresses:
            if address != config.address:
                message = PushPull(config.cluster, config.name, (self._local.update,), self._table.digest)
                self._outbox.put(address, message)

    def _table_parts(self) -> Iterator[tuple[Update, ...]]:
        """Divide the table into parts that each fit into a datagram."""
        space_bytes = update_space_bytes(self._context.config)
        part: list[Update] = []
        remaining_bytes = space_bytes
        for update in (self._local.update, *(member.update for member in self._table.members.values())):
            update_bytes = encoded_bytes(update)
            if update_bytes > remaining_bytes or len(part) >= MAX_UPDATES_PER_MESSAGE:
                yield tuple(part)
                part = []
                remaining_bytes = space_bytes
            part.append(update)
            remaining_bytes -= update_bytes
        yield tuple(part)

    def _run_round(self) -> None:
        """Initiate push-pulls with a present and an absent member, as a partition may have healed."""
        config = self._context.config
        present = self._table.present
        absent = self._absent_addresses({member.address for member in present})
        if present:
            self._initiate([self._context.random.choice(present).address])
            if absent:
                self._initiate([self._context.random.choice(absent)])
            interval_ms = config.push_pull_interval_ms
        else:
            self._initiate(config.seeds)
            self._initiate(absent[:MAX_DEAD_CONTACTED_ALONE])
            interval_ms = min(config.push_pull_interval_ms, ALONE_INTERVAL_FACTOR * config.probe_interval_ms)
        self._context.call_later(self._context.jittered(interval_ms), self._run_round)

    def _absent_addresses(self, present_addresses: set[str]) -> list[str]:
        """Return the addresses of dead members, and the seeds that no present member uses."""
        config = self._context.config
        dead = [member.address for member in self._table.members.values() if member.state == MemberState.DEAD]
        seeds = [seed for seed in config.seeds if seed not in present_addresses and seed != config.address]
        return dead + seeds
