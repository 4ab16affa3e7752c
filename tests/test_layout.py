"""The layout that the operators' engineers asked for: no module grows large again."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent
LINES_MOST = 400


def test_no_module_is_over_four_hundred_lines() -> None:
    larger = {
        str(path.relative_to(ROOT))
        for folder in ("fordstair", "benchmarks")
        for path in (ROOT / folder).rglob("*.py")
        if len(path.read_text().splitlines()) > LINES_MOST
    }
    assert not larger
