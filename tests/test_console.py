"""The console against the running program."""

from __future__ import annotations

import stat
import subprocess
import sys
from pathlib import Path

import pytest
import trio
import ujson

from tests.standins import ROOT, config, engine, never, program
from tests.test_odata import OPERATOR
from tests.test_platform import play


async def console(door: Path, *arguments: str) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "fordstair.console", "--socket", str(door), *arguments]
    return await trio.run_process(command, cwd=ROOT, capture_stdout=True, capture_stderr=True, check=False)


def test_what_the_console_shows_and_its_drain(tmp_path: Path) -> None:
    door, operator = tmp_path / "door", tmp_path / "appliance.toml"
    operator.write_text(OPERATOR + f'[console]\nsocket = "{door}"\n')

    async def scene() -> None:
        async with engine(never) as one, program(config(one.address), "--operator", str(operator)) as node:
            client = await node.client()
            open_one = await client.ask("settlement", limit="20000", txn="00000000000000aa")
            while not one.posts:
                await trio.sleep(0.01)
            assert stat.S_IMODE(door.stat().st_mode) == 0o600
            told = ujson.loads((await console(door, "--json", "requests")).stdout)["requests"]
            assert [(each["txn"], each["engine"]) for each in told] == [("00000000000000aa", "s-00000000")]
            shown = (await console(door, "engines")).stdout.decode()
            assert "s-00000000" in shown and "ready" in shown
            assert b"taken.settlement" in (await console(door, "counters")).stdout
            assert (await console(door, "watch", "--times", "2", "--every", "0.1")).returncode == 0
            assert ujson.loads((await console(door, "--json", "drain")).stdout) == {"draining": True}
            error, _ = await client.answer(open_one)
            assert error[0] == "Overloaded"
            with trio.fail_after(20.0):
                assert await node.process.wait() == 0
        assert (await console(door)).returncode == 1

    play(scene)


@pytest.mark.parametrize("line", [b"", b"[]", b"{", b'{"command":"nonsense"}', b"\xff"])
def test_a_line_that_cannot_be_read_is_told_so(tmp_path: Path, line: bytes) -> None:
    door, operator = tmp_path / "door", tmp_path / "appliance.toml"
    operator.write_text(OPERATOR + f'[console]\nsocket = "{door}"\n')

    async def scene() -> None:
        async with engine() as one, program(config(one.address), "--operator", str(operator)):
            stream = await trio.open_unix_socket(str(door))
            await stream.send_all(line + b"\n")
            assert "error" in ujson.loads(await stream.receive_some(4096))

    play(scene)
