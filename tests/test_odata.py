"""The OData front and OData engines, over sockets, alone and mixed with the platform's protocols."""

from __future__ import annotations

import http.client
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio
import ujson

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_results import Result, StoredResults
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import ROWS, run_with_timeout
from tests.standins import (
    SETTINGS,
    Program,
    Response,
    RestEngine,
    Script,
    break_connection,
    config,
    engine,
    never_finish,
    program,
    serve_at_once,
)

OPERATOR = """
[odata]
listen = "127.0.0.1:0"
page_rows = 2
result_seconds = 2
team = "karri-energy"
[[set]]
name = "Settlements"
table = "settlement_7.lines"
columns = ["account", "period", "amount"]
read = "settlement"
lookup = "lookup"
cpu_ms = 200
need_mb = 96
[[set]]
name = "Readings"
table = "readings_2.intervals"
columns = ["meter", "started", "kwh"]
read = "settlement"
write = "meter-load"
cpu_ms = 200
need_mb = 96
"""
READING = {"meter": "m'1", "started": "2026-01-01", "kwh": 3.5}


@asynccontextmanager
async def odata_program(
    tmp_path: Path, *engines: RestEngine, odata: tuple[int, ...] = (), settings: dict[str, Any] = SETTINGS
) -> AsyncIterator[Program]:
    """Run the program with both fronts; the engines at the positions in ``odata`` use OData."""
    operator = tmp_path / "appliance.toml"
    operator.write_text(
        OPERATOR + "".join(f'[[engine]]\nid = "s-{number:08x}"\nprotocol = "odata"\n' for number in odata)
    )
    configuration = config(*(one.address for one in engines), settings=settings)
    async with program(configuration, "--operator", str(operator)) as node:
        yield node


def call(node: Program, method: str, path: str, body: object = None, **headers: str) -> tuple[int, Any, Any]:
    """Make one HTTP call; return its status, headers and body, parsed if it is JSON."""
    connection = http.client.HTTPConnection("127.0.0.1", node.ports["odata"], timeout=30)
    sent_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    text = None if body is None else ujson.dumps(body)
    connection.request(method, path, text, {"Content-Type": "application/json"} | sent_headers)
    response = connection.getresponse()
    read = response.read()
    connection.close()
    kind = response.headers.get("Content-Type", "")
    return response.status, response.headers, ujson.loads(read) if "json" in kind else read


async def ask(
    node: Program, method: str, path: str, body: object = None, **headers: str
) -> tuple[int, Any, Any]:
    return await trio.to_thread.run_sync(lambda: call(node, method, path, body, **headers))


