"""Measures the cost of consoles: request latency and processor time with 0, 1 and 8, and with a stopped one.

    .venv/bin/python -m benchmarks.console_cost [--quick | --seconds N]

One appliance serves lookups at a fixed open-loop rate, with engines that answer immediately. The modes
alternate in short slices of one run, in random order, so that other load on the machine affects all of them
alike. Latency counts from the time at which a request was due; ratios are relative to the mode without
consoles. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from typing import Any

import h11
import trio
from hdrh.histogram import HdrHistogram

from fordstair.lab.appliance import Appliance, appliance
from fordstair.lab.engine import READ_BYTES, FakeEngine
from fordstair.lab.machine import Machine
from fordstair.lab.traffic import RequestKind, Tally, Traffic

RATE_PER_S = 250.0
SLICE_S, SETTLE_S = 1.5, 0.3
MODES: dict[str, tuple[int, int]] = {"0": (0, 0), "1": (1, 0), "8": (8, 0), "stopped": (0, 1)}
LOOKUP = RequestKind("lookup", "karri-energy", RATE_PER_S, 0.0, 6_000.0)


@contextmanager
def consoles(socket_path: str, following: int, stopped: int) -> Iterator[None]:
    """Run consoles in separate processes; a stopped one (SIGSTOP) reads nothing."""
    with ExitStack() as stack:
        for count, stop in ((following, False), (stopped, True)):
            if not count:
                continue
            process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.followers", socket_path, str(count)],
                stdout=subprocess.PIPE,
            )
            stack.callback(process.wait)
            stack.callback(process.kill)
            if process.stdout is None or process.stdout.readline() != b"following\n":
                raise SystemExit("console_cost: benchmarks.followers did not print 'following'")
            if stop:
                os.kill(process.pid, signal.SIGSTOP)
        yield


async def measure_slice(running: Appliance, seed: int, seconds: float) -> tuple[Tally, float]:
    """Send lookups for one slice; return the tally and the appliance's processor seconds."""
    cpu_before_s = running.process.cpu_s
    tally = await Traffic("127.0.0.1", running.ports["listens"], [LOOKUP], seed, max_connections=4).run(
        seconds
    )
    return tally, running.process.cpu_s - cpu_before_s


async def measure_closed_loop(running: Appliance, seconds: float, in_flight: int) -> tuple[int, float, Any]:
    """Keep ``in_flight`` lookups open; return the number served, the processor seconds and the latencies."""
    traffic = Traffic("127.0.0.1", running.ports["listens"], [LOOKUP], 9, max_connections=2)
    cpu_before_s, end_s, served = running.process.cpu_s, trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            while sum(len(each.open) for each in traffic.connections) < in_flight:
                await traffic.send(LOOKUP, trio.current_time(), nursery)
            served = traffic.tally.counts["served"]
            while traffic.tally.counts["served"] == served and trio.current_time() < end_s:
                await trio.lowlevel.checkpoint()
        served = traffic.tally.counts["served"]
        nursery.cancel_scope.cancel()
    return served, running.process.cpu_s - cpu_before_s, traffic.tally.latency


async def measure_engine(engine: FakeEngine, calls: int, salt: int) -> Any:
    """Send queries to an engine directly, one at a time, as the coordinator would; return the latencies."""
    latency = HdrHistogram(1, 60_000_000, 3)
    host, _, port = engine.address.partition(":")
    stream, http = await trio.open_tcp_stream(host, int(port)), h11.Connection(h11.CLIENT)
    for number in range(calls):
        start = trio.current_time()
        body = b"/* work=0 rows=1 */ SELECT a FROM t_1.lines"
        request = h11.Request(
            method="POST",
            target="/o",
            headers=[
                ("Host", "x"),
                ("X-Txn", f"{salt:08x}{number:08x}"),
                ("X-Lane", "lookup"),
                ("X-Limit-Ms", "6000"),
                ("X-Urgency", "1"),
                ("Content-Length", str(len(body))),
            ],
        )
        out = (http.send(request) or b"") + (http.send(h11.Data(data=body)) or b"")
        await stream.send_all(out + (http.send(h11.EndOfMessage()) or b""))
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
        http.start_next_cycle()
        latency.record_value(max(1, int((trio.current_time() - start) * 1e6)))
    await trio.aclose_forcefully(stream)
    return latency


