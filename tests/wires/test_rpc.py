"""Answers to clients of the platform's protocol, as bytes of MessagePack-RPC."""

from __future__ import annotations

import re

import msgpack
import trio

from tests.scenes import run_with_timeout
from tests.standins import Script, break_connection, config, engine, program, serve_at_once
from tests.wires.recordings import recorded

FIELDS = {
    "txn": "9b1f03aa5c7e2d41",
    "limit": "3000",
    "team": "karri-energy",
    "cpu": "200.0",
    "need_mb": "96",
}
STATEMENT = b"SELECT a FROM sales_17.orders"


def without(name: str) -> dict[str, str]:
    return {key: value for key, value in FIELDS.items() if key != name}


WITH_WORKING_ENGINE: dict[str, object] = {
    "alive": [0, 1, "alive", [{}]],
    "served": [0, 1, "lookup", [FIELDS, STATEMENT]],
    "unknown class": [0, 1, "nothing", [FIELDS, STATEMENT]],
    "no map": [0, 1, "lookup", [[], STATEMENT]],
    "no body": [0, 1, "lookup", [FIELDS, 1]],
    "no txn": [0, 1, "lookup", [without("txn"), STATEMENT]],
    "bad txn": [0, 1, "lookup", [FIELDS | {"txn": "1"}, STATEMENT]],
    "unknown team": [0, 1, "lookup", [FIELDS | {"team": "nobody"}, STATEMENT]],
    "no limit": [0, 1, "lookup", [without("limit"), STATEMENT]],
    "bad limit": [0, 1, "lookup", [FIELDS | {"limit": "-1"}, STATEMENT]],
    "bad cpu": [0, 1, "lookup", [FIELDS | {"cpu": "nan"}, STATEMENT]],
    "bad need_mb": [0, 1, "lookup", [FIELDS | {"need_mb": ""}, STATEMENT]],
    "no request": [0, 1, 2, 3],
    "malformed": [0, 1, "lookup", [1] * 100],
}
WITH_DISCONNECTING_ENGINE: dict[str, object] = {
    "rejected": [0, 1, "lookup", [FIELDS | {"limit": "400"}, STATEMENT]],
    "failed": [0, 1, "meter-load", [FIELDS | {"limit": "900", "txn": f"{1:016x}"}, STATEMENT]],
}


async def answers(script: Script, messages: dict[str, object]) -> dict[str, str]:
    """Return the answer to each message, each sent on a connection of its own."""
    answers_by_name = dict[str, str]()
    async with engine(script) as one, program(config(one.address)) as node:
        for name, message in messages.items():
            async with await trio.open_tcp_stream("127.0.0.1", node.ports["listens"]) as stream:
                await stream.send_all(msgpack.packb(message))
                answer, unpacker = b"", msgpack.Unpacker()
                while True:
                    chunk = await stream.receive_some(65_536)
                    assert chunk, name
                    answer += chunk
                    unpacker.feed(chunk)
                    if next(iter(unpacker), None) is not None:
                        break
                answers_by_name[name] = re.sub(rb"\xa5later[\xa1-\xbf][0-9]+", b"\xa5later<ms>", answer).hex()
    return answers_by_name


def messages() -> dict[str, str]:
    answers_by_name = dict[str, str]()

    async def scene() -> None:
        answers_by_name.update(await answers(serve_at_once, WITH_WORKING_ENGINE))
        answers_by_name.update(await answers(break_connection, WITH_DISCONNECTING_ENGINE))

    run_with_timeout(scene)
    return answers_by_name


def test_answers_are_the_recorded_bytes() -> None:
    assert messages() == recorded("rpc")
