"""Requests to the platform's engines, as bytes of HTTP/1.1 with their headers in order."""

from __future__ import annotations

import re

import trio

from tests.scenes import run_with_timeout
from tests.standins import RestEngine, config, connect, program, run_in_process
from tests.wires.recordings import recorded, recording_engine

TXN = "9b1f03aa5c7e2d41"


async def two_pages(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Accept a query that is still running, then serve two pages."""
    if method == "POST":
        return 202, {}, b""
    if path.endswith("/0"):
        return 200, {"X-Sheets": "2", "X-Gauges": "inflight:1;util:0.10"}, b"a\tb\tc\n"
    return 200, {"X-Sheet": "1"}, b"d\te\tf\n"


async def endless_query(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Serve a query that never ends."""
    if method in ("DELETE", "PUT"):
        return 204, {}, b""
    await trio.sleep(0.05)
    return 202, {}, b""


async def wait_for_request(engine: RestEngine, method: str) -> None:
    """Wait until the engine has received a request with this method."""
    while method not in engine.calls:
        await trio.sleep(0.01)


def messages() -> dict[str, str]:
    requests_by_name = dict[str, str]()

    async def scene() -> None:
        async with recording_engine(two_pages) as one, program(config(one.address)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(txn=TXN))
            assert error is None
            names = ("start", "poll", "further page")
            requests_by_name.update(zip(names, one.requests, strict=True))
        async with (
            recording_engine(endless_query) as one,
            run_in_process(config(one.address)) as coordination,
        ):
            client = await connect(coordination)
            number = await client.send_request("meter-load", txn=TXN)
            await wait_for_request(one, "GET")
            coordinator = coordination.coordinator
            coordinator.priorities.set_deprioritized(next(iter(coordinator.live.values())), True)
            await wait_for_request(one, "PUT")
            await client.send([2, "cancelRequest", [number]])
            await wait_for_request(one, "DELETE")
            for name, method in (("start of a load", "POST"), ("priority", "PUT"), ("cancel", "DELETE")):
                requests_by_name[name] = next(each for each in one.requests if each.startswith(method))

    run_with_timeout(scene)
    return {
        name: re.sub("(?i)(x-limit-ms: )[0-9]+", r"\1<ms>", text) for name, text in requests_by_name.items()
    }


def test_requests_are_the_recorded_bytes() -> None:
    assert messages() == recorded("rest")
