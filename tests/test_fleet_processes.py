"""Membership among several running programs; the project's relay and signals put faults between them."""

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

# Times are short so that a death shows within seconds; what is asserted is in periods and suspicions.
PROBE_MS, SUSPICION = 300.0, 8.0


class Members:
    """Running programs by name, each behind its front of the relay."""

    def __init__(self, relay: Relay, folder: Path, nursery: trio.Nursery, suspicion: float) -> None:
        self.relay, self.folder, self.nursery, self.suspicion = relay, folder, nursery, suspicion
        self.fronts: dict[str, str] = {}
        self.nodes: dict[str, Program] = {}
        self.former: list[Program] = []

    async def start(self, name: str) -> None:
        """Start a member, or start one of this name anew."""
        if name in self.nodes:
            self.former.append(self.nodes[name])
        seeds = [front for other, front in self.fronts.items() if other != name][:2]
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[fleet]\ncluster = "gardens"\nmember = "{name}"\nlisten = "127.0.0.1:0"\n'
            f'advertise = "{self.fronts[name]}"\nseeds = {ujson.dumps(seeds, escape_forward_slashes=False)}\n'
            f"probe_ms = {PROBE_MS}\ntimeout_ms = 120.0\nsuspicion = {self.suspicion}\nsuspicion_most = 2.0\n"
            f'sync_ms = 2000.0\n[console]\nsocket = "{self.folder / name}.sock"\n'
        )
        self.nodes[name] = node = await self.nursery.start(self._hold, path)
        self.relay.set_address(name, f"127.0.0.1:{node.ports['fleet']}")

    async def _hold(self, path: Path, task_status: trio.TaskStatus[Program]) -> None:
        async with program(config(), "--operator", str(path), fronts=2) as node:
            task_status.started(node)
            await trio.sleep_forever()

    async def ask(self, name: str, command: str) -> Any:
        """Return a table of one member's console."""
        return await query_console(self.folder / f"{name}.sock", command)

    async def view(self, name: str) -> dict[str, dict[str, Any]]:
        """Return what one member believes of all, itself among them."""
        return {row["name"]: row for row in await self.ask(name, "members")}

    async def states(self, *names: str) -> list[dict[str, str]]:
        """Return the states that these members, or all, hold the others in."""
        views = [await self.view(name) for name in names or self.nodes]
        return [{other: row["state"] for other, row in view.items()} for view in views]

    async def agree(self, *names: str, **states: str) -> bool:
        """Whether these members, or all, hold everybody for alive, but those whose state is named."""
        wanted = dict.fromkeys(self.nodes, "alive") | states
        return all(view == wanted for view in await self.states(*names))

    async def until(self, holds: Callable[[], Awaitable[bool]], within_s: float) -> None:
        """Wait until something holds; fail with what the members believe."""
        with trio.move_on_after(within_s):
            while not await holds():
                await trio.sleep(0.1)
            return
        raise AssertionError(
            {
                name: await self.states(name)
                for name in self.nodes
                if self.nodes[name].process.returncode is None
            }
        )

    def told(self, state: str) -> set[tuple[str, str]]:
        """Return who has ever told of a member in that state: observer and member."""
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
async def fleet(count: int = 5, suspicion: float = SUSPICION) -> AsyncIterator[Members]:
    """That many programs that all know each other."""
    with tempfile.TemporaryDirectory(prefix="fleet") as folder:
        async with trio.open_nursery() as nursery:
            members = Members(Relay(nursery), Path(folder), nursery, suspicion)
            for number in range(count):
                members.fronts[f"m{number}"] = await members.relay.open_udp_front(f"m{number}")
            try:
                async with trio.open_nursery() as starts:
                    for name in members.fronts:
                        starts.start_soon(members.start, name)
                await members.until(members.agree, 20.0)
                yield members
            finally:
                for node in (*members.nodes.values(), *members.former):
                    with contextlib.suppress(ProcessLookupError):
                        node.process.send_signal(signal.SIGCONT)
                        node.process.kill()
                nursery.cancel_scope.cancel()


def test_a_member_killed_is_dead_for_all_and_comes_back_with_a_greater_incarnation() -> None:
    async def scene() -> None:
        async with fleet() as members:
            before = (await members.view("m1"))["m4"]["incarnation"]
            members.signal("m4", signal.SIGKILL)
            rest = ("m0", "m1", "m2", "m3")
            await members.until(lambda: members.agree(*rest, m4="dead"), 25.0)
            assert {name for _, name in members.told("dead")} == {"m4"}
            await members.start("m4")
            await members.until(members.agree, 15.0)
            assert (await members.view("m1"))["m4"]["incarnation"] > before

    run_with_timeout(scene, 110.0)


@pytest.mark.parametrize(("pause_s", "dies"), [(2.0, False), (10.0, False), (60.0, True)])
def test_a_paused_member_dies_only_after_its_suspicion_and_refutes_on_return(
    pause_s: float, dies: bool
) -> None:
    async def scene() -> None:
        # the shortest suspicion is 15 s: a pause of 10 s is borne, one of 60 s is not
        async with fleet(suspicion=50.0) as members:
            members.signal("m2", signal.SIGSTOP)
            await trio.sleep(pause_s)
            assert {name for _, name in members.told("dead")} == ({"m2"} if dies else set())
            members.signal("m2", signal.SIGCONT)
            await members.until(members.agree, 20.0)
            counts = await members.ask("m2", "counters")
            assert counts["fleet.stalls"] >= 1
            assert counts["fleet.refutations"] >= 1 or pause_s < 5.0
            assert {name for _, name in members.told("dead")} == ({"m2"} if dies else set())

    run_with_timeout(scene, 110.0)


