"""Sends open-loop traffic to the OData front: reads by key, one request at a time on each connection."""

from __future__ import annotations

from random import Random

import h11
import trio

from fordstair.lab.traffic import GRACE_S, READ_BYTES, RequestKind, Tally

# The time limit, which each request sends in its header ``Prefer: wait``.
WAIT_S = 6
REQUEST_KIND = RequestKind("lookup", "pindan-retail", 0.0, 0.0, WAIT_S * 1000.0)
MAX_IDLE_CONNECTIONS = 16


class ODataTraffic:
    """Requests entities by random keys, and counts the answers."""

    def __init__(
        self, host: str, port: int, rate_per_s: float, seed: int, path: str = "/odata/Accounts"
    ) -> None:
        self.host = host
        self.port = port
        self.rate = rate_per_s
        self.random = Random(seed)
        self.path = path
        self.tally = Tally()
        self._idle: list[tuple[trio.SocketStream, h11.Connection]] = []

    async def run(self, seconds: float) -> Tally:
        """Send requests for so many seconds; return the tally once all are answered or lost."""
        start = trio.current_time()
        at = 0.0
        async with trio.open_nursery() as nursery:
            while self.rate > 0.0 and (at := at + self.random.expovariate(self.rate)) < seconds:
                await trio.sleep_until(start + at)
                nursery.start_soon(self._send_request, self.random.randrange(1_000), start + at)
        for stream, _ in self._idle:
            await trio.aclose_forcefully(stream)
        self._idle.clear()
        return self.tally

    async def _send_request(self, key: int, due_s: float) -> None:
        self.tally.count(REQUEST_KIND, "asked")
        status = 0
        stream: trio.SocketStream | None = None
        with trio.move_on_after(WAIT_S + GRACE_S):
            try:
                stream, http = (
                    self._idle.pop()
                    if self._idle
                    else (await trio.open_tcp_stream(self.host, self.port), h11.Connection(h11.CLIENT))
                )
                status = await self._exchange(stream, http, key)
                if (
                    http.our_state is h11.DONE
                    and http.their_state is h11.DONE
                    and len(self._idle) < MAX_IDLE_CONNECTIONS
                ):
                    http.start_next_cycle()
                    self._idle.append((stream, http))
                    stream = None
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                status = 0
        if stream is not None:
            await trio.aclose_forcefully(stream)
        outcome = {200: "served", 404: "served", 503: "refused", 504: "refused"}.get(status)
        self.tally.count(
            REQUEST_KIND, outcome or ("failed" if status else "lost"), trio.current_time() - due_s
        )

    async def _exchange(self, stream: trio.SocketStream, http: h11.Connection, key: int) -> int:
        out = (
            http.send(
                h11.Request(
                    method="GET",
                    target=f"{self.path}('{key}')",
                    headers=[("Host", "demo"), ("Prefer", f"wait={WAIT_S}")],
                )
            )
            or b""
        )
        await stream.send_all(out + (http.send(h11.EndOfMessage()) or b""))
        status = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_BYTES)
                http.receive_data(data)
                if not data and not status:
                    return 0
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return status
