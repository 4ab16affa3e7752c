"""Runs independent gateways over the simulator's wire format: ``python -m fordstair.simulator``."""

from __future__ import annotations

import sys
from typing import BinaryIO

from fordstair.decisions.actions import Action
from fordstair.decisions.gateway import Gateway
from fordstair.simulator.action_encoder import ReplyEncoder
from fordstair.simulator.event_decoder import EventDecoder, InstanceEvent, InstanceStarted, InstanceStopped
from fordstair.simulator.frames import BATCH_HEADER, WireError


class InstanceHost:
    """Runs the gateways of one process, each under the simulator's number of its instance."""

    def __init__(self) -> None:
        self._decoder = EventDecoder()
        self._gateways: dict[int, Gateway] = {}

    def handle_batch(self, batch_number: int, now: float, count: int, body: bytes) -> bytes:
        """Handle a batch's events at the batch's time; return the reply, or raise WireError on bad input."""
        encoder = ReplyEncoder()
        current: int | None = None
        for instance, event in self._decoder.decode_batch(count, body):
            self._require_started(instance, event)
            try:
                actions = self._handle_event(instance, now, event)
            except Exception as error:  # noqa: BLE001 - the reply reports any failure of the decision code
                encoder.add_internal_error(f"{type(error).__name__}: {error}")
                continue
            if actions and instance != current:
                encoder.switch_instance(instance)
                current = instance
            for action in actions:
                encoder.add_action(action)
        return encoder.encode(batch_number)

    def _require_started(self, instance: int, event: InstanceEvent) -> None:
        if isinstance(event, InstanceStarted | InstanceStopped) or instance in self._gateways:
            return
        raise WireError(f"event {type(event).__name__} for instance {instance}, which is not running")

    def _handle_event(self, instance: int, now: float, event: InstanceEvent) -> list[Action]:
        if isinstance(event, InstanceStarted):
            self._gateways[instance] = Gateway(event.settings, event.seed)
            return []
        if isinstance(event, InstanceStopped):
            self._gateways.pop(instance, None)
            return []
        return self._gateways[instance].handle(now, event)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; raise WireError if the input cannot be decoded."""
    host = InstanceHost()
    while header := _read(source, BATCH_HEADER.size, "header"):
        size, now, count, batch_number = BATCH_HEADER.unpack(header)
        body = _read(source, size, "body") if size else b""
        sink.write(host.handle_batch(batch_number, now, count, body))
        sink.flush()


def _read(source: BinaryIO, size: int, part: str) -> bytes:
    """Return exactly ``size`` bytes, or none if the input ends before a header; raise WireError otherwise."""
    data = source.read(size)
    if len(data) < size and (data or part == "body"):
        raise WireError(f"{part}: input ended after {len(data)} of {size} bytes")
    return data


def main() -> int:
    """Run on standard input and output; return 0 at the end of input, 1 if it cannot be decoded."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fordstair.simulator: {error}", file=sys.stderr)
        return 1
    return 0