async def run(seconds: float) -> dict[str, Any]:
    """Measure for about ``seconds``; return the figures."""
    totals: dict[str, list[tuple[Tally, float]]] = {mode: [] for mode in MODES}
    random = Random(1)
    with tempfile.TemporaryDirectory() as folder:
        engines = [FakeEngine(f"engine-{n}", Machine(8.0)) for n in range(2)]
        async with appliance(Path(folder), engines) as running:
            await measure_slice(running, 0, 2.0)  # warm up
            rounds = max(2, round(seconds * 0.8 / (len(MODES) * (SLICE_S + SETTLE_S))))
            for turn in range(rounds):
                for mode in random.sample(list(MODES), len(MODES)):
                    with consoles(running.console_socket, *MODES[mode]):
                        await trio.sleep(SETTLE_S)
                        totals[mode].append(await measure_slice(running, turn, SLICE_S))
                print(f"round {turn + 1} of {rounds}", file=sys.stderr, flush=True)
            total_cpu_s, served, added = 0.0, 0, list[tuple[float, float]]()
            for turn in range(max(2, rounds // 2)):
                count, cpu_s, _ = await measure_closed_loop(running, 1.0, 32)
                served, total_cpu_s = served + count, total_cpu_s + cpu_s
                _, _, coordinator_latency = await measure_closed_loop(running, 1.0, 1)
                engine_latency = await measure_engine(engines[0], 300, 7_000 + turn)
                added.append(
                    tuple(
                        (
                            coordinator_latency.get_value_at_percentile(p)
                            - engine_latency.get_value_at_percentile(p)
                        )
                        / 1000.0
                        for p in (50.0, 99.0)
                    )
                )
    return figures(totals, served / total_cpu_s if total_cpu_s else 0.0, added, rounds)


def figures(
    totals: dict[str, list[tuple[Tally, float]]],
    lookups_per_core_s: float,
    added: list[tuple[float, float]],
    rounds: int,
) -> dict[str, Any]:
    """Return the figures to print."""
    merged, cpu_s = dict[str, Any](), dict[str, float]()
    for mode, slices in totals.items():
        merged[mode] = HdrHistogram(1, 120_000_000, 3)
        for tally, _ in slices:
            merged[mode].add(tally.latency)
        cpu_s[mode] = sum(slice_cpu_s for _, slice_cpu_s in slices) / max(
            1, sum(t.counts["served"] for t, _ in slices)
        )
    counts = [t.counts for slices in totals.values() for t, _ in slices]

    def ratio(mode: str, percentile: float) -> float:
        return round(
            float(merged[mode].get_value_at_percentile(percentile))
            / float(merged["0"].get_value_at_percentile(percentile)),
            3,
        )

    return {
        "p99_ratio_1": ratio("1", 99.0),
        "p99_ratio_8": ratio("8", 99.0),
        "p99_ratio_stopped": ratio("stopped", 99.0),
        "p50_ratio_8": ratio("8", 50.0),
        "cpu_ratio_8": round(cpu_s["8"] / cpu_s["0"], 3),
        "cpu_ratio_1": round(cpu_s["1"] / cpu_s["0"], 3),
        "cpu_us_per_lookup": round(cpu_s["0"] * 1e6),
        "lookups_per_s_core": round(lookups_per_core_s),
        "added_ms_p50": round(statistics.median(each[0] for each in added), 3),
        "added_ms_p99": round(statistics.median(each[1] for each in added), 3),
        "p99_ms": {
            mode: round(each.get_value_at_percentile(99.0) / 1000.0, 3) for mode, each in merged.items()
        },
        "asked": sum(c["asked"] for c in counts),
        "served": sum(c["served"] for c in counts),
        "rounds": rounds,
        "rate_per_s": RATE_PER_S,
    }


def main() -> None:
    """Measure, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0, help="approximate duration (default 60)")
    parser.add_argument("--quick", action="store_true", help="same as --seconds 20")
    options = parser.parse_args()
    print(json.dumps(trio.run(run, 20.0 if options.quick else options.seconds)))


if __name__ == "__main__":
    main()
