"""Membership among several running programs, with faults injected by the relay and by signals."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio
import ujson

from fordstair.lab.coordinator_process import query_console
from fordstair.lab.relay import Faults, Relay
from fordstair.membership.messages import MemberState, TablePart, Update, encode
from tests.scenes import run_with_timeout
from tests.standins import ROOT, Program, config, program

# The times are short so that a death shows within seconds; the assertions are in periods and suspicions.
PROBE_MS, SUSPICION = 300.0, 8.0


class FleetProcesses:
    """The running programs by name, each behind its own address of the relay."""

    def __init__(self, relay: Relay, folder: Path, nursery: trio.Nursery, suspicion: float) -> None:
        self.relay, self.folder, self.nursery, self.suspicion = relay, folder, nursery, suspicion
        self.addresses: dict[str, str] = {}
        self.nodes: dict[str, Program] = {}
        self.replaced: list[Program] = []

    async def start(self, name: str) -> None:
        """Start a member, or restart it if it has run before."""
        if name in self.nodes:
            self.replaced.append(self.nodes[name])
        seeds = [address for other, address in self.addresses.items() if other != name][:2]
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[fleet]\ncluster = "gardens"\nmember = "{name}"\nlisten = "127.0.0.1:0"\n'
            f'advertise = "{self.addresses[name]}"\n'
            f"seeds = {ujson.dumps(seeds, escape_forward_slashes=False)}\n"
            f"probe_ms = {PROBE_MS}\ntimeout_ms = 120.0\nsuspicion = {self.suspicion}\nsuspicion_most = 2.0\n"
            f'sync_ms = 2000.0\n[console]\nsocket = "{self.folder / name}.sock"\n'
        )
        self.nodes[name] = node = await self.nursery.start(self._run, path)
        self.relay.set_address(name, f"127.0.0.1:{node.ports['fleet']}")

    async def _run(self, path: Path, task_status: trio.TaskStatus[Program]) -> None:
        async with program(config(), "--operator", str(path), fronts=2) as node:
            task_status.started(node)
            await trio.sleep_forever()

    async def ask(self, name: str, command: str) -> Any:
        """Run a command on the console of a member; return its answer."""
        return await query_console(self.folder / f"{name}.sock", command)

    async def view(self, name: str) -> dict[str, dict[str, Any]]:
        """Return the member table of one member by name, including itself."""
        return {row["name"]: row for row in await self.ask(name, "members")}

    async def states(self, *names: str) -> list[dict[str, str]]:
        """Return the states of all members as seen by each of the named members, or by all."""
        views = [await self.view(name) for name in names or self.nodes]
        return [{other: row["state"] for other, row in view.items()} for view in views]

    async def see_states(self, *names: str, **states: str) -> bool:
        """Return whether the named members, or all, see everyone alive except for the given states."""
        expected = dict.fromkeys(self.nodes, "alive") | states
        return all(view == expected for view in await self.states(*names))

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], within_s: float) -> None:
        """Wait until a condition holds; on a timeout, fail with the states that the members see."""
        with trio.move_on_after(within_s):
            while not await condition():
                await trio.sleep(0.1)
            return
        raise AssertionError(
            {
                name: await self.states(name)
                for name in self.nodes
                if self.nodes[name].process.returncode is None
            }
        )

    def reported(self, state: str) -> set[tuple[str, str]]:
        """Return each pair of observer and member for which the observer has logged that state."""
        found = set()
        for name, node in self.nodes.items():
            for line in node.log:
                if "fleet.member_changed" in line and f" state={state} " in line:
                    found.add((name, line.split(" name=")[1].split(" ")[0]))
        return found

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one member's process."""
        self.nodes[name].process.send_signal(number)


