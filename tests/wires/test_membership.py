"""Datagrams among members: each message read and written again, and all that a fleet says in virtual time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fordstair.lab.membership_fleet import swim_fleet
from fordstair.lab.virtual_network import Network
from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.messages import decode, encode
from tests.wires.recordings import Datagrams, datagrams, recorded

CONFIG = MembershipConfig("gardens", "x", "x:1")


def messages() -> dict[str, str]:
    """A fleet of eight for forty seconds, with losses, a death and a pause."""
    network = Network(11, loss=0.1)
    said = Datagrams(network)
    addresses = swim_fleet(network, 8, replace(CONFIG, push_pull_interval_ms=3_000.0), 11)
    network.run(10_000.0)
    network.kill(addresses[3])
    network.pause(addresses[5], 4_000.0)
    network.run(40_000.0)
    return said.messages()


@pytest.mark.parametrize(("name", "datagram"), datagrams("membership").items())
def test_a_message_is_read_and_written_again(name: str, datagram: bytes) -> None:
    assert encode(decode(datagram)) == datagram


def test_a_fleet_says_the_recorded_bytes() -> None:
    assert messages() == recorded("membership")
