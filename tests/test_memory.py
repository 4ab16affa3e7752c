"""No table of the gateway grows with the length of a run, despite new ids and replaced engines."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.budgets import bench_settings
from fordstair.lab.billing_close import TrafficShape, generate
from fordstair.lab.machine import Machine
from fordstair.lab.virtual import GatewaySimulation

CORES, ENGINES, REPLACEMENT_INTERVAL_S = 8.0, 4, 10.0


def sized_attributes(
    root: object,
    path: str = "gateway",
    depth: int = 0,
    seen: set[int] | None = None,
) -> Iterator[tuple[str, int]]:
    """Yield the path and length of every sized attribute reachable from an object, five attributes deep."""
    seen = set() if seen is None else seen
    if id(root) in seen or depth > 4:
        return
    seen.add(id(root))
    names = list(getattr(root, "__dict__", {})) + list(getattr(type(root), "__slots__", ()))
    for name in names:
        value = getattr(root, name, None)
        if value is None or isinstance(value, str | bytes | int | float):
            continue
        if hasattr(value, "__len__"):
            yield f"{path}.{name}", len(value)
        if hasattr(value, "__dict__") or hasattr(type(value), "__slots__"):
            yield from sized_attributes(value, f"{path}.{name}", depth + 1, seen)
        if isinstance(value, list):
            for n, item in enumerate(value[:4]):
                yield from sized_attributes(item, f"{path}.{name}[{n}]", depth + 1, seen)


def simulate_billing_close(seconds: float, seed: int) -> dict[str, int]:
    """Simulate a billing close with its engines replaced one by one; return the gateway's table sizes."""
    world = GatewaySimulation(bench_settings(), {f"e-{n}": Machine(CORES) for n in range(ENGINES)}, seed)
    steps = int(seconds // REPLACEMENT_INTERVAL_S)
    for step in range(1, steps + 1):
        # Each step replaces one engine by a new one, so that many engine names occur over the run.
        names = [f"e-{n}" for n in range(step, ENGINES)] + [f"new-{m}" for m in range(step)]
        world.replace_engines(step * REPLACEMENT_INTERVAL_S * 1000.0, names[-ENGINES:], CORES)
    records = world.run(generate(TrafficShape(seconds=seconds), seed))
    assert all(record.outcome for record in records), "a request has no answer"
    return dict(sized_attributes(world.gateway))


def test_no_table_of_the_gateway_grows_with_the_length_of_a_run() -> None:
    short, long = simulate_billing_close(40.0, 3), simulate_billing_close(160.0, 3)
    assert long["gateway.requests"] == 0, "requests are open after the run"
    assert long["gateway.attempts"] == 0, "attempts are in flight after the run"
    assert long["gateway.engines"] <= ENGINES, "engines that left are still in the table"
    grown = {
        path: (short.get(path, 0), size) for path, size in long.items() if size > 2 * short.get(path, 0) + 16
    }
    assert not grown, f"tables that grew with four times the requests and engines: {grown}"