@pytest.mark.parametrize("drop", [0.1, 0.3, 0.5])
def test_lost_datagrams_cost_no_member_for_good(drop: float) -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults("*", "*", Faults(drop=drop))
            await trio.sleep(15.0)  # 50 probes of each
            if drop <= 0.1:
                assert not members.told("dead")
            assert members.relay.counts["dropped"] > 50
            members.relay.heal()
            await members.until(members.agree, 20.0)

    run_with_timeout(scene, 110.0)


def test_late_doubled_and_overtaken_datagrams_cost_nothing() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults(
                "*", "*", Faults(delay_ms=10.0, jitter_ms=30.0, duplicate=0.3, reorder=0.3)
            )
            await trio.sleep(10.0)
            await members.until(members.agree, 10.0)
            assert not members.told("dead")

    run_with_timeout(scene, 110.0)


def test_a_way_cut_on_one_side_costs_nobody_and_is_found() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.cut("m0", "m1")

            async def found() -> bool:
                zero, one = await members.view("m0"), await members.view("m1")
                return bool(zero["m1"]["cut_off"] and one["m0"]["cut_off"])

            await members.until(found, 40.0)
            assert not members.told("dead")
            for name in ("m2", "m3", "m4"):
                assert not any(row["cut_off"] for row in (await members.view(name)).values())
            members.relay.heal()

            async def mended() -> bool:
                return await members.agree() and not await found()

            await members.until(mended, 20.0)

    run_with_timeout(scene, 110.0)


def test_a_member_that_nobody_hears_is_found_out_and_accuses_nobody() -> None:
    async def scene() -> None:
        async with fleet() as members:
            members.relay.set_faults("m3", "*", Faults(cut=True))
            rest = ("m0", "m1", "m2", "m4")
            await members.until(lambda: members.agree(*rest, m3="dead"), 30.0)
            assert (await members.ask("m3", "counters"))["fleet.refutations"] >= 1  # heard, and said in vain
            assert {name for observer, name in members.told("dead") if observer != "m3"} == {"m3"}
            members.relay.heal()
            await members.until(members.agree, 20.0)

    run_with_timeout(scene, 110.0)


def test_two_halves_hold_each_other_for_dead_and_become_one_view_again() -> None:
    async def scene() -> None:
        async with fleet(6) as members:
            one, other = {"m0", "m1", "m2"}, {"m3", "m4", "m5"}
            members.relay.partition(one, other)
            await members.until(lambda: members.agree(*one, m3="dead", m4="dead", m5="dead"), 30.0)
            await members.until(lambda: members.agree(*other, m0="dead", m1="dead", m2="dead"), 30.0)
            members.relay.heal()
            await members.until(members.agree, 2.0 * 2.0 + 5.0 * PROBE_MS / 1000.0 + 2.0)

    run_with_timeout(scene, 110.0)


def test_a_slow_member_accuses_no_healthy_one_to_death() -> None:
    async def scene() -> None:
        async with fleet() as members:
            for _ in range(12):  # its processor is given to others two thirds of the time
                members.signal("m0", signal.SIGSTOP)
                await trio.sleep(0.8)
                members.signal("m0", signal.SIGCONT)
                await trio.sleep(0.4)
            assert {name for _, name in members.told("dead")} <= {"m0"}
            await members.until(members.agree, 20.0)
            assert (await members.ask("m0", "counters"))["fleet.stalls"] >= 3

    run_with_timeout(scene, 110.0)


def test_a_member_that_ends_on_sigterm_has_left() -> None:
    async def scene() -> None:
        async with fleet(4) as members:
            assert await members.nodes["m1"].stop() == 0
            await members.until(lambda: members.agree("m0", "m2", "m3", m1="left"), 10.0)
            assert not members.told("dead")

    run_with_timeout(scene, 110.0)


def test_noise_and_strangers_are_counted_and_dropped() -> None:
    async def scene() -> None:
        async with fleet(3) as members:
            port = members.nodes["m0"].ports["fleet"]
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
                stranger = TablePart(
                    "others", "x", (Update("x", "127.0.0.1:1", 1, MemberState.ALIVE, "x"),), True
                )
                for datagram in (b"", b"\xc1", b"x" * 3_000, encode(stranger), encode(stranger)[:-3]):
                    await sock.sendto(datagram, ("127.0.0.1", port))

            async def counted() -> bool:
                counts = await members.ask("m0", "counters")
                return (counts.get("fleet.malformed"), counts.get("fleet.foreign")) == (4, 1)

            await members.until(counted, 10.0)
            assert await members.agree()

    run_with_timeout(scene, 110.0)


def test_nothing_of_it_is_loaded_or_listens_as_the_platform_starts_the_program() -> None:
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
