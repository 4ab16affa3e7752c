"""Tests of the checker of load histories."""

from __future__ import annotations

from fordstair.lab.load_history import Operation, find_violations


def test_checker_finds_each_violation() -> None:
    def operation(load_id: str, result: str, sent_s: float = 0.0, after_faults: bool = False) -> Operation:
        return Operation(load_id, "m", sent_s, sent_s + 1.0, result, after_faults)  # type: ignore[arg-type]

    assert not find_violations(
        [operation("a", "ok"), operation("a", "unknown"), operation("b", "fail"), operation("b", "ok", 2.0)],
        {"a": 1, "b": 1},
        {"a": {"m": b"x", "n": b"x"}},
    )
    for violations, text in (
        (find_violations([operation("a", "ok")], {"a": 2}, {}), "ran 2 times"),
        (find_violations([operation("a", "ok")], {}, {}), "never ran"),
        (find_violations([operation("a", "fail")], {"a": 1}, {}), "every response says that it did not"),
        (
            find_violations([operation("a", "ok"), operation("a", "fail", 5.0, True)], {"a": 1}, {}),
            "run it again",
        ),
        (find_violations([], {}, {"a": {"m": b"x", "n": b"y"}}), "copies differ"),
    ):
        assert len(violations) == 1
        assert text in violations[0]
