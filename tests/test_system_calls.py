"""Temporary failures of system calls, and pauses: real processes, with each fault injected at a barrier."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest
import trio
import ujson

from fordstair.lab.soak.plan import ERRNOS
from tests.standins import ROOT, Client, Response, RestEngine, config, engine, program, serve_at_once
from tests.test_stepped_clock import ROWS, faulty_program

SLACK_MS = 150.0


def sent_limit_ms(one: RestEngine, number: int = 0) -> float:
    """Return the time limit that one POST gave the engine, in milliseconds."""
    return float(one.posts[number][0]["x-limit-ms"])


@pytest.mark.parametrize("errno", ERRNOS["open"])
def test_the_program_survives_a_temporary_failure_to_open_sockets(errno: str) -> None:
    async def scene() -> None:
        async with engine() as one, faulty_program(config(one.address)) as (node, faults):
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            await faults.apply(calls={"open": {"errno": errno}, "recv": {"short": 7}})
            # This script closes the pooled connection, so further calls need new ones.
            one.script = at_once_on_fresh_connections
            request_ids = [
                await client.send_request(class_name) for class_name in ("lookup", "settlement", "meter-load")
            ]
            for number in request_ids:
                error, result = await client.answer(number, 4.0)
                assert result == ROWS or error[0] in ("Overloaded", "Internal")
            await faults.apply()
            one.script = serve_at_once
            assert await client.answer(await client.send_request("meter-load"), 4.0) == (None, ROWS)
            assert node.process.returncode is None
            assert not any("Traceback" in line for line in node.log)

    trio.run(scene)


def test_the_program_starts_despite_a_temporary_failure_to_open_sockets() -> None:
    async def scene() -> None:
        faults = {"calls": {"open": {"errno": "ENFILE", "chance": 0.8}}, "seed": 5}
        async with engine() as one, faulty_program(config(one.address), **faults) as (node, shim):
            await shim.apply()
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert any("listen.failed" in line for line in node.log)

    trio.run(scene)


def test_a_reload_signal_during_the_start_is_handled_after_it(tmp_path: Path) -> None:
    """SIGHUP arrives while the start waits at a pipe for its configuration (soak, seed 3)."""
    path, later = tmp_path / "config", tmp_path / "later"
    os.mkfifo(path)
    later.write_text(ujson.dumps(config()))
    with subprocess.Popen(
        [sys.executable, "-m", "fordstair"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"RELAY_CONFIG": str(path)},
    ) as process:
        guard = threading.Timer(30.0, process.kill)
        guard.start()
        with path.open("w") as writer:  # Returns once the program opens the pipe for reading.
            process.send_signal(signal.SIGHUP)
            writer.write(ujson.dumps(config()))
            later.rename(path)  # The reload reads a regular file, not the pipe.
        assert process.stderr is not None
        lines = process.stderr.readline() + process.stderr.readline()
        assert "listening" in lines
        assert "configuration.reloaded" in lines
        process.terminate()
        assert process.wait() == 0
        guard.cancel()


async def at_once_on_fresh_connections(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | bytes | None:
    """Serve in one page, and close the connection after each response."""
    head = b"HTTP/1.1 200 OK\r\nX-Sheets: 1\r\nConnection: close\r\nContent-Length: 12\r\n\r\n"
    return head + b"a\tb\tc\nd\te\tf\n"


@pytest.mark.parametrize("errno", ERRNOS["accept"])
def test_a_client_that_waits_while_accept_fails_is_served_soon_with_its_remaining_time(errno: str) -> None:
    async def scene() -> None:
        async with engine() as one, faulty_program(config(one.address)) as (node, faults):
            await faults.apply(calls={"accept": {"errno": errno}})
            # The kernel completes the connection, but the program does not accept it yet.
            client = await node.client()
            sent_s = trio.current_time()
            number = await client.send_request(limit="3000")
            await trio.sleep(0.5)
            failed_until_s = trio.current_time()  # After the signal, accept may succeed at any moment.
            await faults.apply()
            restored_s = trio.current_time()
            assert await client.answer(number, 4.0) == (None, ROWS)
            assert trio.current_time() - restored_s < 0.3
            assert sent_limit_ms(one) <= 3_000.0 - (failed_until_s - sent_s) * 1e3 + SLACK_MS
            assert not any("Traceback" in line for line in node.log)

    trio.run(scene)


@pytest.mark.parametrize("new", [False, True])
def test_a_pause_counts_against_the_time_limit_of_a_request_that_arrives_during_it(new: bool) -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            os.kill(node.process.pid, signal.SIGSTOP)
            if new:
                client = await node.client()
                client.last_id = 1  # Its ids continue after those of the first client.
            sent_s = trio.current_time()
            number = await client.send_request(limit="3000")
            await trio.sleep(0.7)
            os.kill(node.process.pid, signal.SIGCONT)
            assert await client.answer(number, 4.0) == (None, ROWS)
            left_ms = 3_000.0 - (trio.current_time() - sent_s) * 1e3
            assert sent_limit_ms(one, -1) <= left_ms + SLACK_MS
            # The pause does not affect later requests.
            await trio.sleep(0.3)
            fresh: Client = await node.client()
            fresh.last_id = 10
            assert await fresh.answer(await fresh.send_request(limit="3000"), 4.0) == (None, ROWS)
            assert sent_limit_ms(one, -1) > 2_800.0

    trio.run(scene)


def test_a_request_after_an_idle_period_has_its_full_time_limit() -> None:
    # Guards against an idle wait that counts as a pause of the program.
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            for _ in range(2):
                await trio.sleep(1.5)  # The program is idle, which is the case under test.
                assert await client.answer(await client.send_request(limit="3000"), 4.0) == (None, ROWS)
                assert sent_limit_ms(one, -1) > 2_800.0

    trio.run(scene)


def test_a_late_reset_does_not_prove_that_the_engine_has_read_the_post() -> None:
    """The engine may still start the query, and a retry would run in parallel with it (soak, seed 9)."""

    async def scene() -> None:
        async def resets_after_silence(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if method == "POST":
                await trio.sleep(0.4)
                return None
            return (500, {}, b"") if method == "GET" else (204, {}, b"")

        async with (
            engine(resets_after_silence) as one,
            engine(resets_after_silence) as two,
            program(config(one.address, two.address)) as node,
        ):
            client = await node.client()
            error, _ = await client.answer(await client.send_request(limit="3000"))
            assert (error[0], len(one.posts) + len(two.posts)) == ("Overloaded", 1)

    trio.run(scene)


def test_an_engine_that_handles_a_poll_before_the_earlier_post_is_polled_again() -> None:
    """The engine hung with both calls pending, then did not know the query yet (soak, seeds 9 and 12)."""

    async def scene() -> None:
        async def handles_poll_first(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if method == "POST":
                return None
            if path.endswith("/0") and one.calls["GET"] == 1:
                return 500, {}, b""
            return await serve_at_once(one, "POST" if path.endswith("/0") else method, path, headers, body)

        async with engine(handles_poll_first) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(one.posts) == 1

    trio.run(scene)


def test_a_reset_during_a_pause_does_not_prove_that_the_engine_has_read_the_post() -> None:
    """The wait for the response ends with the pause, just as the reset is seen (soak, seed 12)."""

    async def scene() -> None:
        reset = trio.Event()

        async def hangs(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if method == "POST":
                await reset.wait()
                return None
            if method == "DELETE":
                return 204, {}, b""
            await trio.sleep_forever()
            return None

        async with (
            engine(hangs) as one,
            engine(hangs) as two,
            program(config(one.address, two.address)) as node,
        ):
            client = await node.client()
            number = await client.send_request(limit="6000")
            with trio.fail_after(5.0):
                while not one.posts and not two.posts:
                    await trio.sleep(0.005)
            await trio.sleep(0.1)
            os.kill(node.process.pid, signal.SIGSTOP)
            reset.set()
            await trio.sleep(0.9)  # Longer than an engine may stay silent.
            os.kill(node.process.pid, signal.SIGCONT)
            error, _ = await client.answer(number, 8.0)
            assert (error[0], len(one.posts) + len(two.posts)) == ("Overloaded", 1)

    trio.run(scene)
