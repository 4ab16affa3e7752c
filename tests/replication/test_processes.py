"""Tests of replication among real processes: SIGKILL, partitions, a lost store. Each history is checked."""

from __future__ import annotations

import shutil
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
from fordstair.store.errors import StoreError
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile
from tests.scenes import run_with_timeout, until
from tests.standins import config, engine, program


def run_scenario(scenario: Callable[[Path], Awaitable[None]]) -> None:
    """Run a scenario in a temporary folder, for at most 110 s."""

    async def run_in_folder() -> None:
        with tempfile.TemporaryDirectory(prefix="led") as folder:
            await scenario(Path(folder))

    run_with_timeout(run_in_folder, 110.0)


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def store_mentions(path: Path, text: str) -> bool:
    """Return whether a record of a store that a program has open holds the text, read from a copy."""
    with tempfile.TemporaryDirectory() as folder:
        for part in path.parent.glob(f"{path.name}*"):
            shutil.copy(part, folder)
        file = RecordFile(str(Path(folder) / path.name))
        try:
            file.open()
            records = file.read(0.0)
            return any(isinstance(each, Record) and text.encode() in (each.value or b"") for each in records)
        except StoreError:  # The copy was made in the middle of a write.
            return False
        finally:
            file.close()


async def assert_history_is_valid(trial: ReplicationTrial, ids: list[str]) -> None:
    """Assert that the history has no violation, that a load has run, and that an outcome is replicated."""
    outcomes = await trial.settle_and_stop(ids)
    assert find_violations(trial.operations, trial.run_counts, outcomes) == []
    # How many loads run is not guaranteed, since the result of a lost load stays unknown.
    assert any(trial.run_counts[id] for id in ids)
    assert any(len(copies) > 1 for copies in outcomes.values())


def test_a_load_sent_through_all_members_at_once_runs_once_and_all_return_its_answer() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=11) as trial:
            ids = [trial.new_load_id() for _ in range(20)]
            async with trio.open_nursery() as nursery:
                for id in ids:
                    for name in trial.names:
                        nursery.start_soon(trial.send_load, name, id)
            await assert_history_is_valid(trial, ids)
            after_faults = [operation for operation in trial.operations if operation.after_faults]
            assert len(after_faults) == 60
            assert all(operation.result == "ok" for operation in after_faults)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", [21, 22])
def test_members_killed_at_random_times_run_no_load_twice_and_lose_no_claim(seed: int) -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=seed) as trial:
            await assert_history_is_valid(trial, await kill_members(trial, 8))

    run_scenario(scenario)


def test_partitions_with_the_same_ids_on_both_sides_run_no_load_twice() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, member_count=5, seed=31) as trial:
            await assert_history_is_valid(trial, await partition_members(trial, 6))

    run_scenario(scenario)


def test_a_member_that_lost_its_store_grants_nothing_until_all_others_have_responded() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=41) as trial:
            ids = [trial.new_load_id() for _ in range(10)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.kill("m1")
            for path in folder.glob("m1.ledger*"):
                path.unlink()
            trial.relay.partition({"m1"}, {"m2"})
            await trial.start("m1")
            # With m2 alone, m1 would form a majority that lacks the grants of m0.
            trial.relay.partition({"m0"}, {"m1", "m2"})
            new_ids = [trial.new_load_id() for _ in range(3)]
            trial.relay.heal()
            trial.relay.partition({"m0"}, {"m1", "m2"})
            for id in new_ids:
                assert await trial.send_load("m1", id) != "ok"
            trial.relay.heal()
            await trial.wait_until_granting()
            await assert_history_is_valid(trial, ids + new_ids)

    run_scenario(scenario)


def test_a_restarted_member_catches_up_on_missed_claims() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=51) as trial:
            trial.kill("m2")
            ids = [trial.new_load_id() for _ in range(60)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            # After the timeout, the other members no longer send the outcomes on their own.
            await trio.sleep(SETTLE_TIMEOUT_S + 0.5)
            await trial.start("m2")
            with trio.fail_after(20.0):
                while not any("ledger.caught_up" in path.read_text() for path in folder.glob("m2.*.log")):
                    await trio.sleep(0.1)
            await assert_history_is_valid(trial, ids)

    run_scenario(scenario)


def test_a_member_whose_disk_is_full_grants_nothing_and_the_others_continue() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=71) as trial:
            ids = [trial.new_load_id() for _ in range(5)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.fill_disk("m1")
            # Loads are sent until a write fails on the full disk.
            with trio.fail_after(20.0):
                while "store.cannot_write" not in (folder / "m1.1.log").read_text():
                    ids.append(trial.new_load_id())
                    # The two members that can write are a quorum.
                    assert await trial.send_load("m1", ids[-1]) == "ok"
            for name in trial.names:
                ids.append(trial.new_load_id())
                assert await trial.send_load(name, ids[-1]) == "ok"
            trial.fill_disk("m2")
            ungranted_ids = list[str]()
            with trio.fail_after(20.0):
                while "store.cannot_write" not in (folder / "m2.1.log").read_text():
                    ungranted_ids.append(trial.new_load_id())
                    await trial.send_load("m0", ungranted_ids[-1])
            before = trial.run_counts.total()
            # One of three members is no majority.
            for name in trial.names:
                ungranted_ids.append(trial.new_load_id())
                assert await trial.send_load(name, ungranted_ids[-1]) != "ok"
            assert trial.run_counts.total() == before
            trial.clear_disk("m1")
            trial.clear_disk("m2")
            for name in ("m1", "m2"):
                await trial.wait_for_log(name, "store.writes_again")
            for name in trial.names:
                ids.append(trial.new_load_id())
                assert await trial.send_load(name, ids[-1]) == "ok"
            await assert_history_is_valid(trial, ids + ungranted_ids)

    run_scenario(scenario)


def test_a_member_with_a_flipped_bit_grants_nothing_until_all_others_have_responded() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=81) as trial:
            ids = [trial.new_load_id() for _ in range(10)]
            for id in ids:
                assert await trial.send_load("m0", id) == "ok"
            trial.kill("m2")
            trial.flip_bit("m2", ids[4])
            # m1 alone may not know all grants that m2 has lost.
            trial.relay.partition({"m0"}, {"m1", "m2"})
            await trial.start("m2")
            # The member logs its fronts before it has read its store; "ledger.loaded" is logged afterwards.
            assert "store.record_corrupted" in await trial.wait_for_log("m2", "ledger.loaded")
            new_id = trial.new_load_id()
            assert await trial.send_load("m2", new_id) != "ok"
            assert await trial.send_load("m1", ids[4]) != "fail"
            trial.relay.heal()
            await trial.wait_for_log("m2", "ledger.recovered")
            await assert_history_is_valid(trial, [*ids, new_id])

    run_scenario(scenario)


