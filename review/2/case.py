"""Case 2: the head of a good answer tells a length that is less than what follows."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from standins.engine import Answer, Engine, encode, rows_of
from standins.site import CannotRunError, Site, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 60.0
RATE_PER_S = 140.0
SPOILT_SHARE = 0.04  # one good answer in twenty-five
MIN_SERVED = 1_000


async def main() -> int:
    """Run the case; return its exit status."""

    def spoil(engine: Engine, writer: asyncio.StreamWriter, answer: Answer) -> None:
        length = len(answer[2])
        if TROUBLE and length and site.rng.random() < SPOILT_SHARE:
            told = site.rng.randrange(length)
            engine.troubles += 1
            first_row = answer[2].split(b"\t")[0].decode()
            site.note(f"engine {engine.name} tells {told} for {length} bytes in an answer to {first_row}")
            writer.write(encode(answer, told))
        else:
            writer.write(encode(answer))

    site = Site(Path(__file__).with_name("record.txt"), spoil=spoil)
    try:
        await site.start()
        await site.traffic(RATE_PER_S, SECONDS)
        wrong = site.wrong_answers()
        for request in wrong:
            whole = rows_of(request.txn, request.rows)
            got = request.body.count(b"\n")
            site.note(f"WRONG {request.txn} {request.lane}: served with {got} rows of {len(whole)}")
        outcomes = site.outcomes()
        troubles = sum(engine.troubles for engine in site.engines)
        summary = f"spoilt={troubles} outcomes={dict(outcomes)} served with rows missing={len(wrong)}"
        site.note(summary)
        print(summary)
        if wrong:
            return 1
        return 0 if outcomes["served"] >= MIN_SERVED else 2
    except (CannotRunError, OSError) as error:
        print(f"cannot run: {error}")
        return 2
    finally:
        await site.stop()


sys.exit(run_case(main))
