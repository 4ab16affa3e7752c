"""The README's example runs and prints the expected output."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

from fordstair.decisions.settings import RequestClass, RetryBudget, Settings, Tenant

ROOT = Path(__file__).parent.parent


def test_readme_example_runs() -> None:
    example = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert example
    process = subprocess.run(
        [sys.executable, "-c", example[1]], cwd=ROOT, capture_output=True, text=True, timeout=30, check=True
    )
    assert process.stdout == "send request 1 to one of 2 engines\n"


def test_invalid_settings_name_the_field() -> None:
    with pytest.raises(ValueError, match="classes.x.latency_objective_ms"):
        RequestClass("x", latency_objective_ms=-1.0)
    with pytest.raises(ValueError, match="tenants.t.quota_per_s"):
        Tenant("t", float("nan"))
    with pytest.raises(ValueError, match="retry_budget.window_ms"):
        RetryBudget(1.0, 0.1, float("inf"))
    with pytest.raises(ValueError, match="settings.instances"):
        Settings(classes=(RequestClass("x"),), instances=0)
    with pytest.raises(ValueError, match="settings.classes"):
        Settings(classes=())
