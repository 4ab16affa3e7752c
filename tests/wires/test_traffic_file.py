"""The traffic file: one JSON object per line, generated from a seed, and read and written back."""

from __future__ import annotations

import tempfile
from pathlib import Path

from fordstair.lab.billing_close import TrafficShape, generate, read_arrivals, write_arrivals
from tests.wires.recordings import recorded


def messages() -> dict[str, str]:
    """Return a traffic file of five seconds of a billing close."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "traffic.jsonl"
        write_arrivals(path, generate(TrafficShape(5.0, 8.0, doubled=((2.0, 3.0),)), 11))
        return {"traffic": path.read_text()}


def test_a_generated_file_matches_the_recording() -> None:
    assert messages() == recorded("traffic_file")


def test_a_file_that_is_read_and_written_back_is_unchanged(tmp_path: Path) -> None:
    before, after = tmp_path / "before.jsonl", tmp_path / "after.jsonl"
    before.write_text(recorded("traffic_file")["traffic"])
    write_arrivals(after, read_arrivals(before))
    assert after.read_text() == before.read_text()
