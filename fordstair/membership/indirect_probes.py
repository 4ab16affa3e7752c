"""Probes that this member relays for others (SWIM's ping-req, with Lifeguard's Nack); pure."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from fordstair.membership.context import MemberContext
from fordstair.membership.messages import Ack, IndirectPing, Nack, Ping
from fordstair.membership.outbox import Outbox
from fordstair.membership.timers import TimerHandle

# Share of a probe's timeout, so that the Nack arrives before the requester evaluates the probe.
NACK_TIMEOUT_FACTOR = 0.8
MAX_RELAYED_PROBES = 256


@dataclass(slots=True)
class _RelayedProbe:
    """A probe for another member, whose answer carries the requester's own sequence number."""

    requester_address: str
    requester_sequence: int
    timer: TimerHandle | None = None


class ProbeRelay:
    """Pings targets for other members and forwards their Acks; sends a Nack at the timeout."""

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self._context = context
        self._outbox = outbox
        self._relayed: dict[int, _RelayedProbe] = {}  # by the sequence number of the ping sent here

    def __len__(self) -> int:
        return len(self._relayed)

    def receive_request(self, request: IndirectPing, source: str) -> None:
        """Ping the target for the requester at ``source``; reject beyond MAX_RELAYED_PROBES in flight."""
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
        relayed.timer = self._context.call_later(timeout_ms, partial(self._timed_out, sequence))

    def receive_ack(self, ack: Ack) -> None:
        """Forward the Ack of a relayed probe to its requester."""
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
        """Send a Nack; an Ack that arrives within one more probe interval is still forwarded."""
        relayed = self._relayed[sequence]
        config = self._context.config
        answer = Nack(config.cluster, config.name, (), relayed.requester_sequence)
        self._outbox.put_with_gossip(relayed.requester_address, "", answer)
        relayed.timer = self._context.call_later(config.probe_interval_ms, partial(self._drop, sequence))

    def _drop(self, sequence: int) -> None:
        self._relayed.pop(sequence, None)
