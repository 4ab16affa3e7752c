"""Routes OData requests to their handlers by method and path."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from urllib.parse import parse_qsl, urlsplit

import trio

from fordstair.net.clients.odata_batch import BatchRunner
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_loads import LoadHandler
from fordstair.net.clients.odata_messages import ODataRequest, Response, error_response
from fordstair.net.clients.odata_metadata import metadata_document, service_document
from fordstair.net.clients.odata_preferences import Preferences
from fordstair.net.clients.odata_reads import ReadHandler
from fordstair.net.clients.odata_services import ODataServices
from fordstair.net.clients.odata_statements import StatementRunner

_SERVICE_DOCUMENT = ""
_METADATA = "$metadata"
_BATCH = "$batch"
_SKIP_TOKEN = "$skiptoken"


class ODataRouter:
    """Answers the requests of one connection."""

    def __init__(self, services: ODataServices, stream: trio.abc.Stream, statements: StatementRunner) -> None:
        self._operator = services.operator
        self._tenants = services.coordinator.tenants
        self._team_header = services.operator.team_header.lower()
        self._team_of_peer = partial(services.team_of, stream)
        self._reads = ReadHandler(services.operator, services.results, statements)
        self._loads = LoadHandler(
            services.operator.root, services.operator.entity_sets, services.idempotency_store, statements
        )
        self._batches = BatchRunner(("prefer", self._team_header), self.respond, statements)

    async def respond(self, request: ODataRequest) -> Response:
        """Answer one request, or one part of a batch; an invalid or failed one gets an error response."""
        try:
            return await self._route(request)
        except ODataError as error:
            return error_response(error)
        except UnicodeDecodeError:
            return error_response(ODataError(400, "BadRequest", "not UTF-8"))

    async def _route(self, request: ODataRequest) -> Response:
        try:
            url = urlsplit(request.target)
        except ValueError:
            raise ODataError(400, "BadRequest", "the target is no URL") from None
        path = self._path_below_root(url.path, in_batch=request.in_batch)
        options = dict(parse_qsl(url.query, keep_blank_values=True))
        team = self._team(request.headers)
        if request.method == "GET":
            return await self._get(path, options, team, request)
        if request.method != "POST":
            raise ODataError(405, "NotAllowed", f"{request.method} is not served", {"Allow": "GET, POST"})
        if path == _BATCH and not request.in_batch:
            return await self._batches.run(request.headers, request.body)
        return await self._loads.load(path, team, request.headers, request.body)

    async def _get(self, path: str, options: Mapping[str, str], team: str, request: ODataRequest) -> Response:
        if path == _SERVICE_DOCUMENT:
            return service_document(self._operator.root, self._operator.entity_sets)
        if path == _METADATA:
            return metadata_document(self._operator.entity_sets)
        if _SKIP_TOKEN in options:
            return self._reads.next_page(path, options[_SKIP_TOKEN], team)
        return await self._reads.read(path, options, team, Preferences(request.headers))

    def _path_below_root(self, path: str, *, in_batch: bool) -> str:
        """Return the path relative to the service's root; a part of a batch may give it in that form."""
        root = self._operator.root
        if path == root or path.startswith(root + "/"):
            return path[len(root) :].strip("/")
        if in_batch and not path.startswith("/"):
            return path.strip("/")
        raise ODataError(404, "NotFound", "no such resource")

    def _team(self, headers: Mapping[str, str]) -> str:
        """Return the team of the peer's identity, else that of the team header or the operator's default."""
        team = self._team_of_peer()
        if team is None:
            team = headers.get(self._team_header, self._operator.team)
        if team not in self._tenants:
            raise ODataError(403, "UnknownTeam", "no team is known for this client")
        return team
