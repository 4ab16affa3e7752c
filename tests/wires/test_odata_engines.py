"""Requests to engines that use OData, as bytes of HTTP/1.1 with their headers in order."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path

import trio
import ujson

from fordstair.core.ports import Query
from fordstair.net.engines import odata_wire
from tests.scenes import run_with_timeout
from tests.standins import RestEngine
from tests.test_odata import odata_program, odata_script
from tests.wires.recordings import recorded, recording_engine

TXN = "9b1f03aa5c7e2d41"


async def endless_query(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Serve a query that never ends."""
    if method == "DELETE":
        return 204, {}, b""
    location = {"Location": f"/odata/monitors/{ujson.loads(body)['Txn']}"} if method == "POST" else {}
    return 202, location, b""


def messages() -> dict[str, str]:
    requests_by_name = dict[str, str]()

    async def scene(folder: Path) -> None:
        async with recording_engine(odata_script(0)) as one, odata_program(folder, one, odata=(0,)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(txn=TXN, body="é/'\"\n".encode()))
            assert error is None
            requests_by_name.update(zip(("start", "poll", "next link"), one.requests, strict=True))
        async with recording_engine(endless_query) as one, odata_program(folder, one, odata=(0,)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", txn=TXN)
            while "GET" not in one.calls:
                await trio.sleep(0.01)
            await client.send([2, "cancelRequest", [number]])
            while "DELETE" not in one.calls:
                await trio.sleep(0.01)
            requests_by_name["start of a load"] = one.requests[0]
            requests_by_name["cancel"] = next(each for each in one.requests if each.startswith("DELETE"))

    with tempfile.TemporaryDirectory() as folder:
        run_with_timeout(lambda: scene(Path(folder)))
    return {
        name: re.sub('("LimitMs":|(?<=Content-Length: ))[0-9]+', r"\1<n>", t)
        for name, t in requests_by_name.items()
    }


def test_requests_are_the_recorded_bytes() -> None:
    assert messages() == recorded("odata_engines")


def test_an_idempotency_key_is_sent_unchanged_and_only_if_there_is_one() -> None:
    # Guards against a repeated load with an idempotency key that an engine of this protocol cannot detect.
    key = '55CF "/\\;'
    keyed = Query(TXN, "stamp", 0, 0, 1000.0, b"", idempotency_key=key)
    assert ujson.loads(odata_wire.start_request(keyed, 900, 1).body)["Dedupe"] == key
    other = Query(TXN, "lookup", 0, 0, 1000.0, b"")
    assert "Dedupe" not in ujson.loads(odata_wire.start_request(other, 900, 1).body)
