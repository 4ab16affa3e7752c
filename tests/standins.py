"""A fake engine and a client, written from the protocol's specification, and ways to run the program."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import h11
import msgpack
import trio
import ujson

from fordstair.configuration.platform import parse
from fordstair.lab import platform_settings
from fordstair.lab.coordinator_process import CoordinatorProcess
from fordstair.program import Program as CoordinatorProgram

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = platform_settings.SETTINGS | {
    "projects": [{"name": "karri-energy", "quotaPerS": 1000.0}, {"name": "pindan-retail", "quotaPerS": 10.0}],
    "extra": platform_settings.SETTINGS["extra"] | {"cpuOfKind": [12]},
}

Response = tuple[int, dict[str, str], bytes]


@dataclass(slots=True, frozen=True)
class RawResponse:
    """Bytes sent as they are, then those that ``later`` returns; the connection is served further."""

    first: bytes
    later: Callable[[], Awaitable[bytes]]


Script = Callable[
    ["RestEngine", str, str, dict[str, str], bytes], Awaitable[Response | RawResponse | bytes | None]
]


class RestEngine:
    """Responds as its script says.

    If the script returns None, the connection is closed. If it returns bytes, they are sent as they are, and
    nothing is sent after them.

    Attributes:
        calls: The number of requests by method, of ``connections``, and of reads ``after raw bytes``.
        posts: The headers and the body of each POST.
        deleted: The path of each DELETE.
    """

    def __init__(self, script: Script) -> None:
        self.script, self.address = script, ""
        self.calls: Counter[str] = Counter()
        self.posts: list[tuple[dict[str, str], bytes]] = []
        self.deleted: list[str] = []

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        self.calls["connections"] += 1
        http = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    request, body = event, b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    response = await self._answer(request, body)
                    if response is None:
                        return
                    if isinstance(response, bytes):
                        await stream.send_all(response)
                        while await stream.receive_some(65536):
                            self.calls["after raw bytes"] += 1
                        return
                    raw = response if isinstance(response, RawResponse) else None
                    status, headers, text = (200, {}, b"") if isinstance(response, RawResponse) else response
                    fields = [*headers.items(), ("Content-Length", str(len(text)))]
                    head = h11.Response(status_code=status, headers=fields)
                    out = (http.send(head) or b"") + (http.send(h11.Data(data=text)) or b"")
                    out += http.send(h11.EndOfMessage()) or b""
                    await stream.send_all(out if raw is None else raw.first)
                    if raw is not None:
                        await stream.send_all(await raw.later())
                    http.start_next_cycle()
                else:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, request: h11.Request, body: bytes) -> Response | RawResponse | bytes | None:
        method, path = request.method.decode(), request.target.decode()
        headers = {name.decode(): value.decode() for name, value in request.headers}
        self.calls[method] += 1
        if method == "POST":
            self.posts.append((headers, body))
        if method == "DELETE":
            self.deleted.append(path)
        return await self.script(self, method, path, headers, body)


async def serve_at_once(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Serve every query without delay, in two pages."""
    if method == "POST":
        return 200, {"X-Sheets": "2", "X-Gauges": "inflight:1;util:0.10"}, b"a\tb\tc\n"
    if method == "GET" and path.endswith("/1"):
        return 200, {"X-Sheet": "1"}, b"d\te\tf\n"
    return 204, {}, b""


