"""Lookups at six engines; some good answers tell the length of their first rows alone, the rest comes 2 ms later."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
import harness  # noqa: E402

ENGINES = 6
ROWS = 12
RATE_PER_S = 100.0
SECONDS = 45.0
CONNECTIONS = 12
SHORT_SHARE = 0.05
REST_DELAY_S = 0.002


async def case(scratch: harness.Scratch, record: harness.Record) -> int:
    """Run the traffic; the rule is broken if a client is served, and rows are missing."""
    dice = random.SystemRandom()
    engines = [harness.Engine(f"s-{number:08x}", record, ROWS) for number in range(1, ENGINES + 1)]
    short = 0

    async def write_answer(writer: asyncio.StreamWriter, query: harness.Query, raw: bytes) -> None:
        nonlocal short
        head, _, body = raw.partition(b"\r\n\r\n")
        if not harness.TROUBLE or dice.random() >= SHORT_SHARE:
            writer.write(raw)
            return
        told = dice.randrange(len(body))
        short += 1
        record.add("engine tells", told, "of", len(body), "bytes for", query.txn)
        head = head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % told)
        writer.write(head + b"\r\n\r\n" + body[:told])
        await writer.drain()
        await asyncio.sleep(REST_DELAY_S)
        writer.write(body[told:])

    for engine in engines:
        engine.write_answer = write_answer
        await engine.start()
    listen = f"127.0.0.1:{harness.free_port()}"
    config = scratch.folder / "config.json"
    entries = [harness.engine_entry(engine.name, engine.address) for engine in engines]
    harness.write_config(config, listen, entries)
    process = scratch.start("n1", harness.run_command(), RELAY_CONFIG=str(config), RELAY_LISTEN=listen)
    if not await harness.wait_until_alive(listen):
        raise RuntimeError("the coordinator is not ready")

    clients = [harness.RpcClient() for _ in range(CONNECTIONS)]
    for client in clients:
        await client.connect(listen)
    counts = {"served": 0, "refused": 0, "failed": 0, "none": 0}
    missing: list[str] = []

    async def ask(client: harness.RpcClient, number: int) -> None:
        txn = f"{dice.getrandbits(64):016x}"
        statement = f"SELECT a FROM sales_{number % 9}.orders /* work={dice.randint(20, 150)} */"
        answer = await client.request("lookup", txn, statement.encode(), 6000)
        if answer is None:
            counts["none"] += 1
            return
        error, result = answer
        if error is not None:
            counts["refused" if error[0] == "Overloaded" else "failed"] += 1
            record.add("client is answered", txn, error)
            return
        counts["served"] += 1
        rows = bytes(result[0]).decode().splitlines()
        if len(rows) != ROWS or any(not row.startswith(txn + "\t") for row in rows):
            missing.append(txn)
            record.add("ROWS MISSING: client is served", len(rows), "of", ROWS, "rows for", txn)

    async with asyncio.TaskGroup() as tasks:
        ends = asyncio.get_running_loop().time() + SECONDS
        number = 0
        while asyncio.get_running_loop().time() < ends:
            tasks.create_task(ask(clients[number % CONNECTIONS], number))
            number += 1
            await asyncio.sleep(dice.expovariate(RATE_PER_S))
    summary = f"requests {number} told short {short} answers {counts} served with rows missing {len(missing)}"
    record.add(summary)
    print(summary)
    if process.exited is not None or not counts["served"]:
        raise RuntimeError("the coordinator did not serve")
    return harness.BROKEN if missing else harness.HELD


harness.main(case, HERE)
