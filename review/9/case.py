"""One client sends a statement that the parser does not understand; the others' requests must go on."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
import harness  # noqa: E402

RATE_PER_S = 20.0
SECONDS = 20.0
LIMIT_MS = 6000
STATEMENT_BYTES = 200_000


def odd_statement(size: int) -> bytes:
    """Return a statement whose template was not filled in; without trouble its names have no dollar signs."""
    sign = "$" if harness.TROUBLE else "_"
    names = (f"{sign}acct_{number:05d}{sign}" for number in range(size // 14))
    return f"SELECT a FROM sales_3.orders WHERE account IN ({', '.join(names)})".encode()


async def case(scratch: harness.Scratch, record: harness.Record) -> int:
    """Run usual traffic beside the odd client; the rule is broken if a usual request is never answered."""
    engines = [harness.Engine(f"s-{number:08x}", record) for number in range(1, 7)]
    for engine in engines:
        await engine.start()
    listen = f"127.0.0.1:{harness.free_port()}"
    config = scratch.folder / "config.json"
    entries = [harness.engine_entry(engine.name, engine.address) for engine in engines]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    harness.write_config(config, listen, entries, limits=limits)
    process = scratch.start("n1", harness.run_command(), RELAY_CONFIG=str(config), RELAY_LISTEN=listen)
    if not await harness.wait_until_alive(listen):
        raise RuntimeError("the coordinator is not ready")
    clients = [harness.RpcClient() for _ in range(8)]
    for client in clients:
        await client.connect(listen)
    counts = {"answered in time": 0, "answered late": 0, "LOST": 0}
    clock = asyncio.get_running_loop().time

    async def ask(number: int) -> None:
        txn = f"{number + 1:016x}"
        began = clock()
        statement = b"SELECT a FROM sales_1.orders /* work=100 */"
        answer = await clients[number % len(clients)].request("lookup", txn, statement, LIMIT_MS)
        took_ms = (clock() - began) * 1000.0
        if answer is None:
            verdict = "LOST"
        else:
            verdict = "answered in time" if took_ms <= LIMIT_MS else "answered late"
        counts[verdict] += 1
        record.add("request", txn, verdict, f"after {took_ms:.0f} ms", answer and answer[0])

    async def ask_oddly() -> None:
        await asyncio.sleep(2.0)
        client = harness.RpcClient()
        await client.connect(listen)
        statement = odd_statement(STATEMENT_BYTES)
        record.add("the odd client sends", len(statement), "bytes")
        began = clock()
        answer = await client.request("lookup", "feedfeedfeedfeed", statement, LIMIT_MS)
        record.add("the odd client is answered", answer and answer[0], f"after {clock() - began:.1f} s")
        client.close()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(ask_oddly())
        for number in range(int(RATE_PER_S * SECONDS)):
            tasks.create_task(ask(number))
            await asyncio.sleep(1.0 / RATE_PER_S)
    record.add(counts)
    print(counts)
    if process.exited is not None or not counts["answered in time"]:
        raise RuntimeError("the coordinator did not serve")
    return harness.BROKEN if counts["LOST"] else harness.HELD


harness.main(case, HERE)
