"""Tests the membership state machine in virtual time and under arbitrary updates, and its messages."""

from __future__ import annotations

from dataclasses import replace
from typing import cast

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fordstair.lab.membership_fleet import member_states, swim_fleet
from fordstair.lab.virtual_network import START_MS, Network
from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.invariants import check_invariants
from fordstair.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    MemberState,
    Ping,
    TablePart,
    Update,
    decode,
    encode,
)
from fordstair.membership.suspicion import Suspicion
from fordstair.membership.swim import SwimMember
from fordstair.runtime.invariants import InvariantViolationError
from fordstair.runtime.message_codec import MalformedMessageError

CONFIG = MembershipConfig("gardens", "x", "x:1")
DETERMINISTIC = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def fleet(
    count: int, seed: int = 1, *, loss: float = 0.0, config: MembershipConfig = CONFIG
) -> tuple[Network, list[str]]:
    network = Network(seed, loss=loss)
    return network, swim_fleet(network, count, config, seed)


def deaths(network: Network, since: float = 0.0) -> list[tuple[str, str]]:
    return [
        (observation.observer, observation.change.name)
        for observation in network.observations
        if observation.change.state == MemberState.DEAD and observation.at >= since
    ]


def members_agree(network: Network) -> bool:
    """Return whether exactly the running members are alive to each of them, at equal incarnations."""
    swims = {name: node for name, node in network.nodes.items() if isinstance(node, SwimMember)}
    own = {name.split(":")[0]: node.local.incarnation for name, node in swims.items()}
    return all(
        {
            member.name: member.incarnation
            for member in node.members.values()
            if member.state == MemberState.ALIVE
        }
        | {node.config.name: node.local.incarnation}
        == own
        for node in swims.values()
    )


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_no_healthy_member_of_five_is_declared_dead_in_an_hour(loss: float) -> None:
    network, _ = fleet(5, loss=loss)
    network.run(3_600_000.0)
    assert not deaths(network)
    assert sum(node.counts["probes"] for node in network.nodes.values()) > 5 * 2_000


@pytest.mark.parametrize("loss", [0.3, 0.5])
def test_all_members_agree_again_after_heavy_loss(loss: float) -> None:
    network, _ = fleet(5, loss=loss)
    network.run(600_000.0)
    network.loss = 0.0
    network.run(network.now + 60_000.0)
    assert members_agree(network)


@pytest.mark.parametrize("count", [2, 5, 30])
def test_all_others_declare_a_killed_member_dead_and_no_other_member(count: int) -> None:
    network, addresses = fleet(count)
    network.run(20_000.0)
    network.kill(addresses[-1])
    network.run(80_000.0)
    assert sorted(deaths(network)) == sorted((each, addresses[-1][:-2]) for each in addresses[:-1])


@pytest.mark.parametrize(("pause_ms", "dies"), [(2_000.0, False), (10_000.0, False), (60_000.0, True)])
def test_a_paused_member_is_declared_dead_only_after_its_suspicion_and_refutes_afterwards(
    pause_ms: float, dies: bool
) -> None:
    network, addresses = fleet(5, config=replace(CONFIG, suspicion_factor=15.0))
    network.run(20_000.0)
    network.pause(addresses[2], pause_ms)
    network.run(network.now + pause_ms + 1.0)
    dead = deaths(network)
    assert {name for _, name in dead} == ({addresses[2][:-2]} if dies else set())
    resumed_ms = network.now
    network.run(resumed_ms + 25_000.0)
    assert members_agree(network)
    assert not deaths(network, resumed_ms)  # a pause must not make the paused member suspect others
    paused = network.nodes[addresses[2]]
    assert paused.counts["stalls"] >= 1
    assert paused.counts["refutations"] >= 1 or pause_ms < 5_000.0


def test_a_member_behind_a_cut_link_stays_alive_and_the_cut_is_detected() -> None:
    network, addresses = fleet(5)
    a, b = addresses[:2]
    network.run(10_000.0)
    network.cut = lambda source, to: (source, to) == (a, b)
    network.run(network.now + 120_000.0)
    assert not deaths(network)
    for one, other in ((a, b), (b, a)):  # the cut loses either the ping or its ack
        node = network.nodes[one]
        assert isinstance(node, SwimMember)
        assert node.members[other[:-2]].link_cut
        assert sum(each.link_cut for each in node.members.values()) == 1
    network.cut = lambda source, to: False
    network.run(network.now + 30_000.0)
    assert members_agree(network)
    node = network.nodes[a]
    assert isinstance(node, SwimMember)
    assert not node.members[b[:-2]].link_cut


