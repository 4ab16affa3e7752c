"""The told memory bounds the whole process, whatever hundreds of clients send, hold back or do not read."""

from __future__ import annotations

import pytest

from fordstair.lab.pressure.kinds import ClientKind
from fordstair.lab.pressure.trial import Trial, TrialReport, run_trial
from tests.scenes import run_with_timeout

LEAST_MEMORY_MB = 32  # the least that the platform tells
CLIENTS = 390
SECONDS = 5.0


@pytest.mark.parametrize("kind", ClientKind)
def test_hundreds_of_clients_take_no_more_than_the_least_memory_told(kind: ClientKind) -> None:
    # Guards against a process killed for its memory: each connection was bounded, but not their sum.
    async def scene() -> None:
        report: TrialReport = await run_trial(Trial(LEAST_MEMORY_MB, CLIENTS, kind, SECONDS))
        assert report.passed, str(report)

    run_with_timeout(scene)
