"""Requests towards engines that expect OData, as bytes of HTTP/1.1 with their headers in order."""

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
from tests.test_odata import appliance, runs
from tests.wires.recordings import recorded, tapped_engine

TXN = "9b1f03aa5c7e2d41"


async def no_end(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """A query that runs on."""
    if method == "DELETE":
        return 204, {}, b""
    location = {"Location": f"/odata/monitors/{ujson.loads(body)['Txn']}"} if method == "POST" else {}
    return 202, location, b""


def messages() -> dict[str, str]:
    told = dict[str, str]()

    async def scene(folder: Path) -> None:
        async with tapped_engine(runs(0)) as one, appliance(folder, one, odata=(0,)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(txn=TXN, body="é/'\"\n".encode()))
            assert error is None
            told.update(zip(("start", "poll", "next link"), one.requests, strict=True))
        async with tapped_engine(no_end) as one, appliance(folder, one, odata=(0,)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", txn=TXN)
            while "GET" not in one.calls:
                await trio.sleep(0.01)
            await client.send([2, "cancelRequest", [number]])
            while "DELETE" not in one.calls:
                await trio.sleep(0.01)
            told["start of a load"] = one.requests[0]
            told["cancel"] = next(each for each in one.requests if each.startswith("DELETE"))

    with tempfile.TemporaryDirectory() as folder:
        run_with_timeout(lambda: scene(Path(folder)))
    return {name: re.sub('("LimitMs":|(?<=Content-Length: ))[0-9]+', r"\1<n>", t) for name, t in told.items()}


def test_requests_are_the_recorded_bytes() -> None:
    assert messages() == recorded("odata_engines")


def test_an_idempotency_key_goes_out_as_it_came_and_only_where_there_is_one() -> None:
    # Guards against a keyed load that an engine of this protocol cannot tell from its repeat.
    key = '55CF "/\\;'
    keyed = Query(TXN, "stamp", 0, 0, 1000.0, b"", idempotency_key=key)
    assert ujson.loads(odata_wire.start_request(keyed, 900, 1).body)["Dedupe"] == key
    other = Query(TXN, "lookup", 0, 0, 1000.0, b"")
    assert "Dedupe" not in ujson.loads(odata_wire.start_request(other, 900, 1).body)
