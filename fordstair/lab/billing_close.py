"""Generates the traffic of a billing close from a seed: heavy tails, bursts, a team far over its share.

Traffic can also be read from the JSON lines of a recording. It never includes the text of a statement.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

CLASSES = ("lookup", "settlement", "meter-load")
TEAMS = ("karri-energy", "saltbush-power", "pindan-retail")


class Arrival(Struct, frozen=True, rename={"class_name": "lane", "estimate_ms": "told_ms"}):
    """One request: its class, its work, and the estimate of its work.

    Attributes:
        work_ms: The true work, in ms on one core.
        estimate_ms: The estimate that the coordinator gets.
    """

    at_ms: float
    team: str
    class_name: str
    work_ms: float
    estimate_ms: float
    limit_ms: float
    group: int = 0


class TrafficShape(Struct, frozen=True):
    """The parameters of a billing close; tuples have a value for each class or team.

    Attributes:
        shares: Each team's part of the traffic; by default the first team is far over its share.
        tail: Sigma of the logarithm of the work.
        estimate: Sigma of the logarithm of the estimate over the work.
        doubled: Spans, from and to in seconds, in which the rate is doubled.
    """

    seconds: float = 600.0
    rate_per_s: float = 40.0
    mix: tuple[float, float, float] = (0.79, 0.15, 0.06)
    work_ms: tuple[float, float, float] = (230.0, 3_400.0, 2_400.0)
    limits_ms: tuple[float, float, float] = (6_000.0, 25_000.0, 20_000.0)
    shares: tuple[float, float, float] = (0.85, 0.09, 0.06)
    tail: float = 0.7
    estimate: float = 0.5
    doubled: tuple[tuple[float, float], ...] = ()
    groups: int = 40


def generate(shape: TrafficShape, seed: int) -> list[Arrival]:
    """Return the requests of a billing close, in order of time."""
    random = Random(seed)
    now = 0.0
    arrivals = list[Arrival]()
    while True:
        doubled = any(start <= now < end for start, end in shape.doubled)
        now += random.expovariate(shape.rate_per_s * (2.0 if doubled else 1.0))
        if now >= shape.seconds:
            return arrivals
        class_index = random.choices(range(3), shape.mix)[0]
        team = random.choices(range(3), shape.shares)[0]
        work = shape.work_ms[class_index] * random.lognormvariate(-(shape.tail**2) / 2.0, shape.tail)
        estimate = work * random.lognormvariate(0.0, shape.estimate)
        arrivals.append(
            Arrival(
                round(now * 1000.0, 3),
                TEAMS[team],
                CLASSES[class_index],
                round(work, 2),
                round(estimate, 2),
                shape.limits_ms[class_index],
                int(random.random() ** 2 * shape.groups),
            )
        )


def write_arrivals(path: Path, arrivals: Iterable[Arrival]) -> None:
    """Write each request as one line of JSON."""
    with path.open("wb") as out:
        for arrival in arrivals:
            out.write(msgspec.json.encode(arrival) + b"\n")


def read_arrivals(path: Path) -> Iterator[Arrival]:
    """Yield the requests of a file; raise ValueError, naming file and line, for an invalid line."""
    decoder: msgspec.json.Decoder[Arrival] = msgspec.json.Decoder(Arrival)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}: line {number}: {error}") from None
