"""Measures replication among running coordinators: kills, partitions, claims per second, catch-up.

    .venv/bin/python -m benchmarks.replication [--quick] [--seed N]

Members are processes of the program on loopback, behind the lab's relay; claims are measured on services in
one process, each with its own store, so that only replication is timed and not a front. The last line is
one JSON object; ``broken`` holds the violations that the checker found, and must be empty.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from benchmarks.command import run as run_command
from fordstair.lab.load_history import find_violations
from fordstair.lab.replication_faults import kill_members, partition_members
from fordstair.lab.replication_trial import running_trial
from fordstair.replication.claim_coordinator import SETTLE_TIMEOUT_S
from fordstair.replication.claim_quorum import ClaimVerdict
from fordstair.replication.service import ReplicationService, running_service
from fordstair.replication.settings import ReplicationSettings

CONCURRENT_TRIALS = 3
CLAIMANTS = 32  # tasks that claim concurrently
OUTCOME = b"x" * 200
LOADS_PER_PROGRAM_TRIAL = 300
FAULTS = {"kills": kill_members, "partitions": partition_members}


async def run_trial(kind: str, points: int, members: int, seed: int) -> dict[str, Any]:
    """Run a trial to its end; return the counts of its operations and the violations."""
    with tempfile.TemporaryDirectory(prefix="rep") as folder:
        async with running_trial(Path(folder), members, seed) as trial:
            load_ids = await FAULTS[kind](trial, points)
            outcomes = await trial.settle_and_stop(load_ids)
    results = [operation.result for operation in trial.operations if not operation.after_faults]
    return {
        "points": points,
        "ids": len(load_ids),
        "ran": sum(trial.run_counts[load_id] for load_id in load_ids),
        "operations": len(trial.operations),
        "ok": results.count("ok"),
        "fail": results.count("fail"),
        "unknown": results.count("unknown"),
        "copied": sum(len(replicas) > 1 for replicas in outcomes.values()),
        "broken": find_violations(trial.operations, trial.run_counts, outcomes),
    }


async def run_trials(kind: str, points: int, members: int, seed: int) -> dict[str, Any]:
    """Run trials concurrently; return the sums of their figures."""
    results = list[dict[str, Any]]()

    async def run_numbered(number: int) -> None:
        results.append(await run_trial(kind, points // CONCURRENT_TRIALS, members, seed + number))

    async with trio.open_nursery() as nursery:
        for number in range(CONCURRENT_TRIALS):
            nursery.start_soon(run_numbered, number)
    return {name: sum((each[name] for each in results), [] if name == "broken" else 0) for name in results[0]}


@asynccontextmanager
async def running_fleet(count: int) -> AsyncIterator[list[ReplicationService]]:
    """Run that many members of a new fleet in this process, each with its own store."""
    listeners = [await trio.open_tcp_listeners(0, host="127.0.0.1") for _ in range(count)]
    ports = [each[0].socket.getsockname()[1] for each in listeners]
    for each in listeners:
        await each[0].aclose()
    members = {f"m{number}": f"127.0.0.1:{port}" for number, port in enumerate(ports)}
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rep")))
        services = list[ReplicationService]()
        for number, name in enumerate(members):
            settings = ReplicationSettings(
                "bench",
                name,
                members,
                ("127.0.0.1", ports[number]),
                str(folder / name),
                exchange_interval_ms=300.0,
                max_pull_bytes_per_s=20e6,
                max_entries=300_000,
            )
            services.append(await stack.enter_async_context(running_service(settings, number)))
        while any(service.state.claim_replica.incomplete_reason for service in services):
            await trio.sleep(0.05)
        yield services


async def measure_claims(count: int, seconds: float, claimants: int = CLAIMANTS) -> dict[str, Any]:
    """Claim and settle as fast as possible, evenly through all members; return the figures."""
    latencies_s = list[float]()
    async with running_fleet(count) as services:
        end_s = trio.current_time() + seconds

        async def claim_and_settle(claimant: int) -> None:
            number = 0
            while trio.current_time() < end_s:
                number += 1
                service = services[(claimant + number) % count]
                started_s = time.perf_counter()
                result = await service.claim_coordinator.begin(f"t|{claimant}-{number}")
                latencies_s.append(time.perf_counter() - started_s)
                assert result.verdict is ClaimVerdict.GRANTED
                assert result.claim is not None
                await service.claim_coordinator.settle(result.claim, OUTCOME)

        async with trio.open_nursery() as nursery:
            for claimant in range(claimants):
                nursery.start_soon(claim_and_settle, claimant)
        written_bytes = sum(service.state.file.written_bytes for service in services)
        commits = sum(service.state.file.commits for service in services)
        changes = 2 * len(latencies_s) * min(3, count)
        file_bytes = sum(service.state.file.size_bytes for service in services)
        sent_bytes = sum(service.peers.sent_bytes for service in services)
    return {
        "claims_per_s": round(len(latencies_s) / seconds),
        "p50_ms": round(1e3 * statistics.median(latencies_s), 2),
        "p99_ms": round(1e3 * statistics.quantiles(latencies_s, n=100)[98], 2),
        "changes_per_commit": round(changes / commits, 1),
        "record_bytes_per_change": round(written_bytes / changes),
        "file_bytes_per_record_byte": round(file_bytes / written_bytes, 2),
        "link_bytes_per_claim": round(sent_bytes / len(latencies_s)),
    }


async def measure_programs(gap: int, seed: int) -> dict[str, Any]:
    """Measure on running programs the disk writes per load, convergence after a partition, and catch-up.

    The catch-up time counts from the member's start to the end of its exchange, including its recovery.
    """
    loads = LOADS_PER_PROGRAM_TRIAL
    with tempfile.TemporaryDirectory(prefix="rep") as folder:
        more_settings = "kilobytes_per_s = 20000\nentries_most = 300000"
        async with running_trial(Path(folder), 3, seed, more_settings) as trial:
            written_before = trial.written_bytes()
            for _ in range(loads):
                await trial.send_load("m0", trial.new_load_id())
            await trio.sleep(1.0)
            written_bytes = trial.written_bytes() - written_before
            trial.relay.partition({"m2"}, {"m0", "m1"})
            for _ in range(loads):
                await trial.send_load("m0", trial.new_load_id())
            await trio.sleep(SETTLE_TIMEOUT_S + 0.5)  # until no member sends it outcomes any more
            trial.relay.heal()
            converged_s = await trial.wait_until_converged(60.0)
            for name in trial.names:
                trial.kill(name)
            for name in ("m0", "m1"):
                trial.preload(name, gap)
            for name in trial.names:
                await trial.start(name)
            with trio.fail_after(120.0):
                caught_up_s = await trial.wait_until_caught_up("m2", gap)
    return {
        "gap": gap,
        "catch_up_s": round(caught_up_s, 2),
        "cut_loads": loads,
        "converged_s": round(converged_s, 2),
        "disk_bytes_per_load": round(written_bytes / loads),
    }


async def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    figures: dict[str, Any] = {}
    seconds = 2.0 if quick else 8.0
    figures["claims"] = {count: await measure_claims(count, seconds) for count in (3, 5)}
    print(f"claims: {json.dumps(figures['claims'])}", flush=True)
    figures["alone"] = {count: await measure_claims(count, seconds, 1) for count in (3, 5)}
    print(f"alone: {json.dumps(figures['alone'])}", flush=True)
    figures["programs"] = list[Any]()
    for number, gap in enumerate((1_000,) if quick else (1_000, 10_000, 100_000)):
        figures["programs"].append(await measure_programs(gap, seed + number))
        print(f"programs: {json.dumps(figures['programs'][-1])}", flush=True)
    for kind, points, members in (("kills", 6 if quick else 300, 3), ("partitions", 3 if quick else 51, 5)):
        started_s = time.monotonic()
        figures[kind] = await run_trials(kind, points, members, seed) | {"members": members}
        figures[kind]["seconds"] = round(time.monotonic() - started_s)
        print(f"{kind}: {json.dumps(figures[kind])}", flush=True)
    return figures


if __name__ == "__main__":
    run_command(__doc__, lambda quick, seed: trio.run(measure, quick, seed))
