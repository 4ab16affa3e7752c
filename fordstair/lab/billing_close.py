"""Traffic of a billing close, seeded: heavy tails, bursts, a team far over its share, retries.

It is generated, or read from JSON lines that a recording holds; a statement's text is never part of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

CLASSES = ("lookup", "settlement", "meter-load")
TEAMS = ("karri-energy", "saltbush-power", "pindan-retail")


class Arrival(Struct, frozen=True, rename={"class_name": "lane"}):
    """One request: its class, its estimate, and what it will really take."""

    at_ms: float
    team: str
    class_name: str
    work_ms: float  # true, on one core
    told_ms: float  # the estimate
    limit_ms: float
    group: int = 0


class Shape(Struct, frozen=True):
    """What a billing close is like."""

    seconds: float = 600.0
    rate_per_s: float = 40.0
    mix: tuple[float, float, float] = (0.79, 0.15, 0.06)  # by class
    work_ms: tuple[float, float, float] = (230.0, 3_400.0, 2_400.0)
    limits_ms: tuple[float, float, float] = (6_000.0, 25_000.0, 20_000.0)
    shares: tuple[float, float, float] = (0.85, 0.09, 0.06)  # of the traffic: the first team is far over
    tail: float = 0.7  # sigma of the logarithm of the work
    estimate: float = 0.5  # sigma of the logarithm of the estimate over the work
    doubled: tuple[tuple[float, float], ...] = ()  # from, to, in seconds: twice the rate
    groups: int = 40


def generate(shape: Shape, seed: int) -> list[Arrival]:
    """Return the requests of a close, in order of time."""
    random = Random(seed)
    now = 0.0
    arrivals = list[Arrival]()
    while True:
        twice = any(start <= now < end for start, end in shape.doubled)
        now += random.expovariate(shape.rate_per_s * (2.0 if twice else 1.0))
        if now >= shape.seconds:
            return arrivals
        class_index = random.choices(range(3), shape.mix)[0]
        team = random.choices(range(3), shape.shares)[0]
        work = shape.work_ms[class_index] * random.lognormvariate(-(shape.tail**2) / 2.0, shape.tail)
        told = work * random.lognormvariate(0.0, shape.estimate)
        arrivals.append(
            Arrival(
                round(now * 1000.0, 3),
                TEAMS[team],
                CLASSES[class_index],
                round(work, 2),
                round(told, 2),
                shape.limits_ms[class_index],
                int(random.random() ** 2 * shape.groups),
            )
        )


def write(path: Path, arrivals: Iterable[Arrival]) -> None:
    """Write one JSON object a line."""
    with path.open("wb") as out:
        for arrival in arrivals:
            out.write(msgspec.json.encode(arrival) + b"\n")


def read(path: Path) -> Iterator[Arrival]:
    """Read what ``write`` or a recording has written; raise ValueError, naming file and line."""
    decoder: msgspec.json.Decoder[Arrival] = msgspec.json.Decoder(Arrival)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}: line {number}: {error}") from None
