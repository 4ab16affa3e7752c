"""Sends one coordinator a burst of new connections, and measures the time limits that the engines get.

Each connection sends one request. The clients run in their own process, ``python -m
fordstair.lab.connection_burst``: their sockets connect and write one after the other within milliseconds, as
all clients of a fleet do after a restart. The engines run in the caller's process. Both read the monotonic
clock, which all processes of a machine share.
"""

from __future__ import annotations

import argparse
import selectors
import socket
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

import msgpack
import msgspec
import trio
import ujson

from fordstair.lab.coordinator_process import CoordinatorProcess
from fordstair.lab.engine import Answer, FakeEngine
from fordstair.lab.kernel_times import data_age_s
from fordstair.lab.machine import Machine
from fordstair.lab.platform_settings import SETTINGS
from fordstair.runtime.clock import monotonic_now

HOST = "127.0.0.1"
ENGINES = 6
# Enough that a query takes the same time with any number of clients.
ENGINE_CORES = 64.0
# The coordinator's limit; it has room for all clients of a burst.
SOCKETS = 8_192
LIMIT_MS = 4_000
WORK_MS = 5.0
ANSWERS_TIMEOUT_S = 8.0
POLL_S = 0.002
READ_BYTES = 65_536
STATE_LISTEN = "0A"  # A state in /proc/net/tcp.
RPC = "listens"
ODATA = "odata"
OPERATOR_FILE = """\
[odata]
listen = "127.0.0.1:0"
team = "karri-energy"
[[set]]
name = "Lines"
table = "lines_7.lines"
columns = ["line", "amount"]
read = "lookup"
cpu_ms = 5
need_mb = 16
"""


class SentBurst(msgspec.Struct):
    """The times that the clients measured, in ms of the monotonic clock.

    Attributes:
        sent_ms: When each client's request was written, by client.
        answered_ms: When each client's answer arrived, by client.
        accepted_ms: When the listener's backlog was first empty after the last request was sent.
    """

    sent_ms: list[float] = []
    answered_ms: dict[int, float] = {}
    accepted_ms: float = 0.0


