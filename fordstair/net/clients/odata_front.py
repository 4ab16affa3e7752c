"""The second front: OData 4.01 over HTTP, with the same classes, deadlines and single final answers."""

from __future__ import annotations

import math
import re
import secrets
import ssl
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import parse_qsl, quote, urlsplit

import h11
import trio
import ujson

from fordstair.core.coordinator import Coordinator
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Query
from fordstair.core.statements import table_group
from fordstair.net.clients.closing import linger
from fordstair.net.clients.odata_model import (
    EntitySet,
    ODataError,
    Operator,
    Response,
    insertion,
    metadata,
    read_resource,
    understand,
)
from fordstair.net.clients.repeatable_requests import IdempotencyStore, LocalIdempotencyStore
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

READ_BYTES = 65_536
LARGEST_BODY = 256 * 1024
BATCH_MOST = 100
IDLE_MS = 30_000.0
# A first request, or the rest of a begun one, must come within that time: silent connections and endless
# requests would fill the room for clients. One that has asked may stay silent for IDLE_MS.
WHOLE_MS = 5_000.0
WRITE_MS = 10_000.0  # for an answer to leave: a client that reads nothing is not kept for ever
AT_DEADLINE_MS = 50.0  # an answer that close to the deadline came because of it
RESULTS_BYTES = 32 * 1024 * 1024  # of all kept rows together, within the limit on memory
ROW_BYTES = 64  # what a row takes beyond its text
_WAIT = re.compile(r"(?:^|[,;\s])wait=(\d{1,6})(?:$|[,;\s])")
_PAGE = re.compile(r"(?:odata\.)?maxpagesize=(\d{1,6})")

Headers = Mapping[str, str]