def test_a_member_without_a_store_or_a_registry_uses_the_engines_that_others_know() -> None:
    async def scenario(folder: Path) -> None:
        listens = [free_address() for _ in range(2)]
        holders = ", ".join(f'n{number} = "{listen}"' for number, listen in enumerate(listens))
        files = [folder / f"n{number}.toml" for number in range(2)]
        for number, file in enumerate(files):
            file.write_text(
                f'[odata]\nlisten = "127.0.0.1:0"\n[fleet]\ncluster = "c"\nmember = "n{number}"\n'
                f'listen = "127.0.0.1:0"\n[fleet.ledger]\nlisten = "{listens[number]}"\n'
                f'store = "{folder}/store{number}"\nexchange_ms = 300\nholders = {{ {holders} }}\n'
            )
        async with (
            engine() as fake_engine,
            program(config(), "--operator", str(files[1]), fronts=4) as member,
        ):
            client = await member.client()
            # The member does not know any engine yet.
            assert (await client.answer(await client.send_request()))[0] is not None
            async with program(config(fake_engine.address), "--operator", str(files[0]), fronts=4):
                with trio.fail_after(15.0):
                    while (await client.answer(await client.send_request()))[0] is not None:
                        await trio.sleep(0.1)
            assert fake_engine.calls["POST"] == 1
            assert any("engines.restored" in line for line in member.log)

    run_scenario(scenario)


def test_a_member_behind_by_twenty_thousand_loads_catches_up_under_traffic() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=91, more_settings="kilobytes_per_s = 20000") as trial:
            for name in trial.names:
                trial.kill(name)
            for name in ("m0", "m1"):
                trial.preload(name, 20_000)
            for name in trial.names:
                await trial.start(name)
            ids, latencies_s = list[str](), list[float]()
            async with trio.open_nursery() as nursery:

                async def send_loads() -> None:
                    while True:
                        ids.append(trial.new_load_id())
                        started_s = trio.current_time()
                        assert await trial.send_load(trial.names[len(ids) % 3], ids[-1]) == "ok"
                        latencies_s.append(trio.current_time() - started_s)

                nursery.start_soon(send_loads)
                with trio.fail_after(40.0):
                    await trial.wait_until_caught_up("m2", 20_000)
                nursery.cancel_scope.cancel()
            assert latencies_s
            assert max(latencies_s) < 2.0
            await assert_history_is_valid(trial, ids[:-1])
            assert len(stored_entries(folder / "m2.ledger")) >= 20_000

    run_scenario(scenario)


def test_costs_learned_by_one_member_are_restored_at_the_others_and_after_its_restart() -> None:
    async def scenario(folder: Path) -> None:
        async with running_trial(folder, seed=61) as trial:
            for _ in range(12):
                assert await trial.send_load("m0", trial.new_load_id()) == "ok"

            async def wait_restored(*logs: str) -> None:
                with trio.fail_after(25.0):
                    while not all("costs.restored" in (folder / log).read_text() for log in logs):
                        await trio.sleep(0.1)

            await wait_restored("m1.1.log", "m2.1.log")
            trial.kill("m0")
            # The restarted member has only its own store.
            trial.relay.partition({"m0"}, {"m1", "m2"})
            await trial.start("m0")
            await wait_restored("m0.2.log")

    run_scenario(scenario)


def test_a_coordinator_started_without_its_registry_serves_from_its_store() -> None:
    async def scenario(folder: Path) -> None:
        operator, listen = folder / "operator.toml", free_address()
        operator.write_text(
            f'[odata]\nlisten = "127.0.0.1:0"\n'
            f'[fleet]\ncluster = "c"\nmember = "n0"\nlisten = "127.0.0.1:0"\n'
            f'[fleet.ledger]\nlisten = "{listen}"\nstore = "{folder}/store"\n'
            f'holders = {{ n0 = "{listen}" }}\n'
        )
        async with engine() as fake_engine:
            # No engine is listed at the second start.
            for configuration in (config(fake_engine.address), config()):
                async with program(configuration, "--operator", str(operator), fronts=4) as node:
                    client = await node.client()
                    with trio.fail_after(10.0):
                        while (await client.answer(await client.send_request()))[0] is not None:
                            await trio.sleep(0.1)
                    if configuration["known"]["cmds"][0]["nodes"]["servers"]:
                        await until(lambda: store_mentions(folder / "store", fake_engine.address), 30.0)
                    node.process.kill()
            assert fake_engine.calls["POST"] >= 2
            assert any("engines.restored" in line for line in node.log)

    run_scenario(scenario)