@asynccontextmanager
async def fleet(count: int = 5, suspicion: float = SUSPICION) -> AsyncIterator[FleetProcesses]:
    """Run ``count`` programs that all know each other."""
    with tempfile.TemporaryDirectory(prefix="fleet") as folder:
        async with trio.open_nursery() as nursery:
            members = FleetProcesses(Relay(nursery), Path(folder), nursery, suspicion)
            for number in range(count):
                members.addresses[f"m{number}"] = await members.relay.open_udp_front(f"m{number}")
            try:
                async with trio.open_nursery() as starts:
                    for name in members.addresses:
                        starts.start_soon(members.start, name)
                await members.wait_until(members.see_states, 20.0)
                yield members
            finally:
                for node in (*members.nodes.values(), *members.replaced):
                    with contextlib.suppress(ProcessLookupError):
                        node.process.send_signal(signal.SIGCONT)
                        node.process.kill()
                nursery.cancel_scope.cancel()


def test_a_killed_member_is_dead_for_all_and_rejoins_with_a_greater_incarnation() -> None:
    async def scene() -> None:
        async with fleet() as members:
            before = (await members.view("m1"))["m4"]["incarnation"]
            members.signal("m4", signal.SIGKILL)
            rest = ("m0", "m1", "m2", "m3")
            await members.wait_until(lambda: members.see_states(*rest, m4="dead"), 25.0)
            assert {name for _, name in members.reported("dead")} == {"m4"}
            await members.start("m4")
            await members.wait_until(members.see_states, 15.0)
            assert (await members.view("m1"))["m4"]["incarnation"] > before

    run_with_timeout(scene, 110.0)


@pytest.mark.parametrize(("pause_s", "dies"), [(2.0, False), (10.0, False), (60.0, True)])
def test_a_paused_member_dies_only_after_its_suspicion_and_refutes_on_return(
    pause_s: float, dies: bool
) -> None:
    async def scene() -> None:
        # The shortest suspicion lasts 15 s: a member survives a pause of 10 s but not one of 60 s.
        async with fleet(suspicion=50.0) as members:
            members.signal("m2", signal.SIGSTOP)
            await trio.sleep(pause_s)
            assert {name for _, name in members.reported("dead")} == ({"m2"} if dies else set())
            members.signal("m2", signal.SIGCONT)
            await members.wait_until(members.see_states, 20.0)
            counts = await members.ask("m2", "counters")
            assert counts["fleet.stalls"] >= 1
            assert counts["fleet.refutations"] >= 1 or pause_s < 5.0
            assert {name for _, name in members.reported("dead")} == ({"m2"} if dies else set())

    run_with_timeout(scene, 110.0)


@pytest.mark.parametrize("drop", [0.1, 0.3, 0.5])
def test_all_members_are_alive_again_after_datagram_loss(drop: float) -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults("*", "*", Faults(drop=drop))
            await trio.sleep(15.0)  # Each member sends 50 probes.
            if drop <= 0.1:
                assert not members.reported("dead")
            assert members.relay.counts["dropped"] > 50
            members.relay.heal()
            await members.wait_until(members.see_states, 20.0)

    run_with_timeout(scene, 110.0)


def test_delayed_duplicated_and_reordered_datagrams_cause_no_death() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults(
                "*", "*", Faults(delay_ms=10.0, jitter_ms=30.0, duplicate=0.3, reorder=0.3)
            )
            await trio.sleep(10.0)
            await members.wait_until(members.see_states, 10.0)
            assert not members.reported("dead")

    run_with_timeout(scene, 110.0)


def test_a_one_way_cut_between_two_members_is_detected_and_causes_no_death() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.cut("m0", "m1")

            async def found() -> bool:
                zero, one = await members.view("m0"), await members.view("m1")
                return bool(zero["m1"]["cut_off"] and one["m0"]["cut_off"])

            await members.wait_until(found, 40.0)
            assert not members.reported("dead")
            for name in ("m2", "m3", "m4"):
                assert not any(row["cut_off"] for row in (await members.view(name)).values())
            members.relay.heal()

            async def healed() -> bool:
                return await members.see_states() and not await found()

            await members.wait_until(healed, 20.0)

    run_with_timeout(scene, 110.0)


