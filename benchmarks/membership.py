"""Measures membership in virtual time: detection, false deaths and cost, against plain heartbeats.

    .venv/bin/python -m benchmarks.membership [--quick]

Heartbeats go from each member to all others at the message load that SWIM had at the same fleet size. A seed
determines the whole run.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.command import run as run_command
from fordstair.lab.membership_fleet import HeartbeatMember, fleet_addresses, swim_fleet
from fordstair.lab.virtual_network import Network
from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.local_health import LocalHealth
from fordstair.membership.messages import MemberState
from fordstair.membership.swim import SwimMember

CONFIG = MembershipConfig("bench", "x", "x:1")
SETTLE_MS = 5_000.0
LOSSES = (0.0, 0.1, 0.3, 0.5)
MISSED_PERIODS = (3, 5)  # silent periods after which a member without heartbeats counts as dead


@dataclass(frozen=True, slots=True)
class Size:
    """The amount of simulation at one fleet size.

    Attributes:
        kills: The kills in all runs.
        together: The kills in one run; each run starts a new fleet.
        lossy_s: The duration of the run at each loss rate.
    """

    members: int
    kills: int
    together: int
    lossy_s: float


FULL = (Size(5, 100, 1, 7_200.0), Size(50, 40, 4, 600.0), Size(200, 24, 8, 150.0), Size(1_000, 10, 10, 30.0))
QUICK = (Size(5, 20, 1, 600.0), Size(50, 4, 4, 30.0))


class PlainSwimMember(SwimMember):
    """SWIM as first published: no local health, a fixed suspicion timeout, no handling of own pauses."""

    def _handle_stall(self, late_ms: float) -> None:
        pass


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the count of values in milliseconds, and their median and 99th percentile in seconds."""
    if not values:
        return {"n": 0}
    cuts = statistics.quantiles(values, n=100, method="inclusive") if len(values) > 1 else values * 99
    return {
        "n": len(values),
        "median_s": round(statistics.median(values) / 1000.0, 2),
        "p99_s": round(cuts[98] / 1000.0, 2),
    }