def odata_script(polls: int) -> Script:
    """Return the script of an OData engine: 202 to the POST and to ``polls`` polls, then two linked pages."""
    polls_by_path: Counter[str] = Counter()

    async def script(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        if method == "POST":
            txn = ujson.loads(body)["Txn"]
            return 202, {"Location": f"/odata/monitors/{txn}", "X-Gauges": "inflight:1;util:0.10"}, b""
        if method == "DELETE":
            return 204, {}, b""
        if "page" in path:
            return 200, {}, b'{"value":[{"x":"d","y":"e","z":"f"}]}'
        polls_by_path[path] += 1
        if polls_by_path[path] <= polls:
            return 202, {}, b""
        page = {"value": [{"x": "a", "y": "b", "z": "c"}], "@odata.nextLink": "page?n=2"}
        return 200, {"AsyncResult": "200"}, ujson.dumps(page).encode()

    return script


async def five_rows(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    if method == "POST":
        return 200, {"X-Sheets": "1"}, b"".join(b"a%d\tp\t%d\n" % (n, n) for n in range(5))
    return 204, {}, b""


def test_a_read_returns_its_rows_and_sends_the_expected_statement(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine(odata_script(1)) as one, odata_program(tmp_path, one, odata=(0,)) as node:
            status, _, payload = await ask(
                node,
                "GET",
                "/odata/Settlements?$filter=account%20eq%20'it''s'&$orderby=period%20desc&$top=9"
                "&$select=account,amount",
            )
            assert status == 200
            assert payload["value"] == [
                {"account": "a", "amount": "c"},
                {"account": "d", "amount": "f"},
            ]
            sent = ujson.loads(one.posts[0][1])
            assert sent["Lane"] == "settlement"
            assert sent["Statement"] == (
                "SELECT account, period, amount FROM settlement_7.lines WHERE account = 'it''s' "
                "ORDER BY period DESC FETCH FIRST 9 ROWS ONLY"
            )
            status, _, payload = await ask(node, "GET", "/odata/Settlements('k')")
            assert status == 200
            assert payload["amount"] == "c"
            assert (await ask(node, "GET", "/odata/"))[2]["value"][1]["name"] == "Readings"
            assert b'Name="SettlementsRow"' in (await ask(node, "GET", "/odata/$metadata"))[2]

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("path", "status", "code"),
    [
        ("/odata/Nothing", 404, "NotFound"),
        ("/other", 404, "NotFound"),
        ("/odata/Settlements?$filter=secret%20eq%201", 400, "BadFilter"),
        ("/odata/Settlements?$filter=contains(account,'%25')", 501, "NotImplemented"),
        ("/odata/Settlements?$filter=((", 400, "BadFilter"),
        ("/odata/Settlements?$top=-1", 400, "BadRequest"),
        ("/odata/Settlements?$expand=x", 501, "NotImplemented"),
        ("/odata/Settlements?$orderby=amount;drop", 400, "BadOrder"),
        ("/odata/Settlements?$skiptoken=0-1", 410, "ResultGone"),
    ],
)
def test_an_invalid_request_gets_the_expected_status_and_error_code(
    tmp_path: Path, path: str, status: int, code: str
) -> None:
    async def scene() -> None:
        async with engine() as one, odata_program(tmp_path, one) as node:
            got, headers, payload = await ask(node, "GET", path)
            assert (got, payload["error"]["code"], headers["OData-Version"]) == (status, code, "4.01")
            assert not one.posts

    run_with_timeout(scene)


def test_a_paged_result_is_served_by_next_links_until_it_expires(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine(five_rows) as one, odata_program(tmp_path, one) as node:
            _, _, first = await ask(node, "GET", "/odata/Settlements?$count=true")
            assert first["@odata.count"] == 5
            assert len(first["value"]) == 2
            _, _, second = await ask(node, "GET", first["@odata.nextLink"])
            assert [row["account"] for row in second["value"]] == ["a2", "a3"]
            _, _, last = await ask(node, "GET", second["@odata.nextLink"])
            assert len(last["value"]) == 1
            assert "@odata.nextLink" not in last
            await trio.sleep(2.2)
            status, _, payload = await ask(node, "GET", first["@odata.nextLink"])
            assert status == 410
            assert payload["error"]["code"] == "ResultGone"
            assert len(one.posts) == 1

    run_with_timeout(scene)


def test_stored_results_stay_within_their_count_and_memory_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """The count alone does not bound the memory: 64 results of many short rows would exceed its limit."""
    one = EntitySet("S", "s.t", ("a",), "lookup", "lookup")
    kept = StoredResults(3, 1000.0, Deadlines())
    names = [kept.store(Result("t", [b"x"] * 10, one, ("a",), 2)) for _ in range(5)]
    assert len(kept) == 3
    assert kept.page(names[-1] + "-2", "t").start == 2
    for token, team in ((names[0] + "-2", "t"), (names[-1] + "-2", "other"), (names[-1] + "-10", "t")):
        with pytest.raises(ODataError):
            kept.page(token, team)
    monkeypatch.setattr("fordstair.net.clients.odata_results.MAX_STORED_BYTES", 1000)
    kept.store(Result("t", [b"x"] * 10, one, ("a",), 2))
    assert len(kept) == 1


def test_a_read_past_its_deadline_gets_504_and_its_query_is_cancelled(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine(odata_script(10_000)) as one, odata_program(tmp_path, one, odata=(0,)) as node:
            start = time.monotonic()
            status, headers, payload = await ask(node, "GET", "/odata/Settlements", Prefer="wait=1")
            assert status == 504
            assert payload["error"]["code"] == "Timeout"
            assert int(headers["Retry-After"]) >= 1
            assert time.monotonic() - start < 10.0
            while not one.deleted:
                await trio.sleep(0.01)

    run_with_timeout(scene)


@pytest.mark.parametrize("odata", [(), (0,)])
def test_a_load_in_a_batch_is_not_sent_again_after_its_engine_disconnects(
    tmp_path: Path, odata: tuple[int, ...]
) -> None:
    async def scene() -> None:
        async with engine(break_connection) as one, odata_program(tmp_path, one, odata=odata) as node:
            part = {
                "id": "1",
                "method": "POST",
                "url": "Readings",
                "body": READING,
                "headers": {"Repeatability-Request-ID": "r-1"},
            }
            for _ in range(2):  # The client retries the whole batch.
                status, _, payload = await ask(node, "POST", "/odata/$batch", {"requests": [part]})
                assert status == 200
                assert payload["responses"][0]["status"] == 502
            assert len(one.posts) == 1

    run_with_timeout(scene)


def test_no_further_part_starts_after_the_client_disconnects_mid_batch(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, odata_program(tmp_path, one) as node:
            parts = [{"id": str(n), "method": "POST", "url": "Readings", "body": READING} for n in range(3)]
            body = ujson.dumps({"requests": parts}).encode()
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            await stream.send_all(
                b"POST /odata/$batch HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            while not one.posts:
                await trio.sleep(0.01)
            await stream.aclose()
            while not one.deleted:
                await trio.sleep(0.01)
            assert await node.stop() == 0
            assert len(one.posts) == 1
            assert any("sent.meter-load=1 " in line + " " for line in node.log)

    run_with_timeout(scene)


def test_a_batch_gets_one_response_per_part(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine() as one, odata_program(tmp_path, one) as node:
            parts = [
                {"id": "a", "method": "POST", "url": "Readings", "body": READING},
                {"id": "b", "method": "GET", "url": "/odata/Settlements"},
                {"id": "c", "method": "GET", "url": "Nothing"},
                {"id": "d", "method": "GET", "url": "Settlements", "dependsOn": ["c"]},
            ]
            _, _, payload = await ask(node, "POST", "/odata/$batch", {"requests": parts})
            assert [part["status"] for part in payload["responses"]] == [201, 200, 404, 424]
            assert payload["responses"][0]["headers"]["location"] == "/odata/Readings('m%27%271')"
            assert one.posts[0][1] == (
                b"INSERT INTO readings_2.intervals (meter, started, kwh) "
                b"VALUES ('m''1', '2026-01-01', '3.5')"
            )

    run_with_timeout(scene)


PAUSE_S = 1.5
WAIT_S = 3


@pytest.mark.parametrize("batch", [False, True])
@pytest.mark.parametrize("connected_before", [True, False])
def test_time_that_a_request_waits_in_a_paused_program_counts_against_its_deadline(
    tmp_path: Path, connected_before: bool, batch: bool
) -> None:
    # Guards against a deadline that counts from when the request is read instead of from its arrival.
    request = b"GET /odata/Settlements HTTP/1.1\r\nHost: x\r\nPrefer: wait=%d\r\n\r\n" % WAIT_S
    if batch:
        body = ujson.dumps({"requests": [{"id": "1", "method": "GET", "url": "Settlements"}]}).encode()
        request = (
            b"POST /odata/$batch HTTP/1.1\r\nHost: x\r\nPrefer: wait=%d\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (WAIT_S, len(body), body)
        )

    async def scene() -> None:
        async with engine(never_finish) as one, odata_program(tmp_path, one) as node:
            port = node.ports["odata"]
            if connected_before:  # The program accepts the connection before the pause.
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(b"GET /odata/ HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await stream.receive_some(65536)
            node.process.send_signal(signal.SIGSTOP)
            if not connected_before:
                stream = await trio.open_tcp_stream("127.0.0.1", port)
            start = trio.current_time()
            await stream.send_all(request)
            await trio.sleep(PAUSE_S)
            node.process.send_signal(signal.SIGCONT)
            with trio.fail_after(WAIT_S + 0.5 - PAUSE_S):
                answer = bytes(await stream.receive_some(65536))
            assert b"504" in answer
            assert trio.current_time() - start > WAIT_S - 0.5
            assert int(one.posts[0][0]["x-limit-ms"]) <= (WAIT_S - PAUSE_S) * 1000.0 + 150.0

    run_with_timeout(scene)


def test_a_rejection_has_a_retry_after_header(tmp_path: Path) -> None:
    async def scene() -> None:
        async with odata_program(tmp_path) as node:  # Without an engine no request can run.
            status, headers, payload = await ask(node, "POST", "/odata/Readings", READING)
            assert (status, payload["error"]["code"]) == (503, "Overloaded")
            assert int(headers["Retry-After"]) >= 1

    run_with_timeout(scene)


@pytest.mark.parametrize("script", ["served", "silent", "broken"])
def test_clients_of_both_protocols_get_the_same_outcomes_side_by_side(tmp_path: Path, script: str) -> None:
    """Both kinds of client send the same requests to the same engines, one of which uses OData."""
    scripts: dict[str, tuple[Script, Script]] = {
        "served": (serve_at_once, odata_script(0)),
        "silent": (never_finish, odata_script(10_000)),
        "broken": (break_connection, break_connection),
    }

    # Where all requests should be served, a slow machine must not cause rejections, neither for lateness nor,
    # with all sixteen requests in flight at once, for the threads that they hold.
    wait_s, limits = (30, {"promiseMs": 60_000.0, "giveUpMs": 60_000.0}) if script == "served" else (1, {})
    settings = SETTINGS | {
        "categories": [spec | limits for spec in SETTINGS["categories"]],
        "extra": SETTINGS["extra"] | {"cpuOfKind": [200]},
    }

    async def scene() -> None:
        rest, odata = scripts[script]
        async with (
            engine(rest) as one,
            engine(odata) as two,
            odata_program(tmp_path, one, two, odata=(1,), settings=settings) as node,
        ):
            counts: dict[str, Counter[str]] = {"msgpack": Counter(), "odata": Counter()}
            durations_s: dict[tuple[str, str], list[float]] = {}

            async def by_msgpack(number: int, class_name: str) -> None:
                client, start = await node.client(), time.monotonic()
                request_id = await client.send_request(
                    class_name, limit=str(wait_s * 1000), txn=f"{number:016x}"
                )
                error, result = await client.answer(request_id)
                assert error or result == ROWS
                counts["msgpack"][
                    {"Overloaded": "refused", "Internal": "failed"}[error[0]] if error else "served"
                ] += 1
                durations_s.setdefault(("msgpack", class_name), []).append(time.monotonic() - start)

            async def by_odata(number: int, class_name: str) -> None:
                start, wait = time.monotonic(), f"wait={wait_s}"
                if class_name == "meter-load":
                    status, headers, _ = await ask(node, "POST", "/odata/Readings", READING, Prefer=wait)
                else:
                    status, headers, payload = await ask(node, "GET", "/odata/Settlements", Prefer=wait)
                    assert status != 200 or len(payload["value"]) == 2
                counts["odata"][
                    "served" if status < 300 else "refused" if "Retry-After" in headers else "failed"
                ] += 1
                durations_s.setdefault(("odata", class_name), []).append(time.monotonic() - start)

            async with trio.open_nursery() as nursery:
                for number, class_name in enumerate(("settlement", "meter-load") * 4):
                    nursery.start_soon(by_msgpack, number, class_name)
                    nursery.start_soon(by_odata, number, class_name)
            expected = {"served": {"served": 8}}.get(script, {"refused": 4, "failed": 4})
            assert counts["msgpack"] == counts["odata"] == Counter(expected)
            for (_, class_name), times in durations_s.items():
                assert len(times) == 4
                assert max(times) < 10.0
                # Only its deadline ends a load that may run; a read may be retried and rejected earlier.
                assert script != "silent" or class_name != "meter-load" or min(times) > 0.8
            loads = [
                headers.get("x-txn") or ujson.loads(body)["Txn"]
                for headers, body in (*one.posts, *two.posts)
                if "meter-load" in (headers.get("x-lane", ""), body.decode()) or b"meter-load" in body
            ]
            assert len(loads) == len(set(loads)) == 8  # Each load was sent once.

    run_with_timeout(scene)


@pytest.mark.parametrize("sent", [b"", b"GET /odata/Settlements HTTP/1.1\r\nHost: a\r\n"])
def test_a_client_that_is_idle_or_stops_within_a_request_is_disconnected(tmp_path: Path, sent: bytes) -> None:
    async def scene() -> None:
        async with engine() as one, odata_program(tmp_path, one) as node:
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            await stream.send_all(sent)
            with trio.fail_after(20.0):
                assert await stream.receive_some(65536) == b""

    run_with_timeout(scene)


def test_a_client_whose_body_is_too_large_receives_the_413_response(tmp_path: Path) -> None:
    async def scene() -> None:
        async with engine() as one, odata_program(tmp_path, one) as node:
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            head = b"POST /odata/Readings HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n"
            await stream.send_all(head)
            # The front reads only part of this body, so a plain close would send a reset.
            await stream.send_all(b"x" * 600_000)
            got = b""
            with trio.fail_after(20.0):
                while chunk := await stream.receive_some(65536):
                    got += chunk
            assert b" 413 " in got

    run_with_timeout(scene)
