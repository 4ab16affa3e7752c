"""The reader of KNOWN-RED.txt: a run deselects the tests that it lists and no others."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import KnownFailure, MalformedEntryError, parse_entry, read_known_failures

TEST = "tests/test_known_red.py::test_an_entry_has_four_fields"


def test_an_entry_has_four_fields() -> None:
    entry = parse_entry(f"{TEST} | pytest -n 4, seed 7 | 59 of 66 served | 34")
    assert entry == KnownFailure(TEST, "pytest -n 4, seed 7", "59 of 66 served", 34)


def test_one_case_of_a_test_can_be_named() -> None:
    assert parse_entry(f"{TEST}[a b-1] | pytest | seen | 34").test == f"{TEST}[a b-1]"


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("", "1 fields"),
        (f"{TEST} | a cause | 34", "3 fields"),
        (f"{TEST} | pytest | seen | 34 | more", "5 fields"),
        ("| pytest | seen | 34", "'test' is empty"),
        (f"{TEST} | | seen | 34", "'command and seed' is empty"),
        (f"{TEST} | pytest | | 34", "'what was seen' is empty"),
        (f"{TEST} | pytest | seen |", "'issue' is empty"),
        (f"{TEST} | pytest | seen | #34", "'#34' is not a number"),
        (f"{TEST} | pytest | seen | soon", "'soon' is not a number"),
        ("tests/test_known_red.py | pytest | seen | 34", "is not tests/FILE.py::NAME"),
        ("tests | pytest | seen | 34", "is not tests/FILE.py::NAME"),
        ("fordstair/program.py::test_x | pytest | seen | 34", "is not tests/FILE.py::NAME"),
        ("tests/test_none.py::test_x | pytest | seen | 34", "no file tests/test_none.py"),
        ("tests/../tests/test_known_red.py::test_x | pytest | seen | 34", "no file"),
        ("tests/test_known_red.py::test_none | pytest | seen | 34", "has no test_none"),
        ("tests/test_known_red.py::TEST | pytest | seen | 34", "has no TEST"),
        ("tests/test_known_red.py::test_an | pytest | seen | 34", "has no test_an"),
    ],
)
def test_a_malformed_entry_is_rejected(line: str, reason: str) -> None:
    with pytest.raises(MalformedEntryError) as error:
        parse_entry(line)
    assert reason in str(error.value)
    assert "\n" not in str(error.value)


def test_the_error_for_a_malformed_entry_names_its_line(tmp_path: Path) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(f"{TEST} | pytest | seen | 34\n\n")
    with pytest.raises(MalformedEntryError, match=r"\AKNOWN-RED.txt:2: "):
        read_known_failures(file)


def test_a_missing_file_has_no_entries(tmp_path: Path) -> None:
    assert read_known_failures(tmp_path / "KNOWN-RED.txt") == []


def _create_project(root: Path, entries: str) -> Path:
    """Create a project with this reader, a test file of three failing tests, and the given entries."""
    (root / "tests").mkdir()
    (root / "tests" / "__init__.py").touch()
    shutil.copy(known_red.__file__, root / "tests")
    (root / "tests" / "test_one.py").write_text(
        "import pytest\n\n"
        "def test_red(): assert False\n\n"
        "def test_red_too(): assert False\n\n"
        "@pytest.mark.parametrize('case', [1, 2])\ndef test_cases(case): assert False\n"
    )
    (root / "KNOWN-RED.txt").write_text(entries)
    return root


def _run(root: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", *arguments]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)


def test_the_entries_are_printed(tmp_path: Path) -> None:
    entry = "tests/test_one.py::test_red | pytest | failed | 5\n"
    process = _run(_create_project(tmp_path, entry), "tests.known_red")
    assert process.returncode == 0
    assert process.stdout == f"Known failures, not run:\n{entry}"


def test_a_malformed_entry_fails_the_run_with_one_line(tmp_path: Path) -> None:
    process = _run(
        _create_project(tmp_path, "tests/test_one.py::test_red | a cause | 5\n"), "tests.known_red"
    )
    assert process.returncode == 1
    assert process.stdout == ""
    assert process.stderr.count("\n") == 1
    assert process.stderr.startswith("KNOWN-RED.txt:1: ")


@pytest.mark.parametrize(
    ("test", "run"),
    [
        ("test_red", ["test_red_too", "test_cases[1]", "test_cases[2]"]),
        ("test_cases", ["test_red", "test_red_too"]),
        ("test_cases[1]", ["test_red", "test_red_too", "test_cases[2]"]),
    ],
)
def test_exactly_the_listed_tests_are_deselected(tmp_path: Path, test: str, run: list[str]) -> None:
    root = _create_project(tmp_path, f"tests/test_one.py::{test} | pytest | failed | 5\n")
    process = _run(root, "pytest", "-q", "-rf", "--tb=no", "-p", "tests.known_red", "-p", "no:cacheprovider")
    failed = [line.split("::")[1].split(" - ")[0] for line in process.stdout.splitlines() if "FAILED" in line]
    assert failed == run


def test_pytest_rejects_a_malformed_entry(tmp_path: Path) -> None:
    process = _run(
        _create_project(tmp_path, "tests/test_one.py::test_none | a | b | 5\n"),
        "pytest",
        "-p",
        "tests.known_red",
    )
    assert process.returncode == pytest.ExitCode.USAGE_ERROR
    assert "KNOWN-RED.txt:1: the test 'tests/test_one.py::test_none' does not exist" in process.stderr


def test_a_case_that_does_not_exist_fails_the_run_with_one_line(tmp_path: Path) -> None:
    process = _run(
        _create_project(tmp_path, "tests/test_one.py::test_cases[3] | a | b | 5\n"), "tests.known_red"
    )
    assert process.returncode == 1
    assert process.stderr.count("\n") == 1
    assert "the test 'tests/test_one.py::test_cases[3]' does not exist" in process.stderr
