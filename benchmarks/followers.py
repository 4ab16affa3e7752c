"""Headless consoles: ``python -m benchmarks.followers SOCKET N`` follows the snapshots on N connections."""

from __future__ import annotations

import asyncio
import sys

from fordstair.console.connection import follow_snapshots


async def follow(path: str, last_numbers: list[int], index: int) -> None:
    """Receive snapshots, and store the number of the last one in ``last_numbers[index]``."""
    async for snapshot in follow_snapshots(path):
        last_numbers[index] = snapshot.number


async def run(path: str, count: int) -> None:
    """Follow on ``count`` connections; print ``following`` once each has received a snapshot."""
    last_numbers = [0] * count
    tasks = [asyncio.create_task(follow(path, last_numbers, index)) for index in range(count)]
    while not all(last_numbers):
        for task in tasks:
            if task.done():
                task.result()  # raises the error that ended the connection
        await asyncio.sleep(0.01)
    print("following", flush=True)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
