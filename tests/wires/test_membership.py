"""Tests the datagrams of the membership protocol against the messages recorded from a fleet."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fordstair.lab.membership_fleet import swim_fleet
from fordstair.lab.virtual_network import Network
from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.messages import decode, encode
from tests.wires.recordings import DatagramRecorder, recorded, recorded_datagrams

CONFIG = MembershipConfig("gardens", "x", "x:1")


def sent_messages() -> dict[str, str]:
    """Return the messages that a fleet of eight sends in 40 s, with packet loss, a death and a pause."""
    network = Network(11, loss=0.1)
    sent = DatagramRecorder(network)
    addresses = swim_fleet(network, 8, replace(CONFIG, push_pull_interval_ms=3_000.0), 11)
    network.run(10_000.0)
    network.kill(addresses[3])
    network.pause(addresses[5], 4_000.0)
    network.run(40_000.0)
    return sent.messages()


@pytest.mark.parametrize(("name", "datagram"), recorded_datagrams("membership").items())
def test_decoding_and_encoding_again_preserves_each_message(name: str, datagram: bytes) -> None:
    assert encode(decode(datagram)) == datagram


def test_a_fleet_sends_the_recorded_bytes() -> None:
    assert sent_messages() == recorded("membership")
