"""Batch requests in the JSON format (OData JSON Format 4.01, 19); their parts run in order, one at a time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import ujson

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import (
    ODataRequest,
    Response,
    decode_json,
    encode_json,
    error_response,
)
from fordstair.net.clients.odata_metadata import XML
from fordstair.net.clients.odata_preferences import Preferences
from fordstair.net.clients.odata_statements import StatementRunner

MAX_REQUESTS = 100
_FIRST_ERROR_STATUS = 400

RequestHandler = Callable[[ODataRequest], Awaitable[Response]]


@dataclass(slots=True, frozen=True)
class BatchPart:
    """One request of a batch.

    Attributes:
        request_id: its id, unique in the batch.
        method: the HTTP method.
        url: absolute, or relative to the service's root.
        fields: the request's JSON object as received.
    """

    request_id: str
    method: str
    url: str
    fields: Mapping[str, Any]

    @property
    def in_atomicity_group(self) -> bool:
        """Whether the request belongs to an atomicity group, which succeeds or fails as a whole."""
        return bool(self.fields.get("atomicityGroup"))

    def may_run(self, failed: set[str]) -> bool:
        """Return whether no request that it depends on has failed; False if the list is malformed."""
        depends_on = self.fields.get("dependsOn") or []
        return isinstance(depends_on, list) and not failed & {str(request_id) for request_id in depends_on}

    def request(self, inherited_headers: Mapping[str, str]) -> ODataRequest:
        """Return the part as a request; its own headers override the inherited ones."""
        headers = self.fields.get("headers")
        own_headers = headers if isinstance(headers, dict) else {}
        content = self.fields.get("body")
        return ODataRequest(
            self.method,
            self.url,
            {**inherited_headers, **{str(key).lower(): str(value) for key, value in own_headers.items()}},
            b"" if content is None else encode_json(content),
            in_batch=True,
        )


@dataclass(slots=True)
class BatchProgress:
    """The responses of a batch so far.

    Attributes:
        responses: the encoded responses, in order.
        failed: the ids of the requests that have failed.
    """

    responses: list[dict[str, Any]] = field(default_factory=list)
    failed: set[str] = field(default_factory=set)

    def add(self, request_id: str, response: Response) -> None:
        """Record the response to one request."""
        if response.status >= _FIRST_ERROR_STATUS:
            self.failed.add(request_id)
        self.responses.append(_encode_response(request_id, response))


class BatchRunner:
    """Runs the batches of one connection.

    The parts of a batch inherit those of its headers whose names are in ``inherited_headers`` (lower case).
    """

    def __init__(
        self, inherited_headers: tuple[str, ...], handler: RequestHandler, statements: StatementRunner
    ) -> None:
        self._inherited_headers = inherited_headers
        self._handler = handler
        self._statements = statements

    async def run(self, headers: Mapping[str, str], body: bytes) -> Response:
        """Run a batch; stop early if the client disconnects. Raise ODataError if the batch is malformed."""
        if not headers.get("content-type", "").startswith("application/json"):
            raise ODataError(415, "UnsupportedMediaType", "batches are served in the JSON format")
        parts = _read_parts(body)
        inherited = {name: value for name, value in headers.items() if name in self._inherited_headers}
        preferences = Preferences(headers)
        progress = BatchProgress()
        with self._statements.batch_limit(preferences.wait_ms):
            for part in parts:
                if self._statements.disconnected:  # no load may begin after that
                    break
                progress.add(part.request_id, await self._run_part(part, progress.failed, inherited))
                if part.request_id in progress.failed and not preferences.continue_on_error:
                    break
        return Response(200, encode_json({"responses": progress.responses}))

    async def _run_part(
        self, part: BatchPart, failed: set[str], inherited_headers: Mapping[str, str]
    ) -> Response:
        if not part.may_run(failed):
            return error_response(ODataError(424, "FailedDependency", "one before it has failed"))
        if part.in_atomicity_group:
            return error_response(ODataError(501, "NotImplemented", "no atomicity groups are served"))
        return await self._handler(part.request(inherited_headers))


def _read_parts(body: bytes) -> list[BatchPart]:
    try:
        parts = [
            BatchPart(str(request["id"]), str(request["method"]).upper(), str(request["url"]), request)
            for request in decode_json(body)["requests"]
        ]
    except (ValueError, KeyError, TypeError):
        raise ODataError(400, "BadBatch", "each request needs an id, a method and a url") from None
    if len(parts) > MAX_REQUESTS or len({part.request_id for part in parts}) < len(parts):
        raise ODataError(400, "BadBatch", f"at most {MAX_REQUESTS} requests, each with an id of its own")
    return parts


def _encode_response(request_id: str, response: Response) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "id": request_id,
        "status": response.status,
        "headers": {key.lower(): value for key, value in response.headers.items()},
    }
    if response.body:
        xml = response.headers.get("Content-Type") == XML
        encoded["body"] = response.body.decode() if xml else ujson.loads(response.body)
    return encoded
