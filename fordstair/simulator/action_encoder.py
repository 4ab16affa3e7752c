"""Writes the decision module's actions into the simulator's replies."""

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
    """Builds one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def switch_instance(self, instance: int) -> None:
        """Say that the actions that follow come from this instance."""
        self._add(ActionCode.SWITCH_INSTANCE, struct.pack(">I", instance))

    def internal_error(self, text: str) -> None:
        """Say that the decision code failed."""
        self._add(ActionCode.INTERNAL_ERROR, self._in_tail(text.encode()))

    def action(self, action: Action) -> None:  # noqa: C901 - one short case an action
        """Append one action."""
        match action:
            case SendAttempt(request, engine, limit_ms):
                fields = struct.pack(">Id", request, limit_ms) + encode_engine_id(engine)
                self._add(ActionCode.SEND_ATTEMPT, fields)
            case SetQueryResources(request, memory_mb, priority):
                self._add(ActionCode.SET_QUERY_RESOURCES, struct.pack(">IfB", request, memory_mb, priority))
            case StartTimer(token, delay_ms):
                self._add(ActionCode.START_TIMER, struct.pack(">Qd", token, delay_ms))
            case CancelAttempt(request, attempt):
                self._add(ActionCode.CANCEL_ATTEMPT, struct.pack(">IB", request, attempt))
            case RejectRequest(request, retry_after_ms):
                self._add(ActionCode.REJECT_REQUEST, struct.pack(">Id", request, retry_after_ms))
            case FailRequest(request):
                self._add(ActionCode.FAIL_REQUEST, struct.pack(">I", request))
            case CheckHealth(engine):
                self._add(ActionCode.CHECK_HEALTH, encode_engine_id(engine))
            case CloseIdleConnections(engine):
                self._add(ActionCode.CLOSE_IDLE_CONNECTIONS, encode_engine_id(engine))
            case SendPeerMessage(peer, payload):
                number = ALL_PEERS if peer is None else peer
                self._add(ActionCode.SEND_PEER_MESSAGE, struct.pack(">I", number) + self._in_tail(payload))
            case LogMessage(text):
                self._add(ActionCode.LOG_MESSAGE, self._in_tail(text.encode()))
            case WatchEngineList(on):
                self._add(ActionCode.WATCH_ENGINE_LIST, struct.pack(">B", on))
            case FetchEngineList():
                self._add(ActionCode.FETCH_ENGINE_LIST, b"")

    def reply(self, batch_number: int) -> bytes:
        """Return the whole frame, answering that batch."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(len(body), len(self._records), batch_number) + body

    def _in_tail(self, data: bytes) -> bytes:
        """Append to the tail; return the fields that point there."""
        pointer = struct.pack(">II", len(self._tail), len(data))
        self._tail += data
        return pointer

    def _add(self, code: ActionCode, fields: bytes) -> None:
        self._records.append((bytes((code,)) + fields).ljust(ACTION_BYTES, b"\0"))