async def never_finish(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Report every query as still running."""
    if method in ("DELETE", "PUT"):
        return 204, {}, b""
    await trio.sleep(0.05)
    return 202, {}, b""


async def break_connection(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Close the connection after each request."""
    return None


class Client:
    """A MessagePack-RPC client that keeps every answer that it receives."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.last_id, self.answers = stream, 0, dict[int, list[Any]]()
        self._unpacker = msgpack.Unpacker()

    async def send_request(
        self, class_name: str = "lookup", body: object = b"SELECT a FROM sales_17.orders", **fields: str
    ) -> int:
        """Send a request; return its id."""
        self.last_id += 1
        all_fields = {
            "txn": f"{self.last_id:016x}",
            "limit": "3000",
            "team": "karri-energy",
            "cpu": "200.0",
            "need_mb": "96",
        } | fields
        await self.send([0, self.last_id, class_name, [all_fields, body]])
        return self.last_id

    async def send(self, message: object) -> None:
        """Send a message as it is."""
        await self.stream.send_all(msgpack.packb(message))

    async def answer(self, number: int, within_s: float = 20.0) -> tuple[Any, Any]:
        """Wait for an answer; return its error and result. Fails if a request gets a second answer."""
        with trio.fail_after(within_s):
            while number not in self.answers:
                chunk = await self.stream.receive_some(65536)
                assert chunk, "the coordinator closed the connection"
                self._unpacker.feed(chunk)
                for kind, answered_id, error, result in self._unpacker:
                    assert kind == 1
                    assert answered_id not in self.answers
                    self.answers[answered_id] = [error, result]
        error, result = self.answers[number]
        return error, result


@asynccontextmanager
async def engine(script: Script = serve_at_once) -> AsyncIterator[RestEngine]:
    """Run a fake engine on a port of its own."""
    one = RestEngine(script)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, one.serve, 0, host="127.0.0.1"))
        one.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        yield one
        nursery.cancel_scope.cancel()


def config(*addresses: str, channel: str = "", **fields: Any) -> dict[str, Any]:
    """Return a configuration that lists engines at these addresses."""
    servers = [
        {
            "id": f"s-{number:08x}",
            "addr": address,
            "zone": "hall-a",
            "kind": "std",
            "cell": 0,
            "state": "ready",
            "weight": 1,
            "started_ms": 0,
        }
        for number, address in enumerate(addresses)
    ]
    known = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"version": 1, "full": True, "servers": servers}}]}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "channel": channel,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": SETTINGS,
        **fields,
    }


class Program:
    """The real program, as a process with a configuration.

    Attributes:
        path: The path of its configuration.
        ports: The port of each front.
    """

    def __init__(self, process: CoordinatorProcess, path: Path) -> None:
        self.process = process
        self.path = path
        self.ports: dict[str, int] = {}
        self._last_log: list[str] | None = None

    @property
    def log(self) -> list[str]:
        """The lines of its log so far; also available after it has stopped."""
        return self.process.log_lines() if self._last_log is None else self._last_log

    def close_log(self) -> None:
        """Keep the log's lines, because its file is deleted with the folder."""
        self._last_log = self.process.log_lines()

    async def client(self) -> Client:
        """Connect a client."""
        return Client(await trio.open_tcp_stream("127.0.0.1", self.ports["listens"]))

    async def stop(self) -> int:
        """Send SIGTERM, wait until the process exits, and return its exit status."""
        self.process.terminate()
        with trio.fail_after(20.0):
            return await self.process.wait()


@asynccontextmanager
async def program(
    configuration: dict[str, Any],
    *arguments: str,
    fronts: int | None = None,
    module: str = "fordstair",
    environ: dict[str, str] | None = None,
) -> AsyncIterator[Program]:
    """Run ``python -m fordstair`` on a configuration, and wait until ``fronts`` fronts listen.

    By default these are the platform's front, and OData's if the arguments name an operator's file.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(ujson.dumps(configuration))
        process = CoordinatorProcess(
            ["-m", module, *arguments],
            Path(folder) / "log",
            {"RELAY_CONFIG": str(path), **(environ or {})},
        )
        one = Program(process, path)
        try:
            one.ports = await process.wait_listening(fronts or 1 + len(arguments) // 2, timeout_s=20.0)
            yield one
        finally:
            process.kill()
            one.close_log()


@asynccontextmanager
async def run_in_process(configuration: dict[str, Any]) -> AsyncIterator[CoordinatorProgram]:
    """Run the program in this process, so that a test can hold its parts at a barrier."""
    one = CoordinatorProgram(parse(configuration), None, lambda: parse(configuration))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        with trio.fail_after(20.0):
            while not one.listeners:
                await trio.sleep(0.001)
        yield one
        nursery.cancel_scope.cancel()


async def connect(one: CoordinatorProgram) -> Client:
    """Connect a client to a program that runs in this process."""
    return Client(await trio.open_tcp_stream(*one.listeners[0].socket.getsockname()))