@dataclass(slots=True)
class Reply:
    """Keeps the one final answer of a request until its task reads it."""

    done: trio.Event = field(default_factory=trio.Event)
    pages: Sequence[bytes] | None = None
    later_ms: float | None = None
    reason: str = ""

    async def caught_up(self) -> None:
        """Its session reads all the while."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """All rows."""
        self.pages = pages
        self.done.set()

    def refused(self, later_ms: float) -> None:
        """A retry is harmless."""
        self.later_ms = later_ms
        self.done.set()

    def failed(self, reason: str) -> None:
        """Nothing is promised."""
        self.reason = reason
        self.done.set()


@dataclass(slots=True)
class Result:
    """Rows that are still to be fetched, page by page, by the team that asked for them."""

    team: str
    rows: list[bytes]
    entity_set: EntitySet
    select: tuple[str, ...]
    page_rows: int

    @property
    def size(self) -> int:
        """The memory that its rows take."""
        return sum(map(len, self.rows)) + ROW_BYTES * len(self.rows)


class Results:
    """Paged results: bounded in number, and forgotten after a while."""

    def __init__(self, most: int, keep_ms: float, coordinator: Coordinator) -> None:
        self.most, self.keep_ms, self.coordinator = most, keep_ms, coordinator
        self._kept: OrderedDict[str, Result] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, result: Result) -> str:
        """Keep a result; the oldest makes room. Return its name."""
        name = secrets.token_hex(16)
        self._kept[name] = result
        kept_bytes = sum(each.size for each in self._kept.values())
        while len(self._kept) > self.most or (kept_bytes > RESULTS_BYTES and len(self._kept) > 1):
            kept_bytes -= self._kept.popitem(last=False)[1].size
        deadlines = self.coordinator.deadlines
        deadlines.after(self.keep_ms, partial(self._kept.pop, name, None))
        return name

    def page(self, token: str, team: str) -> tuple[Result, int, str]:
        """Return the result that a skip token names, where to go on, and its name."""
        name, _, start = token.partition("-")
        result = self._kept.get(name)
        if result is None or result.team != team or not start.isdecimal() or int(start) >= len(result.rows):
            # the client's patience, or the room here, has ended before the last page was fetched
            raise ODataError(410, "ResultGone", "this result is no longer kept; ask anew")
        return result, int(start), name


class ODataFront:
    """Serves HTTP connections."""

    clients_most = 64  # until the configuration has been applied

    def __init__(
        self,
        coordinator: Coordinator,
        operator: Operator,
        team_of: Callable[[trio.abc.Stream], str | None] = lambda _: None,
    ) -> None:
        self.coordinator, self.operator = coordinator, operator
        self.results = Results(operator.results_most, operator.result_ms, coordinator)
        self.repeats: IdempotencyStore = LocalIdempotencyStore(coordinator)
        self.team_of = team_of
        self.connections = self.busy = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being worked on."""
        return not self.busy

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a fault in it ends no other."""
        if self.connections >= self.clients_most:
            self.coordinator.counters.add("odata.turned_away")
            return await trio.aclose_forcefully(stream)
        self.connections += 1
        self.coordinator.counters.add("odata.connections")
        try:
            await Session(self, stream).run()
            await linger(stream, self.coordinator.deadlines)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError):
            pass
        except* Exception:
            log.exception("odata.broke")
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


class Session:
    """One HTTP connection."""

    def __init__(self, front: ODataFront, stream: trio.abc.Stream) -> None:
        self.front, self.stream = front, stream
        self.coordinator, self.operator = front.coordinator, front.operator
        self.http = h11.Connection(h11.SERVER)
        self.asked = False  # it has sent a whole request
        self.gone = False  # the client has left: nothing more of its batch is begun
        self.live: LiveRequest | None = None
        self.reply = Reply()
        self.until_ms = math.inf  # when the patience that a batch was sent with ends

    async def run(self) -> None:
        """Answer request after request until the connection ends."""
        while True:
            try:
                request, body = await self._next()
                if request is None:
                    return
            except h11.RemoteProtocolError as error:
                if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    bad = ODataError(error.error_status_hint, "BadRequest", str(error))
                    await self._send(_error(bad), close=True)
                return
            self.front.busy += 1
            try:
                await self._handle(request, body)
            finally:
                self.front.busy -= 1
            if self.gone or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
                return
            self.http.start_next_cycle()

    async def _next(self) -> tuple[h11.Request | None, bytes]:
        request, body = None, bytearray()
        deadlines = self.coordinator.deadlines
        if not self.http.trailing_data[0]:
            with deadlines.limit_for(IDLE_MS if self.asked else WHOLE_MS) as limit:
                self.http.receive_data(await self.stream.receive_some(READ_BYTES))
            if limit.cancelled_caught:
                self.coordinator.counters.add("odata.overdue")
                return None, b""
        with deadlines.limit_for(WHOLE_MS):
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        go = self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
                        await self.stream.send_all(go or b"")
                    self.http.receive_data(await self.stream.receive_some(READ_BYTES))
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > LARGEST_BODY:
                        large = ODataError(413, "TooLarge", "the body is too large")
                        await self._send(_error(large), close=True)
                        return None, b""
                elif isinstance(event, h11.EndOfMessage):
                    self.asked = True
                    return request, bytes(body)
                else:
                    return None, b""
        self.coordinator.counters.add("odata.overdue")
        return None, b""

    async def _handle(self, request: h11.Request, body: bytes) -> None:
        """Answer one request, while watching for its client to leave."""
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            method, target = request.method.decode(), request.target.decode("latin-1")
            response = await self.respond(method, target, headers, body)
            nursery.cancel_scope.cancel()
        if not self.gone:
            await self._send(response)

    async def _watch(self) -> None:
        """Note when the client closes; what it sends early waits in h11 for its turn."""
        while True:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self.gone = True
                if self.live is not None:
                    self.coordinator.leave(self.live)
                    self.reply.done.set()
                return
            if len(self.http.trailing_data[0]) + len(data) > LARGEST_BODY:
                await trio.sleep_forever()  # it may go on once it has read its answer
            self.http.receive_data(data)

    async def _send(self, response: Response, close: bool = False) -> None:
        fields = [("OData-Version", "4.01"), *response.headers.items()]
        if response.status != 204:
            fields.append(("Content-Length", str(len(response.body))))
        if response.body and "Content-Type" not in response.headers:
            fields.append(("Content-Type", "application/json"))
        if close or self.coordinator.draining:
            fields.append(("Connection", "close"))
        out = self.http.send(h11.Response(status_code=response.status, headers=fields)) or b""
        if response.body:
            out += self.http.send(h11.Data(data=response.body)) or b""
        deadlines = self.coordinator.deadlines
        with deadlines.limit_for(WRITE_MS) as limit:
            await self.stream.send_all(out + (self.http.send(h11.EndOfMessage()) or b""))
        if limit.cancelled_caught:
            self.coordinator.counters.add("odata.stuck")
            raise trio.BrokenResourceError("the client does not read")

    async def respond(
        self, method: str, target: str, headers: Headers, body: bytes, nested: bool = False
    ) -> Response:
        """Answer one request or one part of a batch; every fault of its own becomes an error answer."""
        try:
            parts = urlsplit(target)
            path = self._inside(parts.path, nested)
            options = dict(parse_qsl(parts.query, keep_blank_values=True))
            team = self._team(headers)
            if path in ("", "$metadata") and method == "GET":
                return self._model(path)
            if path == "$batch" and method == "POST" and not nested:
                return await self._batch(headers, body)
            if method == "GET" and "$skiptoken" in options:
                result, start, name = self.front.results.page(options["$skiptoken"], team)
                if result.entity_set is not read_resource(path, self.operator.sets)[0]:
                    raise ODataError(400, "BadRequest", "this token belongs to another set")
                return self._page(result, start, name)
            if method == "GET":
                return await self._read(path, options, team, headers)
            if method == "POST":
                return await self._load(path, team, headers, body)
            raise ODataError(405, "NotAllowed", f"{method} is not served", {"Allow": "GET, POST"})
        except ODataError as error:
            return _error(error)
        except UnicodeDecodeError:
            return _error(ODataError(400, "BadRequest", "not UTF-8"))

    def _inside(self, path: str, nested: bool) -> str:
        root = self.operator.root
        if path == root or path.startswith(root + "/"):
            return path[len(root) :].strip("/")
        if nested and not path.startswith("/"):
            return path.strip("/")
        raise ODataError(404, "NotFound", "no such resource")

    def _team(self, headers: Headers) -> str:
        """Return the team: by the peer's identity where there is one, else as the operator has set."""
        team = self.front.team_of(self.stream)
        if team is None:
            team = headers.get(self.operator.team_header.lower(), self.operator.team)
        if team not in self.coordinator.tenants:
            raise ODataError(403, "UnknownTeam", "no team is known for this client")
        return team

    def _model(self, path: str) -> Response:
        if path == "$metadata":
            return Response(200, metadata(self.operator.sets), {"Content-Type": "application/xml"})
        listed = [{"name": name, "kind": "EntitySet", "url": name} for name in self.operator.sets]
        return Response(200, _json({"@odata.context": f"{self.operator.root}/$metadata", "value": listed}))

    async def _read(self, path: str, options: Headers, team: str, headers: Headers) -> Response:
        wanted = understand(path, options, self.operator.sets)
        pages = await self._run(wanted.statement, wanted.class_name, wanted.entity_set, team, headers)
        rows = [row for row in b"".join(pages).split(b"\n") if row]
        if wanted.single:
            if not rows:
                raise ODataError(404, "NotFound", "no such entity")
            context = f"{self.operator.root}/$metadata#{wanted.entity_set.name}/$entity"
            return Response(
                200, _json({"@odata.context": context, **_entity(rows[0], wanted.entity_set, wanted.select)})
            )
        size = self.operator.page_rows
        if (asked := _PAGE.search(headers.get("prefer", ""))) and int(asked[1]):
            size = min(size, int(asked[1]))
        result = Result(team, rows, wanted.entity_set, wanted.select, size)
        name = self.front.results.keep(result) if len(rows) > size else ""
        response = self._page(result, 0, name, count=wanted.count)
        if asked:
            response.headers["Preference-Applied"] = f"odata.maxpagesize={size}"
        return response

    def _page(self, result: Result, start: int, name: str, count: bool = False) -> Response:
        end, root = start + result.page_rows, self.operator.root
        page: dict[str, Any] = {"@odata.context": f"{root}/$metadata#{result.entity_set.name}"}
        if count:
            page["@odata.count"] = len(result.rows)
        page["value"] = [_entity(row, result.entity_set, result.select) for row in result.rows[start:end]]
        if end < len(result.rows):
            page["@odata.nextLink"] = f"{root}/{result.entity_set.name}?$skiptoken={name}-{end}"
        return Response(200, _json(page))

    async def _load(self, path: str, team: str, headers: Headers, body: bytes) -> Response:
        """Run one load; under a repeatability id it runs at most once, however often it is sent."""
        entity_set, key = read_resource(path, self.operator.sets)
        if key is not None:
            raise ODataError(405, "NotAllowed", "a single entity is only read", {"Allow": "GET"})
        try:
            entity = ujson.loads(body)
        except ValueError:
            raise ODataError(400, "BadRequest", "the body is no JSON") from None
        statement = insertion(entity_set, entity)
        name = headers.get("repeatability-request-id", "")
        ticket = await self.front.repeats.begin(team, name) if name else None
        if isinstance(ticket, Response):
            return ticket
        marks = {"Repeatability-Result": "accepted"} if name else {}
        try:
            await self._run(statement, entity_set.write, entity_set, team, headers)
        except ODataError as error:
            if name:  # a refusal proves that nothing ran; any other error proves nothing
                self.front.repeats.end(ticket, None if error.status == 503 else _error(error))
            raise
        if "return=minimal" in headers.get("prefer", ""):
            response = Response(204, b"", marks | {"Preference-Applied": "return=minimal"})
        else:
            context = f"{self.operator.root}/$metadata#{entity_set.name}/$entity"
            response = Response(201, _json({"@odata.context": context, **entity}), marks)
        quoted = quote(str(entity[entity_set.key]).replace("'", "''"), safe="")
        response.headers["Location"] = f"{self.operator.root}/{entity_set.name}('{quoted}')"
        if name:
            self.front.repeats.end(ticket, response)
        return response

    async def _run(
        self, statement: str, class_name: str, entity_set: EntitySet, team: str, headers: Headers
    ) -> Sequence[bytes]:
        """Have the coordinator work on a statement; return its rows, or raise what became of it."""
        coordinator = self.coordinator
        if class_name not in coordinator.classes:
            raise ODataError(500, "BadClass", f"the operator's file names an unknown class {class_name!r}")
        if self.gone:
            raise ODataError(499, "ClientLeft", "the client has left")
        spec = coordinator.settings.classes[coordinator.classes[class_name]]
        wait = _WAIT.search(headers.get("prefer", ""))
        limit_ms = min(spec.client_timeout_ms, float(wait[1]) * 1000.0) if wait else spec.client_timeout_ms
        limit_ms = max(0.0, min(limit_ms, self.until_ms - coordinator.deadlines.clock()))
        self.reply = reply = Reply()
        self.live = live = coordinator.take(
            Query(
                secrets.token_hex(8),
                class_name,
                coordinator.classes[class_name],
                coordinator.tenants[team],
                limit_ms,
                statement.encode(),
                table_group(statement),
                entity_set.cpu_ms,
                entity_set.need_mb,
            ),
            reply,
        )
        try:
            await reply.done.wait()
        finally:
            coordinator.leave(live)  # no harm where it is over
            self.live = None
        if reply.pages is not None:
            return reply.pages
        if self.gone:
            raise ODataError(499, "ClientLeft", "the client has left")
        late = coordinator.deadlines.clock() >= live.deadline_ms - AT_DEADLINE_MS
        if reply.later_ms is not None:
            after = {"Retry-After": str(max(1, math.ceil(reply.later_ms / 1000.0)))}
            raise ODataError(
                504 if late else 503,
                "Timeout" if late else "Overloaded",
                "not done in time; trying again is harmless"
                if late
                else "refused for now; trying again is harmless",
                after,
            )
        raise ODataError(
            504 if late else 502,
            "Timeout" if late else "Failed",
            "not done; it may have run, so look before sending it again",
        )

    async def _batch(self, headers: Headers, body: bytes) -> Response:
        """Run a JSON batch in its order; one whose client has left goes no further."""
        if not headers.get("content-type", "").startswith("application/json"):
            raise ODataError(415, "UnsupportedMediaType", "batches are served in the JSON format")
        try:
            requests = ujson.loads(body)["requests"]
            parts = [
                (str(each["id"]), str(each["method"]).upper(), str(each["url"]), each) for each in requests
            ]
        except (ValueError, KeyError, TypeError):
            raise ODataError(400, "BadBatch", "each request needs an id, a method and a url") from None
        if len(parts) > BATCH_MOST or len({name for name, *_ in parts}) < len(parts):
            raise ODataError(400, "BadBatch", f"at most {BATCH_MOST} requests, each with an id of its own")
        if wait := _WAIT.search(headers.get("prefer", "")):
            self.until_ms = self.coordinator.deadlines.clock() + float(wait[1]) * 1000.0
        go_on = "continue-on-error=false" not in headers.get("prefer", "")
        answers: list[dict[str, Any]] = []
        failed: set[str] = set()
        for name, method, url, part in parts:
            if self.gone:  # a load of a dropped batch that has not begun never begins
                break
            after = part.get("dependsOn") or []
            if not isinstance(after, list) or failed & {str(each) for each in after}:
                response = _error(ODataError(424, "FailedDependency", "one before it has failed"))
            elif part.get("atomicityGroup"):
                response = _error(ODataError(501, "NotImplemented", "no atomicity groups are served"))
            else:
                told = part.get("headers")
                told = told if isinstance(told, dict) else {}
                inner = {str(key).lower(): str(value) for key, value in told.items()}
                shared = ("prefer", self.operator.team_header.lower())
                outer = {key: value for key, value in headers.items() if key in shared}
                content = part.get("body")
                response = await self.respond(
                    method, url, outer | inner, b"" if content is None else _json(content), nested=True
                )
            failed |= {name} if response.status >= 400 else set()
            answers.append(_part(name, response))
            if response.status >= 400 and not go_on:
                break
        self.until_ms = math.inf
        return Response(200, _json({"responses": answers}))


def _part(name: str, response: Response) -> dict[str, Any]:
    part: dict[str, Any] = {
        "id": name,
        "status": response.status,
        "headers": {key.lower(): value for key, value in response.headers.items()},
    }
    if response.body:
        xml = response.headers.get("Content-Type") == "application/xml"
        part["body"] = response.body.decode() if xml else ujson.loads(response.body)
    return part


def _entity(row: bytes, entity_set: EntitySet, select: tuple[str, ...]) -> dict[str, str]:
    cells = row.decode("utf-8", "replace").split("\t")
    return {name: cell for name, cell in zip(entity_set.columns, cells, strict=False) if name in select}


def _json(value: Any) -> bytes:
    return ujson.dumps(value, ensure_ascii=False, escape_forward_slashes=False).encode("utf-8", "replace")


def _error(error: ODataError) -> Response:
    body = {"error": {"code": error.code, "message": error.message}}
    return Response(error.status, _json(body), error.headers)
