"""Consoles without a screen: ``python -m benchmarks.followers SOCKET N`` follows the feed N times over."""

from __future__ import annotations

import asyncio
import sys

from fordstair.console.connection import follow_snapshots


async def follows(path: str, counts: list[int], number: int) -> None:
    """Take picture after picture."""
    async for picture in follow_snapshots(path):
        counts[number] = picture.number


async def run(path: str, many: int) -> None:
    """Follow, and say once all of them do."""
    counts = [0] * many
    tasks = [asyncio.create_task(follows(path, counts, number)) for number in range(many)]
    while not all(counts):
        for task in tasks:
            if task.done():
                task.result()  # a console that was turned away ends the run
        await asyncio.sleep(0.01)
    print("following", flush=True)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
