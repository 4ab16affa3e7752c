"""The checker of histories finds what was broken."""

from __future__ import annotations

from fordstair.lab.load_history import Operation, find_violations


def test_the_checker_finds_what_was_broken() -> None:
    def did(load_id: str, result: str, sent_s: float = 0.0, after_faults: bool = False) -> Operation:
        return Operation(load_id, "m", sent_s, sent_s + 1.0, result, after_faults)  # type: ignore[arg-type]

    assert not find_violations(
        [did("a", "ok"), did("a", "unknown"), did("b", "fail"), did("b", "ok", 2.0)],
        {"a": 1, "b": 1},
        {"a": {"m": b"x", "n": b"x"}},
    )
    for broken, word in (
        (find_violations([did("a", "ok")], {"a": 2}, {}), "ran 2 times"),
        (find_violations([did("a", "ok")], {}, {}), "never ran"),
        (find_violations([did("a", "fail")], {"a": 1}, {}), "every response says that it did not"),
        (find_violations([did("a", "ok"), did("a", "fail", 5.0, True)], {"a": 1}, {}), "run it again"),
        (find_violations([], {}, {"a": {"m": b"x", "n": b"y"}}), "copies differ"),
    ):
        assert len(broken) == 1
        assert word in broken[0]
