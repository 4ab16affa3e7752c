"""Messages in pieces: each byte is looked at once, and what never ends is refused."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordstair.net.clients import message_scanner
from fordstair.net.clients.message_buffer import SKIPPED, MessageBuffer
from fordstair.net.clients.message_scanner import MAX_VALUES, MessageScanner
from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read
from tests.test_parsers import copy_slices, many, values

MAX_MESSAGE_BYTES = 65_536


def in_pieces(data: bytes, size: int) -> list[bytes]:
    """Return the data in pieces of a size."""
    return [data[at : at + size] for at in range(0, len(data), size)]


def read_all(buffer: MessageBuffer, pieces: list[bytes]) -> list[Any]:
    """Return the values that the buffer yields as the pieces come."""
    found = []
    for piece in pieces:
        if buffer.append(piece):
            found += [copy_slices(value) for value in buffer.values()]
            buffer.discard_handled()
    return found


@many
@given(st.lists(values, max_size=4), st.integers(1, 30))
def test_messages_are_read_alike_however_they_are_cut(messages: list[Any], size: int) -> None:
    data = b"".join(msgpack.packb(message) for message in messages)
    buffer = MessageBuffer(MAX_MESSAGE_BYTES)
    expected = [msgpack.unpackb(msgpack.packb(message), strict_map_key=False) for message in messages]
    assert read_all(buffer, in_pieces(data, size)) == expected
    assert not buffer.has_unhandled


@many
@given(st.binary(max_size=200), st.integers(1, 9))
def test_the_scanner_finds_the_end_that_the_reader_finds(data: bytes, size: int) -> None:
    try:
        expected: int | None = read(memoryview(data))[1]
    except IncompleteMessageError:
        expected = None
    except MalformedMessageError:
        return  # what the scanner lets pass, the reader refuses once the message is whole
    scanner, received, end = MessageScanner(), bytearray(), None
    for piece in in_pieces(data, size):
        received += piece
        end = scanner.scan(received, 0) if end is None else end
    assert end == expected


def test_each_value_of_a_message_in_pieces_is_scanned_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against others' answers lost: each piece of a message cost a scan of all that had come before.
    scanned = 0
    scan_value = MessageScanner._scan_value

    def count_and_scan(scanner: MessageScanner, data: bytearray, start: int, available: int) -> None:
        nonlocal scanned
        scanned += 1
        scan_value(scanner, data, start, available)

    monkeypatch.setattr(message_scanner.MessageScanner, "_scan_value", count_and_scan)
    message = [0, 1, "lookup", [{f"key {n}": "value" for n in range(60)}, b"x" * 50_000]]
    buffer = MessageBuffer(MAX_MESSAGE_BYTES)
    assert len(read_all(buffer, in_pieces(msgpack.packb(message), 1))) == 1
    lengths = 2  # of the map and of the body, which are scanned again once their length has come
    assert scanned <= 6 + 2 * 60 + lengths * 2


def test_a_message_of_very_many_values_is_refused_before_it_is_whole() -> None:
    # Guards against messages that never end, and against memory for values that no message needs.
    lists = [[0] * 60 for _ in range(60)]
    pieces = in_pieces(msgpack.packb([0, 1, "lookup", lists]), 16)
    with pytest.raises(MalformedMessageError, match="values in a message"):
        read_all(MessageBuffer(MAX_MESSAGE_BYTES), pieces[: MAX_VALUES // 16 + 8])


@many
@given(st.lists(st.tuples(values, st.booleans()), max_size=4), st.integers(1, 30))
def test_a_message_that_is_skipped_ends_where_it_ends_if_it_is_kept(
    messages: list[tuple[Any, bool]], size: int
) -> None:
    # Guards against a message behind a skipped one that is read from its middle, and against kept bytes.
    data = b"".join(msgpack.packb(message) for message, _ in messages)
    buffer, found = MessageBuffer(MAX_MESSAGE_BYTES), list[Any]()
    skips = [skip for _, skip in messages]
    for piece in in_pieces(data, size):
        if buffer.append(piece):
            found += [value if value is SKIPPED else copy_slices(value) for value in buffer.values()]
            buffer.discard_handled()
            if buffer.has_unhandled and not buffer.skipping and skips[len(found)]:
                buffer.skip()
        assert not buffer.skipping or buffer.unhandled_bytes < 9 + size  # a length that is incomplete
    expected = [msgpack.unpackb(msgpack.packb(message), strict_map_key=False) for message, _ in messages]
    assert len(found) == len(expected)
    assert all(value in (SKIPPED, whole) for value, whole in zip(found, expected, strict=True))
