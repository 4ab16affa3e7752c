"""The OData front's answers, as bytes of HTTP/1.1 with their headers in order."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path

import trio
import ujson

from tests.scenes import run_with_timeout
from tests.standins import RestEngine, Script, break_connection, engine
from tests.test_odata import READING, five_rows, odata_program
from tests.wires.recordings import recorded

JSON = "Content-Type: application/json\r\n"
LOAD = ujson.dumps(READING)
PARTS = [
    {"id": "a", "method": "POST", "url": "Readings", "body": READING},
    {"id": "b", "method": "GET", "url": "/odata/Settlements('a0')"},
    {"id": "c", "method": "GET", "url": "Nothing"},
    {"id": "d", "method": "GET", "url": "Settlements", "dependsOn": ["c"]},
    {"id": "e", "method": "GET", "url": "Settlements", "atomicityGroup": "g"},
    {"id": "f", "method": "GET", "url": "$metadata"},
]
BATCH = ujson.dumps({"requests": PARTS})
REPEATABLE = JSON + "Repeatability-Request-ID: r-1\r\n"

# The calls by name; each has a method, path, headers and body.
SERVED = {
    "service document": ("GET", "/odata/", "", ""),
    "metadata": ("GET", "/odata/$metadata", "", ""),
    "first page": ("GET", "/odata/Settlements?$count=true", "", ""),
    "page size": ("GET", "/odata/Settlements", "Prefer: maxpagesize=1\r\n", ""),
    "select": ("GET", "/odata/Settlements?$select=amount&$top=1", "", ""),
    "entity": ("GET", "/odata/Settlements('a0')", "", ""),
    "load": ("POST", "/odata/Readings", JSON, LOAD),
    "load, minimal": ("POST", "/odata/Readings", JSON + "Prefer: return=minimal\r\n", LOAD),
    "named load": ("POST", "/odata/Readings", REPEATABLE, LOAD),
    "repeated load": ("POST", "/odata/Readings", REPEATABLE, LOAD),
    "batch": ("POST", "/odata/$batch", JSON, BATCH),
    "no such set": ("GET", "/odata/Nothing", "", ""),
    "no such path": ("GET", "/other", "", ""),
    "bad filter": ("GET", "/odata/Settlements?$filter=secret%20eq%201", "", ""),
    "no function": ("GET", "/odata/Settlements?$filter=contains(account,'x')", "", ""),
    "bad option": ("GET", "/odata/Settlements?$top=-1", "", ""),
    "no such option": ("GET", "/odata/Settlements?$expand=x", "", ""),
    "bad order": ("GET", "/odata/Settlements?$orderby=amount;drop", "", ""),
    "result gone": ("GET", "/odata/Settlements?$skiptoken=0-1", "", ""),
    "bad method": ("DELETE", "/odata/Settlements", "", ""),
    "read-only set": ("POST", "/odata/Settlements", JSON, LOAD),
    "no JSON": ("POST", "/odata/Readings", JSON, "{"),
    "bad batch": ("POST", "/odata/$batch", JSON, "{}"),
    "batch of another kind": ("POST", "/odata/$batch", "Content-Type: multipart/mixed\r\n", "x"),
}
BROKEN = {
    "failed": ("POST", "/odata/Readings", JSON, LOAD),
    "failed, named": ("POST", "/odata/Readings", REPEATABLE, LOAD),
    "failed, repeated": ("POST", "/odata/Readings", REPEATABLE, LOAD),
    "timeout": ("GET", "/odata/Settlements", "Prefer: wait=0\r\n", ""),
}


async def exchange(port: int, method: str, path: str, headers: str, body: str) -> str:
    """Make one call on a new connection; return the response's bytes, as text."""
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        await stream.send_all((head + body).encode())
        answer = b""
        while b"\r\n\r\n" not in answer or len(answer) < response_length(answer):
            chunk = await stream.receive_some(65_536)
            assert chunk, (path, answer)
            answer += chunk
    text = re.sub("skiptoken=[0-9a-f]{32}", "skiptoken=<name>", answer.decode())
    return re.sub("Retry-After: [1-9][0-9]*", "Retry-After: <s>", text)


def response_length(answer: bytes) -> int:
    """Return the length of a response whose head has been received."""
    content_length = re.search(rb"(?i)\r\ncontent-length: ([0-9]+)", answer)
    return answer.index(b"\r\n\r\n") + 4 + (int(content_length[1]) if content_length else 0)


async def answers(
    folder: Path, script: Script | None, calls: dict[str, tuple[str, str, str, str]]
) -> dict[str, str]:
    folder.mkdir()
    answers_by_name = dict[str, str]()
    async with engine(script or five_rows) as one:
        engines: list[RestEngine] = [one] if script is not None else []
        async with odata_program(folder, *engines) as node:
            for name, call in calls.items():
                answers_by_name[name] = await exchange(node.ports["odata"], *call)
    return answers_by_name


def messages() -> dict[str, str]:
    answers_by_name = dict[str, str]()

    async def scene() -> None:
        with tempfile.TemporaryDirectory() as folder:
            answers_by_name.update(await answers(Path(folder) / "served", five_rows, SERVED))
            answers_by_name.update(await answers(Path(folder) / "broken", break_connection, BROKEN))
            refused = {"refused": ("GET", "/odata/Settlements", "", "")}
            answers_by_name.update(await answers(Path(folder) / "none", None, refused))

    run_with_timeout(scene)
    return answers_by_name


def test_answers_are_the_recorded_bytes() -> None:
    assert messages() == recorded("odata_front")
