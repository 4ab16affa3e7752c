"""Replication among running programs: SIGKILL, partitions, a lost store; every history is checked."""

from __future__ import annotations

import socket
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from fordstair.lab.load_history import find_violations
from fordstair.lab.replication_faults import kill_members, partition_members
from fordstair.lab.replication_trial import ReplicationTrial, running_trial, stored_entries
from fordstair.replication.claim_coordinator import SETTLE_TIMEOUT_S
from tests.scenes import run_with_timeout as bounded
from tests.standins import config, engine, program


def play(scene: Callable[[Path], Awaitable[None]]) -> None:
    """Run a scene in a folder of its own."""

    async def in_a_folder() -> None:
        with tempfile.TemporaryDirectory(prefix="led") as folder:
            await scene(Path(folder))

    bounded(in_a_folder, 110.0)


def address_of_a_free_port() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def assert_promises_kept(trial: ReplicationTrial, ids: list[str]) -> None:
    """All promises were kept, and something was put to the test."""
    outcomes = await trial.settle_and_stop(ids)
    assert find_violations(trial.operations, trial.run_counts, outcomes) == []
    assert any(trial.run_counts[id] for id in ids)  # how many is no promise: what is lost stays unknown
    assert any(len(told) > 1 for told in outcomes.values())


def test_a_load_sent_through_all_members_at_once_runs_once_and_all_tell_its_answer() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=11) as trial:
            ids = [trial.new_load_id() for _ in range(20)]
            async with trio.open_nursery() as nursery:
                for id in ids:
                    for name in trial.names:
                        nursery.start_soon(trial.send_load, name, id)
            await assert_promises_kept(trial, ids)
            final = [each for each in trial.operations if each.after_faults]
            assert len(final) == 60
            assert all(each.result == "ok" for each in final)

    play(scene)


@pytest.mark.parametrize("seed", [21, 22])
def test_members_killed_at_random_moments_run_no_load_twice_and_lose_no_claim(seed: int) -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=seed) as trial:
            await assert_promises_kept(trial, await kill_members(trial, 8))

    play(scene)


def test_partitions_with_the_same_ids_on_both_sides_run_no_load_twice() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, member_count=5, seed=31) as trial:
            await assert_promises_kept(trial, await partition_members(trial, 6))

    play(scene)


