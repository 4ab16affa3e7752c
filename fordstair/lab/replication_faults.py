"""Faults between the members of a replication trial, injected at random times while loads are in flight."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from fordstair.lab.relay import Faults
from fordstair.lab.replication_trial import ReplicationTrial

SECOND_VICTIM_PROBABILITY = 0.2
NETWORK_FAULTS_PROBABILITY = 0.5
MAX_LOAD_DELAY_S = 0.01
MAX_KILL_DELAY_S = 0.06
MAX_PARTITION_DELAY_S = 0.01
MAX_PARTITION_LOAD_DELAY_S = 0.03
LOADS_PER_PARTITION = 3


async def kill_members(trial: ReplicationTrial, kills: int) -> list[str]:
    """Kill members at random times while several process the same load; return the IDs of the loads."""
    load_ids = list[str]()
    rng = trial.random
    for _ in range(kills):
        load_id = trial.new_load_id()
        load_ids.append(load_id)
        victims = rng.sample(trial.names, 2 if rng.random() < SECOND_VICTIM_PROBABILITY else 1)
        trial.relay.heal()
        if rng.random() < NETWORK_FAULTS_PROBABILITY:
            _set_network_faults(trial)
        async with trio.open_nursery() as nursery:
            for name in rng.sample(trial.names, rng.randint(1, len(trial.names))):
                nursery.start_soon(
                    _call_after, rng.random() * MAX_LOAD_DELAY_S, trial.send_load, name, load_id
                )
            await trio.sleep(rng.random() * MAX_KILL_DELAY_S)
            for victim in victims:
                trial.kill(victim)
        async with trio.open_nursery() as nursery:
            for victim in victims:
                nursery.start_soon(trial.start, victim)
            for name in set(trial.names) - set(victims):
                nursery.start_soon(trial.send_load, name, load_id)
    trial.relay.heal()
    return load_ids


async def partition_members(trial: ReplicationTrial, partitions: int) -> list[str]:
    """Partition the members repeatedly, with the same loads sent on both sides; return the loads' IDs."""
    load_ids = list[str]()
    rng = trial.random
    for _ in range(partitions):
        side = set(rng.sample(trial.names, rng.randint(1, len(trial.names) - 1)))
        partition_loads = [trial.new_load_id() for _ in range(LOADS_PER_PARTITION)]
        load_ids += partition_loads
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_after, rng.random() * MAX_PARTITION_DELAY_S, _partition, trial, side)
            for load_id in partition_loads:
                for name in trial.names:
                    delay_s = rng.random() * MAX_PARTITION_LOAD_DELAY_S
                    nursery.start_soon(_call_after, delay_s, trial.send_load, name, load_id)
        trial.relay.heal()
        async with trio.open_nursery() as nursery:
            for load_id in partition_loads:
                nursery.start_soon(trial.send_load, rng.choice(trial.names), load_id)
    return load_ids


def _set_network_faults(trial: ReplicationTrial) -> None:
    """Delay, drop, duplicate and reorder datagrams, and reset connections."""
    faults = Faults(
        drop=0.1,
        delay_ms=20.0 * trial.random.random(),
        jitter_ms=20.0,
        duplicate=0.1,
        reorder=0.1,
        reset=0.05,
    )
    trial.relay.set_faults("*", "*", faults)


async def _partition(trial: ReplicationTrial, side: set[str]) -> None:
    trial.relay.partition(side, set(trial.names) - side)


async def _call_after(delay_s: float, function: Callable[..., Awaitable[object]], *args: object) -> None:
    await trio.sleep(delay_s)
    await function(*args)