def test_a_member_that_cannot_send_detects_its_isolation_and_the_others_declare_only_it_dead() -> None:
    network, addresses = fleet(5)
    isolated_address = addresses[3]
    network.run(10_000.0)
    network.cut = lambda source, to: source == isolated_address
    network.run(network.now + 15_000.0)
    node = network.nodes[isolated_address]
    assert isinstance(node, SwimMember)
    assert node.local_health.isolated
    network.run(network.now + 30_000.0)
    assert {name for observer, name in deaths(network) if observer != isolated_address} == {
        isolated_address[:-2]
    }
    network.cut = lambda source, to: False
    network.run(network.now + 40_000.0)
    assert members_agree(network)
    assert not node.local_health.isolated


def test_the_halves_of_a_partition_agree_again_after_it_heals() -> None:
    network, addresses = fleet(6)
    network.run(10_000.0)
    half = set(addresses[:3])
    network.cut = lambda source, to: (source in half) != (to in half)
    network.run(network.now + 60_000.0)
    for address in addresses:
        node = network.nodes[address]
        assert isinstance(node, SwimMember)
        other = {each[:-2] for each in addresses if (each in half) != (address in half)}
        assert {each.name for each in node.members.values() if each.state == MemberState.DEAD} == other
    network.cut = lambda source, to: False
    network.run(
        network.now + 2.0 * CONFIG.push_pull_interval_ms + 5.0 * CONFIG.probe_interval_ms
    )  # the documented bound
    assert members_agree(network)


def test_a_restarted_member_is_recognized_by_its_greater_incarnation() -> None:
    network, addresses = fleet(5)
    network.run(10_000.0)
    network.kill(addresses[4])
    network.run(11_000.0)
    network.add(
        addresses[4],
        SwimMember(
            replace(CONFIG, name=addresses[4][:-2], address=addresses[4], seeds=tuple(addresses[:2])), 500, 77
        ),
    )
    network.run(30_000.0)
    assert members_agree(network)
    assert not deaths(network)
    # Restarted with a smaller incarnation, as its clock is behind, it learns of the greater and exceeds it.
    network.kill(addresses[4])
    network.run(network.now + 60_000.0)
    network.add(
        addresses[4],
        SwimMember(
            replace(CONFIG, name=addresses[4][:-2], address=addresses[4], seeds=tuple(addresses[:2])), 3, 78
        ),
    )
    network.run(network.now + 30_000.0)
    node = network.nodes[addresses[4]]
    assert isinstance(node, SwimMember)
    assert node.local.incarnation > 500
    assert members_agree(network)


def test_a_slow_member_causes_no_death_of_a_healthy_one() -> None:
    """The member is short of CPU time: it repeatedly runs for a moment and then stalls for longer."""
    network, addresses = fleet(10)
    network.run(10_000.0)

    def stall() -> None:
        network.pause(addresses[0], 700.0)
        if network.now < 300_000.0:
            network.at(network.now + 900.0, stall)

    stall()
    network.run(330_000.0)
    assert {name for _, name in deaths(network)} <= {addresses[0][:-2]}
    assert network.nodes[addresses[0]].counts["stalls"] > 50


def test_a_leave_is_disseminated_and_is_not_a_death() -> None:
    network, addresses = fleet(6)
    network.run(10_000.0)
    node = network.nodes[addresses[1]]
    assert isinstance(node, SwimMember)
    node.leave(START_MS + network.now)
    network.flush(addresses[1])
    network.kill(addresses[1])
    network.run(60_000.0)
    assert not deaths(network)
    assert all(view[addresses[1][:-2]] == MemberState.LEFT for view in member_states(network).values())


def test_dead_members_are_removed_with_their_updates_and_timers() -> None:
    network, addresses = fleet(4, config=replace(CONFIG, dead_retention_ms=30_000.0))
    network.run(5_000.0)
    network.kill(addresses[3])
    network.run(90_000.0)
    for node in network.nodes.values():
        assert isinstance(node, SwimMember)
        assert addresses[3][:-2] not in node.members
        assert len(node.dissemination) == 0
        assert len(node.context.timers) < 6
        assert not len(node.probe_relay)


member_names = st.sampled_from(["a", "b", "c", "me"])
member_addresses = st.sampled_from(["h:1", "h:2"])


