"""The console's wire format: frames with every kind of row, and the answer to each command, as JSON."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path
from typing import Any

import pytest
import trio
import ujson

from fordstair.snapshots.delta import apply_delta, decode, delta_between, encode
from fordstair.snapshots.snapshot import Snapshot
from tests.scenes import run_with_timeout
from tests.standins import config, engine, program
from tests.wires.recordings import recorded

FRAMES = {name: text.encode() for name, text in recorded("console_frames").items()}
COMMANDS = [
    '{"command":"status"}',
    '{"command":"engines"}',
    '{"command":"classes"}',
    '{"command":"teams"}',
    '{"command":"requests"}',
    '{"command":"refusals"}',
    '{"command":"adjustments"}',
    '{"command":"members"}',
    '{"command":"shares"}',
    '{"command":"set-aside","engine":"s-00000001"}',
    '{"command":"set-aside","engine":"s-00000001","confirmed":true}',
    '{"command":"set-aside","engine":"s-00000001","confirmed":true,"seen":1}',
    '{"command":"bring-back","engine":"s-00000001","seen":0}',
    '{"command":"set-aside","engine":"nothing"}',
    '{"command":"set-aside"}',
    '{"command":"limit","class":"settlement","threads":8}',
    '{"command":"limit","class":"settlement","threads":0}',
    '{"command":"limit","class":"settlement","threads":-1}',
    '{"command":"limit","class":"nothing","threads":8}',
    '{"command":"limit","class":"settlement","threads":"8"}',
    '{"command":"adjustments"} ',
    '{"command":"limit","class":"settlement","threads":null}',
    '{"command":"bring-back","engine":"s-00000001","seen":9}',
    '{"command":"engines"} ',
    '{"command":"nothing"}',
    '{"command":1}',
    "no JSON",
    '{"command":"drain"}',
    '{"command":"drain","confirmed":true}',
]
NORMALIZATIONS = [
    (r'("\w+_ms":)[1-9][0-9]{9,}(\.[0-9]+)?(e\+[0-9]+)?', r"\1<ms>"),
    (r"[^\" ]+ \(process [0-9]+\)", "<who>"),
    (r"(\"load\":)[0-9.]+", r"\1<load>"),
    (r"127\.0\.0\.1:[0-9]+", "HOST"),
]


def messages() -> dict[str, str]:
    answers = dict[str, str]()

    async def scene(folder: Path) -> None:
        socket_path, operator_file = folder / "door", folder / "operator.toml"
        operator_file.write_text(f'[console]\nsocket = "{socket_path}"\n')
        async with engine() as first, engine() as second:
            addresses = (first.address, second.address)
            async with program(config(*addresses), "--operator", str(operator_file), fronts=1) as node:
                while not socket_path.exists():
                    await trio.sleep(0.01)
                client = await node.client()
                assert (await client.answer(await client.send_request()))[0] is None
                async with await trio.open_unix_socket(str(socket_path)) as stream:
                    for command in COMMANDS:
                        await stream.send_all(command.encode() + b"\n")
                        answer = b""
                        while not answer.endswith(b"\n"):
                            answer += await stream.receive_some(65_536)
                        answers[command] = answer.decode()

    with tempfile.TemporaryDirectory() as folder:
        run_with_timeout(lambda: scene(Path(folder)))
    for pattern, replacement in NORMALIZATIONS:
        answers = {command: re.sub(pattern, replacement, text) for command, text in answers.items()}
    return answers


def test_commands_have_the_recorded_answers() -> None:
    assert messages() == recorded("console")


@pytest.mark.parametrize("name", FRAMES)
def test_a_decoded_frame_encodes_to_the_same_bytes(name: str) -> None:
    assert encode(decode(FRAMES[name])) == FRAMES[name]


def with_sorted_keys(data: bytes) -> Any:
    """Return the frame with its lists of removed keys sorted: the tables of a snapshot are unordered."""
    frame = ujson.loads(data)
    return frame | {"gone": {table: sorted(keys) for table, keys in frame.get("gone", {}).items()}}


def test_deltas_between_snapshots_are_the_recorded_frames() -> None:
    snapshot = Snapshot()
    for data in FRAMES.values():
        next_snapshot = apply_delta(snapshot, decode(data))
        assert with_sorted_keys(encode(delta_between(snapshot, next_snapshot))) == with_sorted_keys(data)
        snapshot = next_snapshot
