"""The traffic file: one JSON object a line, read and written again, and made from a seed."""

from __future__ import annotations

import tempfile
from pathlib import Path

from fordstair.lab.billing_close import TrafficShape, generate, read_arrivals, write_arrivals
from tests.wires.recordings import recorded


def messages() -> dict[str, str]:
    """Five seconds of a billing close."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "traffic.jsonl"
        write_arrivals(path, generate(TrafficShape(5.0, 8.0, doubled=((2.0, 3.0),)), 11))
        return {"traffic": path.read_text()}


def test_a_file_is_written_as_recorded() -> None:
    assert messages() == recorded("traffic_file")


def test_a_file_is_read_and_written_again(tmp_path: Path) -> None:
    before, after = tmp_path / "before.jsonl", tmp_path / "after.jsonl"
    before.write_text(recorded("traffic_file")["traffic"])
    write_arrivals(after, read_arrivals(before))
    assert after.read_text() == before.read_text()
