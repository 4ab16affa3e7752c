"""What the cases with an operator's file share: a small site with the OData front, and HTTP/1.1 clients."""

from __future__ import annotations

import asyncio
import ssl
import time
from pathlib import Path

from harness import Engine, Process, Scratch, free_port, run_command

SITE = """
[site]
name = "{name}"
listen = "{listen}"
requests_per_s = 60
halls = ["hall-a"]

[limits]
memory_mb = 192
sockets = 1024
attempts = 4

[[class]]
name = "lookup"
promise_ms = 1200
aim_stretch = 1.5
give_up_ms = 6000
worth = 1

[[class]]
name = "settlement"
promise_ms = 2000
aim_stretch = 2.5
give_up_ms = 25000
worth = 7.5
late_worth = 0.3
threads = 4

[[class]]
name = "meter-load"
effect = "unsafe"
load = true
promise_ms = 3000
aim_stretch = 3
give_up_ms = 20000
worth = 4
late_worth = 0.6
threads = 2

[[team]]
name = "karri-energy"
share = 0.73

[[team]]
name = "saltbush-power"
share = 0.16

[[team]]
name = "pindan-retail"
share = 0.11

{engines}

[odata]
listen = "{odata}"
root = "/odata"
page_rows = 200
results_most = 64
result_seconds = 60
team = ""
team_header = "X-Team"

[[set]]
name = "Settlements"
table = "settlement_1.lines"
columns = ["account", "period", "amount"]
read = "lookup"
lookup = "lookup"
cpu_ms = 200
need_mb = 16

[[set]]
name = "Readings"
table = "readings_2.intervals"
columns = ["meter", "started", "kwh"]
read = "lookup"
lookup = "lookup"
write = "meter-load"

[console]
socket = "{console}"
watchers = 8

{more}
"""
ENGINE = """
[[engine]]
id = "{name}"
address = "{address}"
cores = 12
memory_mb = 24576
protocol = "{protocol}"
"""


class Site:
    """One appliance, configured by an operator's file and started by the deploy file's `run` with it."""

    def __init__(
        self, scratch: Scratch, name: str, engines: list[Engine], more: str = "", protocol: str = "rest"
    ) -> None:
        self.scratch = scratch
        self.name = name
        self.rpc = f"127.0.0.1:{free_port()}"
        self.odata = f"127.0.0.1:{free_port()}"
        self.file: Path = scratch.folder / f"{name}.toml"
        listed = (
            ENGINE.format(name=engine.name, address=engine.address, protocol=protocol) for engine in engines
        )
        self.file.write_text(
            SITE.format(
                name=name,
                listen=self.rpc,
                odata=self.odata,
                engines="".join(listed),
                console=scratch.folder / f"{name}.sock",
                more=more,
            )
        )

    def start(self) -> Process:
        """Start the program with the file."""
        return self.scratch.start(self.name, run_command("--operator", str(self.file)))


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(address: str, context: ssl.SSLContext | None = None) -> Connection:
    """Connect to an OData front."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), ssl=context)


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one response; return its status and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
    length = next((line.partition(":")[2] for line in head if line.startswith("content-length:")), "0")
    return int(head[0].split(" ")[1]), await reader.readexactly(int(length))


async def exchange(connection: Connection, request: bytes, within_s: float) -> tuple[int, bytes]:
    """Send a request on a connection and read its response."""
    reader, writer = connection
    writer.write(request)
    return await asyncio.wait_for(read_response(reader), within_s)


def load_request(body: bytes, request_id: str = "", team: str = "karri-energy") -> bytes:
    """Return the POST of one reading; with an id it is repeatable."""
    lines = [
        "POST /odata/Readings HTTP/1.1",
        "Host: garden",
        f"X-Team: {team}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    if request_id:
        lines.append(f"Repeatability-Request-ID: {request_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def wait_until_served(
    address: str, within_s: float = 30.0, context: ssl.SSLContext | None = None
) -> bool:
    """Ask for the service's metadata until it comes; return False if it does not in time."""
    until = time.monotonic() + within_s
    request = b"GET /odata/$metadata HTTP/1.1\r\nHost: garden\r\nX-Team: karri-energy\r\n\r\n"
    while time.monotonic() < until:
        try:
            connection = await connect(address, context)
            status, _ = await exchange(connection, request, 2.0)
            connection[1].close()
            if status == 200:
                return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False