def test_a_member_whose_datagrams_are_lost_is_dead_for_all_and_causes_no_other_death() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults("m3", "*", Faults(cut=True))
            rest = ("m0", "m1", "m2", "m4")
            await members.wait_until(lambda: members.see_states(*rest, m3="dead"), 30.0)
            # It receives the suspicion and refutes it, but nobody receives the refutation.
            assert (await members.ask("m3", "counters"))["fleet.refutations"] >= 1
            assert {name for observer, name in members.reported("dead") if observer != "m3"} == {"m3"}
            members.relay.heal()
            await members.wait_until(members.see_states, 20.0)

    run_with_timeout(scene, 110.0)


def test_two_partitions_see_each_other_dead_and_agree_again_after_healing() -> None:
    async def scene() -> None:
        async with fleet(6) as members:
            one, other = {"m0", "m1", "m2"}, {"m3", "m4", "m5"}
            members.relay.partition(one, other)
            await members.wait_until(lambda: members.see_states(*one, m3="dead", m4="dead", m5="dead"), 30.0)
            await members.wait_until(
                lambda: members.see_states(*other, m0="dead", m1="dead", m2="dead"), 30.0
            )
            members.relay.heal()
            await members.wait_until(members.see_states, 2.0 * 2.0 + 5.0 * PROBE_MS / 1000.0 + 2.0)

    run_with_timeout(scene, 110.0)


def test_a_slow_member_causes_no_death_of_a_healthy_one() -> None:
    async def scene() -> None:
        async with fleet() as members:
            for _ in range(12):  # The member is paused two thirds of the time.
                members.signal("m0", signal.SIGSTOP)
                await trio.sleep(0.8)
                members.signal("m0", signal.SIGCONT)
                await trio.sleep(0.4)
            assert {name for _, name in members.reported("dead")} <= {"m0"}
            await members.wait_until(members.see_states, 20.0)
            assert (await members.ask("m0", "counters"))["fleet.stalls"] >= 3

    run_with_timeout(scene, 110.0)


def test_a_member_stopped_by_sigterm_has_left() -> None:
    async def scene() -> None:
        async with fleet(4) as members:
            assert await members.nodes["m1"].stop() == 0
            await members.wait_until(lambda: members.see_states("m0", "m2", "m3", m1="left"), 10.0)
            assert not members.reported("dead")

    run_with_timeout(scene, 110.0)


def test_malformed_and_foreign_datagrams_are_counted_and_dropped() -> None:
    async def scene() -> None:
        async with fleet(3) as members:
            port = members.nodes["m0"].ports["fleet"]
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
                foreign = TablePart(
                    "others", "x", (Update("x", "127.0.0.1:1", 1, MemberState.ALIVE, "x"),), True
                )
                for datagram in (b"", b"\xc1", b"x" * 3_000, encode(foreign), encode(foreign)[:-3]):
                    await sock.sendto(datagram, ("127.0.0.1", port))

            async def counted() -> bool:
                counts = await members.ask("m0", "counters")
                return (counts.get("fleet.malformed"), counts.get("fleet.foreign")) == (4, 1)

            await members.wait_until(counted, 10.0)
            assert await members.see_states()

    run_with_timeout(scene, 110.0)


def test_without_a_fleet_configuration_no_membership_code_is_loaded_and_no_udp_port_is_open() -> None:
    code = (
        "import sys, fordstair.entry_point as m; m.read_configuration; "
        "sys.exit(any(n.startswith(('fordstair.membership', 'odata_query')) for n in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0

    async def scene() -> None:
        async with program(config()) as node:
            assert set(node.ports) == {"listens"}
            inodes = {line.split()[9] for line in Path("/proc/net/udp").read_text().splitlines()[1:]}
            held = {str(link.readlink()) for link in Path(f"/proc/{node.process.pid}/fd").iterdir()}
            assert not held & {f"socket:[{inode}]" for inode in inodes}

    run_with_timeout(scene, 110.0)
