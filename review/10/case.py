"""Bad clients send messages that never end, in small pieces; the usual clients' requests must go on."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
import harness  # noqa: E402

RATE_PER_S = 20.0
SECONDS = 40.0
LIMIT_MS = 6000
BAD_CONNECTIONS = 200
BAD_SECONDS = 30.0
PIECE_BYTES = 16
PIECE_PAUSE_S = 0.005


def endless_message() -> bytes:
    """Return the beginning of a request whose parameters are lists of lists of small numbers, some 60 KB."""
    numbers = b"\xdc\x00\x40" + bytes(64)  # a list of 64 zeros
    lists = b"\xdc\x00\x40" + numbers * 64  # 64 such lists
    return b"\x94\x00\x01\xa6lookup" + b"\xdc\x00\x40" + lists * 14


async def case(scratch: harness.Scratch, record: harness.Record) -> int:
    """Run usual traffic beside the bad clients; the rule is broken if a usual request is never answered."""
    engines = [harness.Engine(f"s-{number:08x}", record) for number in range(1, 7)]
    for engine in engines:
        await engine.start()
    listen = f"127.0.0.1:{harness.free_port()}"
    config = scratch.folder / "config.json"
    entries = [harness.engine_entry(engine.name, engine.address) for engine in engines]
    harness.write_config(config, listen, entries)
    process = scratch.start("n1", harness.run_command(), RELAY_CONFIG=str(config), RELAY_LISTEN=listen)
    if not await harness.wait_until_alive(listen):
        raise RuntimeError("the coordinator is not ready")
    clients = [harness.RpcClient() for _ in range(8)]
    for client in clients:
        await client.connect(listen)
    counts = {"answered in time": 0, "answered late": 0, "LOST": 0, "bad connections": 0}
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

    async def send_badly() -> None:
        await asyncio.sleep(2.0)
        host, _, port = listen.rpartition(":")
        message = endless_message()
        ends = clock() + BAD_SECONDS
        while clock() < ends:  # the same thing again the moment it is turned away
            began, sent = clock(), 0
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                while sent < len(message) and not reader.at_eof() and clock() < ends:
                    writer.write(message[sent : sent + PIECE_BYTES])
                    sent += PIECE_BYTES
                    await writer.drain()
                    await asyncio.sleep(PIECE_PAUSE_S)
            except ConnectionError:
                pass
            counts["bad connections"] += 1
            record.add("bad connection ended", f"after {clock() - began:.1f} s and {sent} bytes")
            writer.close()

    async with asyncio.TaskGroup() as tasks:
        for _ in range(BAD_CONNECTIONS if harness.TROUBLE else 0):
            tasks.create_task(send_badly())
        for number in range(int(RATE_PER_S * SECONDS)):
            tasks.create_task(ask(number))
            await asyncio.sleep(1.0 / RATE_PER_S)
    record.add(counts)
    print(counts)
    if process.exited is not None or not counts["answered in time"]:
        raise RuntimeError("the coordinator did not serve")
    return harness.BROKEN if counts["LOST"] else harness.HELD


harness.main(case, HERE)