def detection(
    members: int,
    kills: int,
    together: int,
    start: Callable[[Network, int], list[str]],
    kill_interval_ms: float,
    seed: int,
) -> dict[str, Any]:
    """Kill members one after the other; return the times until the first and until all others detect it."""
    first_ms: list[float] = []
    all_ms: list[float] = []
    for run in range(max(1, kills // together)):
        network = Network(seed + run)
        addresses = start(network, seed + run)
        network.run(SETTLE_MS)
        killed_ms = dict[str, float]()
        for address in addresses[-together:]:
            network.kill(address)
            killed_ms[address[:-2]] = network.now
            network.run(network.now + kill_interval_ms)
        network.run(network.now + 2.0 * kill_interval_ms)
        for name, at in killed_ms.items():
            # Heartbeats know members by their addresses.
            delays = {
                seen.observer: seen.at - at
                for seen in reversed(network.observations)
                if seen.at >= at
                and seen.change.state == MemberState.DEAD
                and seen.change.name.split(":")[0] == name
                and seen.observer in network.nodes
            }
            if delays:
                first_ms.append(min(delays.values()))
            if len(delays) == members - len(killed_ms):
                all_ms.append(max(delays.values()))
    return {"first": quantiles(first_ms), "all": quantiles(all_ms)}


def false_deaths(
    members: int, seconds: float, loss: float, start: Callable[[Network, int], list[str]], seed: int
) -> tuple[float, Counter[str]]:
    """Return how often a healthy member was declared dead, per member-hour, and the sums of the counters."""
    network = Network(seed, loss=loss)
    start(network, seed)
    network.run(seconds * 1000.0)
    deaths = {
        (seen.change.name, seen.change.incarnation, int(seen.at / 60_000.0))
        for seen in network.observations
        if seen.change.state == MemberState.DEAD
    }
    counts: Counter[str] = Counter()
    for node in network.nodes.values():
        counts.update(node.counts)
    return len(deaths) / (members * seconds / 3600.0), counts


def stall_members(members: int, seconds: float, kind: type[SwimMember], seed: int) -> dict[str, Any]:
    """Stall a tenth of the members for 1.5 s of every 1.7 s, at 5 % loss; count accusations of the others."""
    network = Network(seed, loss=0.05)
    config = CONFIG if kind is SwimMember else replace(CONFIG, max_suspicion_factor=1.0)
    addresses = swim_fleet(network, members, config, seed, member_type=kind)
    if kind is PlainSwimMember:
        for node in network.nodes.values():
            assert isinstance(node, SwimMember)
            node.context.local_health = LocalHealth(max_score=0)
    stalled = addresses[: max(1, members // 10)]

    def stall(address: str) -> None:
        network.pause(address, 1_500.0)
        network.at(network.now + 1_700.0, lambda: stall(address))

    for number, address in enumerate(stalled):
        network.at(number * 130.0, lambda address=address: stall(address))  # type: ignore[misc]
    network.run(seconds * 1000.0)
    names = {address[:-2] for address in stalled}
    accused = Counter(seen.change.state for seen in network.observations if seen.change.name not in names)
    return {"healthy_suspected": accused[MemberState.SUSPECT], "healthy_dead": accused[MemberState.DEAD]}


def measure(size: Size, seed: int) -> dict[str, Any]:
    """Return the figures of one fleet size."""

    def swim(network: Network, seed: int) -> list[str]:
        return swim_fleet(network, size.members, CONFIG, seed)

    figures: dict[str, Any] = {
        "swim": detection(size.members, size.kills, size.together, swim, 25_000.0, seed)
    }
    rate, counts = false_deaths(size.members, size.lossy_s, 0.0, swim, seed)
    member_s = size.members * size.lossy_s
    load = counts["sent"] / member_s
    figures["swim"] |= {
        "messages_per_member_s": round(load, 2),
        "bytes_per_member_s": round(counts["sent_bytes"] / member_s, 1),
    }
    rates = {0.0: rate}
    for loss in LOSSES[1:]:
        rates[loss], lossy = false_deaths(size.members, size.lossy_s, loss, swim, seed)
        figures["swim"][f"messages_at_loss_{loss}"] = round(lossy["sent"] / member_s, 2)
    figures["swim"]["false_deaths_per_member_hour"] = {
        str(loss): round(rate, 3) for loss, rate in rates.items()
    }
    period_ms = (size.members - 1) / load * 1000.0
    for missed in MISSED_PERIODS:
        figures[f"heartbeats_{missed}"] = heartbeats(size, period_ms, missed, seed)
    return figures


def heartbeats(size: Size, period_ms: float, missed: int, seed: int) -> dict[str, Any]:
    """Return the figures of heartbeats; above 200 members only what can be computed from the period."""
    figures: dict[str, Any] = {"period_s": round(period_ms / 1000.0, 2)}
    if size.members > 200:  # the last heartbeat came up to one period before the death
        return figures | {
            "computed": True,
            "first": {"median_s": round((missed - 0.5) * period_ms / 1000.0, 1)},
        }

    def start(network: Network, seed: int) -> list[str]:
        addresses = fleet_addresses(size.members)
        for number, address in enumerate(addresses):
            others = [other for other in addresses if other != address]
            network.add(address, HeartbeatMember(address, others, period_ms, missed, seed * 10_007 + number))
        return addresses

    kills, together = (size.kills, size.together) if size.members <= 50 else (size.together, size.together)
    figures |= detection(size.members, kills, together, start, (missed + 2.0) * period_ms, seed)
    seconds = max(size.lossy_s, 10.0 * period_ms / 1000.0)
    figures["false_deaths_per_member_hour"] = {
        str(loss): round(false_deaths(size.members, seconds, loss, start, seed)[0], 3) for loss in LOSSES
    }
    return figures


def measure_all(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    figures: dict[str, Any] = {"probe_ms": CONFIG.probe_interval_ms, "seed": seed, "members": {}}
    for size in QUICK if quick else FULL:
        started_s = time.monotonic()
        figures["members"][size.members] = measure(size, seed)
        print(f"{size.members} members: {time.monotonic() - started_s:.0f} s", flush=True)
    seconds = 60.0 if quick else 600.0
    kinds: dict[str, type[SwimMember]] = {"lifeguard": SwimMember, "plain": PlainSwimMember}
    figures["a_tenth_stalled"] = {
        name: stall_members(50, seconds, kind, seed) for name, kind in kinds.items()
    }
    return figures


if __name__ == "__main__":
    run_command(__doc__, measure_all)
