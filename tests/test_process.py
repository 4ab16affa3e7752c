"""Signals and exit codes of the process."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import trio
import ujson

from tests.scenes import run_with_timeout
from tests.standins import ROOT, config, engine, program


def test_sigusr1_prints_the_counters() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.answer(await client.send_request())
            node.process.send_signal(signal.SIGUSR1)
            while not any("taken.lookup=1" in line and "sent.lookup=1" in line for line in node.log):
                await trio.sleep(0.01)

    run_with_timeout(scene)


TOO_LITTLE_MEMORY = {"limits": {"cores": 1.0, "memory_mb": 12, "sockets": 1024}}


@pytest.mark.parametrize(
    "text",
    ["{", "[]", ujson.dumps(config() | {"listen": "nowhere"}), ujson.dumps(config() | TOO_LITTLE_MEMORY)],
)
def test_an_unusable_configuration_prints_one_line_and_exits_with_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    done = run_until_exit(path)
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize("operator", ["", "[odata]\nlisten = '127.0.0.1:{port}'\nteam = 'karri-energy'\n"])
def test_a_port_in_use_prints_one_line_and_exits_with_2(tmp_path: Path, operator: str) -> None:
    # Guards against a traceback and exit code 1 when a task of the program raises the ConfigError.
    path = tmp_path / "config.json"
    arguments: list[str] = []
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        port = occupied.getsockname()[1]
        path.write_text(ujson.dumps(config() if operator else config() | {"listen": f"127.0.0.1:{port}"}))
        if operator:
            (tmp_path / "operator.toml").write_text(operator.format(port=port))
            arguments = ["--operator", str(tmp_path / "operator.toml")]
        done = run_until_exit(path, *arguments)
    assert done.returncode == 2
    (line,) = (line for line in done.stderr.decode().splitlines() if "listening" not in line)
    assert f"127.0.0.1:{port}" in line
    assert line.startswith("fordstair: odata: " if operator else "fordstair: listens: ")


def run_until_exit(path: Path, *arguments: str) -> subprocess.CompletedProcess[bytes]:
    """Run the program until it exits, at most 30 s."""
    return subprocess.run(
        [sys.executable, "-m", "fordstair", *arguments],
        env=os.environ | {"RELAY_CONFIG": str(path)},
        cwd=ROOT,
        capture_output=True,
        timeout=30,
        check=False,
    )