def updates_on(name: str) -> st.SearchStrategy[Update]:
    return st.builds(
        Update, st.just(name), member_addresses, st.integers(0, 6), st.sampled_from(MemberState), member_names
    )


any_updates = member_names.flatmap(updates_on)


def table_after(updates: list[Update]) -> dict[str, tuple[int, int]]:
    swim = SwimMember(MembershipConfig("c", "me", "h:9"), 1, 1)
    swim.preload(1.0, [Update(name, "h:1", 0, MemberState.ALIVE, name) for name in ("a", "b", "c")])
    previous_incarnation = swim.local.incarnation
    for number, update in enumerate(updates):
        swim.receive(2.0 + number * 1e-6, encode(TablePart("c", "z", (update,), False)), "h:5")
        assert swim.local.incarnation >= previous_incarnation  # incarnations never decrease
        previous_incarnation = swim.local.incarnation
    return {name: (member.incarnation, member.state) for name, member in swim.members.items()}


@DETERMINISTIC
@given(st.lists(any_updates, max_size=25), st.randoms(use_true_random=False))
def test_tables_depend_on_the_updates_and_not_on_their_order(updates: list[Update], random: object) -> None:
    shuffled = list(updates)
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    assert table_after(updates) == table_after(shuffled) == table_after(updates + updates)


@DETERMINISTIC
@given(st.lists(updates_on("me"), max_size=25))
def test_a_member_refutes_every_update_that_does_not_call_it_alive(updates: list[Update]) -> None:
    swim = SwimMember(MembershipConfig("c", "me", "h:9"), 1, 1)
    for update in updates:
        swim.receive(2.0, encode(TablePart("c", "z", (update,), False)), "h:5")
        assert swim.local.update.precedence > update.precedence or update.state == MemberState.ALIVE
        assert swim.local.update.state == MemberState.ALIVE


@DETERMINISTIC
@given(st.integers(1, 5), st.integers(0, 3), st.floats(0.0, 9_000.0))
def test_a_refuted_suspicion_never_ends_in_death(incarnation: int, accusers: int, refuted_at: float) -> None:
    swim = SwimMember(MembershipConfig("c", "me", "h:9"), 1, 1)
    swim.preload(0.0, [Update(name, "h:1", 0, MemberState.ALIVE, name) for name in ("a", "b", "c", "d", "e")])
    for accuser in ("b", "c", "d")[: accusers + 1]:
        swim.receive(
            1.0,
            encode(
                TablePart("c", "b", (Update("a", "h:1", incarnation, MemberState.SUSPECT, accuser),), False)
            ),
            "h:5",
        )
    suspicion = swim.members["a"].suspicion
    assert suspicion is not None
    assert suspicion.expires_ms >= 1.0 + 5_000.0
    swim.tick(min(refuted_at, suspicion.expires_ms - 1.0))
    swim.receive(
        min(refuted_at, suspicion.expires_ms - 1.0),
        encode(TablePart("c", "a", (Update("a", "h:1", incarnation + 1, MemberState.ALIVE, "a"),), False)),
        "h:5",
    )
    now = refuted_at
    for _ in range(200):
        now += 250.0
        swim.tick(now)
    assert swim.members["a"].state == MemberState.ALIVE


@DETERMINISTIC
@given(
    st.integers(0, 2**31),
    st.sampled_from([0.0, 0.1, 0.25]),
    st.integers(3, 9),
    st.lists(
        st.tuples(
            st.sampled_from(["pause", "cut", "part", "restart"]),
            st.integers(0, 8),
            st.floats(500.0, 30_000.0),
        ),
        max_size=5,
    ),
)
def test_all_members_converge_after_faults_stop(
    seed: int, loss: float, count: int, faults: list[tuple[str, int, float]]
) -> None:
    network, addresses = fleet(count, seed, loss=loss)
    for kind, which, ms in faults:
        victim = addresses[which % count]
        if kind == "pause":
            network.pause(victim, ms)
        elif kind == "cut":
            network.cut = lambda source, to, victim=victim: source == victim  # type: ignore[misc]
        elif kind == "part":
            side = set(addresses[: 1 + which % (count - 1)])
            network.cut = lambda source, to, side=side: (source in side) != (to in side)  # type: ignore[misc]
        else:
            network.kill(victim)
            network.add(
                victim,
                SwimMember(
                    replace(CONFIG, name=victim[:-2], address=victim, seeds=tuple(addresses[:2])),
                    int(network.now) + 2,
                    seed,
                ),
            )
        network.run(network.now + ms)
        network.cut = lambda source, to: False
    network.loss = 0.0
    network.run(network.now + 90_000.0)
    assert members_agree(network)
    for node in network.nodes.values():
        assert isinstance(node, SwimMember)
        check_invariants(node)


