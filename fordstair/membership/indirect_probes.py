"""Probes that this member makes as a relay for others (SWIM's ping-req, with Lifeguard's Nack); pure."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from fordstair.membership.context import MemberContext
from fordstair.membership.messages import Ack, IndirectPing, Nack, Ping
from fordstair.membership.outbox import Outbox
from fordstair.membership.timers import TimerHandle

NACK_TIMEOUT_FACTOR = 0.8  # of a probe's timeout: the Nack must come before the requester's verdict
MAX_RELAYED_PROBES = 256  # under way at a time


@dataclass(slots=True)
class _RelayedProbe:
    """A probe for another member, which gets the answer at its address under its own sequence number."""

    requester_address: str
    requester_sequence: int
    timer: TimerHandle | None = None


class ProbeRelay:
    """Pings targets for other members, and passes on their Acks; at the timeout it answers Nack."""

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self._context = context
        self._outbox = outbox
        self._relayed: dict[int, _RelayedProbe] = {}  # by the sequence number of the ping sent here

    def __len__(self) -> int:
        return len(self._relayed)

    def receive_request(self, request: IndirectPing, source: str) -> None:
        """Ping the target for the requester at that address; refused beyond MAX_RELAYED_PROBES."""
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self._context.counts["relays_rejected"] += 1
            return
        config = self._context.config
        sequence = self._context.next_sequence()
        relayed = _RelayedProbe(source, request.sequence)
        self._relayed[sequence] = relayed
        ping = Ping(config.cluster, config.name, (), sequence, request.target)
        self._outbox.put_with_gossip(request.address, request.target, ping)
        timeout_ms = NACK_TIMEOUT_FACTOR * config.probe_timeout_ms
        relayed.timer = self._context.after(timeout_ms, partial(self._timed_out, sequence))

    def receive_ack(self, ack: Ack) -> None:
        """Pass on the answer to a relayed probe."""
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return
        self._context.timers.cancel(relayed.timer)
        config = self._context.config
        answer = Ack(config.cluster, config.name, (), relayed.requester_sequence)
        self._outbox.put_with_gossip(relayed.requester_address, "", answer)

    def stop(self) -> None:
        """Drop all relayed probes."""
        self._relayed.clear()

    def _timed_out(self, sequence: int) -> None:
        """Answer Nack; an Ack that comes later is still passed on for one probe interval."""
        relayed = self._relayed[sequence]
        config = self._context.config
        answer = Nack(config.cluster, config.name, (), relayed.requester_sequence)
        self._outbox.put_with_gossip(relayed.requester_address, "", answer)
        relayed.timer = self._context.after(config.probe_interval_ms, partial(self._drop, sequence))

    def _drop(self, sequence: int) -> None:
        self._relayed.pop(sequence, None)
