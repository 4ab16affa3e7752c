"""Limits the size of modules, as the operators' engineers asked, so that none grows large again."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_MODULE_LINES = 400


def test_no_module_is_over_four_hundred_lines() -> None:
    oversized = {
        str(path.relative_to(ROOT))
        for folder in ("fordstair", "benchmarks")
        for path in (ROOT / folder).rglob("*.py")
        if len(path.read_text().splitlines()) > MAX_MODULE_LINES
    }
    assert not oversized