class _RecordingEngine(FakeEngine):
    """An engine that records when each client's request arrived, and its time limit.

    The arrival time is the kernel's, because this process may be late to read the request.
    """

    def __init__(self, name: str, limits: dict[int, tuple[float, float]]) -> None:
        super().__init__(name, Machine(cores=ENGINE_CORES), sessions=10_000)
        self._limits = limits
        self._arrived_ms: WeakKeyDictionary[trio.SocketStream, float] = WeakKeyDictionary()
        self._posted_ms_by_txn: dict[str, float] = {}

    def before_read(self, stream: trio.SocketStream, *, first: bool) -> None:
        self._arrived_ms[stream] = monotonic_now() - data_age_s(stream) * 1e3

    def on_request(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        if method == "POST":
            self._posted_ms_by_txn[fields["x-txn"]] = self._arrived_ms[stream]

    async def _post(self, fields: dict[str, str], body: bytes) -> Answer:
        self._limits[client_number(body)] = (
            self._posted_ms_by_txn[fields["x-txn"]],
            float(fields["x-limit-ms"]),
        )
        return await super()._post(fields, body)


@dataclass(frozen=True, slots=True)
class BurstReport:
    """The measurements of one burst, in ms.

    Attributes:
        clients: How many clients sent a request.
        within_ms: The time between the first and the last request.
        excess_ms: By how much each limit that an engine got exceeds the time that its client had left.
        accepted_ms: The time from the last request until the backlog was empty.
        answer_ms: The time from each request to its answer.
    """

    clients: int
    within_ms: float
    excess_ms: list[float]
    accepted_ms: float
    answer_ms: list[float]

    @property
    def worst_excess_ms(self) -> float:
        """The largest excess; 0 if no engine got a request."""
        return max(self.excess_ms, default=0.0)

    def count_over(self, slack_ms: float) -> int:
        """Return how many limits were too long by more than ``slack_ms``."""
        return sum(each > slack_ms for each in self.excess_ms)


def client_number(statement: bytes) -> int:
    """Return the number of the client that sent a statement."""
    return int(statement.rpartition(b"= ")[2].split()[0].strip(b"'"))


async def run_burst(clients: int, front: str = RPC, module: str = "fordstair") -> BurstReport:
    """Start engines and a coordinator, send one burst to a front, and stop them all.

    Raises NotStartedError if the coordinator does not listen in time.
    """
    # By client: when its request arrived at an engine, and the time limit of the request.
    limits: dict[int, tuple[float, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            engines = [_RecordingEngine(f"s-{number:08x}", limits) for number in range(ENGINES)]
            for engine in engines:
                await nursery.start(engine.serve)
            process = _start(Path(folder), engines, front, module)
            try:
                ports = await process.wait_listening(2 if front == ODATA else 1)
                sent = await _send(clients, front, ports[front])
            finally:
                process.kill()
            nursery.cancel_scope.cancel()
    return _report(sent, limits)


def _start(folder: Path, engines: list[_RecordingEngine], front: str, module: str) -> CoordinatorProcess:
    config, operator = folder / "config.json", folder / "operator.toml"
    config.write_text(ujson.dumps(_configuration({each.name: each.address for each in engines})))
    operator.write_text(OPERATOR_FILE)
    arguments = ["--operator", str(operator)] if front == ODATA else []
    return CoordinatorProcess(["-m", module, *arguments], folder / "log", {"RELAY_CONFIG": str(config)})


def _configuration(engines: Mapping[str, str]) -> dict[str, Any]:
    common = {"zone": "hall-a", "kind": "std", "cell": 0, "state": "ready", "weight": 1, "started_ms": 0}
    servers = [{"id": name, "addr": address, **common} for name, address in engines.items()]
    nodes = {"version": 1, "full": True, "servers": servers}
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "seed": "8c1f30d27a5be964",
        "channel": "",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": SOCKETS},
        "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]},
        "settings": SETTINGS | {"limits": SETTINGS["limits"] | {"maxOpen": 10_000}},
    }


async def _send(clients: int, front: str, port: int) -> SentBurst:
    command = [sys.executable, "-m", "fordstair.lab.connection_burst", front, str(port), str(clients)]
    done = await trio.run_process(command, capture_stdout=True)
    return msgspec.json.decode(done.stdout, type=SentBurst)


def _report(sent: SentBurst, limits: Mapping[int, tuple[float, float]]) -> BurstReport:
    last_ms = max(sent.sent_ms)
    excess = [
        limit_ms - (sent.sent_ms[client] + LIMIT_MS - arrived_ms)
        for client, (arrived_ms, limit_ms) in limits.items()
    ]
    return BurstReport(
        len(sent.sent_ms),
        last_ms - min(sent.sent_ms),
        excess,
        sent.accepted_ms - last_ms,
        [at_ms - sent.sent_ms[client] for client, at_ms in sent.answered_ms.items()],
    )


def _rpc_request(client: int) -> bytes:
    fields = {
        "txn": f"{client:016x}",
        "limit": str(LIMIT_MS),
        "team": "karri-energy",
        "cpu": f"{WORK_MS:.1f}",
        "need_mb": "16",
    }
    body = b"/* work=%.1f rows=1 */ SELECT a FROM lines_7.lines WHERE line = %d" % (WORK_MS, client)
    return bytes(msgpack.packb([0, 1, "lookup", [fields, body]]))


def _odata_request(client: int) -> bytes:
    head = f"GET /odata/Lines?$filter=line%20eq%20'{client}' HTTP/1.1\r\nHost: a\r\n"
    return f"{head}Prefer: wait={LIMIT_MS // 1_000}\r\n\r\n".encode()


def _backlog(port: int) -> int:
    """Return the length of a port's accept queue; raise LookupError if no socket listens on the port."""
    with Path("/proc/net/tcp").open() as table:
        for line in table:
            _, local, _, state, queues, *_ = line.split()
            if state == STATE_LISTEN and int(local.rpartition(":")[2], 16) == port:
                return int(queues.rpartition(":")[2], 16)
    raise LookupError(f"no socket listens on port {port}")


def _send_all(port: int, requests: list[bytes]) -> SentBurst:
    """Open a connection for each request and send it; then read until all are answered or time out."""
    burst = SentBurst()
    with selectors.DefaultSelector() as selector:
        for client, request in enumerate(requests):
            sock = socket.create_connection((HOST, port))
            sock.sendall(request)
            burst.sent_ms.append(monotonic_now())
            selector.register(sock, selectors.EVENT_READ, client)
        deadline_ms = monotonic_now() + ANSWERS_TIMEOUT_S * 1e3
        while selector.get_map() and monotonic_now() < deadline_ms:
            if not burst.accepted_ms and _backlog(port) == 0:
                burst.accepted_ms = monotonic_now()
            for key, _ in selector.select(POLL_S):
                if isinstance(key.fileobj, socket.socket) and key.fileobj.recv(READ_BYTES):
                    burst.answered_ms[key.data] = monotonic_now()
                selector.unregister(key.fileobj)
    return burst


def main() -> int:
    """Send one burst, and print its times as JSON."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.connection_burst", description=__doc__)
    parser.add_argument("front", choices=[RPC, ODATA])
    parser.add_argument("port", type=int)
    parser.add_argument("clients", type=int)
    options = parser.parse_args()
    make_request = _odata_request if options.front == ODATA else _rpc_request
    burst = _send_all(options.port, [make_request(client) for client in range(options.clients)])
    sys.stdout.buffer.write(msgspec.json.encode(burst))
    return 0


if __name__ == "__main__":
    sys.exit(main())
