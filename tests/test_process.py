"""The process: its signals and its exit status."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trio
import ujson

from tests.scenes import play
from tests.standins import ROOT, config, engine, program


def test_sigusr1_prints_the_counters() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.answer(await client.ask())
            node.process.send_signal(signal.SIGUSR1)
            while not any("taken.lookup=1" in line and "sent.lookup=1" in line for line in node.log):
                await trio.sleep(0.01)

    play(scene)


@pytest.mark.parametrize("text", ["{", "[]", ujson.dumps(config() | {"listen": "nowhere"})])
def test_a_bad_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "fordstair"],
        env=os.environ | {"RELAY_CONFIG": str(path)},
        cwd=ROOT,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
