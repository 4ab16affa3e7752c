"""Encodes the decision module's actions as replies to the simulator."""

from __future__ import annotations

import struct

from fordstair.decisions.actions import (
    Action,
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
from fordstair.simulator.frames import ACTION_BYTES, ALL_PEERS, REPLY_HEADER, ActionCode, encode_engine_id


class ReplyEncoder:
    """Encodes the reply to one batch."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def switch_instance(self, instance: int) -> None:
        """Append the record that assigns the actions after it to an instance."""
        self._append_record(ActionCode.SWITCH_INSTANCE, struct.pack(">I", instance))

    def add_internal_error(self, text: str) -> None:
        """Append the record that reports a failure of the decision code."""
        self._append_record(ActionCode.INTERNAL_ERROR, self._append_to_tail(text.encode()))

    def add_action(self, action: Action) -> None:  # noqa: C901 - one short case per action
        """Append the record of one action."""
        match action:
            case SendAttempt(request, engine, limit_ms):
                fields = struct.pack(">Id", request, limit_ms) + encode_engine_id(engine)
                self._append_record(ActionCode.SEND_ATTEMPT, fields)
            case SetQueryResources(request, memory_mb, priority):
                self._append_record(
                    ActionCode.SET_QUERY_RESOURCES, struct.pack(">IfB", request, memory_mb, priority)
                )
            case StartTimer(token, delay_ms):
                self._append_record(ActionCode.START_TIMER, struct.pack(">Qd", token, delay_ms))
            case CancelAttempt(request, attempt):
                self._append_record(ActionCode.CANCEL_ATTEMPT, struct.pack(">IB", request, attempt))
            case RejectRequest(request, retry_after_ms):
                self._append_record(ActionCode.REJECT_REQUEST, struct.pack(">Id", request, retry_after_ms))
            case FailRequest(request):
                self._append_record(ActionCode.FAIL_REQUEST, struct.pack(">I", request))
            case CheckHealth(engine):
                self._append_record(ActionCode.CHECK_HEALTH, encode_engine_id(engine))
            case CloseIdleConnections(engine):
                self._append_record(ActionCode.CLOSE_IDLE_CONNECTIONS, encode_engine_id(engine))
            case SendPeerMessage(peer, payload):
                number = ALL_PEERS if peer is None else peer
                self._append_record(
                    ActionCode.SEND_PEER_MESSAGE, struct.pack(">I", number) + self._append_to_tail(payload)
                )
            case LogMessage(text):
                self._append_record(ActionCode.LOG_MESSAGE, self._append_to_tail(text.encode()))
            case WatchEngineList(on):
                self._append_record(ActionCode.WATCH_ENGINE_LIST, struct.pack(">B", on))
            case FetchEngineList():
                self._append_record(ActionCode.FETCH_ENGINE_LIST, b"")

    def encode(self, batch_number: int) -> bytes:
        """Return the complete reply frame for this batch."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(len(body), len(self._records), batch_number) + body

    def _append_to_tail(self, data: bytes) -> bytes:
        """Append data to the tail; return its encoded offset and size."""
        pointer = struct.pack(">II", len(self._tail), len(data))
        self._tail += data
        return pointer

    def _append_record(self, code: ActionCode, fields: bytes) -> None:
        self._records.append((bytes((code,)) + fields).ljust(ACTION_BYTES, b"\0"))
