"""A burst of new connections at one coordinator, each with one request, and what engines were told of it.

The clients are a process of their own (``python -m fordstair.lab.connection_burst``): sockets that connect
and write one after the other within milliseconds, as all clients of a fleet do after a restart. The engines
run in the caller's process. Both read the monotonic clock, which is one for all processes of a machine.
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
from fordstair.lab.engine import Answer, StandIn
from fordstair.lab.kernel_times import data_age_s
from fordstair.lab.machine import Machine
from fordstair.lab.platform_settings import SETTINGS
from fordstair.runtime.clock import monotonic_now

HOST = "127.0.0.1"
ENGINES = 6
CORES = 64.0  # of an engine: its queries take their time whatever the number of clients
SOCKETS = 8_192  # of the coordinator: all clients of a burst have room
LIMIT_MS = 4_000
WORK_MS = 5.0
ANSWERS_TIMEOUT_S = 8.0
POLL_S = 0.002
READ_BYTES = 65_536
STATE_LISTEN = "0A"  # in /proc/net/tcp
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
    """What the clients did and saw; times are ms of the monotonic clock."""

    sent_ms: list[float] = []  # by client: when its request was written
    answered_ms: dict[int, float] = {}  # by client
    accepted_ms: float = 0.0  # when the listener's backlog was seen empty, after the last one was sent


class _RecordingEngine(StandIn):
    """An engine that answers soon, and notes which time limit came with which client's request, and when.

    A request is dated by its arrival, as the kernel tells it: this process may be late to read it.
    """

    def __init__(self, name: str, told: dict[int, tuple[float, float]]) -> None:
        super().__init__(name, Machine(cores=CORES), sessions=10_000)
        self._told = told
        self._arrived_ms: WeakKeyDictionary[trio.SocketStream, float] = WeakKeyDictionary()
        self._posted_ms: dict[str, float] = {}  # by transaction id

    def arriving(self, stream: trio.SocketStream, *, first: bool) -> None:
        self._arrived_ms[stream] = monotonic_now() - data_age_s(stream) * 1e3

    def noticed(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        if method == "POST":
            self._posted_ms[fields["x-txn"]] = self._arrived_ms[stream]

    async def _post(self, fields: dict[str, str], body: bytes) -> Answer:
        self._told[client_of(body)] = (self._posted_ms[fields["x-txn"]], float(fields["x-limit-ms"]))
        return await super()._post(fields, body)


@dataclass(frozen=True, slots=True)
class BurstReport:
    """One burst: by how much limits were too long, and how long clients waited; all in ms."""

    clients: int
    within_ms: float  # between the first and the last request
    excess_ms: list[float]  # of each limit that engines were told over what its client had left
    accepted_ms: float  # from the last request to an empty backlog
    answer_ms: list[float]  # from each request to its answer

    @property
    def worst_excess_ms(self) -> float:
        """By how much the worst limit was too long."""
        return max(self.excess_ms, default=0.0)

    def over(self, slack_ms: float) -> int:
        """Return how many limits were too long by more than that."""
        return sum(each > slack_ms for each in self.excess_ms)


def client_of(statement: bytes) -> int:
    """Return the number of the client whose statement this is."""
    return int(statement.rpartition(b"= ")[2].split()[0].strip(b"'"))


async def play_burst(clients: int, front: str = RPC, module: str = "fordstair") -> BurstReport:
    """Start engines and a coordinator, send one burst to a front, and end all; raise NotStartedError."""
    told: dict[int, tuple[float, float]] = {}  # by client: when an engine had its request, and the limit
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            engines = [_RecordingEngine(f"s-{number:08x}", told) for number in range(ENGINES)]
            for engine in engines:
                await nursery.start(engine.serve)
            process = _start(Path(folder), engines, front, module)
            try:
                ports = await process.wait_listening(2 if front == ODATA else 1)
                sent = await _send(clients, front, ports[front])
            finally:
                process.kill()
            nursery.cancel_scope.cancel()
    return _report(sent, told)


def _start(folder: Path, engines: list[_RecordingEngine], front: str, module: str) -> CoordinatorProcess:
    config, operator = folder / "config.json", folder / "operator.toml"
    config.write_text(ujson.dumps(_configuration({each.name: each.address for each in engines})))
    operator.write_text(OPERATOR_FILE)
    arguments = ["--operator", str(operator)] if front == ODATA else []
    return CoordinatorProcess(["-m", module, *arguments], folder / "log", {"RELAY_CONFIG": str(config)})


def _configuration(engines: Mapping[str, str]) -> dict[str, Any]:
    usual = {"zone": "hall-a", "kind": "std", "cell": 0, "state": "ready", "weight": 1, "started_ms": 0}
    servers = [{"id": name, "addr": address, **usual} for name, address in engines.items()]
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


def _report(sent: SentBurst, told: Mapping[int, tuple[float, float]]) -> BurstReport:
    last_ms = max(sent.sent_ms)
    excess = [
        limit_ms - (sent.sent_ms[client] + LIMIT_MS - read_ms) for client, (read_ms, limit_ms) in told.items()
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
    """Return how many connections wait to be accepted at a port; raise LookupError where none listens."""
    with Path("/proc/net/tcp").open() as table:
        for line in table:
            _, local, _, state, queues, *_ = line.split()
            if state == STATE_LISTEN and int(local.rpartition(":")[2], 16) == port:
                return int(queues.rpartition(":")[2], 16)
    raise LookupError(f"nothing listens at port {port}")


def _send_all(port: int, requests: list[bytes]) -> SentBurst:
    """Connect and write once for each request, then read until each has its answer, or for long enough."""
    seen = SentBurst()
    with selectors.DefaultSelector() as selector:
        for client, request in enumerate(requests):
            sock = socket.create_connection((HOST, port))
            sock.sendall(request)
            seen.sent_ms.append(monotonic_now())
            selector.register(sock, selectors.EVENT_READ, client)
        until_ms = monotonic_now() + ANSWERS_TIMEOUT_S * 1e3
        while selector.get_map() and monotonic_now() < until_ms:
            if not seen.accepted_ms and _backlog(port) == 0:
                seen.accepted_ms = monotonic_now()
            for key, _ in selector.select(POLL_S):
                if isinstance(key.fileobj, socket.socket) and key.fileobj.recv(READ_BYTES):
                    seen.answered_ms[key.data] = monotonic_now()
                selector.unregister(key.fileobj)
    return seen


def main() -> int:
    """Send one burst, and print what was seen as JSON."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.connection_burst", description=__doc__)
    parser.add_argument("front", choices=[RPC, ODATA])
    parser.add_argument("port", type=int)
    parser.add_argument("clients", type=int)
    options = parser.parse_args()
    request = _odata_request if options.front == ODATA else _rpc_request
    seen = _send_all(options.port, [request(client) for client in range(options.clients)])
    sys.stdout.buffer.write(msgspec.json.encode(seen))
    return 0


if __name__ == "__main__":
    sys.exit(main())