def test_a_member_that_lost_its_store_grants_nothing_until_it_has_heard_all_others() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=41) as trial:
            ids = [trial.new_load_id() for _ in range(10)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.kill("m1")
            for path in folder.glob("m1.ledger*"):
                path.unlink()
            trial.relay.part({"m1"}, {"m2"})
            await trial.start("m1")
            trial.relay.part({"m0"}, {"m1", "m2"})  # with m2 alone it would be a majority without m0's memory
            fresh = [trial.new_load_id() for _ in range(3)]
            trial.relay.heal()
            trial.relay.part({"m0"}, {"m1", "m2"})
            for id in fresh:
                assert await trial.send_load("m1", id) != "ok"
            trial.relay.heal()
            await trial.wait_until_granting()
            await assert_promises_kept(trial, ids + fresh)

    play(scene)


def test_a_member_back_after_a_while_catches_up_on_what_it_missed() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=51) as trial:
            trial.kill("m2")
            ids = [trial.new_load_id() for _ in range(60)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            await trio.sleep(SETTLE_TIMEOUT_S + 0.5)  # so that nobody tells it any more of its own accord
            await trial.start("m2")
            with trio.fail_after(20.0):
                while not any("ledger.caught_up" in path.read_text() for path in folder.glob("m2.*.log")):
                    await trio.sleep(0.1)
            await assert_promises_kept(trial, ids)

    play(scene)


def test_a_member_whose_disk_is_full_grants_nothing_and_the_others_go_on() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=71) as trial:
            ids = [trial.new_load_id() for _ in range(5)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.fill_disk("m1")
            with trio.fail_after(20.0):  # until a write has met the end of the disk
                while "store.cannot_write" not in (folder / "m1.1.log").read_text():
                    ids.append(trial.new_load_id())
                    assert await trial.send_load("m1", ids[-1]) == "ok"  # by the two that can write
            for name in trial.names:
                ids.append(trial.new_load_id())
                assert await trial.send_load(name, ids[-1]) == "ok"
            trial.fill_disk("m2")
            stuck = list[str]()
            with trio.fail_after(20.0):
                while "store.cannot_write" not in (folder / "m2.1.log").read_text():
                    stuck.append(trial.new_load_id())
                    await trial.send_load("m0", stuck[-1])
            before = trial.run_counts.total()
            for name in trial.names:  # one of three is no majority
                stuck.append(trial.new_load_id())
                assert await trial.send_load(name, stuck[-1]) != "ok"
            assert trial.run_counts.total() == before
            trial.clear_disk("m1")
            trial.clear_disk("m2")
            for name in ("m1", "m2"):
                await trial.logged(name, "store.writes_again")
            for name in trial.names:
                ids.append(trial.new_load_id())
                assert await trial.send_load(name, ids[-1]) == "ok"
            await assert_promises_kept(trial, ids + stuck)

    play(scene)


def test_a_member_with_a_flipped_bit_grants_nothing_until_it_has_heard_all_others() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=81) as trial:
            ids = [trial.new_load_id() for _ in range(10)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.kill("m2")
            trial.flip_bit("m2", ids[4])
            trial.relay.part({"m0"}, {"m1", "m2"})  # m1 alone could not tell it all that it may have granted
            await trial.start("m2")
            # Its fronts are told before its store is read: what it found there comes with "ledger.loaded".
            assert "store.record_corrupted" in await trial.logged("m2", "ledger.loaded")
            fresh = trial.new_load_id()
            assert await trial.send_load("m2", fresh) != "ok"
            assert await trial.send_load("m1", ids[4]) != "fail"
            trial.relay.heal()
            await trial.logged("m2", "ledger.recovered")
            await assert_promises_kept(trial, [*ids, fresh])

    play(scene)


def test_a_member_without_a_store_or_a_register_takes_the_engines_that_others_know() -> None:
    async def scene(folder: Path) -> None:
        listens = [address_of_a_free_port() for _ in range(2)]
        holders = ", ".join(f'n{number} = "{listen}"' for number, listen in enumerate(listens))
        files = [folder / f"n{number}.toml" for number in range(2)]
        for number, file in enumerate(files):
            file.write_text(
                f'[odata]\nlisten = "127.0.0.1:0"\n[fleet]\ncluster = "c"\nmember = "n{number}"\n'
                f'listen = "127.0.0.1:0"\n[fleet.ledger]\nlisten = "{listens[number]}"\n'
                f'store = "{folder}/store{number}"\nexchange_ms = 300\nholders = {{ {holders} }}\n'
            )
        async with engine() as stand_in, program(config(), "--operator", str(files[1]), fronts=4) as blind:
            client = await blind.client()
            assert (await client.answer(await client.send_request()))[0] is not None  # it knows of no engine
            async with program(config(stand_in.address), "--operator", str(files[0]), fronts=4):
                with trio.fail_after(15.0):
                    while (await client.answer(await client.send_request()))[0] is not None:
                        await trio.sleep(0.1)
            assert stand_in.calls["POST"] == 1
            assert any("engines.restored" in line for line in blind.log)

    play(scene)


def test_a_member_behind_by_twenty_thousand_loads_catches_up_while_loads_go_on() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=91, more_settings="kilobytes_per_s = 20000") as trial:
            for name in trial.names:
                trial.kill(name)
            for name in ("m0", "m1"):
                trial.preload(name, 20_000)
            for name in trial.names:
                await trial.start(name)
            ids, took = list[str](), list[float]()
            async with trio.open_nursery() as nursery:

                async def go_on() -> None:
                    while True:
                        ids.append(trial.new_load_id())
                        began = trio.current_time()
                        assert await trial.send_load(trial.names[len(ids) % 3], ids[-1]) == "ok"
                        took.append(trio.current_time() - began)

                nursery.start_soon(go_on)
                with trio.fail_after(40.0):
                    await trial.wait_until_caught_up("m2", 20_000)
                nursery.cancel_scope.cancel()
            assert took
            assert max(took) < 2.0
            await assert_promises_kept(trial, ids[:-1])
            assert len(stored_entries(folder / "m2.ledger")) >= 20_000

    play(scene)


def test_what_one_member_learned_of_costs_serves_the_others_and_its_own_next_life() -> None:
    async def scene(folder: Path) -> None:
        async with running_trial(folder, seed=61) as trial:
            for _ in range(12):
                assert await trial.send_load("m0", trial.new_load_id()) == "ok"

            async def taken_over(*logs: str) -> None:
                with trio.fail_after(25.0):
                    while not all("costs.restored" in (folder / log).read_text() for log in logs):
                        await trio.sleep(0.1)

            await taken_over("m1.1.log", "m2.1.log")
            trial.kill("m0")
            trial.relay.part({"m0"}, {"m1", "m2"})  # it has its own store alone
            await trial.start("m0")
            await taken_over("m0.2.log")

    play(scene)


def test_a_coordinator_started_with_its_register_down_serves_from_its_store() -> None:
    async def scene(folder: Path) -> None:
        operator, listen = folder / "operator.toml", address_of_a_free_port()
        operator.write_text(
            f'[odata]\nlisten = "127.0.0.1:0"\n'
            f'[fleet]\ncluster = "c"\nmember = "n0"\nlisten = "127.0.0.1:0"\n'
            f'[fleet.ledger]\nlisten = "{listen}"\nstore = "{folder}/store"\n'
            f'holders = {{ n0 = "{listen}" }}\n'
        )
        async with engine() as stand_in:
            for told in (config(stand_in.address), config()):  # the second start hears of no engine
                async with program(told, "--operator", str(operator), fronts=4) as node:
                    client = await node.client()
                    with trio.fail_after(10.0):
                        while (await client.answer(await client.send_request()))[0] is not None:
                            await trio.sleep(0.1)
                    if told["known"]["cmds"][0]["nodes"]["servers"]:
                        await trio.sleep(0.5)  # until it is on disk
                    node.process.kill()
            assert stand_in.calls["POST"] >= 2
            assert any("engines.restored" in line for line in node.log)

    play(scene)
