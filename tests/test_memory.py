"""Tables that must not grow with the length of a day: distinct ids, engines that come and go."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.budgets import bench_settings
from fordstair.lab.billing_close import TrafficShape, generate
from fordstair.lab.machine import Machine
from fordstair.lab.virtual import GatewaySimulation

CORES, ENGINES, REPLACED_EVERY_S = 8.0, 4, 10.0


def tables(
    thing: object,
    path: str = "gateway",
    depth: int = 0,
    seen: set[int] | None = None,
) -> Iterator[tuple[str, int]]:
    """Yield the path and length of every sized attribute reachable from a thing, five attributes deep."""
    seen = set() if seen is None else seen
    if id(thing) in seen or depth > 4:
        return
    seen.add(id(thing))
    names = list(getattr(thing, "__dict__", {})) + list(getattr(type(thing), "__slots__", ()))
    for name in names:
        value = getattr(thing, name, None)
        if value is None or isinstance(value, str | bytes | int | float):
            continue
        if hasattr(value, "__len__"):
            yield f"{path}.{name}", len(value)
        if hasattr(value, "__dict__") or hasattr(type(value), "__slots__"):
            yield from tables(value, f"{path}.{name}", depth + 1, seen)
        if isinstance(value, list):
            for n, item in enumerate(value[:4]):
                yield from tables(item, f"{path}.{name}[{n}]", depth + 1, seen)


def day(seconds: float, seed: int) -> dict[str, int]:
    """Play a billing close with its engines replaced one at a time; return the module's tables at the end."""
    world = GatewaySimulation(bench_settings(), {f"e-{n}": Machine(CORES) for n in range(ENGINES)}, seed)
    steps = int(seconds // REPLACED_EVERY_S)
    for step in range(1, steps + 1):
        # each step one engine leaves and a new one takes its place: over the day there are many names
        names = [f"e-{n}" for n in range(step, ENGINES)] + [f"new-{m}" for m in range(step)]
        world.replace_engines(step * REPLACED_EVERY_S * 1000.0, names[-ENGINES:], CORES)
    records = world.run(generate(TrafficShape(seconds=seconds), seed))
    assert all(record.outcome for record in records), "every request has its answer"
    return dict(tables(world.gateway))


def test_no_table_of_the_module_grows_with_the_length_of_the_day() -> None:
    short, long = day(40.0, 3), day(160.0, 3)
    assert long["gateway.requests"] == 0, "nothing open after the day"
    assert long["gateway.attempts"] == 0, "nothing open after the day"
    assert long["gateway.engines"] <= ENGINES, "engines that left are forgotten"
    grown = {
        path: (short.get(path, 0), size) for path, size in long.items() if size > 2 * short.get(path, 0) + 16
    }
    assert not grown, f"tables that grew with four times the requests and engines: {grown}"
