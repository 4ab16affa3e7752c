"""A stand-in engine for trials of memory: it serves short statements at once and never ends long ones."""

from __future__ import annotations

from functools import partial

import h11
import trio

from fordstair.lab.pressure.kinds import LARGE_RESULT_STATEMENT, LOOKUP_STATEMENT

HOST = "127.0.0.1"
READ_BYTES = 65_536
POLL_ANSWER_S = 0.25
LARGE_RESULT_PAGES = 8
PAGE_ROWS = 500
LARGE_PAGE = b"acct\tq1\t12\n" * PAGE_ROWS
SMALL_PAGE = b"a\tb\tc\n"

Response = tuple[int, dict[str, str], bytes]


async def serve_engine(task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
    """Listen on a free port, report the address, and serve until cancelled."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, _serve, 0, host=HOST))
        task_status.started(f"{HOST}:{listeners[0].socket.getsockname()[1]}")
        await trio.sleep_forever()


async def _serve(stream: trio.SocketStream) -> None:
    http = h11.Connection(h11.SERVER)
    try:
        async with stream:
            while await _serve_request(stream, http):
                http.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        return


async def _serve_request(stream: trio.SocketStream, http: h11.Connection) -> bool:
    """Serve one request; return False at the end of the connection."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            break
        else:
            return False
    status, headers, rows = await _respond(head.method.decode(), head.target.decode(), bytes(body))
    fields = [*headers.items(), ("Content-Length", str(len(rows)))]
    sent = http.send(h11.Response(status_code=status, headers=fields)) or b""
    sent += http.send(h11.Data(data=rows)) or b""
    await stream.send_all(sent + (http.send(h11.EndOfMessage()) or b""))
    return True


async def _respond(method: str, path: str, statement: bytes) -> Response:
    if method == "POST":
        if statement.rstrip() == LARGE_RESULT_STATEMENT:
            return 200, {"X-Sheets": str(LARGE_RESULT_PAGES)}, LARGE_PAGE
        if statement == LOOKUP_STATEMENT:
            return 200, {"X-Sheets": "1"}, SMALL_PAGE
        return 202, {}, b""
    if method == "GET":
        page = path.rpartition("/")[2]
        if page != "0":
            return 200, {"X-Sheet": page}, LARGE_PAGE
        await trio.sleep(POLL_ANSWER_S)
        return 202, {}, b""
    return 204, {}, b""
