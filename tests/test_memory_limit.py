"""The told memory bounds the whole process, whatever hundreds of clients send, hold back or do not read."""

from __future__ import annotations

from pathlib import Path

import pytest

from fordstair.lab.pressure.crowd import RPC
from fordstair.lab.pressure.kinds import ClientKind
from fordstair.lab.pressure.trial import ODATA, Trial, TrialReport, run_trial
from tests.scenes import ROWS, run_with_timeout
from tests.standins import config, engine, program

LEAST_MEMORY_MB = {RPC: 32, ODATA: 64}  # the platform tells no less; OData loads more and is not run there
CLIENTS = 390
SECONDS = 5.0
UNUSED_LIBRARIES = ("_ssl", "_hashlib", "libcrypto", "ujson", "msgspec")


@pytest.mark.parametrize("kind", ClientKind)
@pytest.mark.parametrize("front", [RPC, ODATA])
def test_hundreds_of_clients_take_no_more_than_the_least_memory_told(front: str, kind: ClientKind) -> None:
    # Guards against a process killed for its memory: each connection was bounded, but not their sum.
    async def scene() -> None:
        report: TrialReport = await run_trial(Trial(LEAST_MEMORY_MB[front], CLIENTS, kind, SECONDS, front))
        assert report.passed, str(report)

    run_with_timeout(scene)


def test_the_platform_loads_no_library_that_it_does_not_use() -> None:
    # Guards against a process that has used up the least memory told before its first client comes.
    async def scene() -> None:
        async with engine() as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            loaded = Path(f"/proc/{node.process.pid}/maps").read_text()
            assert not [name for name in UNUSED_LIBRARIES if name in loaded]

    run_with_timeout(scene)
