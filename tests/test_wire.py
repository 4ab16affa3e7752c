"""Tests the simulator's codec and host on the example frames of the wire format's description."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from fordstair.configuration.errors import SettingsDocumentError
from fordstair.configuration.settings_document import parse_settings
from fordstair.decisions.actions import (
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEngineList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendPeerMessage,
    SetQueryResources,
    StartTimer,
    WatchEngineList,
)
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineListChanged,
    HealthCheckEnded,
    NoteKind,
    PeerMessage,
    RequestArrived,
    Status,
    StreamStarted,
    TimerFired,
)
from fordstair.simulator import host
from fordstair.simulator.action_encoder import ReplyEncoder
from fordstair.simulator.event_decoder import EventDecoder, InstanceStarted, InstanceStopped

SETTINGS = "categories.count=1\ncategories.0.effect=read_like\nunknown.key=x\ninstances=2\n"


def record(text: str, size: int = 48) -> bytes:
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


SWITCH = record("0d 00000003")
ENTRIES = bytes.fromhex(
    "000000000a124a071f4301"
    + "00" * 8
    + "3f8000000000"
    + "000000000a9011f21f6c0140b7d400000000003fc000000000"
)


def decode(*records: bytes, tail: bytes = b"") -> list[object]:
    return [
        event for _, event in EventDecoder().decode_batch(len(records) + 1, SWITCH + b"".join(records) + tail)
    ]


def frame(records: list[bytes], tail: bytes = b"", number: int = 1, clock: float = 242.0) -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IdII", len(body), clock, len(records), number) + body


def instance_started(settings: str = SETTINGS, offset: int = 0) -> bytes:
    return record(f"01 0000000000000009 {offset:08x} {len(settings):08x}")


def run_host(data: bytes) -> bytes:
    sink = io.BytesIO()
    host.run(io.BytesIO(data), sink)
    return sink.getvalue()


def test_example_frames_of_two_instances() -> None:
    body = (
        SWITCH
        + record(
            "03 5d3a91c4 0000 4028000000000000 41300000 0001 91f03b7c55d20a64 0000"
            "406e000000000000 43c00000"
        )
        + record("07 000000000000004d")
        + record("0d 00000005")
        + record("06 0e6f2b19")
    )
    assert list(EventDecoder().decode_batch(5, body)) == [
        (3, RequestArrived(0x5D3A91C4, 0, 240.0, 0, 12.0, 384.0, 11.0, 0x91F03B7C55D20A64)),
        (3, TimerFired(77)),
        (5, ClientDisconnected(0x0E6F2B19)),
    ]


def test_other_example_events() -> None:
    assert decode(record("04 5d3a91c4 00 0a124a07 1f43 4022800000000000")) == [
        StreamStarted(0x5D3A91C4, 0, "10.18.74.7:8003", 9.25)
    ]
    assert decode(record("08 0000 3ff6666666666666 0a9011f2 1f6c 01 3f1eb852")) == [
        HealthCheckEnded("10.144.17.242:8044", Status.OK, 1.4, (pytest.approx(0.62),))  # type: ignore[arg-type]
    ]
    assert decode(record("0b 5d3a91c4 01 00 0a124a07 1f43 3f000000")) == [
        AttemptNote(0x5D3A91C4, 0, "10.18.74.7:8003", NoteKind.PROGRESS, 0.5)
    ]
    assert decode(record("09 00000002 00000000 00000004"), tail=b"hi 7") == [PeerMessage(2, b"hi 7")]
    assert decode(record("05 5d3a91c4 00 0a124a07 1f43 0000 4032800000000000 01 00011060 00")) == [
        AttemptEnded(0x5D3A91C4, 0, "10.18.74.7:8003", Status.OK, 18.5, True, 17.0, 384.0)
    ]
    assert decode(record("0a")) == [InstanceStopped()]


def test_engine_lists_are_replaced_within_a_batch() -> None:
    table, update = record("0c 0000 00000000 00000002"), record("02 0000 00000029 00")
    shorter = record("0c 0000 00000019 00000001")
    first, second = decode(table, update, shorter, update, tail=ENTRIES)
    assert isinstance(first, EngineListChanged)
    assert isinstance(second, EngineListChanged)
    assert first.kind is ListUpdateKind.CACHED
    assert len(first.entries) == 2
    assert len(second.entries) == 1
    assert second.entries[0].started_ms == 6100.0
    assert second.entries[0].state is EngineState.READY
    assert decode(record("02 0007 00000001 03")) == [EngineListChanged(ListUpdateKind.FAILED, (), 1)]


def test_example_reply() -> None:
    encoder = ReplyEncoder()
    encoder.switch_instance(3)
    encoder.add_action(SendAttempt(0x5D3A91C4, "10.18.74.7:8003", 80.0))
    encoder.add_action(StartTimer(77, 500.0))
    encoder.switch_instance(5)
    encoder.add_action(LogMessage("two servers known"))
    assert (
        encoder.encode(12)
        == bytes.fromhex("00000089 00000005 0000000c")
        + b"".join(
            (
                record("0e 00000003", 24),
                record("01 5d3a91c4 4054000000000000 0a124a07 1f43", 24),
                record("05 000000000000004d 407f400000000000", 24),
                record("0e 00000005", 24),
                record("09 00000000 00000011", 24),
            )
        )
        + b"two servers known"
    )


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (SendPeerMessage(None, b"hi 7"), "08 ffffffff 00000000 00000004"),
        (CheckHealth("10.144.17.242:8044"), "06 0a9011f2 1f6c"),
        (FailRequest(0x0E6F2B19), "03 0e6f2b19"),
        (CloseIdleConnections("10.144.17.242:8044"), "07 0a9011f2 1f6c"),
        (FetchEngineList(), "0c"),
        (SetQueryResources(0x5D3A91C4, 640.0, 2), "0d 5d3a91c4 44200000 02"),
        (WatchEngineList(), "0b 01"),
        (RejectRequest(0x0E6F2B19, 250.0), "02 0e6f2b19 406f400000000000"),
        (CancelAttempt(0x5D3A91C4, 0), "04 5d3a91c4 00"),
    ],
)
def test_example_actions(action: SendAttempt, text: str) -> None:
    encoder = ReplyEncoder()
    encoder.add_action(action)
    assert encoder.encode(0)[12:36] == record(text, 24)


def test_settings_ignore_unknown_keys_and_read_optional_ones() -> None:
    parsed = parse_settings(
        SETTINGS + "obligations.furtherRatio=0.1\nobligations.budgetFree=5\n"
        "categories.0.hostTypesAllowed=0,2\nextra.loads=true\nreport.fields=util\n"
        "report.source=pull\nobligations.lookBackMs=4000.0\n"
    )
    assert parsed.retry_budget is not None
    assert parsed.retry_budget.window_ms == 4000.0
    (only,) = parsed.classes
    assert only.allowed_machine_kinds == frozenset({0, 2})
    assert only.allowed_zones is None
    assert only.is_load
    assert parsed.reports_by_health_check_only
    assert parsed.load_report_fields == ("util",)
    assert parse_settings(SETTINGS).retry_budget is None


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("instances=many", "instances"),
        ("categories.0.worth=nan", "categories.0.worth"),
        ("nonsense", "nonsense"),
        ("categories.0.effect=odd", "categories.0.effect"),
        ("limits.probes=1", "limits.probes"),
        ("instances=0", "instances"),
        ("categories.0.giveUpMs=-1.0", "client_timeout_ms"),
    ],
)
def test_error_names_the_setting_that_cannot_be_read(line: str, named: str) -> None:
    with pytest.raises(SettingsDocumentError, match=named):
        parse_settings(SETTINGS + line)


def test_start_and_stop_within_one_batch_and_empty_batches() -> None:
    text = SETTINGS.encode()
    empty = frame([], number=1)
    both = frame([SWITCH, instance_started(), record("0a"), instance_started()], text, number=2)
    assert run_host(empty + both) == bytes.fromhex("000000000000000000000001" "000000000000000000000002")


def test_many_instances_and_a_very_large_batch() -> None:
    text = SETTINGS.encode()
    records = [record(f"0c 0000 {len(text):08x} 00000002")]
    for i in range(40):
        records += [record(f"0d {i:08x}"), instance_started(), record("02 0000 00000001 00")]
    records += [
        record(f"03 {n:08x} 0000" + "00" * 12 + "0000" + "00" * 8 + "0000 40a7700000000000")
        for n in range(5000)
    ]
    reply = run_host(frame(records, text + ENTRIES))
    sends = {
        reply[12 + 24 * i + 1 : 12 + 24 * i + 5]
        for i in range((len(reply) - 12) // 24)
        if reply[12 + 24 * i] in (1, 2)
    }
    assert len(sends) == 5000


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (b"\0\0", "header"),
        (frame([SWITCH])[:-3], "body"),
        (frame([SWITCH, record("63")]), "code 99"),
        (frame([record("0a")]), "SwitchTo"),
        (frame([SWITCH, instance_started()]), "outside the tail"),
        (frame([SWITCH, record("06 00000001")]), "not running"),
        (frame([SWITCH, record("02 0004 00000001 01")]), "list 4"),
        (frame([SWITCH, instance_started("instances=x")], b"instances=x"), "instances"),
        (struct.pack(">IdII", 0, 1.0, 3, 1), "3 records"),
    ],
)
def test_invalid_input_ends_with_one_line_on_stderr(data: bytes, named: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "fordstair.simulator"],
        input=data,
        capture_output=True,
        timeout=30,
        check=False,
    )
    lines = done.stderr.decode().splitlines()
    assert done.returncode == 1
    assert len(lines) == 1
    assert named in lines[0]


def test_end_of_input_ends_with_status_0() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "fordstair.simulator"],
        input=b"",
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_failure_of_the_decision_code_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise KeyError("lost")

    monkeypatch.setattr("fordstair.decisions.gateway.Gateway.handle", fail)
    reply = run_host(frame([SWITCH, instance_started(), record("07 0000000000000001")], SETTINGS.encode()))
    assert b"KeyError: 'lost'" in reply
    assert 10 in reply[12::24]


def test_instance_started_carries_seed_and_settings() -> None:
    (event,) = decode(instance_started(), tail=SETTINGS.encode())
    assert isinstance(event, InstanceStarted)
    assert event.seed == 9
    assert event.settings.instances == 2
