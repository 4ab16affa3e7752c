"""Tests of the budgets protocol against recorded datagrams: round trips, and a fleet in virtual time."""

from __future__ import annotations

import pytest

from fordstair.budgets.messages import decode, encode
from fordstair.budgets.plan import BudgetPlan, FleetLimit
from fordstair.lab.budget_fleet import BudgetFleet
from tests.wires.recordings import DatagramRecorder, recorded, recorded_datagrams

LIMITS = (FleetLimit("threads", 64, "karri", quantum=4, min_useful=4), FleetLimit("rate", 200_000))


def fleet_messages() -> dict[str, str]:
    """Return the messages of a lossy fleet of five with changing demand, whose leader is killed."""
    fleet = BudgetFleet(
        BudgetPlan("c", LIMITS, tuple(f"m{n}" for n in range(5)), lease_ms=1_000.0), 0, 11, loss=0.1
    )
    sent = DatagramRecorder(fleet.network)
    for number in range(5):
        fleet.start(f"m{number}")
    fleet.wanted = lambda name: (8 * int(name[1:]), 10_000 * (5 - int(name[1:])))
    fleet.needed = lambda name: (int(name[1:]), 100)
    fleet.in_use = lambda name: (1, 7)
    fleet.run(3_000.0)
    if fleet.leader is not None:
        fleet.kill(fleet.leader)
    fleet.run(6_000.0)
    fleet.leave(sorted(fleet.members)[0])
    fleet.run(3_000.0)
    return sent.messages()


@pytest.mark.parametrize(("name", "datagram"), recorded_datagrams("budgets").items())
def test_a_recorded_message_round_trips(name: str, datagram: bytes) -> None:
    assert encode(decode(datagram)) == datagram


def test_a_fleet_sends_the_recorded_bytes() -> None:
    assert fleet_messages() == recorded("budgets")
