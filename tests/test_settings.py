"""The operator's file: all problems are reported at once, each with its path, and never as a traceback."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
import ujson
from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.configuration import operator_file
from fordstair.configuration.errors import InvalidOperatorFileError
from fordstair.configuration.operator_schema import File, json_schema
from fordstair.configuration.operator_validation import validate_operator_file
from fordstair.decisions.settings import Idempotency
from tests.standins import ROOT

APPLIANCE = ROOT / "deploy" / "appliance.toml"
FIXED_EXAMPLES = settings(max_examples=200, derandomize=True, deadline=None)


def problems_of(text: str, require_site: bool = False) -> dict[str, str]:
    """Return the reasons of the problems in a file, by path."""
    try:
        validate_operator_file(tomllib.loads(text), require_site=require_site)
    except InvalidOperatorFileError as invalid:
        return {problem.path: problem.reason for problem in invalid.problems}
    return {}


def test_the_file_in_the_repository_is_converted_to_settings() -> None:
    file = operator_file.read_operator_file(str(APPLIANCE), require_site=True)
    config, operator = operator_file.coordinator_config(file), operator_file.operator_options(file)
    site_settings = config.settings
    assert [(each.name, each.idempotency, each.threads, each.is_load) for each in site_settings.classes] == [
        ("lookup", Idempotency.IDEMPOTENT, 1, False),
        ("settlement", Idempotency.IDEMPOTENT, 4, False),
        ("meter-load", Idempotency.NON_IDEMPOTENT, 2, True),
    ]
    assert [(each.name, round(each.quota_per_s, 6)) for each in site_settings.tenants] == [
        ("karri-energy", 43.8),
        ("saltbush-power", 9.6),
        ("pindan-retail", 6.6),
    ]
    assert site_settings.cores_by_kind == (8.0,)
    assert site_settings.memory_mb_by_kind == (16384.0,)
    assert [(each.entry.engine, each.address) for each in config.known[0][2]] == [
        ("garden-1", "127.0.0.1:7001"),
        ("garden-2", "127.0.0.1:7002"),
    ]
    assert operator.entity_sets["Readings"].write_class == "meter-load"
    assert operator.listen == ("127.0.0.1", 8480)


def test_all_problems_are_reported_at_once() -> None:
    found = problems_of("""
        colour = "red"
        [site]
        name = "9"
        listen = "nowhere"
        [[class]]
        name = "a"
        worth = -1
        threads = 0
        [[class]]
        promise_ms = "soon"
        [[team]]
        name = "t"
        share = 2.0
        [[engine]]
        id = "e"
        cores = true
        protocol = "soap"
        [odata]
        [console]
        socket = 7
        """)
    assert set(found) == {
        "colour",
        "site.name",
        "site.listen",
        "class.0.worth",
        "class.0.threads",
        "class.1.promise_ms",
        "class.1.name",
        "team.0.share",
        "engine.0.cores",
        "engine.0.protocol",
        "odata.listen",
        "console.socket",
    }
    assert "known are" in found["colour"]
    assert found["class.1.name"] == "is missing"


def test_inconsistent_fields_are_reported() -> None:
    base = APPLIANCE.read_text()
    replacements = {
        'read = "settlement"    # the class': ('read = "none" #', {"set.0.read": "no class 'none'"}),
        'write = "meter-load"': (
            'write = "lookup"',
            {"set.1.write": "an unsafe class is wanted, " "and 'lookup' is not"},
        ),
        "share = 0.73": ("share = 0.9", {"team": "the shares add up to 1.17, over 1"}),
        'id = "garden-2"': ('id = "garden-1"', {"engine.1.id": "'garden-1' stands at engine.0 already"}),
        '"127.0.0.1:7002"': ('"127.0.0.1:6565"', {"engine.1.address": "is the same as site.listen"}),
        '"127.0.0.1:7001"': ('"127.0.0.1:99999"', {"engine.0.address": "port 99999 is over 65535"}),
        'effect = "unsafe" ': (
            "",
            {
                "class.2.effect": "a load is unsafe: it must never run twice",
                "set.1.write": "an unsafe class is wanted, and 'meter-load' is not",
            },
        ),
        'team = ""': ('team = "who"', {"odata.team": "no team 'who'"}),
        '"/tmp/': ('"tmp/', {"console.socket": "a path from the root is wanted"}),
    }
    assert problems_of(base, require_site=True) == {}
    for before, (after, expected) in replacements.items():
        assert base.count(before) >= 1
        assert problems_of(base.replace(before, after, 1), require_site=True) == expected
    assert set(problems_of("", require_site=True)) == {"site", "class", "team", "engine"}


VALUES: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)


@FIXED_EXAMPLES
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "site",
                "limits",
                "cold",
                "reports",
                "class",
                "team",
                "engine",
                "odata",
                "set",
                "identity",
                "console",
                "log",
                "other",
            ]
        ),
        VALUES,
    ),
    st.booleans(),
)
def test_any_invalid_file_is_reported_with_reasons(document: dict[str, Any], require_site: bool) -> None:
    try:
        file = validate_operator_file(document, require_site=require_site)
    except InvalidOperatorFileError as invalid:
        assert invalid.problems
        assert all("\n" not in each.line("f") and each.reason for each in invalid.problems)
    else:
        assert isinstance(file, File)


@FIXED_EXAMPLES
@given(st.data())
def test_an_invalid_field_is_reported_by_its_path(data: st.DataObject) -> None:
    document = tomllib.loads(APPLIANCE.read_text())
    table = data.draw(st.sampled_from(sorted(document)))
    rows = document[table] if isinstance(document[table], list) else [document[table]]
    number = data.draw(st.integers(0, len(rows) - 1))
    field = data.draw(st.sampled_from(sorted(rows[number])))
    rows[number][field] = object() if data.draw(st.booleans()) else {"odd": [1]}
    path = f"{table}.{number}.{field}" if isinstance(document[table], list) else f"{table}.{field}"
    with pytest.raises(InvalidOperatorFileError) as invalid:
        validate_operator_file(document, require_site=True)
    assert path in {problem.path for problem in invalid.value.problems}


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (b"[site\n", "is not TOML"),
        (b"\xff\xfe", "is not UTF-8"),
        (b"a=" + b"[" * 5_000, "is not TOML"),
        (None, "No such file"),
        (b"#" * 1_100_000, "is over"),
    ],
    ids=["cut", "bytes", "deep", "none", "large"],
)
def test_an_unreadable_file_is_reported_without_a_traceback(
    tmp_path: Path, content: bytes | None, expected: str
) -> None:
    path = tmp_path / "f.toml"
    if content is not None:
        path.write_bytes(content)
    done = subprocess.run(
        [sys.executable, "-m", "fordstair.cli", "check", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert "Traceback" not in done.stderr
    assert done.stderr.startswith(f"{path}: {expected}")


def test_check_and_schema_on_the_command_line(tmp_path: Path) -> None:
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "fordstair.cli", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    assert run("check", str(APPLIANCE)).returncode == 0
    bad = tmp_path / "bad.toml"
    bad.write_text("[site]\nlisten = 3\nhue = 1\n")
    done = run("check", str(bad))
    assert done.returncode == 2
    assert f"{bad}: site.name: is missing" in done.stderr.splitlines()
    assert f"{bad}: site.hue: unknown key" in done.stderr
    answer = ujson.loads(run("check", "--json", str(bad)).stdout)
    assert {problem["path"] for problem in answer["faults"]} >= {"site.listen", "site.hue", "site.name"}
    assert ujson.loads(run("schema").stdout) == json_schema()
    assert run("nonsense").returncode == 2


def test_all_problems_of_a_fleet_are_reported_at_once_and_a_valid_one_is_read() -> None:
    ledger = {
        "listen": "10.0.0.4:7947",
        "store": "ledger",
        "claim_ms": 5_000.0,
        "repeat_seconds": 10.0,
        "holders": {"south": "10.0.0.5:0", "east": "10.0.0.5:0"},
    }
    document = {
        "fleet": {
            "cluster": "gardens",
            "member": "north",
            "listen": "0.0.0.0:7946",
            "timeout_ms": 800.0,
            "seeds": ["10.0.0.5:7946", "10.0.0.6:99999", "10.0.0.5:7946"],
            "ledger": ledger,
        }
    }
    with pytest.raises(InvalidOperatorFileError) as invalid:
        validate_operator_file(document, require_site=False)
    assert {problem.path for problem in invalid.value.problems} == {
        "fleet.timeout_ms",
        "fleet.advertise",
        "fleet.seeds.1",
        "fleet.seeds.2",
        "fleet.ledger.store",
        "fleet.ledger.holders",
        "fleet.ledger.holders.south",
        "fleet.ledger.holders.east",
        "fleet.ledger.repeat_seconds",
        "fleet.ledger",
    }
    with pytest.raises(InvalidOperatorFileError) as invalid:
        validate_operator_file(
            {"fleet": {"cluster": "9", "listen": "nowhere", "probe_ms": 1.0, "unknown": 1}},
            require_site=False,
        )
    assert {problem.path for problem in invalid.value.problems} == {
        "fleet.cluster",
        "fleet.listen",
        "fleet.probe_ms",
        "fleet.unknown",
    }
    valid = validate_operator_file(
        {
            "odata": {"listen": "127.0.0.1:0"},
            "fleet": {
                "cluster": "gardens",
                "member": "north",
                "listen": "10.0.0.4:7946",
                "ledger": ledger
                | {"store": "/var/ledger", "repeat_seconds": 600.0, "holders": {"north": "10.0.0.4:7947"}},
            },
        },
        require_site=False,
    )
    operator = operator_file.operator_options(valid)
    assert operator.fleet is not None
    assert operator.fleet.address == "10.0.0.4:7946"
    assert operator.ledger is not None
    assert operator.ledger.members == {"north": "10.0.0.4:7947"}
    assert operator_file.operator_options(validate_operator_file({}, require_site=False)).fleet is None


def test_all_problems_of_fleet_budgets_are_reported_at_once_and_a_valid_table_makes_a_plan() -> None:
    budget = {"team": "karri-energy", "threads": 64}
    document: dict[str, Any] = {
        "team": [{"name": "karri-energy", "share": 0.5}],
        "class": [{"name": "settlement", "promise_ms": 1.0, "give_up_ms": 2.0, "threads": 4}],
        "fleet": {
            "cluster": "gardens",
            "member": "north",
            "listen": "10.0.0.4:7946",
            "budgets": {
                "listen": "10.0.0.4:7948",
                "audit": "audit",
                "members": {"north": "10.0.0.4:7948", "south": "10.0.0.4:7948", "east": "10.0.0.6:0"},
                "whole": [
                    budget,
                    budget,
                    {"threads": 2},
                    {"threads": 8, "requests_per_s": 1.0},
                    {"team": "nobody", "class": "nothing", "requests_per_s": 5.0},
                ],
            },
        },
    }
    with pytest.raises(InvalidOperatorFileError) as invalid:
        validate_operator_file(document, require_site=False)
    assert {problem.path for problem in invalid.value.problems} == {
        "fleet.budgets",
        "fleet.budgets.members",
        "fleet.budgets.members.east",
        "fleet.budgets.audit",
        "fleet.budgets.whole.1",
        "fleet.budgets.whole.2.threads",
        "fleet.budgets.whole.3",
        "fleet.budgets.whole.4.team",
        "fleet.budgets.whole.4.class",
    }
    valid = document | {
        "budgets": {},
        "fleet": document["fleet"]
        | {
            "budgets": {
                "listen": "10.0.0.4:7948",
                "members": {"north": "10.0.0.4:7948"},
                "whole": [budget, {"class": "settlement", "requests_per_s": 2.5}],
            }
        },
    }
    fleet_budgets = operator_file.operator_options(
        validate_operator_file(valid, require_site=False)
    ).fleet_budgets
    assert fleet_budgets is not None
    assert fleet_budgets.member == "north"
    assert fleet_budgets.plan.voters == ("north",)
    assert [(each.name, each.units, each.quantum) for each in fleet_budgets.plan.limits] == [
        ("threads:karri-energy:*", 64, 4),
        ("rate:*:settlement", 2_500, 1),
    ]
