"""The ledger among running coordinators: kill points, partitions, claims a second, catch-up.

    .venv/bin/python -m benchmarks.replication [--quick] [--seed N]

Members are processes of the program on loopback, behind the lab's relay; claims are measured on services in
one process with stores of their own, so that what is timed is the ledger and not a front. The last line is
one JSON object; ``broken`` holds what the checker found, and must be empty.
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
from fordstair.lab.history import check
from fordstair.lab.ledger_trial import kills, partitions, trial
from fordstair.replication.claim_coordinator import SETTLE_TIMEOUT_S
from fordstair.replication.claim_quorum import ClaimVerdict
from fordstair.replication.service import ReplicationService, running_service
from fordstair.replication.settings import ReplicationSettings

FLEETS = 3  # of the trials that run side by side
CLAIMANTS = 32  # tasks that claim at a time


async def history(kind: str, points: int, members: int, seed: int) -> dict[str, Any]:
    """Play a trial to its end; return what was put to the test, and what was broken."""
    with tempfile.TemporaryDirectory(prefix="rep") as folder:
        async with trial(Path(folder), members, seed) as one:
            ids = await (kills if kind == "kills" else partitions)(one, points)
            copies = await one.settle_down(ids)
    how = [each.how for each in one.operations if not each.final]
    return {
        "points": points,
        "ids": len(ids),
        "ran": sum(one.runs[id] for id in ids),
        "operations": len(one.operations),
        "ok": how.count("ok"),
        "fail": how.count("fail"),
        "unknown": how.count("unknown"),
        "copied": sum(len(told) > 1 for told in copies.values()),
        "broken": check(one.operations, one.runs, copies),
    }


async def histories(kind: str, points: int, members: int, seed: int) -> dict[str, Any]:
    """Play trials side by side; return their sums."""
    told = list[dict[str, Any]]()

    async def play(number: int) -> None:
        told.append(await history(kind, points // FLEETS, members, seed + number))

    async with trio.open_nursery() as nursery:
        for number in range(FLEETS):
            nursery.start_soon(play, number)
    return {name: sum((each[name] for each in told), [] if name == "broken" else 0) for name in told[0]}


@asynccontextmanager
async def fleet(count: int) -> AsyncIterator[list[ReplicationService]]:
    """Run that many members of a new fleet in this process, each with a store of its own."""
    listeners = [await trio.open_tcp_listeners(0, host="127.0.0.1") for _ in range(count)]
    ports = [each[0].socket.getsockname()[1] for each in listeners]
    for each in listeners:
        await each[0].aclose()
    holders = {f"m{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rep")))
        ran = [
            await stack.enter_async_context(
                running_service(
                    ReplicationSettings(
                        "bench",
                        name,
                        holders,
                        ("127.0.0.1", ports[n]),
                        str(folder / name),
                        exchange_interval_ms=300.0,
                        max_pull_bytes_per_s=20e6,
                        max_entries=300_000,
                    ),
                    n,
                )
            )
            for n, name in enumerate(holders)
        ]
        while any(each.state.claims.incomplete_reason for each in ran):
            await trio.sleep(0.05)
        yield ran


async def claims(count: int, seconds: float, claimants: int = CLAIMANTS) -> dict[str, Any]:
    """Claim and settle as fast as it goes, through all members alike."""
    took = list[float]()
    async with fleet(count) as members:
        until = trio.current_time() + seconds

        async def claimant(number: int) -> None:
            n = 0
            while trio.current_time() < until:
                n += 1
                member, began = members[(number + n) % count], time.perf_counter()
                verdict, begun, _ = await member.claims.begin(f"t|{number}-{n}")
                took.append(time.perf_counter() - began)
                assert verdict is ClaimVerdict.GRANTED
                assert begun is not None
                await member.claims.settle(begun, b"x" * 200)

        async with trio.open_nursery() as nursery:
            for number in range(claimants):
                nursery.start_soon(claimant, number)
        written = sum(each.state.file.written_bytes for each in members)
        commits = sum(each.state.file.commits for each in members)
        changes = 2 * len(took) * min(3, count)
        files = sum(each.state.file.size_bytes for each in members)
        links = sum(each.peers.sent_bytes for each in members)
    return {
        "claims_per_s": round(len(took) / seconds),
        "p50_ms": round(1e3 * statistics.median(took), 2),
        "p99_ms": round(1e3 * statistics.quantiles(took, n=100)[98], 2),
        "changes_per_commit": round(changes / commits, 1),
        "record_bytes_per_change": round(written / changes),
        "file_bytes_per_record_byte": round(files / written, 2),
        "link_bytes_per_claim": round(links / len(took)),
    }


async def programs(gap: int, seed: int) -> dict[str, Any]:
    """On running programs: what a load has the disks write, convergence after a cut, catch-up over a gap.

    Times for catch-up count from the member's start to the end of its exchange, its recovery among them.
    """
    loads = 300
    with tempfile.TemporaryDirectory(prefix="rep") as folder:
        more = "kilobytes_per_s = 20000\nentries_most = 300000"
        async with trial(Path(folder), 3, seed, more) as one:
            written = one.written_bytes()
            for _ in range(loads):
                await one.load("m0", one.new_id())
            await trio.sleep(1.0)
            written = one.written_bytes() - written
            one.relay.part({"m2"}, {"m0", "m1"})
            for _ in range(loads):
                await one.load("m0", one.new_id())
            await trio.sleep(SETTLE_TIMEOUT_S + 0.5)  # until nobody tells it any more of its own accord
            one.relay.heal()
            converged = await one.alike(60.0)
            for name in one.names:
                one.kill(name)
            for name in ("m0", "m1"):
                one.preload(name, gap)
            for name in one.names:
                await one.start(name)
            with trio.fail_after(120.0):
                took = await one.caught_up("m2", gap)
    return {
        "gap": gap,
        "catch_up_s": round(took, 2),
        "cut_loads": loads,
        "converged_s": round(converged, 2),
        "disk_bytes_per_load": round(written / loads),
    }


async def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    told: dict[str, Any] = {}
    seconds = 2.0 if quick else 8.0
    told["claims"] = {count: await claims(count, seconds) for count in (3, 5)}
    print(f"claims: {json.dumps(told['claims'])}", flush=True)
    told["alone"] = {count: await claims(count, seconds, 1) for count in (3, 5)}
    print(f"alone: {json.dumps(told['alone'])}", flush=True)
    told["programs"] = list[Any]()
    for n, gap in enumerate((1_000,) if quick else (1_000, 10_000, 100_000)):
        told["programs"].append(await programs(gap, seed + n))
        print(f"programs: {json.dumps(told['programs'][-1])}", flush=True)
    for kind, points, members in (("kills", 6 if quick else 300, 3), ("partitions", 3 if quick else 51, 5)):
        began = time.monotonic()
        told[kind] = await histories(kind, points, members, seed) | {"members": members}
        told[kind]["seconds"] = round(time.monotonic() - began)
        print(f"{kind}: {json.dumps(told[kind])}", flush=True)
    return told


if __name__ == "__main__":
    run_command(__doc__, lambda quick, seed: trio.run(measure, quick, seed))
