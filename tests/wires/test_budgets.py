"""Datagrams on budgets: each read and written again, and all that a fleet says in virtual time."""

from __future__ import annotations

import pytest

from fordstair.budgets.messages import decode, encode
from fordstair.budgets.whole import Plan, Whole
from fordstair.lab.shares import Fleet
from tests.wires.recordings import Datagrams, datagrams, recorded

WHOLES = (Whole("threads", 64, "karri", quantum=4, least=4), Whole("rate", 200_000))


def messages() -> dict[str, str]:
    """A fleet of five with losses, whose leader goes and whose members want more or less."""
    fleet = Fleet(Plan("c", WHOLES, tuple(f"m{n}" for n in range(5)), term_ms=1_000.0), 0, 11, loss=0.1)
    said = Datagrams(fleet.network)
    for number in range(5):
        fleet.start(f"m{number}")
    fleet.demand = lambda name: (8 * int(name[1:]), 10_000 * (5 - int(name[1:])))
    fleet.needs = lambda name: (int(name[1:]), 100)
    fleet.uses = lambda name: (1, 7)
    fleet.run(3_000.0)
    if fleet.leader is not None:
        fleet.kill(fleet.leader)
    fleet.run(6_000.0)
    fleet.leave(sorted(fleet.members)[0])
    fleet.run(3_000.0)
    return said.messages()


@pytest.mark.parametrize(("name", "datagram"), datagrams("budgets").items())
def test_a_message_is_read_and_written_again(name: str, datagram: bytes) -> None:
    assert encode(decode(datagram)) == datagram


def test_a_fleet_says_the_recorded_bytes() -> None:
    assert messages() == recorded("budgets")
