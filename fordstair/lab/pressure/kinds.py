"""The kinds of clients that make a coordinator hold memory, and what each of them sends; does no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import count

import msgpack

MAX_OPEN_REQUESTS = 32  # the protocol's limit on one connection
HALF_SENT_SHARE = 0.95
PIECE_BYTES = 64
PIECE_INTERVAL_S = 0.05
SHORT_FIELDS = 56  # with those that a request needs, nearly as many as are allowed
LOOKUP_STATEMENT = b"SELECT a FROM sales_17.orders"
LARGE_RESULT_STATEMENT = b"SELECT * FROM sales_17.orders"
CROWD_TEAM = "pindan-retail"
CROWD_LIMIT_MS = "5000"
ODATA_HEAD_LINES = 95
ODATA_BODY_BYTES = 250_000


class ClientKind(Enum):
    """What a client of the crowd does after it has connected, until its connection ends."""

    SILENT = "silent"  # sends nothing
    HALF_SENT = "half_sent"  # sends most of a largest request, then nothing
    SLOW = "slow"  # sends a largest request in small pieces
    MANY_FIELDS = "many_fields"  # sends most of a request with very many short fields, then nothing
    OPEN = "open"  # sends as many largest requests as may be open, and reads the answers
    UNREAD = "unread"  # sends as many lookups with a large result as may be open, and never reads
    NEW_NAMES = "new_names"  # sends requests with unknown classes and ever new ids, and reads the answers
    MIXED = "mixed"  # one of the above, by the client's number

    def of_client(self, number: int) -> ClientKind:
        """Return the kind of one client of the crowd."""
        if self is not ClientKind.MIXED:
            return self
        kinds = [kind for kind in ClientKind if kind is not ClientKind.MIXED]
        return kinds[number % len(kinds)]

    @property
    def reads(self) -> bool:
        """Whether the client reads what it is sent."""
        return self is not ClientKind.UNREAD


@dataclass(frozen=True, slots=True)
class Piece:
    """Bytes to send, and a pause after them."""

    data: bytes
    pause_s: float = 0.0


def request(number: int, txn: int, statement: bytes, class_name: str = "lookup", **fields: str) -> bytes:
    """Return one request of the platform's protocol."""
    all_fields = {"txn": f"{txn:016x}", "limit": CROWD_LIMIT_MS, "team": CROWD_TEAM, "cpu": "200.0"}
    return bytes(msgpack.packb([0, number, class_name, [all_fields | {"need_mb": "96"} | fields, statement]]))


def rpc_pieces(kind: ClientKind, txns: count[int], statement_bytes: int) -> Iterator[Piece]:
    """Yield what a client of the platform's front sends; ``txns`` counts the ids of its requests."""
    largest = LOOKUP_STATEMENT + b" " * (statement_bytes - len(LOOKUP_STATEMENT))
    match kind:
        case ClientKind.HALF_SENT:
            yield _most_of(request(1, next(txns), largest))
        case ClientKind.SLOW:
            yield from _small_pieces(request(1, next(txns), largest))
        case ClientKind.MANY_FIELDS:
            fields = {f"{number:x}": "" for number in range(SHORT_FIELDS)}
            yield _most_of(request(1, next(txns), largest, **fields))
        case ClientKind.OPEN | ClientKind.UNREAD:
            statement = largest if kind is ClientKind.OPEN else LARGE_RESULT_STATEMENT
            for number in range(1, MAX_OPEN_REQUESTS + 1):
                yield Piece(request(number, next(txns), statement))
        case ClientKind.NEW_NAMES:
            for number, txn in zip(count(1), txns, strict=False):
                yield Piece(request(number, txn, LOOKUP_STATEMENT, f"class-{txn:x}"), PIECE_INTERVAL_S)


def odata_pieces(kind: ClientKind, txns: count[int]) -> Iterator[Piece]:
    """Yield what a client of the OData front sends; ``txns`` counts the ids of its requests."""
    lines = b"".join(b"x%d:\r\n" % number for number in range(ODATA_HEAD_LINES))
    post = b"POST /odata/Readings HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % ODATA_BODY_BYTES
    body = b'{"meter": "' + b"m" * (ODATA_BODY_BYTES - 13) + b'"}'
    match kind:
        case ClientKind.HALF_SENT:
            yield _most_of(post + b"\r\n" + body)
        case ClientKind.SLOW:
            yield from _small_pieces(post + b"\r\n" + body)
        case ClientKind.MANY_FIELDS:
            yield Piece(post + lines + b"\r\n" + body[:1_000])
        case ClientKind.OPEN:
            yield Piece(post + b"\r\n" + body)
        case ClientKind.UNREAD:
            for _ in range(MAX_OPEN_REQUESTS):
                yield Piece(b"GET /odata/Settlements HTTP/1.1\r\nHost: a\r\n\r\n")
        case ClientKind.NEW_NAMES:
            while True:
                yield Piece(b"GET /odata/Set%x HTTP/1.1\r\nHost: a\r\n\r\n" % next(txns), PIECE_INTERVAL_S)


def _most_of(message: bytes) -> Piece:
    return Piece(message[: int(len(message) * HALF_SENT_SHARE)])


def _small_pieces(message: bytes) -> Iterator[Piece]:
    for start in range(0, len(message), PIECE_BYTES):
        yield Piece(message[start : start + PIECE_BYTES], PIECE_INTERVAL_S)
