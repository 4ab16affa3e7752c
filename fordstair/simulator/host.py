"""Hosts independent gateways on the simulator's wire: ``python -m fordstair.simulator``."""

from __future__ import annotations

import sys
from typing import BinaryIO

from fordstair.decisions.actions import Action
from fordstair.decisions.gateway import Gateway
from fordstair.simulator.codec import HEADER, Decoder, Encoder, Shutdown, Up, WireError


def _read(source: BinaryIO, size: int, what: str) -> bytes:
    """Exactly size bytes, or none at a clean end of input."""
    data = source.read(size)
    if len(data) < size and (data or what == "body"):
        raise WireError(f"{what}: input ended after {len(data)} of {size} bytes")
    return data


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    decoder = Decoder()
    gateways: dict[int, Gateway] = {}
    while header := _read(source, HEADER.size, "header"):
        size, now, count, number = HEADER.unpack(header)
        body = _read(source, size, "body") if size else b""
        encoder = Encoder()
        current = None
        for instance, event in decoder.batch(count, body):
            actions: list[Action] = []
            try:
                if isinstance(event, Up):
                    gateways[instance] = Gateway(event.settings, event.seed)
                elif isinstance(event, Shutdown):
                    gateways.pop(instance, None)
                elif instance in gateways:
                    actions = gateways[instance].handle(now, event)
                else:
                    raise WireError(f"event {type(event).__name__} for instance {instance}, which is not up")
            except WireError:
                raise
            except Exception as error:  # the page asks that any failure of the module be told on the wire
                encoder.fault(f"{type(error).__name__}: {error}")
                continue
            if actions and instance != current:
                encoder.at(instance)
                current = instance
            for action in actions:
                encoder.action(action)
        sink.write(encoder.reply(number))
        sink.flush()


def main() -> int:
    """Run on standard input and output; 0 at the end of input, 1 at input that cannot be read."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fordstair.simulator: {error}", file=sys.stderr)
        return 1
    return 0
