"""Parsers with random prefixes of valid messages and with random bytes."""

from __future__ import annotations

import struct
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import flatten, parse
from fordstair.core.statements import table_group
from fordstair.decisions.engine_list import EngineState
from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_sql import parse_read
from fordstair.net.engine_list_wire import FrameError, read_frame, read_records
from fordstair.net.engines.rest_wire import parse_note, parse_report
from fordstair.runtime.clock import UnixMs
from tests.standins import SETTINGS, config

many = settings(max_examples=150, derandomize=True, deadline=None)
scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.binary(max_size=300)
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.binary(max_size=5), inner, max_size=20),
    max_leaves=30,
)
SETS = {"S": EntitySet("S", "s_1.t", ("a", "b"), "lookup", "lookup")}


def copy_slices(value: Any) -> Any:
    """Replace each memoryview in a value with a copy of its bytes."""
    if isinstance(value, memoryview):
        return bytes(value)
    if isinstance(value, list):
        return [copy_slices(item) for item in value]
    return {copy_slices(k): copy_slices(v) for k, v in value.items()} if isinstance(value, dict) else value


@many
@given(values, st.data())
def test_messagepack_reads_as_the_library_does_and_detects_every_truncation(value: Any, data: Any) -> None:
    packed = msgpack.packb(value)
    assert copy_slices(read(memoryview(packed))[0]) == msgpack.unpackb(packed, strict_map_key=False)
    cut = data.draw(st.integers(0, len(packed) - 1))
    with pytest.raises(IncompleteMessageError) as short:
        read(memoryview(packed[:cut]))
    assert cut < short.value.needed_bytes <= len(packed)


@many
@given(st.binary(max_size=200))
def test_random_bytes_are_a_value_incomplete_or_malformed(garbage: bytes) -> None:
    try:
        _, end = read(memoryview(garbage))
        assert 0 < end <= len(garbage)
    except (IncompleteMessageError, MalformedMessageError):
        pass
    try:
        if (frame := read_frame(memoryview(garbage))) is not None:
            read_records(frame[2])
    except FrameError:
        pass
    text = garbage.decode("latin-1")
    assert len(parse_report(text, ("util", "inflight"))) in (0, 2)
    parse_note(text[:1], text[1:])
    assert table_group(text) >= 0.0


@pytest.mark.parametrize("data", [b"\x91" * 20 + b"\xc0", b"\xdd\xff\xff\xff\xff", b"\x81\x90\xc0", b"\xc1"])
def test_invalid_or_oversized_messagepack_is_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        read(memoryview(data))


@many
@given(
    st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2)), min_size=1, max_size=6),
    st.integers(1, 40),
)
def test_frames_are_read_from_chunks_of_any_size(events: list[tuple[int, int]], size: int) -> None:
    record = struct.pack(">I4sHBBBHIQ", 0xC41F7A, bytes((10, 1, 0, 9)), 6565, 1, 2, 0, 3, 4000, 77)
    stream = b"".join(
        struct.pack(">IQB", 9 + 27 * bool(kind), number, kind) + record * bool(kind)
        for number, kind in events
    )
    seen, buffer = [], b""
    for at in range(0, len(stream), size):
        buffer += stream[at : at + size]
        while (frame := read_frame(memoryview(buffer))) is not None:
            number, kind, payload, length = frame
            seen.append((number, kind))
            for engine in read_records(payload):
                entry = engine.entry
                assert (entry.engine, entry.state, engine.address) == (
                    "s-00c41f7a",
                    EngineState.DRAINING,
                    "10.1.0.9:6565",
                )
                assert (entry.zone, entry.cell, entry.weight, engine.started_at) == (2, 3, 4.0, UnixMs(77.0))
            buffer = buffer[length:]
    assert seen == events
    assert not buffer


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        ("SELECT * FROM sales_17.orders", 17),
        ("select 'a_3.b' from x_4.y", 4),
        ("-- from q_1.z\nselect 1 from staging.a join q_2.b on 1=1", 2),
        ("INSERT INTO staging.t SELECT * FROM m_9.k", 9),
        ("INSERT INTO m_9.k SELECT * FROM staging.t", 9),
        ("/* from a_1.b /* x */ from a_2.c */ select t_1.x, 'it''s from z_8.q' from \"real_5\".\"o\" t_1", 5),
        ("update  w_12 . t set x=1", 12),
        ("select 1", 0),
        ("select a.x from staging.q a, big_7.t b", 7),
        ("select t_1.a from staging.x t_1 join foo_44.b using (c)", 44),
        ("select 'unclosed from a_6.b", 0),
        ("with c as (select * from r_8.x) select t_1.a from c t_1", 8),
        ("select t_3.a from s_4.b as t_3", 4),
    ],
)
def test_the_table_group_is_the_number_in_the_schema_name(statement: str, group: float) -> None:
    assert table_group(statement) == group


@many
@given(st.text(max_size=60), st.sampled_from(["$filter", "$orderby", "$top", "$skip", "$select", "$count"]))
def test_query_options_are_parsed_or_rejected(text: str, option: str) -> None:
    try:
        assert parse_read("S", {option: text}, SETS).statement.startswith("SELECT a, b FROM s_1.t")
    except ODataError as error:
        assert error.status in (400, 501)


def test_nested_settings_are_flattened_to_dotted_keys_and_parsed() -> None:
    assert dict(flatten({"a": {"b": [1, 2], "c": [{"d": True}]}, "e": "x, y"})) == {
        "a.b": "1,2",
        "a.c.count": "1",
        "a.c.0.d": "true",
        "e": "x__y",
    }
    configuration = parse(config("127.0.0.1:1"))
    assert [spec.threads for spec in configuration.settings.classes] == [1, 4, 2]
    assert configuration.connect_timeout_ms == 250.0
    assert configuration.known[0].engines[0].entry.engine == "s-00000000"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"settings": 7}, "settings"),
        ({"limits": {"sockets": "x"}}, "limits.sockets"),
        ({"known": {"cmds": [{}]}}, "known.cmds"),
        ({"seed": "zz"}, "seed"),
        ({"channel": "x"}, "channel"),
        ({"settings": SETTINGS | {"instances": "many"}}, "instances"),
    ],
)
def test_the_error_for_an_invalid_configuration_names_its_field(change: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError, match=named) as error:
        parse(config() | change)
    assert "\n" not in str(error.value)
