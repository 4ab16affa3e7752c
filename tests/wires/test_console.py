"""The console's socket: frames with every kind of row, and the answer to each command, as JSON."""

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
STEADY = [
    (r'("\w+_ms":)[1-9][0-9]{9,}(\.[0-9]+)?(e\+[0-9]+)?', r"\1<ms>"),
    (r"[^\" ]+ \(process [0-9]+\)", "<who>"),
    (r"(\"load\":)[0-9.]+", r"\1<load>"),
    (r"127\.0\.0\.1:[0-9]+", "HOST"),
]


def messages() -> dict[str, str]:
    told = dict[str, str]()

    async def scene(folder: Path) -> None:
        door, file = folder / "door", folder / "operator.toml"
        file.write_text(f'[console]\nsocket = "{door}"\n')
        async with engine() as one, engine() as two:
            addresses = (one.address, two.address)
            async with program(config(*addresses), "--operator", str(file), fronts=1) as node:
                while not door.exists():
                    await trio.sleep(0.01)
                client = await node.client()
                assert (await client.answer(await client.send_request()))[0] is None
                async with await trio.open_unix_socket(str(door)) as stream:
                    for command in COMMANDS:
                        await stream.send_all(command.encode() + b"\n")
                        answer = b""
                        while not answer.endswith(b"\n"):
                            answer += await stream.receive_some(65_536)
                        told[command] = answer.decode()

    with tempfile.TemporaryDirectory() as folder:
        run_with_timeout(lambda: scene(Path(folder)))
    for form, steady in STEADY:
        told = {command: re.sub(form, steady, text) for command, text in told.items()}
    return told


def test_commands_have_the_recorded_answers() -> None:
    assert messages() == recorded("console")


@pytest.mark.parametrize("name", FRAMES)
def test_a_frame_is_read_and_written_again(name: str) -> None:
    assert encode(decode(FRAMES[name])) == FRAMES[name]


def in_order(data: bytes) -> Any:
    """Return a frame whose lists of keys are in order: a picture's tables have none."""
    told = ujson.loads(data)
    return told | {"gone": {table: sorted(keys) for table, keys in told.get("gone", {}).items()}}


def test_steps_between_pictures_are_the_recorded_frames() -> None:
    picture = Snapshot()
    for data in FRAMES.values():
        after = apply_delta(picture, decode(data))
        assert in_order(encode(delta_between(picture, after))) == in_order(data)
        picture = after
