"""The decision module's actions equal those of the recorded runs, to the last draw and bit of each number."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.decisions.recorded_sites import SETTINGS_DOCUMENTS
from tests.decisions.recording import EVENTS, EVENTS_PER_DIGEST, record

RECORDED = Path(__file__).parent.parent / "data" / "decisions" / "digests.json"
SEED = 7


@pytest.mark.parametrize("site", SETTINGS_DOCUMENTS)
def test_decisions_are_those_of_the_recorded_run(site: str) -> None:
    expected = json.loads(RECORDED.read_text())[site]
    assert len(expected) == EVENTS // EVENTS_PER_DIGEST
    assert record(site, SEED) == expected