def test_a_suspicion_shrinks_as_members_confirm_it() -> None:
    suspicion = Suspicion(1_000.0, "a", 5_000.0, 30_000.0, 3)
    expiries = [suspicion.expires_ms]
    for accuser in ("a", "b", "c", "d", "e"):
        suspicion.confirm(accuser)
        expiries.append(suspicion.expires_ms)
    assert expiries[0] == expiries[1] == 31_000.0  # the first accuser cannot confirm its own accusation
    assert expiries[1] > expiries[2] > expiries[3] > expiries[4] == expiries[5] == 6_000.0
    assert Suspicion(0.0, "a", 5_000.0, 30_000.0, 0).expires_ms == 5_000.0  # no member could confirm it


@DETERMINISTIC
@given(st.binary(max_size=200))
def test_random_bytes_are_counted_as_malformed_and_dropped(datagram: bytes) -> None:
    swim = SwimMember(CONFIG, 1, 1)
    swim.receive(1.0, datagram, "h:1")
    assert swim.counts["malformed"] == 1
    assert not swim.outgoing()
    assert not swim.members


VALID_PING = Ping("gardens", "a", (Update("b", "h:1", 1, MemberState.ALIVE, "b"),), 7, "x")


@pytest.mark.parametrize(
    "message",
    [
        Ping("gardens", "no good", (), 1, "x"),
        Ping("", "a", (), 1, "x"),
        Ping("gardens", "a", (), -1, "x"),
        Ping("gardens", "a", (), 2**32, "x"),
        Ack("gardens", "a" * 65, (), 1),
        TablePart("gardens", "a", (Update("b", "nowhere", 1, MemberState.ALIVE, "b"),), False),
        TablePart("gardens", "a", (Update("b", "h:1", -1, MemberState.ALIVE, "b"),), False),
        TablePart("gardens", "a", (Update("b", "h:1", 2**62 + 1, MemberState.ALIVE, "b"),), False),
        TablePart("gardens", "a", (Update("b", "h:1", 1, cast(MemberState, 4), "b"),), False),
    ],
)
def test_a_field_out_of_its_bounds_makes_a_message_malformed(message: Ping | Ack | TablePart) -> None:
    with pytest.raises(MalformedMessageError):
        decode(encode(message))
    assert decode(encode(VALID_PING)) == VALID_PING


def test_members_of_another_cluster_are_dropped_and_a_full_table_adds_nobody() -> None:
    swim = SwimMember(replace(CONFIG, max_members=2), 1, 1)
    swim.receive(
        1.0, encode(TablePart("others", "a", (Update("a", "h:1", 1, MemberState.ALIVE, "a"),), True)), "h:1"
    )
    assert swim.counts["foreign"] == 1
    assert not swim.members
    assert not swim.outgoing()
    for name in "abcd":
        swim.receive(
            1.0,
            encode(TablePart("gardens", "a", (Update(name, "h:1", 1, MemberState.ALIVE, "a"),), False)),
            "h:1",
        )
    assert sorted(swim.members) == ["a", "b"]
    assert swim.counts["members_rejected"] == 2


def test_no_datagram_exceeds_the_size_that_is_read() -> None:
    network, addresses = fleet(60)
    node = network.nodes[addresses[0]]
    assert isinstance(node, SwimMember)
    for number in range(90):
        node.apply(Update("n" * 60 + str(number), "h" * 70 + ":65535", 2**61, MemberState.ALIVE, "b" * 64))
    node.push_pull.send_table("h:1", reply_requested=True)
    network.run(5_000.0)
    sizes = [len(datagram) for _, datagram in node.outgoing()]
    node.push_pull.send_table("h:1", reply_requested=True)
    sizes += [len(datagram) for _, datagram in node.outgoing()]
    assert len(sizes) > 10
    assert max(sizes) <= MAX_DATAGRAM_BYTES


def test_an_inconsistent_state_violates_an_invariant() -> None:
    network, addresses = fleet(3)
    network.run(5_000.0)
    node = network.nodes[addresses[0]]
    assert isinstance(node, SwimMember)
    check_invariants(node)
    node.members[addresses[1][:-2]].state = MemberState.SUSPECT
    with pytest.raises(InvariantViolationError, match="suspicion of"):
        check_invariants(node)
