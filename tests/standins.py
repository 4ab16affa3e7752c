"""Stand-ins for what a coordinator talks to, written from the protocol page: an engine and a client."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
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
from fordstair.program import Program as Coordination

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = platform_settings.SETTINGS | {
    "projects": [{"name": "karri-energy", "quotaPerS": 1000.0}, {"name": "pindan-retail", "quotaPerS": 10.0}],
    "extra": platform_settings.SETTINGS["extra"] | {"cpuOfKind": [12]},
}

Answered = tuple[int, dict[str, str], bytes]
Script = Callable[["RestEngine", str, str, dict[str, str], bytes], Awaitable[Answered | bytes | None]]


class RestEngine:
    """Answers as its script says; None breaks the connection, bytes go out as they are and are its last.

    Counts calls, and keeps the POSTs.
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
                    answered = await self._answer(request, body)
                    if answered is None:
                        return
                    if isinstance(answered, bytes):
                        await stream.send_all(answered)
                        while await stream.receive_some(65536):
                            self.calls["after raw bytes"] += 1
                        return
                    status, headers, text = answered
                    fields = [*headers.items(), ("Content-Length", str(len(text)))]
                    response = h11.Response(status_code=status, headers=fields)
                    out = (http.send(response) or b"") + (http.send(h11.Data(data=text)) or b"")
                    await stream.send_all(out + (http.send(h11.EndOfMessage()) or b""))
                    http.start_next_cycle()
                else:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, request: h11.Request, body: bytes) -> Answered | bytes | None:
        method, path = request.method.decode(), request.target.decode()
        headers = {name.decode(): value.decode() for name, value in request.headers}
        self.calls[method] += 1
        if method == "POST":
            self.posts.append((headers, body))
        if method == "DELETE":
            self.deleted.append(path)
        return await self.script(self, method, path, headers, body)


async def at_once(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Answered | None:
    """Serve every query at once, in two pages."""
    if method == "POST":
        return 200, {"X-Sheets": "2", "X-Gauges": "inflight:1;util:0.10"}, b"a\tb\tc\n"
    if method == "GET" and path.endswith("/1"):
        return 200, {"X-Sheet": "1"}, b"d\te\tf\n"
    return 204, {}, b""


async def never(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Answered | None:
    """Run every query for ever."""
    if method in ("DELETE", "PUT"):
        return 204, {}, b""
    await trio.sleep(0.05)
    return 202, {}, b""


async def breaks(
    engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Answered | None:
    """Break the connection once the query is there."""
    return None


class Client:
    """A MessagePack-RPC client that keeps every answer it gets."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.last, self.answers = stream, 0, dict[int, list[Any]]()
        self._unpacker = msgpack.Unpacker()

    async def ask(
        self, class_name: str = "lookup", body: object = b"SELECT a FROM sales_17.orders", **fields: str
    ) -> int:
        """Send a request; return its id."""
        self.last += 1
        told = {
            "txn": f"{self.last:016x}",
            "limit": "3000",
            "team": "karri-energy",
            "cpu": "200.0",
            "need_mb": "96",
        } | fields
        await self.send([0, self.last, class_name, [told, body]])
        return self.last

    async def send(self, message: object) -> None:
        """Send any message."""
        await self.stream.send_all(msgpack.packb(message))

    async def answer(self, number: int, within_s: float = 20.0) -> tuple[Any, Any]:
        """Wait for an answer; return its error and result. A second answer is an error here."""
        with trio.fail_after(within_s):
            while number not in self.answers:
                chunk = await self.stream.receive_some(65536)
                assert chunk, "the coordinator closed the connection"
                self._unpacker.feed(chunk)
                for kind, answered, error, result in self._unpacker:
                    assert kind == 1
                    assert answered not in self.answers
                    self.answers[answered] = [error, result]
        error, result = self.answers[number]
        return error, result


@asynccontextmanager
async def engine(script: Script = at_once) -> AsyncIterator[RestEngine]:
    """A stand-in engine on a port of its own."""
    one = RestEngine(script)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, one.serve, 0, host="127.0.0.1"))
        one.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        yield one
        nursery.cancel_scope.cancel()


def config(*addresses: str, channel: str = "", **more: Any) -> dict[str, Any]:
    """A configuration that lists engines at these addresses."""
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
        **more,
    }


class Program:
    """The real program, started with a configuration."""

    def __init__(self, process: CoordinatorProcess, path: Path) -> None:
        self.process = process
        self.path = path  # of its configuration
        self.ports: dict[str, int] = {}
        self._last_log: list[str] | None = None

    @property
    def log(self) -> list[str]:
        """The lines of its log so far, after its end as well."""
        return self.process.log_lines() if self._last_log is None else self._last_log

    def close_log(self) -> None:
        """Keep the lines: the file goes with its folder."""
        self._last_log = self.process.log_lines()

    async def client(self) -> Client:
        """Connect a client."""
        return Client(await trio.open_tcp_stream("127.0.0.1", self.ports["listens"]))

    async def stop(self) -> int:
        """Send SIGTERM and wait for the end."""
        self.process.terminate()
        with trio.fail_after(20.0):
            return await self.process.wait()


@asynccontextmanager
async def program(
    told: dict[str, Any],
    *arguments: str,
    fronts: int | None = None,
    module: str = "fordstair",
    environ: dict[str, str] | None = None,
) -> AsyncIterator[Program]:
    """Run ``python -m fordstair`` on a configuration, until so many fronts listen.

    By default these are the platform's, and OData's where there is an operator's file.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(ujson.dumps(told))
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
async def inside(told: dict[str, Any]) -> AsyncIterator[Coordination]:
    """The program within this process, so that a test can hold its parts at a barrier."""
    one = Coordination(parse(told), None, lambda: parse(told))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        with trio.fail_after(20.0):
            while not one.listeners:
                await trio.sleep(0.001)
        yield one
        nursery.cancel_scope.cancel()


async def connect(one: Coordination) -> Client:
    """Connect a client to a program within this process."""
    return Client(await trio.open_tcp_stream(*one.listeners[0].socket.getsockname()))
